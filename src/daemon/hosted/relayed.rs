//! What a hosted node answers to calls of other nodes.

use crate::{
    documents::{Document, DocumentKind, DocumentStore},
    guard::Handover,
    model::WorkspaceKey,
    quota::{BorrowAnswer, BorrowAsk, Estate, LeaseAnswer, LeaseAsk},
    rpc::{DocumentSource, Handlers},
};

/// Gives documents; holds neither slices of quota nor of idempotency keys.
pub struct DocumentHandlers {
    documents: DocumentStore,
}

impl DocumentHandlers {
    /// Answers from these documents.
    pub const fn new(documents: DocumentStore) -> Self {
        Self { documents }
    }
}

impl Handlers for DocumentHandlers {
    fn document(&self, kind: DocumentKind, above_version: u64) -> Option<Document> {
        DocumentSource::document(&self.documents, kind, above_version)
    }

    fn lease(&self, _ask: LeaseAsk) -> LeaseAnswer {
        LeaseAnswer::default()
    }

    async fn borrow(&self, _ask: BorrowAsk) -> BorrowAnswer {
        BorrowAnswer::default()
    }

    fn take_over(&self, _workspace: WorkspaceKey) -> Option<Estate> {
        None
    }

    fn hand_over(&self, _handover: Handover) -> bool {
        false
    }
}
