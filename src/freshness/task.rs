//! Updates the freshness state from polls, probe replies and membership.

use {
    super::{Freshness, FreshnessTracker, Snapshot},
    crate::{
        documents::{DocumentKind, Versions},
        event,
        events::Event,
        membership::{PeerStamp, View},
        slices::VersionedSliceTable,
        timer::Timer,
    },
    std::sync::Arc,
    tokio::sync::{mpsc, watch},
};

/// Time between two checks for expired observations. New observations are
/// applied at once.
const EXPIRY_CHECK_PERIOD_MS: u64 = 100;

/// An observation that the freshness state is derived from.
#[derives::value]
pub enum FreshnessObservation {
    /// A member's reply to a probe of this node.
    Reply(PeerStamp),
    /// This node polled the platform.
    Platform {
        /// Monotonic time at which the poll started.
        poll_started_ms: u64,
        /// Document versions that it returned.
        versions: Versions,
    },
}

/// Inputs of the task.
pub struct FreshnessInputs {
    /// Clock and ticks.
    pub timer: Timer,
    /// Replies and this node's polls.
    pub observations: mpsc::Receiver<FreshnessObservation>,
    /// Membership view.
    pub view: watch::Receiver<Arc<View>>,
    /// Versions of the documents that this node holds.
    pub versions: watch::Receiver<Versions>,
    /// The slice table in force.
    pub table: watch::Receiver<Option<Arc<VersionedSliceTable>>>,
}

/// Starts the task, which ends with the timer.
///
/// Returns the freshness state and the start of the last confirmed poll, which
/// replies to probes carry.
#[must_use]
pub fn spawn(
    mut tracker: FreshnessTracker,
    mut inputs: FreshnessInputs,
) -> (watch::Receiver<Snapshot>, watch::Receiver<Option<u64>>) {
    let (snapshot_sender, snapshot_receiver) = watch::channel(Snapshot::cut_off());
    let (confirmed_sender, confirmed_receiver) = watch::channel(None);
    tokio::spawn(async move {
        let mut ticks = inputs.timer.subscribe(EXPIRY_CHECK_PERIOD_MS);
        let mut state = Freshness::CutOff;
        let mut is_first = true;
        loop {
            let mut zones_changed = false;
            tokio::select! {
                tick = ticks.next() => if tick.is_none() { return },
                Some(observation) = inputs.observations.recv() => record(&mut tracker, observation),
                Ok(()) = inputs.view.changed() => zones_changed = true,
                Ok(()) = inputs.table.changed() => zones_changed = true,
                Ok(()) = inputs.versions.changed() => {}
            }
            while let Ok(observation) = inputs.observations.try_recv() {
                record(&mut tracker, observation);
            }
            if zones_changed || is_first {
                observe_zones(&mut tracker, &mut inputs);
                is_first = false;
            }
            tracker.set_versions_in_force(versions_in_force(&inputs));
            let next = tracker.snapshot(inputs.timer.now_ms());
            if next.freshness != state {
                event!(
                    Event::FreshnessChanged,
                    "from={state:?} to={:?}",
                    next.freshness
                );
                state = next.freshness;
            }
            snapshot_sender.send_if_modified(|current| update(current, next));
            confirmed_sender.send_if_modified(|current| update(current, tracker.confirmed_ms()));
        }
    });
    (snapshot_receiver, confirmed_receiver)
}

fn record(tracker: &mut FreshnessTracker, observation: FreshnessObservation) {
    match observation {
        FreshnessObservation::Reply(stamp) => tracker.record_reply(&stamp),
        FreshnessObservation::Platform {
            poll_started_ms,
            versions,
        } => tracker.record_poll(poll_started_ms, versions),
    }
}

fn observe_zones(tracker: &mut FreshnessTracker, inputs: &mut FreshnessInputs) {
    let view = inputs.view.borrow_and_update();
    let table = inputs.table.borrow_and_update();
    let slots = table.iter().flat_map(|in_force| in_force.table.slots());
    tracker.observe_zones(&view, slots.map(|slot| slot.zone.as_str()));
}

/// Document versions in force at this node. A slice table that was received but
/// not yet applied does not count: the node would be fresh and still use slices
/// that the newer table assigns to others.
fn versions_in_force(inputs: &FreshnessInputs) -> Versions {
    let mut versions = *inputs.versions.borrow();
    let table_version = inputs
        .table
        .borrow()
        .as_ref()
        .map_or(0, |in_force| in_force.version);
    let slices_version = &mut versions.0[DocumentKind::Slices.index()];
    *slices_version = table_version.min(*slices_version);
    versions
}

fn update<T: PartialEq>(current: &mut T, next: T) -> bool {
    let is_changed = *current != next;
    *current = next;
    is_changed
}
