//! Where the documents come from.

use {
    super::{Document, DocumentKind, DocumentStore, Versions},
    std::{fmt::Display, future::Future},
};

/// Reads documents from where operators write them.
pub trait DocumentOrigin: Clone + Send + Sync + 'static {
    /// Why a call brought nothing.
    type Error: Display + Send;

    /// Kinds that are kept there.
    const KINDS: &'static [DocumentKind];

    /// Offers `store` what it lacks and gives the newest versions of all kinds.
    ///
    /// The versions are those of a moment between call and answer.
    fn look(
        &self,
        store: &DocumentStore,
    ) -> impl Future<Output = Result<Versions, Self::Error>> + Send;

    /// A document above the held version; `None` once the wait has run out.
    /// An answer says nothing about changes that it does not tell.
    fn watch(
        &self,
        kind: DocumentKind,
        held_version: u64,
    ) -> impl Future<Output = Result<Option<Document>, Self::Error>> + Send;

    /// Whether the error is an answer: the origin was reached and serves this node.
    fn is_answer(_error: &Self::Error) -> bool {
        false
    }
}
