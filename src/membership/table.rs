//! Table of all known members and of the updates about them to be sent.

use {
    super::{
        Liveness, Member, Record, View,
        updates::{Scope, Update, UpdateShare},
    },
    crate::{arena::Arena, arena_key},
    std::{
        collections::{HashMap, HashSet},
        hash::{Hash, Hasher},
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
    update: Update,
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
#[derive(Debug)]
pub struct MemberTable {
    own_id: String,
    own_zone: String,
    share: UpdateShare,
    entries: Arena<MemberKey, Entry>,
    keys: HashMap<String, MemberKey>,
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
            hash: 0,
            // The first view contains the node itself.
            is_view_outdated: true,
        }
    }

    /// Merges a record received by gossip and schedules it to be sent as an
    /// update.
    pub fn merge(&mut self, record: &Record, now_ms: u64) -> Merge {
        self.merge_with(record, now_ms, self.update_for(record))
    }

    /// Merges a record received in a table sync. Most other members already
    /// know a member that is new here, so its record is sent only once.
    pub fn merge_synced(&mut self, record: &Record, now_ms: u64) -> Merge {
        match self.keys.contains_key(&record.node_id) {
            true => self.merge(record, now_ms),
            false => self.merge_with(record, now_ms, Update::from_sync()),
        }
    }

    fn merge_with(&mut self, record: &Record, now_ms: u64, update: Update) -> Merge {
        let Some(key) = self.keys.get(&record.node_id) else {
            return self.insert(record, now_ms, update);
        };
        let entry = self.entries.get_mut(*key).expect("keys point to entries");
        if !record.supersedes(&entry.record) {
            return Merge::Unchanged;
        }
        let previous_liveness = entry.record.liveness;
        entry.record = record.clone();
        entry.update = update;
        self.hash = self.hash.wrapping_sub(entry.hash);
        entry.hash = present_hash(record);
        self.hash = self.hash.wrapping_add(entry.hash);
        self.is_view_outdated = true;
        if previous_liveness == record.liveness {
            return Merge::Updated;
        }
        entry.liveness_changed_ms = now_ms;
        entry.suspect_ping_count = 0;
        let has_returned =
            previous_liveness > Liveness::Suspect && record.liveness <= Liveness::Suspect;
        if has_returned {
            Merge::Joined
        } else {
            Merge::LivenessChanged(record.liveness)
        }
    }

    fn insert(&mut self, record: &Record, now_ms: u64, update: Update) -> Merge {
        let hash = present_hash(record);
        let entry = Entry {
            record: record.clone(),
            liveness_changed_ms: now_ms,
            update,
            suspect_ping_count: 0,
            hash,
        };
        self.hash = self.hash.wrapping_add(hash);
        let key = self.entries.insert(entry);
        self.keys.insert(record.node_id.clone(), key);
        self.is_view_outdated = true;
        if record.liveness <= Liveness::Suspect {
            Merge::Joined
        } else {
            Merge::LivenessChanged(record.liveness)
        }
    }

    /// Marks a member as suspected; returns whether it was alive before.
    pub fn suspect(&mut self, key: MemberKey, now_ms: u64) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        if entry.record.liveness != Liveness::Alive {
            return false;
        }
        entry.record.liveness = Liveness::Suspect;
        entry.liveness_changed_ms = now_ms;
        entry.suspect_ping_count = 0;
        entry.update = Update::new(&entry.record, &self.own_id, &self.share);
        self.is_view_outdated = true;
        true
    }

    /// Suspected members that should be pinged now.
    pub fn suspects_to_ping(&mut self, now_ms: u64) -> Vec<MemberKey> {
        let mut due = Vec::new();
        for (key, entry) in self.entries.iter_mut() {
            let age_ms = now_ms.saturating_sub(entry.liveness_changed_ms);
            let is_due = SUSPECT_PING_AGES_MS
                .get(entry.suspect_ping_count)
                .is_some_and(|ping_age_ms| age_ms >= *ping_age_ms);
            if entry.record.liveness == Liveness::Suspect && is_due {
                entry.suspect_ping_count += 1;
                due.push(key);
            }
        }
        due
    }

    /// Declares suspected members dead that did not refute in time, and drops
    /// expired tombstones; returns the node ids of the newly dead.
    pub fn tick(&mut self, now_ms: u64) -> Vec<String> {
        let mut dead = Vec::new();
        let mut expired = Vec::new();
        for (key, entry) in self.entries.iter_mut() {
            let age_ms = now_ms.saturating_sub(entry.liveness_changed_ms);
            match entry.record.liveness {
                Liveness::Suspect if age_ms >= SUSPICION_MS => {
                    entry.record.liveness = Liveness::Dead;
                    entry.liveness_changed_ms = now_ms;
                    entry.update = Update::new(&entry.record, &self.own_id, &self.share);
                    self.hash = self.hash.wrapping_sub(entry.hash);
                    entry.hash = 0;
                    dead.push(entry.record.node_id.clone());
                }
                Liveness::Dead | Liveness::Left if age_ms >= TOMBSTONE_MS => expired.push(key),
                _ => {}
            }
        }
        for key in expired {
            if let Some(entry) = self.entries.remove(key) {
                self.keys.remove(&entry.record.node_id);
                self.is_view_outdated = true;
            }
        }
        self.is_view_outdated |= !dead.is_empty();
        dead
    }

    /// Whether any update should be sent at once.
    #[must_use]
    pub fn has_urgent_updates(&self, scope: Scope) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|(_, entry)| entry.update.is_urgent(scope, &self.share))
    }

    /// Takes up to `limit` records to send, those sent least often first, and
    /// counts the send.
    pub fn take_updates(&mut self, limit: usize, scope: Scope) -> Vec<Record> {
        let mut candidates: Vec<(u32, MemberKey)> = self
            .entries
            .iter()
            .map(|(key, entry)| (entry.update.sends_left(scope, &self.share), key))
            .filter(|(sends_left, _)| *sends_left > 0)
            .collect();
        candidates.sort_unstable_by(|left, right| right.cmp(left));
        candidates.truncate(limit);
        let mut records = Vec::with_capacity(candidates.len());
        for (_, key) in candidates {
            let entry = self.entries.get_mut(key).expect("key comes from the table");
            entry.update.record_send(scope);
            records.push(entry.record.clone());
        }
        records
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
        let mut members: Vec<_> = self
            .entries
            .iter()
            .map(|(_, entry)| entry.record.to_member())
            .collect();
        members.push(own_record.to_member());
        members.sort_by(|left, right| left.node_id.cmp(&right.node_id));
        self.share = self.share_for(&members);
        Some(View { members })
    }

    /// Makes the next `take_view` return a view in any case.
    pub const fn mark_view_outdated(&mut self) {
        self.is_view_outdated = true;
    }

    fn update_for(&self, record: &Record) -> Update {
        Update::new(record, &self.own_id, &self.share)
    }

    fn share_for(&self, members: &[Member]) -> UpdateShare {
        let usable = || members.iter().filter(|member| member.is_usable());
        let same_zone = usable().filter(|member| member.zone == self.own_zone);
        let zones: HashSet<&str> = usable().map(|member| member.zone.as_str()).collect();
        UpdateShare::new(usable().count(), same_zone.count(), zones.len())
    }
}

/// Hash of a record without its liveness, which often differs between nodes for
/// a moment; 0 for dead and departed members.
fn present_hash(record: &Record) -> u64 {
    if record.liveness > Liveness::Suspect {
        return 0;
    }
    let mut hasher = Xxh3::new();
    let comparable = Record {
        liveness: Liveness::Alive,
        ..record.clone()
    };
    comparable.hash(&mut hasher);
    hasher.finish()
}
