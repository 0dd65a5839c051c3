//! The files that operators write, as they stand.
//!
//! Every field is optional here, and numbers are signed, so that the check
//! can report all problems of a file at once instead of the first one.

use {serde::Deserialize, toml::Spanned};

/// A service's file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceFile {
    /// Name of the service, as in request paths and announcements.
    pub service: Option<Spanned<String>>,
    /// Retries for one original request that enters at this service.
    pub retries: Option<Spanned<i64>>,
    /// Deadline of routes that set none.
    pub deadline_ms: Option<Spanned<i64>>,
    /// Requests a second that a target bears while it is cold; without it,
    /// targets are never cold.
    pub cold_rate_per_s: Option<Spanned<i64>>,
    /// Routes, the first match counts.
    #[serde(default, rename = "route")]
    pub routes: Vec<Spanned<RouteSection>>,
}

/// A `[[route]]` of a service's file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSection {
    /// Methods that match; all when absent.
    pub methods: Option<Vec<Spanned<String>>>,
    /// Path below the service; `*` matches one segment, a trailing `**` the
    /// rest.
    pub path: Option<Spanned<String>>,
    /// `browse`, `standard` or `critical`.
    pub class: Option<Spanned<String>>,
    /// Whether it may be executed again after an unknown outcome; not when
    /// absent.
    pub repeatable: Option<Spanned<bool>>,
    /// Deadline when the caller gives none; also the longest one accepted.
    pub deadline_ms: Option<Spanned<i64>>,
}

/// `workspaces.toml`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspacesFile {
    /// Workspaces.
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
    /// Requests a second over the whole fleet.
    pub rate_per_s: Option<Spanned<i64>>,
    /// Requests at once after a pause, over the whole fleet.
    pub burst: Option<Spanned<i64>>,
    /// How long its keys go on working in an availability zone that is cut
    /// off.
    pub key_lease_s: Option<Spanned<i64>>,
}
