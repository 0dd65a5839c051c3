//! JSON lists and tables that several writers share.
//!
//! Each entry is kept as text and decoded alone: one that is nested too deeply, holds a number out
//! of range or lacks a field would otherwise make the whole document unreadable.

use {
    crate::{event, events::Event},
    serde::{Deserialize, de::DeserializeOwned},
    serde_json::value::RawValue,
    std::{borrow::Cow, collections::BTreeMap, fmt::Display},
};

/// Entries of a list, not decoded yet.
#[derive(Debug, Default, Deserialize)]
#[serde(transparent)]
pub struct Entries(Vec<Box<RawValue>>);

impl Entries {
    /// The last entry that can be read.
    #[must_use]
    pub fn last_readable<T: DeserializeOwned>(&self) -> Option<T> {
        let mut decoded = self.0.iter().rev();
        decoded.find_map(|entry| serde_json::from_str(entry.get()).ok())
    }

    /// The entries that can be read; logs the others as entries of `list`.
    pub fn readable<T: DeserializeOwned>(&self, list: &str) -> Vec<T> {
        let decoded = self.0.iter().zip(0..);
        decoded
            .filter_map(|(entry, index): (_, usize)| readable(entry, list, &index))
            .collect()
    }
}

/// Named entries of a table, not decoded yet.
#[derive(Debug, Default, Deserialize)]
#[serde(transparent)]
pub struct NamedEntries(BTreeMap<String, Box<RawValue>>);

impl NamedEntries {
    /// The entries by name; `None` for each that cannot be read, which is logged as one of `table`.
    pub fn decode<T: DeserializeOwned>(self, table: &str) -> Vec<(String, Option<T>)> {
        let entries = self.0.into_iter();
        entries
            .map(|(name, entry)| {
                let decoded = readable(&entry, table, &name);
                (name, decoded)
            })
            .collect()
    }

    /// The entries that can be read.
    pub fn readable<T: DeserializeOwned>(self, table: &str) -> impl Iterator<Item = (String, T)> {
        let decoded = self.decode(table).into_iter();
        decoded.filter_map(|(name, entry)| Some((name, entry?)))
    }
}

/// Decodes one entry; logs why it cannot be read.
fn readable<T: DeserializeOwned>(entry: &RawValue, list: &str, name: &impl Display) -> Option<T> {
    let decoded = serde_json::from_str(entry.get());
    decoded
        .inspect_err(|error| {
            event!(
                Event::EntryUnreadable,
                "list={list} entry={name} error={error}"
            );
        })
        .ok()
}

/// Text in which bytes that are not UTF-8 are replaced, so that they affect only the entry that
/// holds them.
#[must_use]
pub fn to_text(bytes: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(bytes)
}
