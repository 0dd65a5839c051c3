//! Interface to the origin of the documents.

use {
    super::{Document, DocumentKind, DocumentStore, Versions},
    std::{fmt::Display, future::Future},
};

/// Reads documents from their origin, where operators write them.
pub trait DocumentOrigin: Clone + Send + Sync + 'static {
    /// Error of a failed call.
    type Error: Display + Send;

    /// Kinds of documents that the origin stores.
    const KINDS: &'static [DocumentKind];

    /// Adds newer documents to `store` and returns the newest versions of all kinds,
    /// as of some time during the call.
    fn poll(
        &self,
        store: &DocumentStore,
    ) -> impl Future<Output = Result<Versions, Self::Error>> + Send;

    /// Waits for a document above the held version; `None` when the wait times
    /// out. `None` does not prove that nothing changed.
    fn watch(
        &self,
        kind: DocumentKind,
        held_version: u64,
    ) -> impl Future<Output = Result<Option<Document>, Self::Error>> + Send;

    /// Whether the error is a response of an origin that serves this node.
    fn is_response(_error: &Self::Error) -> bool {
        false
    }
}
