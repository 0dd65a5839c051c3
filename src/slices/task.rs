//! Keeps the slice table in order and tells its users.

use {
    super::{HeldTable, Moved, Observed, Planner, Section, SliceTable, Slot, Step},
    crate::{
        documents::{Document, DocumentKind, DocumentWriter, WriteResult},
        event,
        events::Event,
        freshness::{Freshness, Snapshot},
        guard::{GuardHome, Handover, SliceExport},
        membership::View,
        quota::LeasedQuota,
        rpc::RpcClient,
        timer::Timer,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Time between two plans.
const PERIOD_MS: u64 = 500;

/// How long no table must have been seen before one is created.
const CREATE_AFTER_MS: u64 = 2000;

/// Pause before a write is repeated whose answer was lost.
const REWRITE_PAUSE_MS: u64 = 200;

/// Tries to hand a slice's keys over; the next home answers `unknown` without.
const HANDOVER_TRIES: u32 = 20;

/// Pause between these tries; the next home must see the table first.
const HANDOVER_PAUSE_MS: u64 = 300;

/// What the task reads and whom it tells.
pub struct SliceInputs<W> {
    /// Slot of this node.
    pub own: Slot,
    /// Clock and ticks.
    pub timer: Timer,
    /// Members.
    pub view: watch::Receiver<Arc<View>>,
    /// Freshness.
    pub freshness: watch::Receiver<Snapshot>,
    /// The document `slices` as this node holds it.
    pub document: watch::Receiver<Option<Document>>,
    /// This node wants to get rid of its slices.
    pub draining: watch::Receiver<bool>,
    /// Writes to the platform.
    pub writer: W,
    /// Home of idempotency keys.
    pub guard: Arc<GuardHome>,
    /// Quota.
    pub quota: LeasedQuota,
    /// Calls to other nodes.
    pub client: RpcClient,
}

/// A released slice's keys with where they go.
struct Outgoing {
    moved: Moved,
    exports: Vec<SliceExport>,
}

struct Task<W> {
    inputs: SliceInputs<W>,
    planner: Planner,
    held: Option<Arc<HeldTable>>,
    tables: watch::Sender<Option<Arc<HeldTable>>>,
}

/// Starts the task; it ends with the timer. Gives the table in force.
#[must_use]
pub fn spawn<W: DocumentWriter>(inputs: SliceInputs<W>) -> watch::Receiver<Option<Arc<HeldTable>>> {
    let (tables, table) = watch::channel(None);
    let task = Task {
        planner: Planner::new(inputs.own.clone()),
        inputs,
        held: None,
        tables,
    };
    tokio::spawn(task.run());
    table
}

impl<W: DocumentWriter> Task<W> {
    async fn run(mut self) {
        let mut ticks = self.inputs.timer.subscribe(PERIOD_MS);
        let mut document = self.inputs.document.clone();
        let started_ms = self.inputs.timer.now_ms();
        loop {
            tokio::select! {
                tick = ticks.next() => if tick.is_none() { return },
                Ok(()) = document.changed() => {}
            }
            self.inputs.guard.expire();
            self.read_document();
            let now_ms = self.inputs.timer.now_ms();
            match self.held.clone() {
                Some(held) => self.plan(&held, now_ms).await,
                None if now_ms >= started_ms + CREATE_AFTER_MS => self.create().await,
                None => {}
            }
        }
    }

    fn read_document(&mut self) {
        let document = self.inputs.document.borrow().clone();
        let held_version = self.held.as_ref().map_or(0, |held| held.version);
        let Some(document) = document.filter(|document| document.version > held_version) else {
            return;
        };
        match SliceTable::parse(&document.content) {
            Ok(table) => self.follow(document.version, table),
            Err(error) => {
                let version = document.version;
                event!(
                    Event::ConfigurationRejected,
                    "kind=slices version={version} error={error}"
                );
            }
        }
    }

    fn follow(&mut self, version: u64, table: SliceTable) {
        self.inputs.guard.observe_table(&table);
        self.inputs.quota.observe_table(&table);
        // Told last: freshness counts from here on with this version.
        let held = Arc::new(HeldTable { version, table });
        self.held = Some(held.clone());
        self.tables.send_replace(Some(held));
    }

    async fn create(&mut self) {
        let freshness = self
            .inputs
            .freshness
            .borrow()
            .at(self.inputs.timer.now_ms());
        if freshness != Freshness::Fresh || !self.is_first_member() {
            return;
        }
        let table = SliceTable::new(self.inputs.own.clone());
        let result = self.write(0, &table).await;
        // After a lost answer the next look may show this table. Whether this
        // process wrote it or an earlier one of the slot, which may have run
        // keys since, cannot be told then; its past counts as unknown.
        if let WriteResult::Written(version) = result {
            self.inputs.guard.created_fleet();
            self.follow(version, table);
            self.inputs.quota.created_fleet();
        }
    }

    fn is_first_member(&self) -> bool {
        let view = self.inputs.view.borrow();
        let mut usable = view.members.iter().filter(|member| member.is_usable());
        usable
            .next()
            .is_none_or(|first| first.node_id == self.inputs.own.node_id)
    }

    async fn plan(&mut self, held: &HeldTable, now_ms: u64) {
        let HeldTable { version, table } = held;
        let view = self.inputs.view.borrow().clone();
        let observed = Observed {
            table,
            view: &view,
            freshness: self.inputs.freshness.borrow().at(now_ms),
            draining: *self.inputs.draining.borrow(),
            now_ms,
        };
        let steps = self.planner.plan(observed);
        if steps.is_empty() {
            return;
        }
        let next = table.with_steps(&self.inputs.own, &steps);
        let outgoing = self.release(&steps);
        let result = self.write_until_known(*version, &next).await;
        if let WriteResult::Written(version) = result {
            log_steps(&steps);
            self.follow(version, next.clone());
            self.hand_over(outgoing, &next);
            return;
        }
        self.resolve(*version, outgoing).await;
    }

    /// Stops using what is given up, before the table is written: written
    /// first, a pause in between would leave two owners.
    fn release(&self, steps: &[Step]) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for step in steps {
            let Step::Give(moved) = step else {
                continue;
            };
            let exports = match moved.section {
                Section::Keys => self.inputs.guard.release(&moved.slices),
                Section::Quota => {
                    self.inputs.quota.release(&moved.slices);
                    vec![]
                }
            };
            let moved = moved.clone();
            outgoing.push(Outgoing { moved, exports });
        }
        outgoing
    }

    /// Repeats a write whose answer was lost. It may take effect at any later
    /// time, until the same write succeeds or the version has changed.
    async fn write_until_known(&self, if_version: u64, table: &SliceTable) -> WriteResult {
        loop {
            let result = self.write(if_version, table).await;
            if result != WriteResult::Unknown {
                return result;
            }
            tokio::time::sleep(Duration::from_millis(REWRITE_PAUSE_MS)).await;
        }
    }

    async fn write(&self, if_version: u64, table: &SliceTable) -> WriteResult {
        let content = table.serialise();
        let writer = &self.inputs.writer;
        writer
            .write(DocumentKind::Slices, if_version, content)
            .await
    }

    /// Another write came first, or the own one did and its answer was lost:
    /// the next version of the table tells.
    async fn resolve(&mut self, version: u64, outgoing: Vec<Outgoing>) {
        let mut document = self.inputs.document.clone();
        let is_newer = |held: &Option<Document>| held.as_ref().is_some_and(|d| d.version > version);
        let Ok(newer) = document.wait_for(is_newer).await.map(|held| held.clone()) else {
            return;
        };
        let Some(table) = newer.and_then(|newer| SliceTable::parse(&newer.content).ok()) else {
            return;
        };
        // Before the table is followed, which would begin a history anew.
        for part in &outgoing {
            let kept = part
                .exports
                .iter()
                .filter(|export| self.is_still_own(&table, export));
            self.inputs.guard.restore(kept.cloned().collect());
        }
        self.read_document();
        self.hand_over(outgoing, &table);
    }

    fn is_still_own(&self, table: &SliceTable, export: &SliceExport) -> bool {
        let owner = table.owners(Section::Keys)[export.slice.index()];
        table.slot(owner.slot).node_id == self.inputs.own.node_id
            && owner.since_epoch == export.history.since_version
    }

    fn hand_over(&self, outgoing: Vec<Outgoing>, table: &SliceTable) {
        for part in outgoing {
            let to = &part.moved.to.node_id;
            let address = self
                .inputs
                .view
                .borrow()
                .member(to)
                .map(crate::membership::Member::rpc_address);
            let Some(address) = address else {
                continue;
            };
            let arrived = part.exports.into_iter().filter_map(|export| {
                let owner = table.owners(Section::Keys)[export.slice.index()];
                let has_moved = table.slot(owner.slot).node_id == *to;
                has_moved.then_some(Handover {
                    export,
                    moved_by_version: owner.since_epoch,
                    to_started_unix_ms: part.moved.to_started_unix_ms,
                })
            });
            let handovers = arrived.collect();
            tokio::spawn(send(self.inputs.client.clone(), address, handovers));
        }
    }
}

async fn send(client: RpcClient, address: SocketAddr, mut handovers: Vec<Handover>) {
    for _ in 0..HANDOVER_TRIES {
        handovers = send_once(&client, address, handovers).await;
        if handovers.is_empty() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(HANDOVER_PAUSE_MS)).await;
    }
}

/// Returns what was not taken; stops at the first call without an answer.
async fn send_once(
    client: &RpcClient,
    address: SocketAddr,
    handovers: Vec<Handover>,
) -> Vec<Handover> {
    let mut left = Vec::new();
    let mut handovers = handovers.into_iter();
    while let Some(handover) = handovers.next() {
        match client.hand_over(address, handover.clone()).await {
            Ok(true) => {}
            Ok(false) => left.push(handover),
            Err(_) => {
                left.push(handover);
                left.extend(handovers);
                return left;
            }
        }
    }
    left
}

fn log_steps(steps: &[Step]) {
    for step in steps {
        match step {
            Step::Suspect { node_id } => event!(Event::SlotSuspected, "slot={node_id}"),
            Step::ClearMark => event!(Event::SlicesMoved, "cleared the mark on the own slot"),
            Step::Claim => event!(Event::SlicesMoved, "claimed the own slot"),
            Step::Take { node_id, .. } => event!(Event::SlicesMoved, "from={node_id} by=takeover"),
            Step::Give(moved) => {
                let (to, count) = (&moved.to.node_id, moved.slices.len());
                event!(
                    Event::SlicesMoved,
                    "to={to} section={:?} count={count}",
                    moved.section
                );
            }
        }
    }
}
