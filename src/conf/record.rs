//! The configuration document as stored in the platform.

use {crate::model::Class, uuid::Uuid};

/// Who published a configuration, and when.
#[derives::record]
#[derive(Eq)]
pub struct Publication {
    /// Unique to this publication. When the response to a publish is lost,
    /// reading the document back shows whether it was stored.
    pub publish_id: Uuid,
    /// Name of the publisher.
    pub publisher: String,
    /// Publication time by the publisher's clock, in milliseconds since the Unix epoch.
    pub published_unix_ms: u64,
}

/// The content of a configuration document.
#[derives::record]
#[derive(Eq)]
pub struct ConfigurationRecord {
    /// Who published it, and when.
    pub publication: Publication,
    /// The published services and workspaces.
    pub rules: RulesRecord,
}

/// Services and workspaces of a configuration.
#[derives::record]
#[derive(Eq, Default)]
pub struct RulesRecord {
    /// Services, sorted by name.
    pub services: Vec<ServiceRecord>,
    /// Workspaces, sorted by name.
    pub workspaces: Vec<WorkspaceRecord>,
}

/// A service.
#[derives::record]
#[derive(Eq)]
pub struct ServiceRecord {
    /// Name of the service.
    pub name: String,
    /// Retries per original request that enters at this service.
    pub retry_limit: u8,
    /// Sustainable rate of a cold target, in requests per second; 0: targets are
    /// never cold.
    #[serde(default)]
    pub cold_rate_per_s: u32,
    /// Routes; the first match applies.
    pub routes: Vec<RouteRecord>,
}

/// A route.
#[derives::record]
#[derive(Eq)]
pub struct RouteRecord {
    /// HTTP methods that match; empty matches all.
    pub methods: Vec<String>,
    /// Path pattern relative to the service, split into segments.
    pub path: Vec<String>,
    /// Class of its requests.
    pub class: Class,
    /// Whether a request may be executed again after an unknown outcome.
    pub repeatable: bool,
    /// Default and maximum deadline.
    pub deadline_ms: u32,
}

/// A workspace.
#[derives::record]
#[derive(Eq)]
pub struct WorkspaceRecord {
    /// Name of the workspace.
    pub name: String,
    /// Regions in which its requests may run; empty for all.
    #[serde(default)]
    pub regions: Vec<String>,
    /// Requests per second over the whole fleet.
    pub rate_per_s: u32,
    /// Burst size in requests, over the whole fleet.
    pub burst_count: u32,
    /// How long its keys remain valid in a zone that is cut off.
    pub key_lease_ms: u64,
}
