//! Configuration: operators' files, the published document, its running form.

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
    evacuations::{Evacuations, spawn_evacuations},
    file::{RouteSection, ServiceFile, WorkspaceSection, WorkspacesFile},
    hosts::{
        HostRoute, HostRoutes, HostedConfiguration, HostedRoute, HostedService, HostedWorkspace,
        compile_hosted, plain_host,
    },
    in_force::spawn_in_force,
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

/// Rules of a route.
#[derives::value]
#[derive(Eq)]
pub struct RouteRules {
    /// Methods that match; empty matches all.
    pub methods: Vec<String>,
    /// Path below the service, `/`-separated; `*` matches one segment, a
    /// trailing `**` matches the rest.
    pub path: Vec<String>,
    /// Importance.
    pub class: Class,
    /// Whether it may be executed again after an unknown outcome.
    pub repeatable: bool,
    /// Deadline when the caller gives none; also the longest one accepted.
    pub deadline_ms: u32,
}

/// Rules of a service.
#[derives::value]
#[derive(Eq)]
pub struct ServiceRules {
    /// The service.
    pub service: ServiceKey,
    /// Retries for one original request that enters at this service.
    pub retry_limit: u8,
    /// Routes, the first match counts.
    pub routes: Vec<RouteRules>,
}

/// Rules of a workspace.
#[derives::value]
#[derive(Eq)]
pub struct WorkspaceRules {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Importance of the workspace, where operators ranked it.
    pub class: Option<Class>,
    /// Regions in which its requests may run.
    pub regions: RegionSet,
    /// Rate and burst over the whole fleet.
    pub rate: Rate,
    /// How long its keys go on working in an availability zone that is cut
    /// off from the others and from the platform.
    pub key_lease_ms: u64,
}

/// A revision of the configuration, ready for use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Running {
    /// Version of the platform's object; nodes only move to higher ones.
    pub revision: u64,
    /// Services by key.
    pub services: HashMap<ServiceKey, ServiceRules>,
    /// Routes by host and path prefix, where a deployment has such.
    pub hosts: HostRoutes,
    /// Service keys by the name in request paths.
    pub service_names: HashMap<String, ServiceKey>,
    /// Requests a second that a cold target of a service bears, where targets are
    /// cold after their start.
    pub cold_rates_per_s: HashMap<ServiceKey, u32>,
    /// Workspaces by key.
    pub workspaces: HashMap<WorkspaceKey, WorkspaceRules>,
    /// Granted keys.
    pub granted: HashMap<KeyDigest, WorkspaceKey>,
    /// Revoked keys; only grows.
    pub revoked: HashSet<KeyDigest>,
    /// Whether any route or workspace is restricted to regions.
    pub restricts_regions: bool,
}

impl Running {
    /// The first route of the service that matches.
    #[must_use]
    pub fn route(&self, service: ServiceKey, method: &str, path: &str) -> Option<&RouteRules> {
        let rules = self.services.get(&service)?;
        rules
            .routes
            .iter()
            .find(|route| route.matches(method, path))
    }

    /// Regions in which a request may run, by its workspace and by its route where
    /// routes are chosen by host; both bind.
    #[must_use]
    pub fn regions_of(&self, workspace: WorkspaceKey, host: Option<&str>, path: &str) -> RegionSet {
        if !self.restricts_regions {
            return RegionSet::ANY;
        }
        let of_workspace = self.workspaces.get(&workspace).map(|rules| rules.regions);
        let of_route =
            host.and_then(|host| Some(self.hosts.find(&plain_host(host), path)?.regions));
        let [of_workspace, of_route] =
            [of_workspace, of_route].map(|regions| regions.unwrap_or(RegionSet::ANY));
        of_workspace.intersection(of_route)
    }

    /// What a key is worth. A revocation outweighs every grant.
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
    /// Whether the route matches this method and path below the service.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
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
