//! Derives freshness from this node's polls of the platform and from replies to
//! its probes.

use {
    super::{FRESH_LIMIT_MS, Freshness, REPLY_LIMIT_MS},
    crate::{
        documents::{DocumentKind, Versions},
        membership::{MemberState, PeerStamp, View},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// A freshness state with the time until which it is valid.
///
/// A process that was paused could otherwise act on the state from before the
/// pause after its slices were taken over, and a request could run twice. Read
/// the state with [`Snapshot::at`] right before acting on it.
#[derives::key]
pub struct Snapshot {
    /// State when the snapshot was taken.
    pub freshness: Freshness,
    /// Monotonic time from which the state counts as [`Freshness::CutOff`].
    pub valid_until_ms: u64,
    /// Monotonic time until which quota slices may be used. They are taken over
    /// only from inside the zone, so a zone that is cut off as a whole
    /// continues to use them.
    pub quota_until_ms: u64,
}

impl Snapshot {
    /// The state of a node that has no observations.
    #[must_use]
    pub const fn cut_off() -> Self {
        Self {
            freshness: Freshness::CutOff,
            valid_until_ms: 0,
            quota_until_ms: 0,
        }
    }

    /// Whether quota slices may be used at `now_ms`.
    #[must_use]
    pub const fn allows_quota(self, now_ms: u64) -> bool {
        now_ms < self.quota_until_ms
    }

    /// The state at `now_ms`.
    #[must_use]
    pub const fn at(self, now_ms: u64) -> Freshness {
        if now_ms < self.valid_until_ms {
            self.freshness
        } else {
            Freshness::CutOff
        }
    }
}

/// Newest probe that a member of a zone replied to.
#[derives::key]
struct ZoneReply {
    probe_sent_ms: u64,
}

/// Derives the freshness of a node. Pure state: performs no I/O and reads no
/// clock.
#[derive(Debug, Clone)]
pub struct FreshnessTracker {
    node_id: String,
    zone: String,
    versions: Versions,
    zones: BTreeSet<String>,
    has_zone_peers: bool,
    confirmed_ms: Option<u64>,
    /// Start of this node's last poll, in ms, and the versions it returned.
    own_poll: Option<(u64, Versions)>,
    stamps: BTreeMap<String, PeerStamp>,
    replies: BTreeMap<String, ZoneReply>,
}

impl FreshnessTracker {
    /// A tracker for a node without observations.
    #[must_use]
    pub fn new(node_id: &str, zone: &str) -> Self {
        Self {
            node_id: node_id.to_owned(),
            zone: zone.to_owned(),
            versions: Versions::default(),
            zones: BTreeSet::new(),
            has_zone_peers: false,
            confirmed_ms: None,
            own_poll: None,
            stamps: BTreeMap::new(),
            replies: BTreeMap::new(),
        }
    }

    /// Records the zones of the members and of the slice table's slots.
    ///
    /// All members of a zone that is cut off are declared dead. Without its
    /// replies, this node would derive [`Freshness::StoreDown`] and continue
    /// alone, so a zone stays known until all its members left voluntarily.
    pub fn observe_zones<'a>(
        &mut self,
        view: &View,
        table_zones: impl IntoIterator<Item = &'a str>,
    ) {
        let left = zones_fully_left(view);
        let members = view.iter().filter(|m| m.node_id != self.node_id);
        self.has_zone_peers = members
            .clone()
            .any(|m| m.zone == self.zone && m.is_usable());
        self.zones.extend(members.map(|member| member.zone.clone()));
        self.zones.retain(|zone| !left.contains(zone.as_str()));
        let table_zones = table_zones.into_iter().map(str::to_owned);
        self.zones.extend(table_zones);
        self.zones.remove(&self.zone);
        self.stamps
            .retain(|node_id, _| view.member(node_id).is_some());
    }

    /// Records the versions of the documents in force at this node.
    pub fn set_versions_in_force(&mut self, versions: Versions) {
        self.versions = versions;
        let stamps = self.stamps.values();
        let reported = stamps.filter_map(|stamp| Some((stamp.platform_seen_ms?, stamp.versions)));
        let polls = reported.chain(self.own_poll);
        let confirmed = polls.filter(|(_, polled)| covers(&versions, polled));
        let newest_ms = confirmed.map(|(seen_ms, _)| seen_ms).max();
        self.confirmed_ms = self.confirmed_ms.max(newest_ms);
    }

    /// Records this node's poll of the platform, started at `poll_started_ms`.
    ///
    /// Like a member's stamp, it counts once the versions that it returned are
    /// in force at this node.
    pub fn record_poll(&mut self, poll_started_ms: u64, versions: Versions) {
        self.own_poll = Some((poll_started_ms, versions));
        self.set_versions_in_force(self.versions);
    }

    /// Records a member's reply to a probe of this node.
    ///
    /// A stamp counts only once the versions in it are in force at this node:
    /// with an older slice table the node would use slices that it has lost.
    pub fn record_reply(&mut self, stamp: &PeerStamp) {
        if stamp.node_id == self.node_id {
            return;
        }
        let reply = self.replies.entry(stamp.zone.clone());
        let reply = reply.or_insert(ZoneReply { probe_sent_ms: 0 });
        reply.probe_sent_ms = reply.probe_sent_ms.max(stamp.probe_sent_ms);
        if covers(&self.versions, &stamp.versions) {
            self.confirmed_ms = self.confirmed_ms.max(stamp.platform_seen_ms);
        }
        self.stamps.insert(stamp.node_id.clone(), stamp.clone());
    }

    /// Start of the last confirmed poll of the platform, by this node or reported
    /// by another; this node reports it in replies to probes.
    #[must_use]
    pub const fn confirmed_ms(&self) -> Option<u64> {
        self.confirmed_ms
    }

    /// The state at `now_ms` and how long it is valid.
    #[must_use]
    pub fn snapshot(&self, now_ms: u64) -> Snapshot {
        if let Some(confirmed_ms) = self.confirmed_ms
            && now_ms < confirmed_ms + FRESH_LIMIT_MS
        {
            return Snapshot {
                freshness: Freshness::Fresh,
                valid_until_ms: confirmed_ms + FRESH_LIMIT_MS,
                quota_until_ms: confirmed_ms + FRESH_LIMIT_MS,
            };
        }
        let quota_until_ms = self.zone_quota_until_ms(now_ms).unwrap_or(0);
        match self.store_down_until_ms(now_ms) {
            Some(valid_until_ms) if now_ms < valid_until_ms => Snapshot {
                freshness: Freshness::StoreDown,
                valid_until_ms,
                quota_until_ms,
            },
            _ => Snapshot {
                quota_until_ms,
                ..Snapshot::cut_off()
            },
        }
    }

    /// Time until which quota may be used because no member of this node's zone has
    /// reached the platform recently.
    fn zone_quota_until_ms(&self, now_ms: u64) -> Option<u64> {
        let is_in_own_zone = |stamp: &&PeerStamp| stamp.zone == self.zone;
        let stamps = self.stamps.values().filter(is_in_own_zone);
        let holds_table = self.versions.of(DocumentKind::Slices) > 0;
        if !holds_table || self.has_recent_poll(now_ms) || any_recent_poll(stamps, now_ms) {
            return None;
        }
        if !self.has_zone_peers {
            return Some(now_ms + REPLY_LIMIT_MS);
        }
        let reply = self.replies.get(&self.zone)?;
        Some(reply.probe_sent_ms + REPLY_LIMIT_MS)
    }

    /// Whether this node has polled the platform recently; the versions that the
    /// poll returned may not be in force yet.
    fn has_recent_poll(&self, now_ms: u64) -> bool {
        self.own_poll
            .is_some_and(|(started_ms, _)| now_ms < started_ms + FRESH_LIMIT_MS)
    }

    fn store_down_until_ms(&self, now_ms: u64) -> Option<u64> {
        let holds_table = self.versions.of(DocumentKind::Slices) > 0;
        let is_platform_reached =
            self.has_recent_poll(now_ms) || any_recent_poll(self.stamps.values(), now_ms);
        if !holds_table || is_platform_reached {
            return None;
        }
        let own_zone = self.has_zone_peers.then_some(&self.zone);
        let zones = self.zones.iter().chain(own_zone);
        let oldest_ms = zones
            .map(|zone| self.replies.get(zone).map(|reply| reply.probe_sent_ms))
            .try_fold(now_ms, |oldest_ms, sent_ms| Some(oldest_ms.min(sent_ms?)))?;
        Some(oldest_ms + REPLY_LIMIT_MS)
    }
}

/// Whether a member has reached the platform recently, so that it may know newer
/// versions than this node.
fn any_recent_poll<'a>(mut stamps: impl Iterator<Item = &'a PeerStamp>, now_ms: u64) -> bool {
    stamps.any(|stamp| {
        let seen_ms = stamp.platform_seen_ms;
        seen_ms.is_some_and(|seen_ms| now_ms < seen_ms + FRESH_LIMIT_MS)
    })
}

fn covers(in_force: &Versions, polled: &Versions) -> bool {
    let mut kinds = DocumentKind::ALL.into_iter();
    kinds.all(|kind| in_force.of(kind) >= polled.of(kind))
}

fn zones_fully_left(view: &View) -> BTreeSet<&str> {
    let has_remaining_member = |zone: &str| {
        let mut members = view.iter().filter(|m| m.zone == zone);
        members.any(|member| member.state != MemberState::Left)
    };
    let zones: BTreeSet<&str> = view.iter().map(|m| m.zone.as_str()).collect();
    zones
        .into_iter()
        .filter(|zone| !has_remaining_member(zone))
        .collect()
}
