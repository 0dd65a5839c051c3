//! The node's home for idempotency keys: key table, clock and freshness state.

use {
    super::{
        BeginDecision, ExecutionResult, GuardKey, GuardTable, GuardTime, Handover, KeyedRequest,
        SliceExport, SliceHistory,
    },
    crate::{
        event,
        events::Event,
        freshness::{Freshness, Snapshot},
        model::{Outcome, WorkspaceKey},
        slices::{Section, SliceIndex, SliceTable, Slot},
        timer::{self, Timer},
    },
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard},
    },
    tokio::sync::watch,
    uuid::{Uuid, Version},
    xxhash_rust::xxh3::xxh3_128,
};

struct State {
    table: GuardTable,
    /// The slice table allows this process to use the slices of its slot.
    may_use_slices: bool,
    /// This process created the first slice table of the fleet.
    is_fleet_creator: bool,
}

/// Shared key table that reads the clock and the freshness state itself.
pub struct GuardHome {
    own_slot: Slot,
    timer: Timer,
    freshness: watch::Receiver<Snapshot>,
    state: Mutex<State>,
}

impl GuardHome {
    /// A home for the process that started at `started_unix_ms` in `own_slot`.
    #[must_use]
    pub fn new(
        own_slot: Slot,
        started_unix_ms: u64,
        timer: Timer,
        freshness: watch::Receiver<Snapshot>,
    ) -> Self {
        let state = State {
            table: GuardTable::new(started_unix_ms),
            may_use_slices: false,
            is_fleet_creator: false,
        };
        Self {
            own_slot,
            timer,
            freshness,
            state: Mutex::new(state),
        }
    }

    /// Decides on a keyed request; see [`GuardTable::begin`].
    #[must_use]
    pub fn begin(&self, request: &KeyedRequest) -> BeginDecision {
        let mut state = self.lock();
        // Read under the lock, right before the decision: with a state read
        // before a process pause, two homes could execute the same key.
        let time = self.time();
        let freshness = match state.may_use_slices {
            true => self.freshness.borrow().at(time.now_ms),
            false => Freshness::CutOff,
        };
        let begin = state.table.begin(request, time, freshness);
        if let BeginDecision::Refuse(refusal) = &begin
            && refusal.outcome == Outcome::Unknown
        {
            let slice = request.key.slice().index();
            event!(
                Event::GuardUnsure,
                "slice={slice} reason={}",
                refusal.reason
            );
        }
        begin
    }

    /// Records how an execution ended.
    pub fn finish(&self, key: GuardKey, finish: ExecutionResult) {
        self.lock().table.finish(key, finish, self.time());
    }

    /// Removes keys whose retention has ended.
    pub fn expire(&self) {
        self.lock().table.expire(self.timer.now_ms());
    }

    /// Number of stored keys.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.lock().table.record_count()
    }

    /// Records that this process wrote the first slice table of the fleet, so
    /// no key was executed earlier.
    pub fn set_fleet_creator(&self) {
        self.lock().is_fleet_creator = true;
    }

    /// Applies a new version of the slice table.
    pub fn observe_table(&self, slices: &SliceTable) {
        let mut state = self.lock();
        let time = self.time();
        let usable_slot = slices.usable_slot(&self.own_slot.node_id, self.own_slot.ip);
        state.may_use_slices = usable_slot.is_some();
        let slot_index = slices.find(&self.own_slot.node_id);
        let owned: HashMap<SliceIndex, u64> = slot_index.map_or_else(HashMap::new, |slot_index| {
            slices.owned(Section::Keys, slot_index).collect()
        });
        let held_slices: Vec<SliceIndex> = state.table.held_slices().collect();
        for slice in held_slices {
            let held_epoch = state
                .table
                .history(slice)
                .map(|history| history.since_epoch);
            if owned.get(&slice).copied() != held_epoch {
                state.table.release(slice, time);
            }
        }
        for (slice, since_epoch) in owned {
            if state.table.history(slice).is_none() {
                let is_first_owner = state.is_fleet_creator && since_epoch == 1;
                let history = SliceHistory {
                    since_epoch,
                    known_since_unix_ms: if is_first_owner { 0 } else { time.unix_ms },
                };
                state.table.hold(slice, history);
            }
        }
    }

    /// Stops using slices that are about to move to another node; returns
    /// their keys.
    #[must_use]
    pub fn release(&self, slices: &[SliceIndex]) -> Vec<SliceExport> {
        let mut state = self.lock();
        let time = self.time();
        let exports = slices
            .iter()
            .filter_map(|slice| state.table.release(*slice, time));
        exports.collect()
    }

    /// Resumes the use of released slices whose move did not take effect.
    pub fn restore(&self, exports: Vec<SliceExport>) {
        let mut state = self.lock();
        for export in exports {
            state.table.restore(export, self.time());
        }
    }

    /// Imports the keys of a slice that moved to this node; false if they are
    /// rejected, see [`GuardTable::import`].
    pub fn hand_over(&self, handover: Handover) -> bool {
        self.lock().table.import(handover, self.time())
    }

    fn time(&self) -> GuardTime {
        GuardTime {
            now_ms: self.timer.now_ms(),
            unix_ms: timer::unix_ms(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl KeyedRequest {
    /// Builds the request from its Idempotency-Key header.
    ///
    /// The key hash includes the workspace name, which is the same on all
    /// nodes. `fingerprint` is a hash of method, path and body.
    #[must_use]
    pub fn new(
        workspace: WorkspaceKey,
        workspace_name: &str,
        header: &str,
        fingerprint: u64,
    ) -> Self {
        let hash_input = format!("{workspace_name}\n{header}");
        Self {
            key: GuardKey {
                workspace,
                key_hash: xxh3_128(hash_input.as_bytes()),
            },
            created_unix_ms: created_unix_ms(header),
            fingerprint,
        }
    }
}

fn created_unix_ms(header: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(header.trim()).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanoseconds) / 1_000_000)
}
