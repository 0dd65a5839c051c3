//! Reads and writes the slice table and applies it to guard and quota.

use {
    super::{
        Planner, PlannerInput, Section, SliceTable, SliceTransfer, Slot, Step, VersionedSliceTable,
    },
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

/// Time between two runs of the planner.
const PLAN_PERIOD_MS: u64 = 500;

/// Time without a table after which the first member creates one.
const CREATE_WAIT_MS: u64 = 2000;

/// Pause before a write whose response was lost is repeated.
const WRITE_RETRY_PAUSE_MS: u64 = 200;

/// Maximum attempts to hand over a slice's keys. Without them the next home
/// refuses resends as `unknown`.
const MAX_HANDOVER_ATTEMPTS: u32 = 20;

/// Pause between these attempts; the next home must apply the table first.
const HANDOVER_PAUSE_MS: u64 = 300;

/// Inputs of the task and the users of the table.
pub struct SliceInputs<W> {
    /// Slot of this node.
    pub own_slot: Slot,
    /// Clock and ticks.
    pub timer: Timer,
    /// Membership view.
    pub view: watch::Receiver<Arc<View>>,
    /// Freshness state.
    pub freshness: watch::Receiver<Snapshot>,
    /// The document `slices` that this node holds.
    pub document: watch::Receiver<Option<Document>>,
    /// This node is draining and transfers all its slices.
    pub draining: watch::Receiver<bool>,
    /// Writer to the platform.
    pub writer: W,
    /// Home of idempotency keys; applies the table.
    pub guard: Arc<GuardHome>,
    /// Quota owner; applies the table.
    pub quota: LeasedQuota,
    /// RPC client for handovers.
    pub client: RpcClient,
}

/// Released slices with their keys and their receiver.
struct OutgoingTransfer {
    transfer: SliceTransfer,
    exports: Vec<SliceExport>,
}

struct Task<W> {
    inputs: SliceInputs<W>,
    planner: Planner,
    in_force: Option<Arc<VersionedSliceTable>>,
    table_sender: watch::Sender<Option<Arc<VersionedSliceTable>>>,
}

/// Starts the task, which ends with the timer. Returns the table in force.
#[must_use]
pub fn spawn<W: DocumentWriter>(
    inputs: SliceInputs<W>,
) -> watch::Receiver<Option<Arc<VersionedSliceTable>>> {
    let (table_sender, table_receiver) = watch::channel(None);
    let task = Task {
        planner: Planner::new(inputs.own_slot.clone()),
        inputs,
        in_force: None,
        table_sender,
    };
    tokio::spawn(task.run());
    table_receiver
}

impl<W: DocumentWriter> Task<W> {
    async fn run(mut self) {
        let mut ticks = self.inputs.timer.subscribe(PLAN_PERIOD_MS);
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
            match self.in_force.clone() {
                Some(in_force) => self.plan(&in_force, now_ms).await,
                None if now_ms >= started_ms + CREATE_WAIT_MS => self.create().await,
                None => {}
            }
        }
    }

    fn read_document(&mut self) {
        let document = self.inputs.document.borrow().clone();
        let version_in_force = self
            .in_force
            .as_ref()
            .map_or(0, |in_force| in_force.version);
        let Some(document) = document.filter(|document| document.version > version_in_force) else {
            return;
        };
        match SliceTable::parse(&document.content) {
            Ok(table) => self.apply(document.version, table),
            Err(error) => {
                let version = document.version;
                event!(
                    Event::ConfigurationRejected,
                    "kind=slices version={version} error={error}"
                );
            }
        }
    }

    fn apply(&mut self, version: u64, table: SliceTable) {
        self.inputs.guard.observe_table(&table);
        self.inputs.quota.observe_table(&table);
        // Last: freshness relies on this version being in force from here on.
        let in_force = Arc::new(VersionedSliceTable { version, table });
        self.in_force = Some(in_force.clone());
        self.table_sender.send_replace(Some(in_force));
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
        let table = SliceTable::new(self.inputs.own_slot.clone());
        let result = self.write(0, &table).await;
        // After a lost response, a later poll may show this table. This process
        // or an earlier one of the slot, which may have executed keys since, may
        // have written it, so the execution history counts as unknown.
        if let WriteResult::Written(version) = result {
            self.inputs.guard.set_fleet_creator();
            self.apply(version, table);
            self.inputs.quota.set_fleet_creator();
        }
    }

    fn is_first_member(&self) -> bool {
        let view = self.inputs.view.borrow();
        let mut usable_members = view.iter().filter(|member| member.is_usable());
        usable_members
            .next()
            .is_none_or(|first| first.node_id == self.inputs.own_slot.node_id)
    }

    async fn plan(&mut self, in_force: &VersionedSliceTable, now_ms: u64) {
        let VersionedSliceTable { version, table } = in_force;
        let view = self.inputs.view.borrow().clone();
        let input = PlannerInput {
            table,
            view: &view,
            freshness: self.inputs.freshness.borrow().at(now_ms),
            draining: *self.inputs.draining.borrow(),
            now_ms,
        };
        let steps = self.planner.plan(input);
        if steps.is_empty() {
            return;
        }
        let next = table.with_steps(&self.inputs.own_slot, &steps);
        let outgoing = self.release(&steps);
        let result = self.write_until_result_known(*version, &next).await;
        if let WriteResult::Written(version) = result {
            log_steps(&steps);
            self.apply(version, next.clone());
            self.hand_over(outgoing, &next);
            return;
        }
        self.resolve_failed_write(*version, outgoing).await;
    }

    /// Stops using the slices to be transferred. This happens before the table
    /// is written: after the write, a process pause would leave two owners.
    fn release(&self, steps: &[Step]) -> Vec<OutgoingTransfer> {
        let mut outgoing = Vec::new();
        for step in steps {
            let Step::Transfer(transfer) = step else {
                continue;
            };
            let exports = match transfer.section {
                Section::Keys => self.inputs.guard.release(&transfer.slices),
                Section::Quota => {
                    self.inputs.quota.release(&transfer.slices);
                    vec![]
                }
            };
            let transfer = transfer.clone();
            outgoing.push(OutgoingTransfer { transfer, exports });
        }
        outgoing
    }

    /// Repeats a write while its response is lost. It can take effect at any time,
    /// until a repeated write succeeds or the version has changed.
    async fn write_until_result_known(&self, if_version: u64, table: &SliceTable) -> WriteResult {
        loop {
            let result = self.write(if_version, table).await;
            if result != WriteResult::Unknown {
                return result;
            }
            tokio::time::sleep(Duration::from_millis(WRITE_RETRY_PAUSE_MS)).await;
        }
    }

    async fn write(&self, if_version: u64, table: &SliceTable) -> WriteResult {
        let content = table.serialise();
        let writer = &self.inputs.writer;
        writer
            .write(DocumentKind::Slices, if_version, content)
            .await
    }

    /// Waits for the next version of the table, which shows whether another write
    /// came first or the response to this node's write was lost.
    async fn resolve_failed_write(&mut self, version: u64, outgoing: Vec<OutgoingTransfer>) {
        let mut document = self.inputs.document.clone();
        let is_newer = |doc: &Option<Document>| doc.as_ref().is_some_and(|d| d.version > version);
        let Ok(newer) = document.wait_for(is_newer).await.map(|doc| doc.clone()) else {
            return;
        };
        let Some(table) = newer.and_then(|newer| SliceTable::parse(&newer.content).ok()) else {
            return;
        };
        // Before the table is applied, which would start a new execution history
        // for these slices.
        for outgoing_transfer in &outgoing {
            let kept_exports = outgoing_transfer
                .exports
                .iter()
                .filter(|export| self.is_still_own(&table, export));
            self.inputs.guard.restore(kept_exports.cloned().collect());
        }
        self.read_document();
        self.hand_over(outgoing, &table);
    }

    fn is_still_own(&self, table: &SliceTable, export: &SliceExport) -> bool {
        let owner = table.owners(Section::Keys)[export.slice.index()];
        table.slot(owner.slot).node_id == self.inputs.own_slot.node_id
            && owner.since_epoch == export.history.since_epoch
    }

    fn hand_over(&self, outgoing: Vec<OutgoingTransfer>, table: &SliceTable) {
        for outgoing_transfer in outgoing {
            let to = &outgoing_transfer.transfer.to.node_id;
            let address = self
                .inputs
                .view
                .borrow()
                .member(to)
                .map(crate::membership::Member::rpc_address);
            let Some(address) = address else {
                continue;
            };
            let moved_exports = outgoing_transfer.exports.into_iter().filter_map(|export| {
                let owner = table.owners(Section::Keys)[export.slice.index()];
                let has_moved = table.slot(owner.slot).node_id == *to;
                has_moved.then_some(Handover {
                    export,
                    moved_by_epoch: owner.since_epoch,
                    to_started_unix_ms: outgoing_transfer.transfer.to_started_unix_ms,
                })
            });
            let handovers = moved_exports.collect();
            tokio::spawn(send_handovers(
                self.inputs.client.clone(),
                address,
                handovers,
            ));
        }
    }
}

async fn send_handovers(client: RpcClient, address: SocketAddr, mut handovers: Vec<Handover>) {
    for _ in 0..MAX_HANDOVER_ATTEMPTS {
        handovers = send_handovers_once(&client, address, handovers).await;
        if handovers.is_empty() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(HANDOVER_PAUSE_MS)).await;
    }
}

/// Returns the handovers that were not accepted; stops at the first call
/// without a response.
async fn send_handovers_once(
    client: &RpcClient,
    address: SocketAddr,
    handovers: Vec<Handover>,
) -> Vec<Handover> {
    let mut remaining = Vec::new();
    let mut handovers = handovers.into_iter();
    while let Some(handover) = handovers.next() {
        match client.hand_over(address, handover.clone()).await {
            Ok(true) => {}
            Ok(false) => remaining.push(handover),
            Err(_) => {
                remaining.push(handover);
                remaining.extend(handovers);
                return remaining;
            }
        }
    }
    remaining
}

fn log_steps(steps: &[Step]) {
    for step in steps {
        match step {
            Step::Suspect { node_id } => event!(Event::SlotSuspected, "slot={node_id}"),
            Step::ClearSuspicion => event!(
                Event::SlicesMoved,
                "cleared the suspicion of the local slot"
            ),
            Step::Claim => event!(
                Event::SlicesMoved,
                "claimed the local slot from its predecessor"
            ),
            Step::TakeOver { node_id, .. } => {
                event!(Event::SlicesMoved, "from={node_id} by=takeover");
            }
            Step::Transfer(transfer) => {
                let (to, count) = (&transfer.to.node_id, transfer.slices.len());
                event!(
                    Event::SlicesMoved,
                    "to={to} section={:?} count={count}",
                    transfer.section
                );
            }
        }
    }
}
