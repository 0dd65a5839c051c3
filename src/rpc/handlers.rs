//! Handles the calls of other nodes with the modules of a node.

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

/// Source of the documents that this node holds.
pub trait DocumentSource: Send + Sync + 'static {
    /// The document, if its version is above `above_version`.
    fn document(&self, kind: DocumentKind, above_version: u64) -> Option<Document>;
}

/// Handlers for all calls to a node.
pub struct NodeHandlers<D> {
    documents: D,
    quota: LeasedQuota,
    guard: Arc<GuardHome>,
}

impl<D: DocumentSource> NodeHandlers<D> {
    /// Creates handlers that use these modules.
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

    fn lease(&self, request: LeaseRequest) -> LeaseResponse {
        self.quota.lease(&request)
    }

    async fn borrow(&self, request: BorrowRequest) -> BorrowResponse {
        self.quota.borrow(request).await
    }

    fn take_over(&self, workspace: WorkspaceKey) -> Option<PoolHandover> {
        self.quota.take_over(workspace)
    }

    fn hand_over(&self, handover: Handover) -> bool {
        self.guard.hand_over(handover)
    }
}
