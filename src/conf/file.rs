//! TOML structure of the files that operators write.
//!
//! Every field is optional and numbers are signed, so that validation can
//! report all problems of a file at once instead of only the first.

use {serde::Deserialize, toml::Spanned};

/// A service file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceFile {
    /// Name of the service, as in request paths and target announcements.
    pub service: Option<Spanned<String>>,
    /// Retries per original request that enters at this service.
    pub retries: Option<Spanned<i64>>,
    /// Deadline of routes that set none.
    pub deadline_ms: Option<Spanned<i64>>,
    /// Sustainable rate of a cold target, in requests per second; when absent,
    /// targets are never cold.
    pub cold_rate_per_s: Option<Spanned<i64>>,
    /// Routes; the first match applies.
    #[serde(default, rename = "route")]
    pub routes: Vec<Spanned<RouteSection>>,
}

/// A `[[route]]` of a service file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSection {
    /// HTTP methods that match; all when absent.
    pub methods: Option<Vec<Spanned<String>>>,
    /// Path relative to the service; `*` matches one segment, a trailing `**`
    /// the rest.
    pub path: Option<Spanned<String>>,
    /// `browse`, `standard` or `critical`.
    pub class: Option<Spanned<String>>,
    /// Whether a request may be executed again after an unknown outcome; false
    /// when absent.
    pub repeatable: Option<Spanned<bool>>,
    /// Deadline in milliseconds when the caller sets none, and the maximum.
    pub deadline_ms: Option<Spanned<i64>>,
}

/// `workspaces.toml`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspacesFile {
    /// The `[[workspace]]` sections.
    #[serde(default, rename = "workspace")]
    pub workspaces: Vec<Spanned<WorkspaceSection>>,
}

/// A `[[workspace]]` of `workspaces.toml`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSection {
    /// Regions in which its requests may run; all when absent.
    pub regions: Option<Vec<Spanned<String>>>,
    /// Name of the workspace.
    pub name: Option<Spanned<String>>,
    /// Requests per second over the whole fleet.
    pub rate_per_s: Option<Spanned<i64>>,
    /// Burst size in requests, over the whole fleet.
    pub burst: Option<Spanned<i64>>,
    /// Seconds for which its keys remain valid in an availability zone that is
    /// cut off.
    pub key_lease_s: Option<Spanned<i64>>,
}
