//! Table of all known members and of the updates about them to be sent.

use {
    super::{
        Liveness, Member, Record, View,
        update_queue::{Rank, UpdateQueue},
        updates::{Scope, Update, UpdateShare},
        zone_index::ZoneIndex,
    },
    crate::{arena::Arena, arena_key},
    std::{
        collections::{BTreeSet, HashMap},
        hash::{Hash, Hasher},
        sync::Arc,
    },
    xxhash_rust::xxh3::Xxh3,
};

arena_key! {
    /// Key of a member in the table.
    MemberKey
}

/// Time that a suspected member has to refute before it is declared dead.
pub const SUSPICION_MS: u64 = 3000;

/// Ages of a suspicion, in milliseconds, at which this node pings the suspected
/// member itself.
const SUSPECT_PING_AGES_MS: [u64; 3] = [1000, 2000, 2600];

/// How long records of dead and departed members are kept. A record that is
/// dropped too early would return as alive from a node that has not received
/// the death, and callers would see timeouts until the member is suspected
/// again.
pub const TOMBSTONE_MS: u64 = 600_000;

/// A member's record and this node's local state about it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The record that gossip propagates.
    pub record: Record,
    /// When the liveness last changed in this table.
    pub liveness_changed_ms: u64,
    /// Remaining sends of the record.
    pub(super) update: Update,
    /// Number of pings sent to the member about the present suspicion.
    suspect_ping_count: usize,
    /// Its contribution to the table's hash.
    hash: u64,
}

/// Effect of merging a record into the table.
#[derives::key]
pub enum Merge {
    /// None: the record is not newer.
    Unchanged,
    /// First record of this member, or the member returned.
    Joined,
    /// The member's liveness changed to this.
    LivenessChanged(Liveness),
    /// Other fields changed.
    Updated,
}

/// All known members except the node itself.
///
/// The indexes beside the entries keep the cost of a tick and of a packet
/// independent of the number of members.
#[derive(Debug)]
pub struct MemberTable {
    pub(super) own_id: String,
    pub(super) own_zone: String,
    pub(super) share: UpdateShare,
    pub(super) entries: Arena<MemberKey, Entry>,
    keys: HashMap<String, MemberKey>,
    /// Members in the form of the view, sorted by node id.
    members: Vec<Arc<Member>>,
    pub(super) zones: ZoneIndex,
    suspects: BTreeSet<MemberKey>,
    /// Dead and departed members, by the time of that change.
    gone: BTreeSet<(u64, MemberKey)>,
    pub(super) same_zone_updates: UpdateQueue,
    pub(super) other_zone_updates: UpdateQueue,
    /// Sum of the hashes of the entries that are not dead or left.
    hash: u64,
    is_view_outdated: bool,
}

impl MemberTable {
    /// Creates an empty table for the node with this record.
    #[must_use]
    pub fn new(own_record: &Record) -> Self {
        Self {
            own_id: own_record.node_id.clone(),
            own_zone: own_record.zone.clone(),
            share: UpdateShare::new(1, 1, 1),
            entries: Arena::new(),
            keys: HashMap::new(),
            members: Vec::new(),
            zones: ZoneIndex::default(),
            suspects: BTreeSet::new(),
            gone: BTreeSet::new(),
            same_zone_updates: UpdateQueue::default(),
            other_zone_updates: UpdateQueue::default(),
            hash: 0,
            // The first view contains the node itself.
            is_view_outdated: true,
        }
    }

    /// Merges a record received by gossip and schedules it to be sent as an
    /// update.
    pub fn merge(&mut self, record: &Record, now_ms: u64) -> Merge {
        self.merge_with(record, false, now_ms)
    }

    /// Merges a record received in a table sync. Most other members already
    /// know a member that is new here, so its record is sent only once.
    pub fn merge_synced(&mut self, record: &Record, now_ms: u64) -> Merge {
        self.merge_with(record, true, now_ms)
    }

    fn merge_with(&mut self, record: &Record, is_synced: bool, now_ms: u64) -> Merge {
        let Some(key) = self.key(&record.node_id) else {
            return self.insert(record, is_synced, now_ms);
        };
        let entry = self.entries.get(key).expect("keys point to entries");
        if !record.supersedes(&entry.record) {
            return Merge::Unchanged;
        }
        let previous_liveness = entry.record.liveness;
        self.replace_record(key, record.clone(), now_ms);
        if previous_liveness == record.liveness {
            Merge::Updated
        } else if previous_liveness > Liveness::Suspect && record.liveness <= Liveness::Suspect {
            Merge::Joined
        } else {
            Merge::LivenessChanged(record.liveness)
        }
    }

    fn insert(&mut self, record: &Record, is_synced: bool, now_ms: u64) -> Merge {
        let key = self.entries.insert(Entry {
            record: record.clone(),
            liveness_changed_ms: now_ms,
            update: Update::from_sync(),
            suspect_ping_count: 0,
            hash: 0,
        });
        self.keys.insert(record.node_id.clone(), key);
        self.add_to_indexes(key);
        let update = match is_synced {
            true => Update::from_sync(),
            false => self.new_update(key, Rank::Join),
        };
        self.queue_update(key, update);
        if record.liveness <= Liveness::Suspect {
            Merge::Joined
        } else {
            Merge::LivenessChanged(record.liveness)
        }
    }

    /// Replaces the record of a known member and schedules it as an update.
    fn replace_record(&mut self, key: MemberKey, record: Record, now_ms: u64) {
        self.remove_from_indexes(key);
        let entry = self.entries.get_mut(key).expect("the member is known");
        let previous = std::mem::replace(&mut entry.record, record);
        if previous.liveness != entry.record.liveness {
            entry.liveness_changed_ms = now_ms;
            entry.suspect_ping_count = 0;
        }
        let rank = Rank::of_change(&previous, &entry.record);
        self.add_to_indexes(key);
        self.unqueue_update(key);
        self.queue_update(key, self.new_update(key, rank));
    }

    fn add_to_indexes(&mut self, key: MemberKey) {
        let entry = self.entries.get_mut(key).expect("the member is known");
        let record = &entry.record;
        entry.hash = present_hash(record);
        self.hash = self.hash.wrapping_add(entry.hash);
        self.is_view_outdated = true;
        let member = Arc::new(record.to_member());
        match index_of(&self.members, &record.node_id) {
            Ok(index) => self.members[index] = member,
            Err(index) => self.members.insert(index, member),
        }
        if record.liveness > Liveness::Suspect {
            self.gone.insert((entry.liveness_changed_ms, key));
            return;
        }
        if record.liveness == Liveness::Suspect {
            self.suspects.insert(key);
        }
        let is_new_zone = self.zones.insert(&record.zone, key);
        self.update_share();
        if is_new_zone {
            self.requeue_unsent_updates();
        }
    }

    fn remove_from_indexes(&mut self, key: MemberKey) {
        let entry = self.entries.get(key).expect("the member is known");
        self.hash = self.hash.wrapping_sub(entry.hash);
        self.suspects.remove(&key);
        if entry.record.liveness > Liveness::Suspect {
            self.gone.remove(&(entry.liveness_changed_ms, key));
        } else {
            self.zones.remove(&entry.record.zone, key);
        }
    }

    /// Marks a member as suspected; returns whether it was alive before.
    pub fn suspect(&mut self, key: MemberKey, now_ms: u64) -> bool {
        let alive = self.get(key).map(|entry| &entry.record);
        let alive = alive.filter(|record| record.liveness == Liveness::Alive);
        let Some(record) = alive.cloned() else {
            return false;
        };
        let suspected = Record {
            liveness: Liveness::Suspect,
            ..record
        };
        self.replace_record(key, suspected, now_ms);
        true
    }

    /// Suspected members that should be pinged now.
    pub fn suspects_to_ping(&mut self, now_ms: u64) -> Vec<MemberKey> {
        let mut due = Vec::new();
        for key in &self.suspects {
            let entry = self.entries.get_mut(*key).expect("suspects are members");
            let age_ms = now_ms.saturating_sub(entry.liveness_changed_ms);
            let is_due = SUSPECT_PING_AGES_MS
                .get(entry.suspect_ping_count)
                .is_some_and(|ping_age_ms| age_ms >= *ping_age_ms);
            if is_due {
                entry.suspect_ping_count += 1;
                due.push(*key);
            }
        }
        due
    }

    /// Declares suspected members dead that did not refute in time, and drops
    /// expired tombstones; returns the node ids of the newly dead.
    pub fn tick(&mut self, now_ms: u64) -> Vec<String> {
        let overdue: Vec<(MemberKey, Record)> = self
            .suspects
            .iter()
            .filter_map(|key| Some((*key, self.entries.get(*key)?)))
            .filter(|(_, entry)| now_ms.saturating_sub(entry.liveness_changed_ms) >= SUSPICION_MS)
            .map(|(key, entry)| (key, entry.record.clone()))
            .collect();
        let mut dead = Vec::with_capacity(overdue.len());
        for (key, record) in overdue {
            dead.push(record.node_id.clone());
            let record = Record {
                liveness: Liveness::Dead,
                ..record
            };
            self.replace_record(key, record, now_ms);
        }
        while let Some((changed_ms, key)) = self.gone.first().copied()
            && now_ms.saturating_sub(changed_ms) >= TOMBSTONE_MS
        {
            self.remove(key);
        }
        dead
    }

    fn remove(&mut self, key: MemberKey) {
        self.unqueue_update(key);
        self.remove_from_indexes(key);
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.keys.remove(&entry.record.node_id);
        if let Ok(index) = index_of(&self.members, &entry.record.node_id) {
            self.members.remove(index);
        }
        self.is_view_outdated = true;
    }

    /// Scope of packets to a member in this availability zone.
    #[must_use]
    pub fn scope_of(&self, zone: &str) -> Scope {
        match zone == self.own_zone {
            true => Scope::SameZone,
            false => Scope::OtherZone,
        }
    }

    /// The entry with this key.
    #[must_use]
    pub fn get(&self, key: MemberKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// The key of the member with this node id.
    #[must_use]
    pub fn key(&self, node_id: &str) -> Option<MemberKey> {
        self.keys.get(node_id).copied()
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &Entry)> {
        self.entries.iter()
    }

    /// Members that are alive or suspected, by zone.
    #[must_use]
    pub const fn zones(&self) -> &ZoneIndex {
        &self.zones
    }

    /// Dead and departed members.
    pub fn gone(&self) -> impl Iterator<Item = (MemberKey, &Entry)> {
        let keys = self.gone.iter().map(|(_, key)| *key);
        keys.filter_map(|key| Some((key, self.entries.get(key)?)))
    }

    /// Sum of the hashes of the records that are not dead or left, including
    /// the node's own; equal tables have equal sums.
    #[must_use]
    pub fn hash(&self, own_record: &Record) -> u64 {
        self.hash.wrapping_add(present_hash(own_record))
    }

    /// The view for other modules if anything changed since the last call.
    pub fn take_view(&mut self, own_record: &Record) -> Option<View> {
        if !std::mem::take(&mut self.is_view_outdated) {
            return None;
        }
        let mut members = Vec::with_capacity(self.members.len() + 1);
        members.extend_from_slice(&self.members);
        let own_index = index_of(&members, &own_record.node_id);
        let own_index = own_index.unwrap_or_else(|index| index);
        members.insert(own_index, Arc::new(own_record.to_member()));
        Some(View::from_sorted(members))
    }

    /// Makes the next `take_view` return a view in any case.
    pub const fn mark_view_outdated(&mut self) {
        self.is_view_outdated = true;
    }
}

/// Position of a member, or where it has to be inserted.
fn index_of(members: &[Arc<Member>], node_id: &str) -> Result<usize, usize> {
    members.binary_search_by(|member| member.node_id.as_str().cmp(node_id))
}

/// Hash of a record without its liveness, which often differs between nodes for
/// a moment; 0 for dead and departed members.
fn present_hash(record: &Record) -> u64 {
    if record.liveness > Liveness::Suspect {
        return 0;
    }
    let mut hasher = Xxh3::new();
    let fields = (
        (&record.node_id, record.ip, record.ports),
        (&record.region, &record.zone),
        (record.started_unix_ms, record.incarnation),
        (record.draining, &record.target),
    );
    fields.hash(&mut hasher);
    hasher.finish()
}
