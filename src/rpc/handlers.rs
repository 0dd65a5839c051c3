//! What a node answers, put together from its parts.

use {
    super::Handlers,
    crate::{
        documents::{Document, DocumentKind},
        guard::{GuardHome, Handover},
        model::WorkspaceKey,
        quota::{
            BorrowRequest, BorrowResponse, LeaseRequest, LeaseResponse, LeasedQuota, PoolHandover,
        },
    },
    std::sync::Arc,
};

/// Holds the documents of this node.
pub trait DocumentSource: Send + Sync + 'static {
    /// The document, if its version is above the given one.
    fn document(&self, kind: DocumentKind, above_version: u64) -> Option<Document>;
}

/// Answers of a whole node.
pub struct NodeHandlers<D> {
    documents: D,
    quota: LeasedQuota,
    guard: Arc<GuardHome>,
}

impl<D: DocumentSource> NodeHandlers<D> {
    /// Answers from these parts.
    #[must_use]
    pub const fn new(documents: D, quota: LeasedQuota, guard: Arc<GuardHome>) -> Self {
        Self {
            documents,
            quota,
            guard,
        }
    }
}

impl<D: DocumentSource> Handlers for NodeHandlers<D> {
    fn document(&self, kind: DocumentKind, above_version: u64) -> Option<Document> {
        self.documents.document(kind, above_version)
    }

    fn lease(&self, ask: LeaseRequest) -> LeaseResponse {
        self.quota.lease(&ask)
    }

    async fn borrow(&self, ask: BorrowRequest) -> BorrowResponse {
        self.quota.borrow(ask).await
    }

    fn take_over(&self, workspace: WorkspaceKey) -> Option<PoolHandover> {
        self.quota.take_over(workspace)
    }

    fn hand_over(&self, handover: Handover) -> bool {
        self.guard.hand_over(handover)
    }
}
