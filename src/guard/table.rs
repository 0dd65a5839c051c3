//! Table of idempotency keys at their home: executions with their responses,
//! and how far back the executions in each held slice are known.

use {
    super::{
        BeginDecision, ExecutionResult, GuardKey, Handover, SliceExport, SliceRecord,
        StoredResponse,
    },
    crate::{
        freshness::Freshness,
        model::{Reason, Refusal},
        slices::{SLICE_COUNT, SliceIndex},
    },
    std::collections::{BTreeMap, HashMap},
};

/// Retention of a key and its response.
pub const RETENTION_MS: u64 = 10 * 60 * 1000;

/// Largest tolerated wall clock difference, between nodes and of a caller's
/// clock ahead of a node's.
pub const CLOCK_MARGIN_MS: u64 = 2000;

/// Maximum number of keys at a home. Further keys are refused; none is evicted
/// before its retention ends.
pub const MAX_RECORD_COUNT: usize = 20_000;

/// Maximum total size of stored responses. A response beyond it is dropped and
/// its key kept with an unknown outcome.
pub const MAX_STORED_RESPONSE_BYTES: usize = 8 << 20;

/// Retry delay for a resend while the first request is being executed.
const IN_PROGRESS_RETRY_MS: u32 = 200;

/// Retry delay for a home that is full or not certain to be the home.
const HOME_RETRY_MS: u32 = 1000;

/// Current time on both clocks that the guard uses.
#[derives::key]
pub struct GuardTime {
    /// Monotonic clock of this process.
    pub now_ms: u64,
    /// Wall clock, compared with the timestamp in UUIDv7 keys.
    pub unix_ms: u64,
}

/// A request with an idempotency key, as its home decides on it.
#[derives::key]
pub struct KeyedRequest {
    /// Workspace and key.
    pub key: GuardKey,
    /// Wall clock time at which the key was created, if it is a UUIDv7.
    pub created_unix_ms: Option<u64>,
    /// Hash of method, path and body; distinguishes a resend from a key that is
    /// reused for another request.
    pub fingerprint: u64,
}

/// What this home knows of earlier executions in a slice.
#[derives::key]
pub struct SliceHistory {
    /// Epoch of the slice table that gave the slice to this home.
    pub since_epoch: u64,
    /// Every execution since this wall clock time is known; 0 if nothing was
    /// ever executed elsewhere.
    pub known_since_unix_ms: u64,
}

/// State of a slice that this home holds.
#[derives::key]
struct HeldSlice {
    history: SliceHistory,
    /// The earlier home's keys have not been imported yet.
    is_awaiting_handover: bool,
}

#[derives::value]
enum State {
    InProgress,
    Responded(StoredResponse),
    /// It may have run, or its response was not stored.
    Unknown,
}

#[derives::value]
struct Record {
    fingerprint: u64,
    state: State,
    keep_until_ms: u64,
    serial: u64,
}

/// Table of the keys of one home. Pure state: performs no I/O and reads no
/// clock.
#[derive(Debug)]
pub struct GuardTable {
    started_unix_ms: u64,
    held_slices: HashMap<SliceIndex, HeldSlice>,
    /// Epochs that had given this home the slices it released.
    released_epochs: HashMap<SliceIndex, u64>,
    records: HashMap<GuardKey, Record>,
    /// Keys by expiry time; `serial` makes equal times distinct.
    expiry: BTreeMap<(u64, u64), GuardKey>,
    stored_response_bytes: usize,
    next_serial: u64,
    max_record_count: usize,
}

impl GuardTable {
    /// A table without slices, for the process that started at
    /// `started_unix_ms`.
    #[must_use]
    pub fn new(started_unix_ms: u64) -> Self {
        Self {
            started_unix_ms,
            held_slices: HashMap::new(),
            released_epochs: HashMap::new(),
            records: HashMap::new(),
            expiry: BTreeMap::new(),
            stored_response_bytes: 0,
            next_serial: 0,
            max_record_count: MAX_RECORD_COUNT,
        }
    }

    /// Overrides the maximum number of keys.
    #[must_use]
    pub const fn with_max_record_count(mut self, max_record_count: usize) -> Self {
        self.max_record_count = max_record_count;
        self
    }

    /// Starts to hold a slice with the given execution history.
    pub fn hold(&mut self, slice: SliceIndex, history: SliceHistory) {
        let released_epoch = self.released_epochs.get(&slice);
        let is_awaiting_handover = released_epoch.is_none_or(|epoch| *epoch < history.since_epoch);
        let held = HeldSlice {
            history,
            is_awaiting_handover,
        };
        self.held_slices.insert(slice, held);
    }

    /// Execution history of a held slice.
    #[must_use]
    pub fn history(&self, slice: SliceIndex) -> Option<SliceHistory> {
        self.held_slices.get(&slice).map(|held| held.history)
    }

    /// Held slices, in arbitrary order.
    pub fn held_slices(&self) -> impl Iterator<Item = SliceIndex> {
        self.held_slices.keys().copied()
    }

    /// Stops holding a slice and removes its keys, to be sent to its next home.
    ///
    /// The slice is unused from now on, whether or not the write of the slice
    /// table succeeds.
    pub fn release(&mut self, slice: SliceIndex, time: GuardTime) -> Option<SliceExport> {
        let history = self.held_slices.remove(&slice)?.history;
        self.released_epochs.insert(slice, history.since_epoch);
        let all_keys = self.records.keys().copied();
        let keys: Vec<GuardKey> = all_keys.filter(|key| key.slice() == slice).collect();
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

    /// Holds a released slice again because the slice table did not move it:
    /// this node still owns it since the epoch in its history.
    pub fn restore(&mut self, export: SliceExport, time: GuardTime) {
        self.hold(export.slice, export.history);
        for record in export.records {
            self.import_record(record, time);
        }
    }

    /// Imports the keys of a slice that was released to this process; false if
    /// the handover is rejected.
    ///
    /// A late handover lacks executions since it was made, at other homes if the
    /// slice moved away and back, or here if this node restarted or has imported
    /// a copy; a key could run twice. So it is accepted once, only for its own
    /// move of the slice and by the process that ran before that move.
    pub fn import(&mut self, handover: Handover, time: GuardTime) -> bool {
        let Handover { export, .. } = handover;
        let Some(held) = self.held_slices.get_mut(&export.slice) else {
            return false;
        };
        let is_for_this_process_and_move = handover.to_started_unix_ms == self.started_unix_ms
            && held.history.since_epoch == handover.moved_by_epoch;
        if !is_for_this_process_and_move || !held.is_awaiting_handover {
            return false;
        }
        held.is_awaiting_handover = false;
        let known_since_unix_ms = &mut held.history.known_since_unix_ms;
        *known_since_unix_ms = (*known_since_unix_ms).min(export.history.known_since_unix_ms);
        for record in export.records {
            self.import_record(record, time);
        }
        true
    }

    /// Decides on a keyed request.
    ///
    /// Recorded keys are decided in every freshness state, since a record stays
    /// true. Only an execution requires certainty that this node is the
    /// key's home.
    pub fn begin(
        &mut self,
        request: &KeyedRequest,
        time: GuardTime,
        freshness: Freshness,
    ) -> BeginDecision {
        let Some(history) = self.history(request.key.slice()) else {
            return BeginDecision::Refuse(no_home());
        };
        if let Some(record) = self.records.get(&request.key) {
            return decide_from_record(record, request.fingerprint);
        }
        if freshness == Freshness::CutOff {
            return BeginDecision::Refuse(no_home());
        }
        if let Some(refusal) = history_refusal(request, history, time) {
            return BeginDecision::Refuse(refusal);
        }
        if self.records.len() >= self.max_record_count {
            let refusal = Refusal::not_run(Reason::Overloaded);
            return BeginDecision::Refuse(refusal.with_retry_after_ms(HOME_RETRY_MS));
        }
        let keep_until_ms = time.now_ms + RETENTION_MS;
        self.insert(
            request.key,
            request.fingerprint,
            State::InProgress,
            keep_until_ms,
        );
        BeginDecision::Execute
    }

    /// Records how an execution ended.
    ///
    /// Ignored if the key's slice has moved to another home since: the key was
    /// exported as unknown.
    pub fn finish(&mut self, key: GuardKey, finish: ExecutionResult, time: GuardTime) {
        let Some(record) = self.remove(key) else {
            return;
        };
        let keep_until_ms = time.now_ms + RETENTION_MS;
        let state = match finish {
            ExecutionResult::NotRun => return,
            ExecutionResult::Responded(response) => self.response_state(response),
            ExecutionResult::Unknown => State::Unknown,
        };
        self.insert(key, record.fingerprint, state, keep_until_ms);
    }

    /// Removes keys whose retention has ended; called on every tick.
    ///
    /// An execution without a result is kept as unknown for one more retention
    /// period.
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

    /// Number of stored keys.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Total size of the stored responses, in bytes.
    #[must_use]
    pub const fn stored_response_bytes(&self) -> usize {
        self.stored_response_bytes
    }

    fn response_state(&self, response: StoredResponse) -> State {
        if self.stored_response_bytes + response.byte_count() > MAX_STORED_RESPONSE_BYTES {
            State::Unknown
        } else {
            State::Responded(response)
        }
    }

    fn import_record(&mut self, record: SliceRecord, time: GuardTime) {
        if self.records.contains_key(&record.key) {
            return;
        }
        let state = match record.response {
            Some(response) => self.response_state(response),
            None => State::Unknown,
        };
        let keep_until_ms = time.now_ms + record.keep_for_ms;
        self.insert(record.key, record.fingerprint, state, keep_until_ms);
    }

    fn insert(&mut self, key: GuardKey, fingerprint: u64, state: State, keep_until_ms: u64) {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.stored_response_bytes += stored_bytes(&state);
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
        self.stored_response_bytes -= stored_bytes(&record.state);
        Some(record)
    }
}

impl GuardKey {
    /// Slice of the key; the slice's owner is the key's home.
    #[must_use]
    pub const fn slice(&self) -> SliceIndex {
        // `SLICE_COUNT` is below 2^16, so the remainder fits.
        SliceIndex::new((self.key_hash % SLICE_COUNT as u128) as u16)
    }
}

fn decide_from_record(record: &Record, fingerprint: u64) -> BeginDecision {
    if record.fingerprint != fingerprint {
        return BeginDecision::Refuse(Refusal::not_run(Reason::KeyReused).with_exhausted());
    }
    match &record.state {
        State::Responded(response) => BeginDecision::Replay(response.clone()),
        State::Unknown => BeginDecision::Refuse(Refusal::unknown(Reason::EarlierUnknown)),
        State::InProgress => {
            let refusal = Refusal::unknown(Reason::InProgress);
            BeginDecision::Refuse(refusal.with_retry_after_ms(IN_PROGRESS_RETRY_MS))
        }
    }
}

/// Refuses a key that may have run at an earlier home, or here with a record
/// that has expired since.
fn history_refusal(
    request: &KeyedRequest,
    history: SliceHistory,
    time: GuardTime,
) -> Option<Refusal> {
    let unknown_history = Refusal::unknown(Reason::NoHome);
    let Some(created_unix_ms) = request.created_unix_ms else {
        let certain_from_unix_ms = history.known_since_unix_ms + RETENTION_MS;
        let is_certain = history.known_since_unix_ms == 0 || time.unix_ms >= certain_from_unix_ms;
        return (!is_certain).then_some(unknown_history);
    };
    // A key created in the future, once executed here, would look new to a
    // later home. Every home refuses it before execution.
    if created_unix_ms > time.unix_ms + CLOCK_MARGIN_MS {
        return Some(Refusal::not_run(Reason::BadRequest));
    }
    // An earlier home may have run it up to one margin before the key's
    // timestamp, and that home's clock may differ from this one's by another.
    let may_have_run_elsewhere = history.known_since_unix_ms > 0
        && created_unix_ms <= history.known_since_unix_ms + 2 * CLOCK_MARGIN_MS;
    let may_have_expired = created_unix_ms + RETENTION_MS <= time.unix_ms + 2 * CLOCK_MARGIN_MS;
    (may_have_run_elsewhere || may_have_expired).then_some(unknown_history)
}

const fn no_home() -> Refusal {
    Refusal::not_run(Reason::NoHome).with_retry_after_ms(HOME_RETRY_MS)
}

fn export_record(key: GuardKey, record: Record, now_ms: u64) -> SliceRecord {
    let response = match record.state {
        State::Responded(response) => Some(response),
        // The result will be known to this home only; the next home must not
        // execute a resend.
        State::InProgress | State::Unknown => None,
    };
    SliceRecord {
        key,
        fingerprint: record.fingerprint,
        response,
        keep_for_ms: record.keep_until_ms.saturating_sub(now_ms),
    }
}

fn stored_bytes(state: &State) -> usize {
    match state {
        State::Responded(response) => response.byte_count(),
        State::InProgress | State::Unknown => 0,
    }
}
