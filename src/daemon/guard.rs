//! The guard of the whole fleet: homes by the slice table.

use {
    crate::{
        guard::{BeginDecision, ExecutionResult, GuardHome, GuardKey, KeyedRequest},
        model::{Reason, Refusal},
        node::{Home, KeyGuard},
        slices::{Section, VersionedSliceTable},
    },
    std::sync::Arc,
    tokio::sync::watch,
};

/// When to come back to a node that has no slice table yet.
const NO_TABLE_RETRY_MS: u32 = 1000;

/// Finds a key's home in the slice table; decides for the slices of its own.
pub struct FleetGuard {
    node_id: String,
    own: Arc<GuardHome>,
    tables: watch::Receiver<Option<Arc<VersionedSliceTable>>>,
}

impl FleetGuard {
    /// The guard as seen from this node.
    pub const fn new(
        node_id: String,
        own: Arc<GuardHome>,
        tables: watch::Receiver<Option<Arc<VersionedSliceTable>>>,
    ) -> Self {
        Self {
            node_id,
            own,
            tables,
        }
    }
}

impl KeyGuard for FleetGuard {
    fn home(&self, key: GuardKey) -> Result<Home, Refusal> {
        let held = self.tables.borrow();
        let Some(held) = held.as_ref() else {
            let refusal = Refusal::not_run(Reason::NoHome);
            return Err(refusal.with_retry_after_ms(NO_TABLE_RETRY_MS));
        };
        let owner = held.table.owner(Section::Keys, key.slice());
        if owner.node_id == self.node_id {
            return Ok(Home::Local);
        }
        Ok(Home::Node(owner.node_id.clone()))
    }

    fn begin(&self, request: KeyedRequest) -> BeginDecision {
        self.own.begin(&request)
    }

    fn finish(&self, key: GuardKey, finish: ExecutionResult) {
        self.own.finish(key, finish);
    }
}
