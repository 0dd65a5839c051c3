//! Records of all known members and the news about them that is passed on.

use {
    super::{
        Liveness, Member, Record, View,
        news::{News, NewsShare, Reach},
    },
    crate::{arena::Arena, arena_key},
    std::{
        collections::{HashMap, HashSet},
        hash::{Hash, Hasher},
    },
    xxhash_rust::xxh3::Xxh3,
};

arena_key! {
    /// A member in the table.
    MemberKey
}

/// How long a suspected member may refute before it is taken for dead.
pub const SUSPICION_MS: u64 = 3000;

/// Times after the begin of a suspicion at which the member itself is asked.
const DOUBT_ASKED_MS: [u64; 3] = [1000, 2000, 2600];

/// How long the records of gone members are kept. A record that is dropped
/// too early would come back as alive from a node that has not heard of the
/// death; callers would then see time outs until it is suspected anew.
pub const TOMBSTONE_MS: u64 = 600_000;

/// A record with what this node keeps beside it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// What gossip carries.
    pub record: Record,
    /// When the liveness last changed here.
    pub changed_ms: u64,
    /// How often the record may still be passed on.
    news: News,
    /// How often the member was asked about the present suspicion.
    doubt_count: usize,
    /// Its part of the table's hash.
    hash: u64,
}

/// Whether a merged record changed the table.
#[derives::key]
pub enum Merge {
    /// Nothing new.
    Known,
    /// First record of this member, or it came back.
    Joined,
    /// The member's liveness became this.
    Became(Liveness),
    /// Other fields changed.
    Updated,
}

/// All known members but the node itself.
#[derive(Debug)]
pub struct MemberTable {
    own_id: String,
    own_zone: String,
    share: NewsShare,
    entries: Arena<MemberKey, Entry>,
    keys: HashMap<String, MemberKey>,
    /// Sum of the hashes of the entries that are not gone.
    hash: u64,
    changed: bool,
}

impl MemberTable {
    /// An empty table of the node with this record.
    #[must_use]
    pub fn new(own: &Record) -> Self {
        Self {
            own_id: own.node_id.clone(),
            own_zone: own.zone.clone(),
            share: NewsShare::new(1, 1, 1),
            entries: Arena::new(),
            keys: HashMap::new(),
            hash: 0,
            // The first view tells of the node itself.
            changed: true,
        }
    }

    /// Takes in what gossip says about a member, to be passed on as news.
    pub fn merge(&mut self, record: &Record, now_ms: u64) -> Merge {
        self.merge_with(record, now_ms, self.news_of(record))
    }

    /// Takes in a record of a whole table. A member that is new here is hardly
    /// news to the others and is passed on once.
    pub fn merge_synced(&mut self, record: &Record, now_ms: u64) -> Merge {
        match self.keys.contains_key(&record.node_id) {
            true => self.merge(record, now_ms),
            false => self.merge_with(record, now_ms, News::synced()),
        }
    }

    fn merge_with(&mut self, record: &Record, now_ms: u64, news: News) -> Merge {
        let Some(key) = self.keys.get(&record.node_id) else {
            return self.insert(record, now_ms, news);
        };
        let entry = self.entries.get_mut(*key).expect("keys point to entries");
        if !record.supersedes(&entry.record) {
            return Merge::Known;
        }
        let before = entry.record.liveness;
        entry.record = record.clone();
        entry.news = news;
        self.hash = self.hash.wrapping_sub(entry.hash);
        entry.hash = present_hash(record);
        self.hash = self.hash.wrapping_add(entry.hash);
        self.changed = true;
        if before == record.liveness {
            return Merge::Updated;
        }
        entry.changed_ms = now_ms;
        entry.doubt_count = 0;
        let came_back = before > Liveness::Suspect && record.liveness <= Liveness::Suspect;
        if came_back {
            Merge::Joined
        } else {
            Merge::Became(record.liveness)
        }
    }

    fn insert(&mut self, record: &Record, now_ms: u64, news: News) -> Merge {
        let hash = present_hash(record);
        let entry = Entry {
            record: record.clone(),
            changed_ms: now_ms,
            news,
            doubt_count: 0,
            hash,
        };
        self.hash = self.hash.wrapping_add(hash);
        let key = self.entries.insert(entry);
        self.keys.insert(record.node_id.clone(), key);
        self.changed = true;
        if record.liveness <= Liveness::Suspect {
            Merge::Joined
        } else {
            Merge::Became(record.liveness)
        }
    }

    /// Marks a member as suspected; tells whether it was alive before.
    pub fn suspect(&mut self, key: MemberKey, now_ms: u64) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        if entry.record.liveness != Liveness::Alive {
            return false;
        }
        entry.record.liveness = Liveness::Suspect;
        entry.changed_ms = now_ms;
        entry.doubt_count = 0;
        entry.news = News::heard(&entry.record, &self.own_id, &self.share);
        self.changed = true;
        true
    }

    /// Suspected members that are to be asked now about the suspicion.
    pub fn due_suspects(&mut self, now_ms: u64) -> Vec<MemberKey> {
        let mut due = Vec::new();
        for (key, entry) in self.entries.iter_mut() {
            let age_ms = now_ms.saturating_sub(entry.changed_ms);
            let is_due = DOUBT_ASKED_MS
                .get(entry.doubt_count)
                .is_some_and(|at_ms| age_ms >= *at_ms);
            if entry.record.liveness == Liveness::Suspect && is_due {
                entry.doubt_count += 1;
                due.push(key);
            }
        }
        due
    }

    /// Takes suspected members that did not refute for dead and drops old
    /// tombstones; returns the node ids of those newly dead.
    pub fn tick(&mut self, now_ms: u64) -> Vec<String> {
        let mut dead = Vec::new();
        let mut expired = Vec::new();
        for (key, entry) in self.entries.iter_mut() {
            let age_ms = now_ms.saturating_sub(entry.changed_ms);
            match entry.record.liveness {
                Liveness::Suspect if age_ms >= SUSPICION_MS => {
                    entry.record.liveness = Liveness::Dead;
                    entry.changed_ms = now_ms;
                    entry.news = News::heard(&entry.record, &self.own_id, &self.share);
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
                self.changed = true;
            }
        }
        self.changed |= !dead.is_empty();
        dead
    }

    /// Whether there is news that should be passed on at once.
    #[must_use]
    pub fn has_fresh_news(&self, reach: Reach) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|(_, entry)| entry.news.is_fresh(reach, &self.share))
    }

    /// Up to `limit` pieces of news, those sent least often first.
    pub fn take_news(&mut self, limit: usize, reach: Reach) -> Vec<Record> {
        let mut news: Vec<(u32, MemberKey)> = self
            .entries
            .iter()
            .map(|(key, entry)| (entry.news.sends_left(reach, &self.share), key))
            .filter(|(sends_left, _)| *sends_left > 0)
            .collect();
        news.sort_unstable_by(|left, right| right.cmp(left));
        news.truncate(limit);
        let mut records = Vec::with_capacity(news.len());
        for (_, key) in news {
            let entry = self.entries.get_mut(key).expect("key comes from the table");
            entry.news.sent(reach);
            records.push(entry.record.clone());
        }
        records
    }

    /// Whether a member is in the availability zone of this node.
    #[must_use]
    pub fn reach(&self, zone: &str) -> Reach {
        match zone == self.own_zone {
            true => Reach::Near,
            false => Reach::Far,
        }
    }

    /// The entry of a member.
    #[must_use]
    pub fn get(&self, key: MemberKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// The key of a member.
    #[must_use]
    pub fn key(&self, node_id: &str) -> Option<MemberKey> {
        self.keys.get(node_id).copied()
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &Entry)> {
        self.entries.iter()
    }

    /// Sum of the hashes of the records that are not gone, the node's own
    /// included; equal tables have equal sums.
    #[must_use]
    pub fn hash(&self, own: &Record) -> u64 {
        self.hash.wrapping_add(present_hash(own))
    }

    /// The view for other parts if anything changed since the last call.
    pub fn take_view(&mut self, own: &Record) -> Option<View> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let mut members: Vec<_> = self
            .entries
            .iter()
            .map(|(_, entry)| entry.record.to_member())
            .collect();
        members.push(own.to_member());
        members.sort_by(|left, right| left.node_id.cmp(&right.node_id));
        self.share = self.share_among(&members);
        Some(View { members })
    }

    /// Has the next `take_view` give a view in any case.
    pub const fn mark_changed(&mut self) {
        self.changed = true;
    }

    fn news_of(&self, record: &Record) -> News {
        News::heard(record, &self.own_id, &self.share)
    }

    fn share_among(&self, members: &[Member]) -> NewsShare {
        let usable = || members.iter().filter(|member| member.is_usable());
        let near = usable().filter(|member| member.zone == self.own_zone);
        let zones: HashSet<&str> = usable().map(|member| member.zone.as_str()).collect();
        NewsShare::new(usable().count(), near.count(), zones.len())
    }
}

/// Hash of a record without its liveness, which differs for moments all the
/// time; 0 for members that are gone.
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
