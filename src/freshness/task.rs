//! Keeps the freshness state up to date.

use {
    super::{Freshness, FreshnessTracker, Snapshot},
    crate::{
        documents::{DocumentKind, Versions},
        event,
        events::Event,
        membership::{PeerStamp, View},
        slices::HeldTable,
        timer::Timer,
    },
    std::sync::Arc,
    tokio::sync::{mpsc, watch},
};

/// Time between two looks at what has grown old. What comes in is taken in at
/// once.
const PERIOD_MS: u64 = 100;

/// What the state follows from, as it comes in.
#[derives::value]
pub enum Heard {
    /// A member's reply to a probe of this node.
    Reply(PeerStamp),
    /// This node looked at the platform.
    Platform {
        /// Monotonic time at which the look was begun.
        asked_ms: u64,
        /// Versions that it showed.
        versions: Versions,
    },
}

/// What the task reads.
pub struct FreshnessInputs {
    /// Ticks.
    pub timer: Timer,
    /// Replies and own looks.
    pub heard: mpsc::Receiver<Heard>,
    /// Members.
    pub view: watch::Receiver<Arc<View>>,
    /// Versions of the documents held.
    pub versions: watch::Receiver<Versions>,
    /// The slice table held.
    pub table: watch::Receiver<Option<Arc<HeldTable>>>,
}

/// Starts the task; it ends with the timer.
///
/// Gives the state, and the last confirmed look for replies to probes.
#[must_use]
pub fn spawn(
    mut tracker: FreshnessTracker,
    mut inputs: FreshnessInputs,
) -> (watch::Receiver<Snapshot>, watch::Receiver<Option<u64>>) {
    let (snapshots, snapshot) = watch::channel(Snapshot::cut_off());
    let (looks, look) = watch::channel(None);
    tokio::spawn(async move {
        let mut ticks = inputs.timer.subscribe(PERIOD_MS);
        let mut state = Freshness::CutOff;
        let mut is_first = true;
        loop {
            let mut zones_changed = false;
            tokio::select! {
                tick = ticks.next() => if tick.is_none() { return },
                Some(heard) = inputs.heard.recv() => take_in(&mut tracker, heard),
                Ok(()) = inputs.view.changed() => zones_changed = true,
                Ok(()) = inputs.table.changed() => zones_changed = true,
                Ok(()) = inputs.versions.changed() => {}
            }
            while let Ok(heard) = inputs.heard.try_recv() {
                take_in(&mut tracker, heard);
            }
            if zones_changed || is_first {
                observe_zones(&mut tracker, &mut inputs);
                is_first = false;
            }
            tracker.hold_versions(followed_versions(&inputs));
            let next = tracker.snapshot(inputs.timer.now_ms());
            if next.freshness != state {
                event!(
                    Event::FreshnessChanged,
                    "from={state:?} to={:?}",
                    next.freshness
                );
                state = next.freshness;
            }
            snapshots.send_if_modified(|held| replace(held, next));
            looks.send_if_modified(|held| replace(held, tracker.confirmed_ms()));
        }
    });
    (snapshot, look)
}

fn take_in(tracker: &mut FreshnessTracker, heard: Heard) {
    match heard {
        Heard::Reply(stamp) => tracker.reply(&stamp),
        Heard::Platform { asked_ms, versions } => tracker.platform_seen(asked_ms, versions),
    }
}

fn observe_zones(tracker: &mut FreshnessTracker, inputs: &mut FreshnessInputs) {
    let view = inputs.view.borrow_and_update();
    let table = inputs.table.borrow_and_update();
    let slots = table.iter().flat_map(|held| held.table.slots());
    tracker.observe_zones(&view, slots.map(|slot| slot.zone.as_str()));
}

/// Versions in force here. A slice table that was received but is not yet
/// followed does not count: the node would take itself for fresh and go on
/// using slices that the newer table takes away.
fn followed_versions(inputs: &FreshnessInputs) -> Versions {
    let mut versions = *inputs.versions.borrow();
    let followed = inputs
        .table
        .borrow()
        .as_ref()
        .map_or(0, |held| held.version);
    let slices = &mut versions.0[DocumentKind::Slices.index()];
    *slices = followed.min(*slices);
    versions
}

fn replace<T: PartialEq>(held: &mut T, next: T) -> bool {
    let is_changed = *held != next;
    *held = next;
    is_changed
}
