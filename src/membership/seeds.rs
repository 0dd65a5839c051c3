//! Addresses for the first contact that a zone leaves in the object store.

use std::{collections::BTreeSet, net::SocketAddr};

/// Addresses kept for each zone.
const ADDRESSES_PER_ZONE: usize = 4;
/// How long a process must have run before it may change what others wrote.
/// Gossip meets a fleet of hundreds within a few seconds.
const SETTLED_MS: u64 = 5000;

/// What one zone leaves for nodes that start.
#[derives::record]
#[derive(Eq, Default)]
pub struct SeedsRecord {
    /// Nodes of the zone when it was written.
    #[serde(default)]
    pub member_count: usize,
    /// Gossip addresses of some of them.
    pub addresses: BTreeSet<SocketAddr>,
}

impl SeedsRecord {
    /// The record to write, if what is held should be replaced.
    ///
    /// `present` are the zone's nodes as the writer knows them. A node that has
    /// just started knows only itself: were it to write that, the others that
    /// start with it would not find each other, and each would take the
    /// quotas of the fleet for its own.
    #[must_use]
    pub fn revised(
        held: Option<&Self>,
        present: &BTreeSet<SocketAddr>,
        uptime_ms: u64,
    ) -> Option<Self> {
        let is_right = held.is_some_and(|held| held.describes(present));
        if is_right || (held.is_some() && uptime_ms < SETTLED_MS) {
            return None;
        }
        Some(Self {
            member_count: present.len(),
            addresses: present.iter().take(ADDRESSES_PER_ZONE).copied().collect(),
        })
    }

    fn describes(&self, present: &BTreeSet<SocketAddr>) -> bool {
        self.member_count == present.len()
            && self.addresses.len() >= present.len().min(ADDRESSES_PER_ZONE)
            && self.addresses.is_subset(present)
    }
}
