//! Brings a mesh up and takes it down.

use {
    super::{Instance, InstanceConf, MeshConf, instance},
    crate::{
        LabError,
        addresses::AddressBlock,
        admin::AdminAddress,
        binaries::{binary, build_dir},
        process::Process,
        usage::Usage,
        wait::{GENEROUS_LIMIT, wait_until},
    },
    dogwoodbridge::settings::ports,
    std::{
        fs,
        net::{IpAddr, SocketAddr},
        path::{Path, PathBuf},
        sync::atomic::{AtomicUsize, Ordering},
    },
};

/// Zone of the platform in rules of the fault proxy.
pub const PLATFORM_ZONE: &str = "platform";

const PLATFORM_HOST: u8 = 250;
const PROXY_HOST: u8 = 251;
const PLATFORM_PORT: u16 = 7100;
const PROXY_ADMIN_PORT: u16 = 7190;
const MAX_INSTANCE_COUNT: usize = 240;
/// Nodes whose control addresses `dogwoodctl` is given.
const ASKED_NODE_COUNT: usize = 8;
const REGION: &str = "lab";
const FLEET_SECRET: &str = "fleet-secret-of-the-lab";
const OPERATOR_SECRET: &str = "operator-secret-of-the-lab";

/// Real processes on a block of addresses of their own; all are killed when
/// the mesh is dropped. Logs stay if the start fails or a
/// test panics.
#[derive(Debug)]
pub struct Mesh {
    /// Targets with their nodes, in the order of the configuration.
    pub instances: Vec<Instance>,
    /// The platform.
    pub platform: Process,
    /// The fault proxy, if the mesh has one.
    pub proxy: Option<Process>,
    conf: MeshConf,
    block: AddressBlock,
    run_dir: PathBuf,
    dir_count: AtomicUsize,
    keeps_logs: bool,
}

impl Mesh {
    /// Starts all processes, publishes the configuration and waits until all
    /// nodes are ready.
    pub async fn start(conf: MeshConf) -> Result<Self, LabError> {
        let mut mesh = Self::new(conf)?;
        let result = mesh.bring_up().await;
        mesh.keeps_logs = result.is_err();
        result.map(|()| mesh)
    }

    async fn bring_up(&mut self) -> Result<(), LabError> {
        let platform = self.platform_admin();
        self.wait_for("the platform", platform, "/-/calls").await?;
        if self.proxy.is_some() {
            let proxy = self.proxy_admin();
            self.wait_for("the fault proxy", proxy, "/-/rules").await?;
        }
        let files = self.conf.files.clone();
        if !files.is_empty() {
            self.publish_files(&files).await?;
        }
        for index in 0..self.conf.instances.len() {
            let instance = self.start_instance(index)?;
            self.instances.push(instance);
        }
        self.wait_ready().await
    }

    fn new(conf: MeshConf) -> Result<Self, LabError> {
        if conf.instances.len() > MAX_INSTANCE_COUNT {
            return Err(LabError::Scenario {
                message: format!("more than {MAX_INSTANCE_COUNT} instances"),
            });
        }
        let block = AddressBlock::claim()?;
        let run_dir = build_dir()?.join("lab-runs").join(block.name());
        // Left behind by an earlier mesh whose test panicked.
        let _ = fs::remove_dir_all(&run_dir);
        create_dir(&run_dir)?;
        let platform = start_platform(&block, &run_dir)?;
        let proxy = if conf.behind_proxy {
            Some(start_proxy(&conf, &block, &run_dir)?)
        } else {
            None
        };
        Ok(Self {
            instances: Vec::new(),
            platform,
            proxy,
            conf,
            block,
            run_dir,
            dir_count: AtomicUsize::new(0),
            keeps_logs: false,
        })
    }

    fn start_instance(&self, index: usize) -> Result<Instance, LabError> {
        let conf = &self.conf.instances[index];
        let ip = self.block.real_ip(host_number(index));
        let node_id = format!("{}-{}-{}", conf.zone, conf.service, index + 1);
        let node = if self.conf.without_nodes {
            None
        } else {
            Some(self.start_node(index, &node_id)?)
        };
        let target = Process::new(
            format!("target-{node_id}"),
            binary("target")?,
            self.target_arguments(conf, ip, &node_id),
            self.log_path(&format!("target-{node_id}")),
        )?;
        Ok(Instance {
            zone: conf.zone.clone(),
            service: conf.service.clone(),
            ip,
            reachable_ip: self.reachable_ip(index),
            node,
            target,
            node_id,
        })
    }

    fn start_node(&self, index: usize, node_id: &str) -> Result<Process, LabError> {
        let conf = &self.conf.instances[index];
        let seeds: Vec<String> = self.seeds().iter().map(SocketAddr::to_string).collect();
        let mut arguments: Vec<String> = [
            ("--node-id", node_id.to_owned()),
            ("--ip", self.block.real_ip(host_number(index)).to_string()),
            ("--advertise-ip", self.reachable_ip(index).to_string()),
            (
                "--region",
                conf.region.as_deref().unwrap_or(REGION).to_owned(),
            ),
            ("--zone", conf.zone.clone()),
            ("--platform", self.platform_address_for_nodes().to_string()),
            ("--seeds", seeds.join(",")),
            ("--fleet-secret", FLEET_SECRET.to_owned()),
            ("--operator-secret", OPERATOR_SECRET.to_owned()),
        ]
        .into_iter()
        .flat_map(|(flag, value)| [flag.to_owned(), value])
        .collect();
        arguments.extend(conf.node_flags.iter().cloned());
        let name = format!("dogwoodd-{node_id}");
        let log_path = self.log_path(&name);
        Process::new(name, binary("dogwoodd")?, arguments, log_path)
    }

    fn target_arguments(&self, conf: &InstanceConf, ip: IpAddr, node_id: &str) -> Vec<String> {
        let listen = SocketAddr::new(ip, instance::TARGET_PORT);
        let admin = SocketAddr::new(ip, instance::TARGET_ADMIN_PORT);
        let journal = self.journal_path(node_id);
        let mut arguments = vec![
            "--service".to_owned(),
            conf.service.clone(),
            "--listen".to_owned(),
            listen.to_string(),
            "--admin".to_owned(),
            admin.to_string(),
            "--journal-file".to_owned(),
            journal.display().to_string(),
        ];
        if !self.conf.without_nodes {
            let egress = SocketAddr::new(ip, ports::EGRESS);
            arguments.extend(["--egress".to_owned(), egress.to_string()]);
        }
        arguments.extend(conf.target_flags.iter().cloned());
        arguments
    }

    async fn wait_ready(&mut self) -> Result<(), LabError> {
        for index in 0..self.instances.len() {
            let instance = &self.instances[index];
            let target = instance.target_admin();
            let node = instance.node.as_ref().map(|_| instance.node_admin());
            let name = instance.node_id.clone();
            self.wait_for(&name, target, "/-/faults").await?;
            if let Some(node) = node {
                self.wait_for(&name, node, "/readyz").await?;
            }
        }
        Ok(())
    }

    async fn wait_for(
        &mut self,
        name: &str,
        admin: AdminAddress,
        path: &str,
    ) -> Result<(), LabError> {
        let what = format!("{name} answers {path}");
        let waited = wait_until(&what, GENEROUS_LIMIT, || async {
            admin.is_ok(path).await.then_some(())
        });
        let ended_early = async {
            loop {
                self.check_running()?;
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        };
        tokio::select! {
            result = waited => result,
            result = ended_early => result,
        }
    }

    fn check_running(&mut self) -> Result<(), LabError> {
        self.platform.check_running()?;
        if let Some(proxy) = &mut self.proxy {
            proxy.check_running()?;
        }
        for instance in &mut self.instances {
            instance.target.check_running()?;
            if let Some(node) = &mut instance.node {
                node.check_running()?;
            }
        }
        Ok(())
    }

    /// Address of the platform, past the fault proxy.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
        SocketAddr::new(self.block.real_ip(PLATFORM_HOST), PLATFORM_PORT)
    }

    /// Calls and faults of the platform.
    #[must_use]
    pub fn platform_admin(&self) -> AdminAddress {
        AdminAddress(self.platform_address())
    }

    /// Rules of the fault proxy.
    #[must_use]
    pub fn proxy_admin(&self) -> AdminAddress {
        let ip = self.block.real_ip(PROXY_HOST);
        AdminAddress(SocketAddr::new(ip, PROXY_ADMIN_PORT))
    }

    /// Journal of a target as its process wrote it, also after its end. Each
    /// line is a state of an entry; the last one of a sequence number counts
    /// until the target is restarted, which begins at 0 again.
    #[must_use]
    pub fn journal_path(&self, node_id: &str) -> PathBuf {
        self.run_dir.join(format!("journal-{node_id}.jsonl"))
    }

    /// Usage of all nodes that run, in the order of the instances.
    #[must_use]
    pub fn node_usage(&self) -> Vec<Option<Usage>> {
        let nodes = self.instances.iter().map(|instance| instance.node.as_ref());
        nodes.map(|node| node?.usage().ok()).collect()
    }

    /// A new directory for files of a test.
    pub fn new_dir(&self, name: &str) -> Result<PathBuf, LabError> {
        let number = self.dir_count.fetch_add(1, Ordering::Relaxed);
        let dir = self.run_dir.join(format!("{name}-{number}"));
        create_dir(&dir)?;
        Ok(dir)
    }

    pub(crate) const fn operator_secret(&self) -> &'static str {
        OPERATOR_SECRET
    }

    /// Control addresses for `--nodes`.
    pub(super) fn nodes_to_ask(&self) -> String {
        let nodes = self.instances.iter().filter(|i| i.node.is_some());
        let addresses = nodes.map(|instance| instance.control_address().to_string());
        let addresses: Vec<String> = addresses.take(ASKED_NODE_COUNT).collect();
        addresses.join(",")
    }

    fn platform_address_for_nodes(&self) -> SocketAddr {
        if self.conf.behind_proxy {
            SocketAddr::new(self.block.virtual_ip(PLATFORM_HOST), PLATFORM_PORT)
        } else {
            self.platform_address()
        }
    }

    fn reachable_ip(&self, index: usize) -> IpAddr {
        let host = host_number(index);
        if self.conf.behind_proxy {
            self.block.virtual_ip(host)
        } else {
            self.block.real_ip(host)
        }
    }

    /// Gossip addresses of the first node of each zone.
    fn seeds(&self) -> Vec<SocketAddr> {
        let mut zones = Vec::new();
        let mut seeds = Vec::new();
        for (index, instance) in self.conf.instances.iter().enumerate() {
            if !zones.contains(&&instance.zone) {
                zones.push(&instance.zone);
                seeds.push(SocketAddr::new(self.reachable_ip(index), ports::GOSSIP));
            }
        }
        seeds
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.run_dir.join(format!("{name}.log"))
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        if self.keeps_logs || std::thread::panicking() {
            eprintln!("logs of the mesh are in {}", self.run_dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.run_dir);
        }
    }
}

fn host_number(index: usize) -> u8 {
    u8::try_from(index + 1).unwrap_or(u8::MAX)
}

fn create_dir(dir: &Path) -> Result<(), LabError> {
    fs::create_dir_all(dir).map_err(LabError::io(dir.display().to_string()))
}

fn start_platform(block: &AddressBlock, run_dir: &Path) -> Result<Process, LabError> {
    let address = SocketAddr::new(block.real_ip(PLATFORM_HOST), PLATFORM_PORT);
    Process::new(
        "platform".to_owned(),
        binary("platform")?,
        vec!["--listen".to_owned(), address.to_string()],
        run_dir.join("platform.log"),
    )
}

fn start_proxy(conf: &MeshConf, block: &AddressBlock, run_dir: &Path) -> Result<Process, LabError> {
    let host_text =
        |host: u8, zone: &str| format!("{}={}@{zone}", block.virtual_ip(host), block.real_ip(host));
    let instances = conf.instances.iter().enumerate();
    let mut hosts: Vec<String> = instances
        .map(|(index, instance)| host_text(host_number(index), &instance.zone))
        .collect();
    hosts.push(host_text(PLATFORM_HOST, PLATFORM_ZONE));
    let tcp_ports = [ports::PEER, ports::RPC, ports::CONTROL, PLATFORM_PORT];
    let admin = SocketAddr::new(block.real_ip(PROXY_HOST), PROXY_ADMIN_PORT);
    let arguments = [
        ("--admin", admin.to_string()),
        ("--hosts", hosts.join(",")),
        (
            "--tcp-ports",
            tcp_ports.map(|port| port.to_string()).join(","),
        ),
        ("--udp-ports", ports::GOSSIP.to_string()),
    ];
    let arguments = arguments
        .into_iter()
        .flat_map(|(flag, value)| [flag.to_owned(), value]);
    Process::new(
        "faultproxy".to_owned(),
        binary("faultproxy")?,
        arguments.collect(),
        run_dir.join("faultproxy.log"),
    )
}
