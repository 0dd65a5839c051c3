//! Freshness from own looks at the platform and from replies to own probes.

use {
    super::{FRESH_LIMIT_MS, Freshness, REPLY_LIMIT_MS},
    crate::{
        documents::{DocumentKind, Versions},
        membership::{MemberState, PeerStamp, View},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// A freshness state with the time until which it may be relied on.
///
/// A process that was paused would otherwise go on with the state from before
/// the pause, after its slices were taken over: an order could run twice.
/// Whoever acts on the state reads it with [`Snapshot::at`] at that moment.
#[derives::key]
pub struct Snapshot {
    /// State when the snapshot was taken.
    pub freshness: Freshness,
    /// Monotonic time from which it must be taken for [`Freshness::CutOff`].
    pub valid_until_ms: u64,
    /// Monotonic time until which quota slices may be used: these are taken
    /// over from inside the own zone only, so a zone that is cut off as a
    /// whole goes on.
    pub quota_until_ms: u64,
}

impl Snapshot {
    /// Knows nothing.
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

/// Last reply of a zone's members.
#[derives::key]
struct ZoneReply {
    probe_sent_ms: u64,
}

/// Derives the freshness of a node; no I/O, no clock.
#[derive(Debug, Clone)]
pub struct FreshnessTracker {
    node_id: String,
    zone: String,
    versions: Versions,
    zones: BTreeSet<String>,
    own_zone_has_others: bool,
    confirmed_ms: Option<u64>,
    /// Begin of the last own look, and what it showed.
    own_look: Option<(u64, Versions)>,
    stamps: BTreeMap<String, PeerStamp>,
    replies: BTreeMap<String, ZoneReply>,
}

impl FreshnessTracker {
    /// A tracker of the node that knows nothing yet.
    #[must_use]
    pub fn new(node_id: &str, zone: &str) -> Self {
        Self {
            node_id: node_id.to_owned(),
            zone: zone.to_owned(),
            versions: Versions::default(),
            zones: BTreeSet::new(),
            own_zone_has_others: false,
            confirmed_ms: None,
            own_look: None,
            stamps: BTreeMap::new(),
            replies: BTreeMap::new(),
        }
    }

    /// Takes in the zones of the members and of the slice table's slots.
    ///
    /// A zone that is cut off as a whole dies in the view and would then no
    /// longer be asked for; the node would take itself for "store down" and
    /// go on alone. Zones therefore stay known until all their members left
    /// of their own accord.
    pub fn observe_zones<'a>(
        &mut self,
        view: &View,
        table_zones: impl IntoIterator<Item = &'a str>,
    ) {
        let left = zones_wholly_left(view);
        let members = view.members.iter().filter(|m| m.node_id != self.node_id);
        self.own_zone_has_others = members
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

    /// Takes in the versions of the documents that this node holds.
    pub fn hold_versions(&mut self, versions: Versions) {
        self.versions = versions;
        let told = self.stamps.values();
        let told = told.filter_map(|stamp| Some((stamp.platform_seen_ms?, stamp.versions)));
        let looks = told.chain(self.own_look);
        let covered = looks.filter(|(_, shown)| covers(&versions, shown));
        let newest = covered.map(|(seen_ms, _)| seen_ms).max();
        self.confirmed_ms = self.confirmed_ms.max(newest);
    }

    /// Takes in a look of this node at the platform.
    ///
    /// `asked_ms` is when the look was begun. Like a member's stamp it counts
    /// once this node holds the versions that it showed.
    pub fn platform_seen(&mut self, asked_ms: u64, versions: Versions) {
        self.own_look = Some((asked_ms, versions));
        self.hold_versions(self.versions);
    }

    /// Takes in a member's reply to a probe of this node.
    ///
    /// A stamp counts only once this node holds the versions that it names:
    /// with an older slice table it would go on using slices that it lost.
    pub fn reply(&mut self, stamp: &PeerStamp) {
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

    /// Last confirmed look at the platform, own or told by others; what this
    /// node answers to probes.
    #[must_use]
    pub const fn confirmed_ms(&self) -> Option<u64> {
        self.confirmed_ms
    }

    /// The state at `now_ms` and how long it may be relied on.
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
        let quota_until_ms = self.own_zone_until_ms(now_ms).unwrap_or(0);
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

    /// Until when the own zone's silence about the platform counts.
    fn own_zone_until_ms(&self, now_ms: u64) -> Option<u64> {
        let is_own = |stamp: &&PeerStamp| stamp.zone == self.zone;
        let stamps = self.stamps.values().filter(is_own);
        let holds_table = self.versions.of(DocumentKind::Slices) > 0;
        if !holds_table || self.looked_itself(now_ms) || any_fresh(stamps, now_ms) {
            return None;
        }
        if !self.own_zone_has_others {
            return Some(now_ms + REPLY_LIMIT_MS);
        }
        let reply = self.replies.get(&self.zone)?;
        Some(reply.probe_sent_ms + REPLY_LIMIT_MS)
    }

    /// This node reached the platform, though it may not follow yet what it saw.
    fn looked_itself(&self, now_ms: u64) -> bool {
        self.own_look
            .is_some_and(|(asked_ms, _)| now_ms < asked_ms + FRESH_LIMIT_MS)
    }

    fn store_down_until_ms(&self, now_ms: u64) -> Option<u64> {
        let holds_table = self.versions.of(DocumentKind::Slices) > 0;
        let is_reached = self.looked_itself(now_ms) || any_fresh(self.stamps.values(), now_ms);
        if !holds_table || is_reached {
            return None;
        }
        let own_zone = self.own_zone_has_others.then_some(&self.zone);
        let zones = self.zones.iter().chain(own_zone);
        let oldest = zones
            .map(|zone| self.replies.get(zone).map(|reply| reply.probe_sent_ms))
            .try_fold(now_ms, |oldest, sent_ms| Some(oldest.min(sent_ms?)))?;
        Some(oldest + REPLY_LIMIT_MS)
    }
}

/// Someone reached the platform and knows more than this node does.
fn any_fresh<'a>(mut stamps: impl Iterator<Item = &'a PeerStamp>, now_ms: u64) -> bool {
    stamps.any(|stamp| {
        let seen_ms = stamp.platform_seen_ms;
        seen_ms.is_some_and(|seen_ms| now_ms < seen_ms + FRESH_LIMIT_MS)
    })
}

fn covers(held: &Versions, shown: &Versions) -> bool {
    let mut kinds = DocumentKind::ALL.into_iter();
    kinds.all(|kind| held.of(kind) >= shown.of(kind))
}

fn zones_wholly_left(view: &View) -> BTreeSet<&str> {
    let staying = |zone: &str| {
        let mut members = view.members.iter().filter(|m| m.zone == zone);
        members.any(|member| member.state != MemberState::Left)
    };
    let zones: BTreeSet<&str> = view.members.iter().map(|m| m.zone.as_str()).collect();
    zones.into_iter().filter(|zone| !staying(zone)).collect()
}
