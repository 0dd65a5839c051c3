//! Interned names of services, workspaces, zones and regions.

use std::{
    collections::HashMap,
    sync::{Arc, RwLock},
};

macro_rules! name_key {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derives::key]
        pub struct $name(u16);

        impl $name {
            /// The key with this index.
            #[must_use]
            pub const fn new(index: u16) -> Self {
                Self(index)
            }

            /// Index into tables that hold one row per name.
            #[must_use]
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

name_key! {
    /// A service, as named in configuration and announced by targets.
    ServiceKey
}

name_key! {
    /// A workspace, as named in configuration.
    WorkspaceKey
}

name_key! {
    /// An availability zone, as named by fleet members.
    ZoneKey
}

name_key! {
    /// A region, as named by fleet members and configuration.
    RegionKey
}

#[derive(Debug, Default)]
struct NameTable {
    indexes: HashMap<String, u16>,
    names: Vec<String>,
}

impl NameTable {
    fn intern(&mut self, name: &str) -> u16 {
        if let Some(index) = self.indexes.get(name) {
            return *index;
        }
        let index = u16::try_from(self.names.len()).expect("a table holds fewer than 65,536 names");
        self.names.push(name.to_owned());
        self.indexes.insert(name.to_owned(), index);
        index
    }
}

/// Maps names of services, workspaces, availability zones and regions to keys.
///
/// Keys are local to a process and never reused, so that state indexed by them stays valid when
/// the configuration changes. Messages between nodes carry names. Clones share the same tables.
#[derive(Debug, Clone, Default)]
pub struct Names {
    services: Arc<RwLock<NameTable>>,
    workspaces: Arc<RwLock<NameTable>>,
    zones: Arc<RwLock<NameTable>>,
    regions: Arc<RwLock<NameTable>>,
}

impl Names {
    /// Empty tables.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Key of a service; a new name is added.
    ///
    /// Only for names from validated configuration or authenticated members, since the table never
    /// shrinks.
    pub fn service(&self, name: &str) -> ServiceKey {
        ServiceKey(intern(&self.services, name))
    }

    /// Key of a workspace; a new name is added.
    pub fn workspace(&self, name: &str) -> WorkspaceKey {
        WorkspaceKey(intern(&self.workspaces, name))
    }

    /// Key of an availability zone; a new name is added.
    pub fn zone(&self, name: &str) -> ZoneKey {
        ZoneKey(intern(&self.zones, name))
    }

    /// Key of a region; a new name is added.
    pub fn region(&self, name: &str) -> RegionKey {
        RegionKey(intern(&self.regions, name))
    }

    /// Name of a service; empty if the key is unknown.
    #[must_use]
    pub fn service_name(&self, key: ServiceKey) -> String {
        name_of(&self.services, key.index())
    }

    /// Name of a workspace; empty if the key is unknown.
    #[must_use]
    pub fn workspace_name(&self, key: WorkspaceKey) -> String {
        name_of(&self.workspaces, key.index())
    }
}

fn intern(table: &RwLock<NameTable>, name: &str) -> u16 {
    if let Some(index) = table
        .read()
        .expect("lock is not poisoned")
        .indexes
        .get(name)
    {
        return *index;
    }
    table.write().expect("lock is not poisoned").intern(name)
}

fn name_of(table: &RwLock<NameTable>, index: usize) -> String {
    table
        .read()
        .expect("lock is not poisoned")
        .names
        .get(index)
        .cloned()
        .unwrap_or_default()
}
