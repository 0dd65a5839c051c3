//! Configuration: operators' files, the published document and its compiled form.

mod check;
mod collect;
mod compile;
mod evacuations;
mod file;
mod hosts;
mod in_force;
mod path;
mod problem;
mod record;

pub use {
    check::{DEFAULT_DEADLINE_MS, DEFAULT_KEY_LEASE_S, DEFAULT_RETRIES},
    collect::{CheckError, SERVICE_FILE, WORKSPACES_FILE, check_dir},
    compile::{CompileError, compile, read_configuration},
    evacuations::{Evacuations, spawn_evacuations_task},
    file::{RouteSection, ServiceFile, WorkspaceSection, WorkspacesFile},
    hosts::{
        HostRoute, HostRoutes, HostedConfiguration, HostedRoute, HostedService, HostedWorkspace,
        compile_hosted, normalize_host,
    },
    in_force::spawn_configuration_task,
    path::{PathError, covers, parse_path},
    problem::Problem,
    record::{
        ConfigurationRecord, Publication, RouteRecord, RulesRecord, ServiceRecord, WorkspaceRecord,
    },
};

use {
    crate::{
        keys::{KeyDigest, KeyState},
        model::{Class, RegionSet, ServiceKey, WorkspaceKey},
        quota::Rate,
    },
    std::collections::{HashMap, HashSet},
};

/// Compiled rules of a route.
#[derives::value]
#[derive(Eq)]
pub struct RouteRules {
    /// HTTP methods that match; empty matches all.
    pub methods: Vec<String>,
    /// Segments of the path pattern, relative to the service; `*` matches one
    /// segment, a trailing `**` the rest.
    pub path: Vec<String>,
    /// Class of its requests.
    pub class: Class,
    /// Whether a request may be executed again after an unknown outcome.
    pub repeatable: bool,
    /// Deadline in milliseconds when the caller sets none, and the maximum.
    pub deadline_ms: u32,
}

/// Compiled rules of a service.
#[derives::value]
#[derive(Eq)]
pub struct ServiceRules {
    /// The service.
    pub service: ServiceKey,
    /// Retries per original request that enters at this service.
    pub retry_limit: u8,
    /// Routes; the first match applies.
    pub routes: Vec<RouteRules>,
}

/// Compiled rules of a workspace.
#[derives::value]
#[derive(Eq)]
pub struct WorkspaceRules {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Class of the workspace, if operators set one.
    pub class: Option<Class>,
    /// Regions in which its requests may run.
    pub regions: RegionSet,
    /// Rate and burst over the whole fleet.
    pub rate: Rate,
    /// How long its keys remain valid in an availability zone that is cut off
    /// from the other zones and from the platform.
    pub key_lease_ms: u64,
}

/// A compiled revision of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CompiledConfiguration {
    /// Version of the platform's object; a node only adopts higher versions.
    pub revision: u64,
    /// Services by key.
    pub services: HashMap<ServiceKey, ServiceRules>,
    /// Routes by host and path prefix, if the deployment uses them.
    pub hosts: HostRoutes,
    /// Service keys by service name, as in request paths.
    pub service_names: HashMap<String, ServiceKey>,
    /// Sustainable rates of cold targets, in requests per second, for services
    /// whose targets start cold.
    pub cold_rates_per_s: HashMap<ServiceKey, u32>,
    /// Paths at which targets tell whether they are healthy and stay.
    pub health_paths: HashMap<ServiceKey, String>,
    /// Workspaces by key.
    pub workspaces: HashMap<WorkspaceKey, WorkspaceRules>,
    /// Granted keys and their workspaces.
    pub granted: HashMap<KeyDigest, WorkspaceKey>,
    /// Revoked keys; never shrinks.
    pub revoked: HashSet<KeyDigest>,
    /// Whether any route or workspace is restricted to certain regions.
    pub restricts_regions: bool,
    /// Maximum size of a request body, in bytes, if the configuration names one.
    pub max_body_bytes: Option<usize>,
}

impl CompiledConfiguration {
    /// Returns the first matching route of the service.
    #[must_use]
    pub fn route(&self, service: ServiceKey, method: &str, path: &str) -> Option<&RouteRules> {
        let rules = self.services.get(&service)?;
        rules
            .routes
            .iter()
            .find(|route| route.matches(method, path))
    }

    /// Returns the regions in which a request may run: those allowed by both its
    /// workspace and, if routes are selected by host, its route.
    #[must_use]
    pub fn allowed_regions(
        &self,
        workspace: WorkspaceKey,
        host: Option<&str>,
        path: &str,
    ) -> RegionSet {
        if !self.restricts_regions {
            return RegionSet::ANY;
        }
        let workspace_regions = self.workspaces.get(&workspace).map(|rules| rules.regions);
        let route_regions =
            host.and_then(|host| Some(self.hosts.find(&normalize_host(host), path)?.regions));
        let [workspace_regions, route_regions] =
            [workspace_regions, route_regions].map(|regions| regions.unwrap_or(RegionSet::ANY));
        workspace_regions.intersection(route_regions)
    }

    /// Returns the state of a key. A revocation overrides any grant.
    #[must_use]
    pub fn key_state(&self, digest: &KeyDigest) -> KeyState {
        if self.revoked.contains(digest) {
            return KeyState::Revoked;
        }
        self.granted
            .get(digest)
            .map_or(KeyState::Unknown, |workspace| KeyState::Granted(*workspace))
    }
}

impl RouteRules {
    /// Whether the route matches the method and the path relative to the service.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches =
            self.methods.is_empty() || self.methods.iter().any(|allowed| allowed == method);
        method_matches && self.path_matches(path)
    }

    fn path_matches(&self, path: &str) -> bool {
        let mut segments = path.split('/').filter(|segment| !segment.is_empty());
        for pattern in &self.path {
            match (pattern.as_str(), segments.next()) {
                ("**", _) => return true,
                ("*", Some(_)) => {}
                (literal, Some(segment)) if literal == segment => {}
                _ => return false,
            }
        }
        segments.next().is_none()
    }
}
