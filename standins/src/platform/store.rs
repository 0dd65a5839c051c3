//! Objects with versions.

use {
    bytes::Bytes,
    std::{collections::HashMap, sync::Mutex},
    tokio::sync::watch,
};

/// A value and its version; version 0 stands for an absent object.
#[derives::value]
#[derive(Default, Eq)]
pub struct Object {
    /// Grows by one with each write; the first is 1.
    pub version: u64,
    /// Content; empty where absent.
    pub value: Bytes,
}

/// The condition of a write did not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the object is at version {current_version}")]
pub struct VersionConflict {
    /// Version that the object has.
    pub current_version: u64,
}

#[derive(Debug, Default)]
struct Entry {
    current: watch::Sender<Object>,
    previous: Object,
}

/// All objects by name.
#[derive(Debug, Default)]
pub struct Store {
    entries: Mutex<HashMap<String, Entry>>,
}

impl Store {
    /// A store without objects.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The newest version.
    #[must_use]
    pub fn read(&self, name: &str) -> Object {
        self.with_entry(name, |entry| entry.current.borrow().clone())
    }

    /// The version before the newest.
    #[must_use]
    pub fn read_previous(&self, name: &str) -> Object {
        self.with_entry(name, |entry| entry.previous.clone())
    }

    /// Writes if the object still has `if_version` (0: does not exist) and
    /// returns the new version.
    pub fn write(&self, name: &str, if_version: u64, value: Bytes) -> Result<u64, VersionConflict> {
        self.with_entry(name, |entry| {
            let current_version = entry.current.borrow().version;
            if current_version != if_version {
                return Err(VersionConflict { current_version });
            }
            let version = current_version + 1;
            entry.previous = entry.current.send_replace(Object { version, value });
            Ok(version)
        })
    }

    /// Follows the newest version.
    #[must_use]
    pub fn subscribe(&self, name: &str) -> watch::Receiver<Object> {
        self.with_entry(name, |entry| entry.current.subscribe())
    }

    fn with_entry<T>(&self, name: &str, apply: impl FnOnce(&mut Entry) -> T) -> T {
        let mut entries = self.entries.lock().expect("no panic while storing");
        apply(entries.entry(name.to_owned()).or_default())
    }
}
