//! Interface to the platform's object store, which holds all persistent state.
//!
//! An adapter implements [`ObjectStore`] for the API of a deployment; when to call,
//! when to retry and which responses to trust is decided here.

mod follower;
mod origin;

pub use {
    follower::{FollowedObject, FollowedObjects, ObjectFollowerInputs, follow},
    origin::ObjectOrigin,
};

use std::future::Future;

/// An object in the store.
#[derives::value]
pub struct StoredObject {
    /// Name within its kind.
    pub name: String,
    /// The store's revision at its last change.
    pub revision: u64,
    /// Content, as JSON text.
    pub content: Vec<u8>,
}

/// All objects of a kind at one moment.
#[derives::value]
pub struct Listing {
    /// The objects, by name.
    pub objects: Vec<StoredObject>,
    /// The store's revision at that moment.
    pub as_of: u64,
}

/// A change returned by a watch.
#[derives::value]
pub enum Change {
    /// The object was created or replaced.
    Put(StoredObject),
    /// The object of this name was removed.
    Removed(String),
}

/// Changes after the requested revision.
#[derives::value]
pub struct Changes {
    /// In order; empty if the wait timed out.
    pub changes: Vec<Change>,
    /// Revision from which the next watch continues.
    pub as_of: u64,
}

/// Error of a failed call to the object store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The connection could not be opened: the call was not executed.
    #[error("cannot connect to the store: {0}")]
    Unreachable(std::io::Error),
    /// No response in time; a write may have been executed, or may be later.
    #[error("no response from the store within {limit_ms} ms")]
    TimedOut {
        /// Timeout of the call, in milliseconds.
        limit_ms: u64,
    },
    /// The connection failed; a write may have been executed, or may be later.
    #[error("connection to the store failed: {0}")]
    Broken(String),
    /// The store rejects calls temporarily: too many calls, or an outage.
    #[error("the store temporarily rejects calls with status {status}")]
    Busy {
        /// HTTP status.
        status: u16,
    },
    /// The store no longer has the history that the watch requires.
    #[error("the store no longer has the history since the requested revision")]
    HistoryGone,
    /// The object has another revision than required, or already exists.
    #[error("the object has changed or already exists")]
    Conflict,
    /// The object does not exist.
    #[error("the object does not exist")]
    NotFound,
    /// The response cannot be parsed.
    #[error("cannot parse the response of the store: {0}")]
    Unreadable(String),
}

/// Condition of a write.
#[derives::key]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object has this revision.
    Revision(u64),
}

/// Calls to the object store.
///
/// Each call is sent at most once; plain reads are linearizable.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Lists all objects of a kind.
    fn list(&self, kind: &str) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Waits up to `wait_ms` for changes of a kind after revision `after`.
    fn watch(
        &self,
        kind: &str,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Writes an object if the condition holds; returns its new revision.
    fn write(
        &self,
        kind: &str,
        name: &str,
        condition: WriteCondition,
        content: Vec<u8>,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;
}
