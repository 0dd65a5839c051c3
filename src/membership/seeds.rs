//! Seed addresses that each zone publishes in the object store.

use {
    crate::entries::{Entries, to_text},
    serde::Deserialize,
    serde_json::value::RawValue,
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Maximum number of addresses stored per zone.
const ADDRESSES_PER_ZONE: usize = 4;
/// Minimum uptime before a process may replace a record that others wrote.
/// Gossip discovers a fleet of hundreds of nodes within a few seconds.
const SETTLED_MS: u64 = 5000;

/// Seeds that one zone publishes for nodes that start.
#[derives::record]
#[derive(Eq, Default)]
pub struct SeedsRecord {
    /// Number of nodes in the zone when the record was written.
    #[serde(default)]
    pub member_count: usize,
    /// Gossip addresses of some of them.
    pub addresses: BTreeSet<SocketAddr>,
}

/// A record as another process may have written it.
#[derive(Deserialize)]
struct SeedsBody {
    #[serde(default)]
    member_count: Option<Box<RawValue>>,
    #[serde(default)]
    addresses: Entries,
}

impl SeedsRecord {
    /// Decodes the content of an object. An address that cannot be read or has no port is left
    /// out; a count that cannot be read is 0.
    pub fn read(content: &[u8]) -> serde_json::Result<Self> {
        let body: SeedsBody = serde_json::from_str(&to_text(content))?;
        let member_count = body
            .member_count
            .and_then(|count| serde_json::from_str::<u16>(count.get()).ok());
        let addresses = body.addresses.readable::<SocketAddr>("seeds").into_iter();
        Ok(Self {
            member_count: member_count.map_or(0, usize::from),
            addresses: addresses.filter(|address| address.port() != 0).collect(),
        })
    }

    /// The record to write, or `None` if the stored one should stay.
    ///
    /// `present` are the zone's nodes as the writer knows them. A node that has
    /// just started knows only itself. If it stored that, nodes starting at the
    /// same time would not find each other, and each would claim the quotas of
    /// the whole fleet.
    #[must_use]
    pub fn revised(
        stored: Option<&Self>,
        present: &BTreeSet<SocketAddr>,
        uptime_ms: u64,
    ) -> Option<Self> {
        let is_current = stored.is_some_and(|stored| stored.describes(present));
        if is_current || (stored.is_some() && uptime_ms < SETTLED_MS) {
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
