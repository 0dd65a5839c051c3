//! The configuration document as it stands in the platform.

use {crate::model::Class, uuid::Uuid};

/// Who published a configuration, and when.
#[derives::record]
#[derive(Eq)]
pub struct Publication {
    /// Tells this publication from every other one; a lost answer is resolved
    /// by reading it back.
    pub publish_id: Uuid,
    /// Who published.
    pub publisher: String,
    /// When, in milliseconds since the Unix epoch on the publisher's clock.
    pub published_unix_ms: u64,
}

/// All that one publication puts into force.
#[derives::record]
#[derive(Eq)]
pub struct ConfigurationRecord {
    /// Who published it.
    pub publication: Publication,
    /// Its content.
    pub rules: RulesRecord,
}

/// Services and workspaces, without who published them.
#[derives::record]
#[derive(Eq, Default)]
pub struct RulesRecord {
    /// Services, by name.
    pub services: Vec<ServiceRecord>,
    /// Workspaces, by name.
    pub workspaces: Vec<WorkspaceRecord>,
}

/// A service.
#[derives::record]
#[derive(Eq)]
pub struct ServiceRecord {
    /// Name.
    pub name: String,
    /// Retries for one original request that enters here.
    pub retry_limit: u8,
    /// Requests a second that a cold target bears; 0 where targets are never cold.
    #[serde(default)]
    pub cold_rate_per_s: u32,
    /// Routes, the first match counts.
    pub routes: Vec<RouteRecord>,
}

/// A route.
#[derives::record]
#[derive(Eq)]
pub struct RouteRecord {
    /// Methods that match; empty matches all.
    pub methods: Vec<String>,
    /// Path below the service, in segments.
    pub path: Vec<String>,
    /// Importance.
    pub class: Class,
    /// Whether it may be executed again after an unknown outcome.
    pub repeatable: bool,
    /// Default and longest deadline.
    pub deadline_ms: u32,
}

/// A workspace.
#[derives::record]
#[derive(Eq)]
pub struct WorkspaceRecord {
    /// Name.
    pub name: String,
    /// Regions in which its requests may run; empty for all.
    #[serde(default)]
    pub regions: Vec<String>,
    /// Requests a second over the whole fleet.
    pub rate_per_s: u32,
    /// Requests at once after a pause.
    pub burst_count: u32,
    /// How long its keys go on working in a zone that is cut off.
    pub key_lease_ms: u64,
}
