//! Stand-in for the platform's object API.

use {
    anyhow::Context, clap::Parser, standins::platform::Platform, std::net::SocketAddr,
    tokio::net::TcpListener, tokio_util::sync::CancellationToken,
};

/// Stand-in for the platform's object API, kept in memory.
#[derive(Debug, Parser)]
#[command(name = "platform", version)]
struct Args {
    /// Address of the object API and of /-/calls and /-/faults
    #[arg(long)]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let listener = TcpListener::bind(args.listen)
        .await
        .with_context(|| format!("--listen {}", args.listen))?;
    Platform::new()
        .serve(listener, CancellationToken::new())
        .await;
    Ok(())
}
