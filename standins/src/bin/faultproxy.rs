//! Fault-injecting TCP and UDP proxy between nodes.

use {
    anyhow::Context,
    clap::Parser,
    standins::faultproxy::{FaultProxy, Host, ProxyConf},
    std::{net::SocketAddr, path::PathBuf},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

/// TCP and UDP proxy between nodes, with faults by direction
#[derive(Debug, Parser)]
#[command(name = "faultproxy", version)]
struct Args {
    /// Address of /-/rules
    #[arg(long)]
    admin: SocketAddr,
    /// Instances as VIRTUAL_IP=REAL_IP@ZONE, separated by commas
    #[arg(long, value_delimiter = ',')]
    hosts: Vec<Host>,
    /// TCP ports of each instance, separated by commas
    #[arg(long, value_delimiter = ',')]
    tcp_ports: Vec<u16>,
    /// UDP ports of each instance, separated by commas
    #[arg(long, value_delimiter = ',')]
    udp_ports: Vec<u16>,
    /// JSON file {"hosts":[{"virtual_ip","real_ip","zone"}],"tcp_ports":[],"udp_ports":[]} in place of the flags
    #[arg(long, conflicts_with_all = ["hosts", "tcp_ports", "udp_ports"])]
    map: Option<PathBuf>,
}

impl Args {
    fn conf(self) -> anyhow::Result<ProxyConf> {
        let Some(path) = self.map else {
            return Ok(ProxyConf {
                hosts: self.hosts,
                tcp_ports: self.tcp_ports,
                udp_ports: self.udp_ports,
            });
        };
        let text = std::fs::read(&path).with_context(|| format!("--map {}", path.display()))?;
        serde_json::from_slice(&text).with_context(|| format!("--map {}", path.display()))
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let admin_listener = TcpListener::bind(args.admin)
        .await
        .with_context(|| format!("--admin {}", args.admin))?;
    let proxy = FaultProxy::new(&args.conf()?).await?;
    proxy.serve(admin_listener, CancellationToken::new()).await;
    Ok(())
}
