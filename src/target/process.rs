//! Identity of a target's process.

use {
    std::{
        hash::{Hash, Hasher},
        net::IpAddr,
    },
    xxhash_rust::xxh3::Xxh3,
};

/// Process id of a target that has neither an instance id nor a start time.
pub const UNKNOWN_PROCESS_ID: u64 = 0;

/// A target as registered with the pool.
#[derives::value]
#[derive(Eq)]
pub struct PoolTarget {
    /// Instance id of the target process; empty where targets have none.
    pub instance_id: String,
    /// Port on this node's address.
    pub port: u16,
    /// Start time of its process; 0 if it does not report one.
    pub started_unix_ms: u64,
    /// Connections that it accepts at a time.
    pub connection_count: u32,
}

impl PoolTarget {
    /// Differs between processes of all targets; the same after a restart of the node.
    #[must_use]
    pub fn process_id(&self, ip: IpAddr) -> u64 {
        if self.instance_id.is_empty() && self.started_unix_ms == 0 {
            return UNKNOWN_PROCESS_ID;
        }
        let mut hash = Xxh3::new();
        (ip, self.port, self.started_unix_ms).hash(&mut hash);
        self.instance_id.hash(&mut hash);
        hash.finish().max(1)
    }
}
