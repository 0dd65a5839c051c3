//! The home's table of idempotency keys.

use {
    super::{Begin, Finish, GuardKey, Handover, SliceExport, SliceRecord, StoredAnswer},
    crate::{
        freshness::Freshness,
        model::{Reason, Refusal},
        slices::{SLICE_COUNT, SliceIndex},
    },
    std::collections::{BTreeMap, HashMap},
};

/// How long a key and its answer are kept.
pub const RETENTION_MS: u64 = 10 * 60 * 1000;

/// Greatest difference of wall clocks, between nodes and of callers that are
/// ahead, that is allowed for.
pub const CLOCK_MARGIN_MS: u64 = 2000;

/// Keys that a home keeps at most; further ones are refused, never forgotten
/// early.
pub const MAX_RECORD_COUNT: usize = 20_000;

/// Bytes of kept answers; beyond it an answer is forgotten, its key is not.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// When to come back while the first send is being executed.
const IN_PROGRESS_RETRY_MS: u32 = 200;

/// When to come back to a home that is full or not sure.
const HOME_RETRY_MS: u32 = 1000;

/// Time as the guard needs it.
#[derives::key]
pub struct GuardTime {
    /// Monotonic time of this process.
    pub now_ms: u64,
    /// Wall clock, compared with the time in UUIDv7 keys.
    pub unix_ms: u64,
}

/// A keyed request as its home sees it.
#[derives::key]
pub struct KeyedRequest {
    /// Workspace and key.
    pub key: GuardKey,
    /// When the key was made, if it is a UUIDv7.
    pub made_unix_ms: Option<u64>,
    /// Hash of method, path and body: tells a resend from a key that was used
    /// for something else.
    pub fingerprint: u64,
}

/// What this home knows of a slice's past.
#[derives::key]
pub struct History {
    /// Version of the slice table by which the slice came here.
    pub since_version: u64,
    /// Every execution since this wall-clock time is known; 0 when nothing
    /// ever ran elsewhere.
    pub known_since_unix_ms: u64,
}

/// A slice that this home holds.
#[derives::key]
struct Held {
    history: History,
    /// No copy of its keys has come from the earlier home so far.
    awaits_handover: bool,
}

#[derives::value]
enum State {
    InProgress,
    Answered(StoredAnswer),
    /// It may have run, or the answer was not kept.
    Unknown,
}

#[derives::value]
struct Record {
    fingerprint: u64,
    state: State,
    keep_until_ms: u64,
    serial: u64,
}

/// Table of keys at their home; no I/O, no clock.
#[derive(Debug)]
pub struct GuardTable {
    started_unix_ms: u64,
    held: HashMap<SliceIndex, Held>,
    /// Table versions by which slices had come here when they were released.
    released: HashMap<SliceIndex, u64>,
    records: HashMap<GuardKey, Record>,
    /// Records in the order in which they expire; `serial` parts equal times.
    expiry: BTreeMap<(u64, u64), GuardKey>,
    answer_bytes: usize,
    next_serial: u64,
    max_record_count: usize,
}

impl GuardTable {
    /// A table that holds no slice, of the process that started then.
    #[must_use]
    pub fn new(started_unix_ms: u64) -> Self {
        Self {
            started_unix_ms,
            held: HashMap::new(),
            released: HashMap::new(),
            records: HashMap::new(),
            expiry: BTreeMap::new(),
            answer_bytes: 0,
            next_serial: 0,
            max_record_count: MAX_RECORD_COUNT,
        }
    }

    /// Keeps at most this many keys.
    #[must_use]
    pub const fn with_max_record_count(mut self, max_record_count: usize) -> Self {
        self.max_record_count = max_record_count;
        self
    }

    /// Begins to hold a slice with what is known of its past.
    pub fn hold(&mut self, slice: SliceIndex, history: History) {
        let released = self.released.get(&slice);
        let awaits_handover = released.is_none_or(|version| *version < history.since_version);
        let held = Held {
            history,
            awaits_handover,
        };
        self.held.insert(slice, held);
    }

    /// What is known of a held slice's past.
    #[must_use]
    pub fn history(&self, slice: SliceIndex) -> Option<History> {
        self.held.get(&slice).map(|held| held.history)
    }

    /// Slices that are held, in no order.
    pub fn held(&self) -> impl Iterator<Item = SliceIndex> {
        self.held.keys().copied()
    }

    /// Stops holding a slice and takes out its keys, for its next home.
    ///
    /// From here on the slice is not used, whatever becomes of the write.
    pub fn release(&mut self, slice: SliceIndex, time: GuardTime) -> Option<SliceExport> {
        let history = self.held.remove(&slice)?.history;
        self.released.insert(slice, history.since_version);
        let keys = self.records.keys().copied();
        let keys: Vec<GuardKey> = keys.filter(|key| key.slice() == slice).collect();
        let mut records = Vec::with_capacity(keys.len());
        for key in keys {
            if let Some(record) = self.remove(key) {
                records.push(export_record(key, record, time.now_ms));
            }
        }
        Some(SliceExport {
            slice,
            history,
            records,
        })
    }

    /// Holds a released slice again after the table turned out not to have
    /// moved it: its owner since `history.since_version` is still this node.
    pub fn restore(&mut self, export: SliceExport, time: GuardTime) {
        self.hold(export.slice, export.history);
        for record in export.records {
            self.import_record(record, time);
        }
    }

    /// Takes in the keys of a slice that was given up in favour of this
    /// process; false when the copy is of no use.
    ///
    /// A copy that arrives late would claim a past that this home does not
    /// know: after the slice went away and came back, after this node
    /// restarted and forgot what it ran itself, after an earlier copy. An
    /// order could run twice. So a copy counts once, for the move that it
    /// belongs to and for the process that lived before that move.
    pub fn import(&mut self, handover: Handover, time: GuardTime) -> bool {
        let Handover { export, .. } = handover;
        let Some(held) = self.held.get_mut(&export.slice) else {
            return false;
        };
        let is_meant = handover.to_started_unix_ms == self.started_unix_ms
            && held.history.since_version == handover.moved_by_version;
        if !is_meant || !held.awaits_handover {
            return false;
        }
        held.awaits_handover = false;
        let known_since = &mut held.history.known_since_unix_ms;
        *known_since = (*known_since).min(export.history.known_since_unix_ms);
        for record in export.records {
            self.import_record(record, time);
        }
        true
    }

    /// Decides on a keyed request.
    ///
    /// What is recorded is answered in every freshness state, since it is
    /// true anyway. Only an execution needs the certainty to be the home.
    pub fn begin(
        &mut self,
        request: &KeyedRequest,
        time: GuardTime,
        freshness: Freshness,
    ) -> Begin {
        let Some(history) = self.history(request.key.slice()) else {
            return Begin::Refuse(no_home());
        };
        if let Some(record) = self.records.get(&request.key) {
            return known(record, request.fingerprint);
        }
        if freshness == Freshness::CutOff {
            return Begin::Refuse(no_home());
        }
        if let Some(refusal) = history_refusal(request, history, time) {
            return Begin::Refuse(refusal);
        }
        if self.records.len() >= self.max_record_count {
            let refusal = Refusal::not_run(Reason::Overloaded);
            return Begin::Refuse(refusal.with_retry_after_ms(HOME_RETRY_MS));
        }
        let keep_until_ms = time.now_ms + RETENTION_MS;
        self.insert(
            request.key,
            request.fingerprint,
            State::InProgress,
            keep_until_ms,
        );
        Begin::Execute
    }

    /// Records how an execution ended.
    ///
    /// A key whose slice went to another home meanwhile is left alone: it
    /// went along as unknown.
    pub fn finish(&mut self, key: GuardKey, finish: Finish, time: GuardTime) {
        let Some(record) = self.remove(key) else {
            return;
        };
        let keep_until_ms = time.now_ms + RETENTION_MS;
        let state = match finish {
            Finish::NotRun => return,
            Finish::Answered(answer) => self.answered(answer),
            Finish::Unknown => State::Unknown,
        };
        self.insert(key, record.fingerprint, state, keep_until_ms);
    }

    /// Forgets keys past their retention; a system per tick.
    ///
    /// An execution that never ended is kept as unknown for another term.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some((&(keep_until_ms, _), &key)) = self.expiry.first_key_value() {
            if keep_until_ms > now_ms {
                return;
            }
            let Some(record) = self.remove(key) else {
                return;
            };
            if matches!(record.state, State::InProgress) {
                let fingerprint = record.fingerprint;
                self.insert(key, fingerprint, State::Unknown, now_ms + RETENTION_MS);
            }
        }
    }

    /// Number of keys kept.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Bytes of kept answers.
    #[must_use]
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    fn answered(&self, answer: StoredAnswer) -> State {
        if self.answer_bytes + answer.byte_count() > MAX_ANSWER_BYTES {
            State::Unknown
        } else {
            State::Answered(answer)
        }
    }

    fn import_record(&mut self, record: SliceRecord, time: GuardTime) {
        if self.records.contains_key(&record.key) {
            return;
        }
        let state = match record.answer {
            Some(answer) => self.answered(answer),
            None => State::Unknown,
        };
        let keep_until_ms = time.now_ms + record.keep_for_ms;
        self.insert(record.key, record.fingerprint, state, keep_until_ms);
    }

    fn insert(&mut self, key: GuardKey, fingerprint: u64, state: State, keep_until_ms: u64) {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.answer_bytes += state_bytes(&state);
        self.expiry.insert((keep_until_ms, serial), key);
        let record = Record {
            fingerprint,
            state,
            keep_until_ms,
            serial,
        };
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: GuardKey) -> Option<Record> {
        let record = self.records.remove(&key)?;
        self.expiry.remove(&(record.keep_until_ms, record.serial));
        self.answer_bytes -= state_bytes(&record.state);
        Some(record)
    }
}

impl GuardKey {
    /// Slice whose owner is the key's home.
    #[must_use]
    pub const fn slice(&self) -> SliceIndex {
        // The modulus is below 2^16.
        SliceIndex::new((self.key_hash % SLICE_COUNT as u128) as u16)
    }
}

fn known(record: &Record, fingerprint: u64) -> Begin {
    if record.fingerprint != fingerprint {
        return Begin::Refuse(Refusal::not_run(Reason::KeyReused).with_exhausted());
    }
    match &record.state {
        State::Answered(answer) => Begin::Replay(answer.clone()),
        State::Unknown => Begin::Refuse(Refusal::unknown(Reason::EarlierUnknown)),
        State::InProgress => {
            let refusal = Refusal::unknown(Reason::InProgress);
            Begin::Refuse(refusal.with_retry_after_ms(IN_PROGRESS_RETRY_MS))
        }
    }
}

/// Whether the key may have run at an earlier home, or here before what was
/// kept of it was forgotten.
fn history_refusal(request: &KeyedRequest, history: History, time: GuardTime) -> Option<Refusal> {
    let unsure = Refusal::unknown(Reason::NoHome);
    let Some(made_unix_ms) = request.made_unix_ms else {
        let sure_from = history.known_since_unix_ms + RETENTION_MS;
        let is_sure = history.known_since_unix_ms == 0 || time.unix_ms >= sure_from;
        return (!is_sure).then_some(unsure);
    };
    // A key from the future would look new to a later home although it ran
    // here. It is refused before anything runs, at every home alike.
    if made_unix_ms > time.unix_ms + CLOCK_MARGIN_MS {
        return Some(Refusal::not_run(Reason::BadRequest));
    }
    // An earlier home may have run it up to a margin before the key's own
    // time, and its clock may differ from this one's by another margin.
    let ran_elsewhere = history.known_since_unix_ms > 0
        && made_unix_ms <= history.known_since_unix_ms + 2 * CLOCK_MARGIN_MS;
    let forgotten = made_unix_ms + RETENTION_MS <= time.unix_ms + 2 * CLOCK_MARGIN_MS;
    (ran_elsewhere || forgotten).then_some(unsure)
}

const fn no_home() -> Refusal {
    Refusal::not_run(Reason::NoHome).with_retry_after_ms(HOME_RETRY_MS)
}

fn export_record(key: GuardKey, record: Record, now_ms: u64) -> SliceRecord {
    let answer = match record.state {
        State::Answered(answer) => Some(answer),
        // Its end will be known here only, and a resend there must not run.
        State::InProgress | State::Unknown => None,
    };
    SliceRecord {
        key,
        fingerprint: record.fingerprint,
        answer,
        keep_for_ms: record.keep_until_ms.saturating_sub(now_ms),
    }
}

fn state_bytes(state: &State) -> usize {
    match state {
        State::Answered(answer) => answer.byte_count(),
        State::InProgress | State::Unknown => 0,
    }
}
