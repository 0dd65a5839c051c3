//! One instance of a mesh.

use {
    crate::{admin::AdminAddress, process::Process},
    std::net::{IpAddr, SocketAddr},
};

/// A target and the node beside it.
#[derive(Debug)]
pub struct Instance {
    /// Name of the node.
    pub node_id: String,
    /// Availability zone.
    pub zone: String,
    /// Service of the target.
    pub service: String,
    /// Address that both listen on.
    pub ip: IpAddr,
    /// Address at which other nodes reach the node.
    pub reachable_ip: IpAddr,
    /// The node; absent in a mesh without nodes.
    pub node: Option<Process>,
    /// The target.
    pub target: Process,
}

/// Port of targets for requests.
pub(super) const TARGET_PORT: u16 = 8000;
/// Port of targets for journal and faults.
pub(super) const TARGET_ADMIN_PORT: u16 = 8001;

impl Instance {
    /// Where callers send requests.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, dogwoodbridge::settings::ports::CALLER)
    }

    /// Where load goes: to the node, or to the target if there is no node.
    #[must_use]
    pub fn entry_address(&self) -> SocketAddr {
        if self.node.is_some() {
            self.caller_address()
        } else {
            self.target_address()
        }
    }

    /// Where operators reach the node.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, dogwoodbridge::settings::ports::CONTROL)
    }

    /// Metrics and health of the node.
    #[must_use]
    pub fn node_admin(&self) -> AdminAddress {
        let port = dogwoodbridge::settings::ports::ADMIN;
        AdminAddress(SocketAddr::new(self.ip, port))
    }

    /// Where the target takes requests.
    #[must_use]
    pub fn target_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, TARGET_PORT)
    }

    /// Journal and faults of the target.
    #[must_use]
    pub fn target_admin(&self) -> AdminAddress {
        AdminAddress(SocketAddr::new(self.ip, TARGET_ADMIN_PORT))
    }
}
