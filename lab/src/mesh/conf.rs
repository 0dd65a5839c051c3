//! What a mesh consists of.

/// A file of the published configuration.
#[derives::record]
#[derive(Eq)]
pub struct ConfFile {
    /// Name in the directory, such as `catalog.toml`.
    pub name: String,
    /// Content.
    pub text: String,
}

/// A target and the node beside it.
#[derives::record]
#[derive(Eq)]
pub struct InstanceConf {
    /// Availability zone.
    pub zone: String,
    /// Region; all instances without one share one.
    #[serde(default)]
    pub region: Option<String>,
    /// Service of the target.
    pub service: String,
    /// Further flags of the target.
    #[serde(default)]
    pub target_flags: Vec<String>,
    /// Further flags of the node.
    #[serde(default)]
    pub node_flags: Vec<String>,
}

/// A whole mesh.
#[derives::record]
#[derive(Default, Eq)]
pub struct MeshConf {
    /// Targets with their nodes.
    pub instances: Vec<InstanceConf>,
    /// Configuration to publish; nothing is published without files.
    pub files: Vec<ConfFile>,
    /// Whether nodes reach each other and the platform through the fault proxy.
    pub behind_proxy: bool,
    /// Whether targets run without nodes, to test the stand-ins alone.
    pub without_nodes: bool,
}

impl MeshConf {
    /// A mesh without instances.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a target with its node.
    #[must_use]
    pub fn with_instance(mut self, zone: &str, service: &str, target_flags: &[&str]) -> Self {
        let to_owned = |flag: &&str| (*flag).to_owned();
        self.instances.push(InstanceConf {
            zone: zone.to_owned(),
            region: None,
            service: service.to_owned(),
            target_flags: target_flags.iter().map(to_owned).collect(),
            node_flags: Vec::new(),
        });
        self
    }

    /// Adds a flag to all nodes that have been added.
    #[must_use]
    pub fn with_node_flags(mut self, flags: &[&str]) -> Self {
        for instance in &mut self.instances {
            let flags = flags.iter().map(|flag| (*flag).to_owned());
            instance.node_flags.extend(flags);
        }
        self
    }

    /// Adds a file of the configuration.
    #[must_use]
    pub fn with_file(mut self, name: &str, text: &str) -> Self {
        self.files.push(ConfFile {
            name: name.to_owned(),
            text: text.to_owned(),
        });
        self
    }

    /// Puts the fault proxy between nodes, and between nodes and platform.
    #[must_use]
    pub const fn with_proxy(mut self) -> Self {
        self.behind_proxy = true;
        self
    }

    /// Leaves the nodes out.
    #[must_use]
    pub const fn without_nodes(mut self) -> Self {
        self.without_nodes = true;
        self
    }
}
