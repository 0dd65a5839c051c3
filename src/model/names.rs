//! Stable keys for names that come from configuration.

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
            /// The key at this place.
            #[must_use]
            pub const fn new(index: u16) -> Self {
                Self(index)
            }

            /// Place in tables that hold one row per name.
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
    /// An availability zone, as members name it.
    ZoneKey
}

name_key! {
    /// A region, as members and configuration name it.
    RegionKey
}

#[derive(Debug, Default)]
struct Table {
    keys: HashMap<String, u16>,
    names: Vec<String>,
}

impl Table {
    fn intern(&mut self, name: &str) -> u16 {
        if let Some(index) = self.keys.get(name) {
            return *index;
        }
        let index = u16::try_from(self.names.len()).expect("fewer than 65,536 names");
        self.names.push(name.to_owned());
        self.keys.insert(name.to_owned(), index);
        index
    }
}

/// Names of services, workspaces, availability zones and regions and their keys.
///
/// Keys are local to a process and are never reused, so that state keyed by
/// them survives a change of configuration. Between nodes names travel.
/// Clones share one table.
#[derive(Debug, Clone, Default)]
pub struct Names {
    services: Arc<RwLock<Table>>,
    workspaces: Arc<RwLock<Table>>,
    zones: Arc<RwLock<Table>>,
    regions: Arc<RwLock<Table>>,
}

impl Names {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Key of a service; the name is added when it is new.
    ///
    /// Only for names from checked configuration or authenticated members:
    /// the table never shrinks.
    pub fn service(&self, name: &str) -> ServiceKey {
        ServiceKey(intern(&self.services, name))
    }

    /// Key of a workspace; the name is added when it is new.
    pub fn workspace(&self, name: &str) -> WorkspaceKey {
        WorkspaceKey(intern(&self.workspaces, name))
    }

    /// Key of an availability zone; the name is added when it is new.
    pub fn zone(&self, name: &str) -> ZoneKey {
        ZoneKey(intern(&self.zones, name))
    }

    /// Key of a region; the name is added when it is new.
    pub fn region(&self, name: &str) -> RegionKey {
        RegionKey(intern(&self.regions, name))
    }

    /// Name of a service.
    #[must_use]
    pub fn service_name(&self, key: ServiceKey) -> String {
        name_at(&self.services, key.index())
    }

    /// Name of a workspace.
    #[must_use]
    pub fn workspace_name(&self, key: WorkspaceKey) -> String {
        name_at(&self.workspaces, key.index())
    }
}

fn intern(table: &RwLock<Table>, name: &str) -> u16 {
    if let Some(index) = table.read().expect("lock is not poisoned").keys.get(name) {
        return *index;
    }
    table.write().expect("lock is not poisoned").intern(name)
}

fn name_at(table: &RwLock<Table>, index: usize) -> String {
    table
        .read()
        .expect("lock is not poisoned")
        .names
        .get(index)
        .cloned()
        .unwrap_or_default()
}
