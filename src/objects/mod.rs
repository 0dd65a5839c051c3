//! The platform's object store as the product needs it.
//!
//! What must last lies there and nowhere else. An adapter implements
//! [`ObjectStore`] for the API of a deployment; when to call, how often to
//! repeat and what to believe is decided here.

mod follower;
mod origin;

pub use {
    follower::{FollowParts, FollowedName, FollowedNames, follow},
    origin::ObjectOrigin,
};

use std::future::Future;

/// An object of some kind.
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

/// A change that a watch tells of.
#[derives::value]
pub enum Change {
    /// The object was created or replaced.
    Put(StoredObject),
    /// The object of this name was removed.
    Removed(String),
}

/// Changes since the revision that was asked for.
#[derives::value]
pub struct Changes {
    /// In their order; none if the wait ran out.
    pub changes: Vec<Change>,
    /// Where to go on.
    pub as_of: u64,
}

/// Why a call of the store brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No connection could be made: the call was not executed.
    #[error("cannot connect: {0}")]
    Unreachable(std::io::Error),
    /// No answer in time; a write may have been executed, or be later.
    #[error("no answer within {limit_ms} ms")]
    TimedOut {
        /// The limit.
        limit_ms: u64,
    },
    /// The connection broke; a write may have been executed, or be later.
    #[error("connection: {0}")]
    Broken(String),
    /// The store refuses for now: too many calls, or an outage.
    #[error("the store refuses for now with status {status}")]
    Busy {
        /// Its status.
        status: u16,
    },
    /// The history that the watch asked for is gone.
    #[error("the history since the revision is gone")]
    HistoryGone,
    /// The object has another revision than the write named, or exists already.
    #[error("the object has changed")]
    Conflict,
    /// There is no such object.
    #[error("there is no such object")]
    NotFound,
    /// An answer that cannot be read.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// Condition of a write.
#[derives::key]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this revision.
    Revision(u64),
}

/// Calls of the object store.
///
/// Each call is made at most once; plain reads are linearizable.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// All objects of a kind.
    fn list(&self, kind: &str) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Changes of a kind after a revision, once there are any or the wait has
    /// run out.
    fn watch(
        &self,
        kind: &str,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Writes an object on a condition; its new revision.
    fn write(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
        content: Vec<u8>,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;
}
