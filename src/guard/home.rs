//! This node as the home of idempotency keys.

use {
    super::{
        Begin, Finish, GuardKey, GuardTable, GuardTime, Handover, History, KeyedRequest,
        SliceExport,
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
    /// The slot may use its slices according to the slice table.
    is_usable: bool,
    /// This process made the first slice table of the fleet.
    is_creator: bool,
}

/// Shared table of keys with the clock and the freshness state at hand.
pub struct GuardHome {
    own: Slot,
    timer: Timer,
    freshness: watch::Receiver<Snapshot>,
    state: Mutex<State>,
}

impl GuardHome {
    /// The home of the process in this slot that started then.
    #[must_use]
    pub fn new(
        own: Slot,
        started_unix_ms: u64,
        timer: Timer,
        freshness: watch::Receiver<Snapshot>,
    ) -> Self {
        let state = State {
            table: GuardTable::new(started_unix_ms),
            is_usable: false,
            is_creator: false,
        };
        Self {
            own,
            timer,
            freshness,
            state: Mutex::new(state),
        }
    }

    /// Decides on a keyed request; see [`GuardTable::begin`].
    #[must_use]
    pub fn begin(&self, request: &KeyedRequest) -> Begin {
        let mut state = self.lock();
        // Read under the lock and right before the decision: a state from
        // before a pause would let two homes run the same key.
        let time = self.time();
        let freshness = match state.is_usable {
            true => self.freshness.borrow().at(time.now_ms),
            false => Freshness::CutOff,
        };
        let begin = state.table.begin(request, time, freshness);
        if let Begin::Refuse(refusal) = &begin
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
    pub fn finish(&self, key: GuardKey, finish: Finish) {
        self.lock().table.finish(key, finish, self.time());
    }

    /// Forgets keys past their retention.
    pub fn expire(&self) {
        self.lock().table.expire(self.timer.now_ms());
    }

    /// Number of keys kept.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.lock().table.record_count()
    }

    /// This process wrote the first slice table: no key ran before.
    pub fn created_fleet(&self) {
        self.lock().is_creator = true;
    }

    /// Follows a version of the slice table.
    pub fn observe_table(&self, slices: &SliceTable) {
        let mut state = self.lock();
        let time = self.time();
        let usable = slices.usable_slot(&self.own.node_id, self.own.ip);
        state.is_usable = usable.is_some();
        let own = slices.find(&self.own.node_id);
        let owned: HashMap<SliceIndex, u64> = own.map_or_else(HashMap::new, |own| {
            slices.owned(Section::Keys, own).collect()
        });
        let held: Vec<SliceIndex> = state.table.held().collect();
        for slice in held {
            let since = state
                .table
                .history(slice)
                .map(|history| history.since_version);
            if owned.get(&slice).copied() != since {
                state.table.release(slice, time);
            }
        }
        for (slice, since_version) in owned {
            if state.table.history(slice).is_none() {
                let is_first = state.is_creator && since_version == 1;
                let history = History {
                    since_version,
                    known_since_unix_ms: if is_first { 0 } else { time.unix_ms },
                };
                state.table.hold(slice, history);
            }
        }
    }

    /// Stops using slices that are about to be given up.
    #[must_use]
    pub fn release(&self, slices: &[SliceIndex]) -> Vec<SliceExport> {
        let mut state = self.lock();
        let time = self.time();
        let exports = slices
            .iter()
            .filter_map(|slice| state.table.release(*slice, time));
        exports.collect()
    }

    /// Uses slices again whose move did not take effect.
    pub fn restore(&self, exports: Vec<SliceExport>) {
        let mut state = self.lock();
        for export in exports {
            state.table.restore(export, self.time());
        }
    }

    /// Takes in keys of a slice that was given up for this node.
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
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl KeyedRequest {
    /// From an Idempotency-Key header.
    ///
    /// The workspace's name takes part in the hash, which is the same on all
    /// nodes; `fingerprint` is a hash of method, path and body.
    #[must_use]
    pub fn new(
        workspace: WorkspaceKey,
        workspace_name: &str,
        header: &str,
        fingerprint: u64,
    ) -> Self {
        let text = format!("{workspace_name}\n{header}");
        Self {
            key: GuardKey {
                workspace,
                key_hash: xxh3_128(text.as_bytes()),
            },
            made_unix_ms: made_unix_ms(header),
            fingerprint,
        }
    }
}

fn made_unix_ms(header: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(header.trim()).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}
