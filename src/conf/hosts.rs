//! Routes that are chosen by host and path prefix.

use {
    super::{Running, WorkspaceRules},
    crate::{
        keys::KeyDigest,
        model::{Class, Names, RegionSet, ServiceKey},
        quota::Rate,
    },
    rand::Rng,
    std::collections::HashMap,
};

/// A configuration whose routes are chosen by host and path prefix, as an
/// adapter decoded it.
#[derives::value]
#[derive(Default)]
pub struct HostedConfiguration {
    /// Rises with each configuration that operators put into force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<HostedRoute>,
    /// Services that routes may lead to.
    pub services: Vec<HostedService>,
    /// Workspaces; where there are none, no request needs a key.
    pub workspaces: Vec<HostedWorkspace>,
}

/// A route by host and path prefix.
#[derives::value]
pub struct HostedRoute {
    /// Host, in lower case, without a port.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// Services that share the route's requests, with their weights.
    pub destinations: Vec<(String, u32)>,
    /// Importance.
    pub class: Class,
    /// Whether it may be executed again after an unknown outcome.
    pub repeatable: bool,
    /// Targets that one request may be sent to, the first one included.
    pub attempt_limit: u8,
    /// Longest time until the final answer.
    pub timeout_ms: u32,
    /// Answers within this time are of full use.
    pub aim_ms: u32,
    /// Whether it is served without a key.
    pub is_open: bool,
    /// Regions in which its requests may run; empty for all.
    pub regions: Vec<String>,
}

/// A service that routes may lead to.
#[derives::value]
#[derive(Eq)]
pub struct HostedService {
    /// Name.
    pub name: String,
    /// Requests a second that a cold target bears; 0 where targets are never
    /// cold.
    pub cold_rate_per_s: u32,
}

/// A workspace with its keys.
#[derives::value]
pub struct HostedWorkspace {
    /// Name.
    pub name: String,
    /// Importance of the workspace, where operators ranked it.
    pub class: Option<Class>,
    /// Keys that stand for it.
    pub keys: Vec<String>,
    /// Regions in which its requests may run; empty for all.
    pub regions: Vec<String>,
    /// Requests a second over the whole fleet; 0 for no limit.
    pub rate_per_s: u32,
    /// Requests at once after a pause.
    pub burst_count: u32,
}

/// Routes by host, the longest prefix first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostRoutes {
    by_host: HashMap<String, Vec<HostRoute>>,
}

/// A compiled route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRoute {
    prefix: String,
    destinations: Vec<(ServiceKey, u32)>,
    /// Importance.
    pub class: Class,
    /// Whether it may be executed again after an unknown outcome.
    pub repeatable: bool,
    /// Further targets that one request may be sent to.
    pub retry_limit: u8,
    /// Longest time until the final answer.
    pub timeout_ms: u32,
    /// Answers within this time are of full use.
    pub aim_ms: u32,
    /// Whether it is served without a key.
    pub is_open: bool,
    /// Regions in which its requests may run.
    pub regions: RegionSet,
}

impl HostRoutes {
    /// The route with the longest prefix of the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&HostRoute> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

impl HostRoute {
    /// One of the services, each as often as its weight says.
    pub fn draw_service<R: Rng>(&self, rng: &mut R) -> Option<ServiceKey> {
        let total: u32 = self.destinations.iter().map(|(_, weight)| weight).sum();
        let mut left = rng.random_range(0..total.max(1));
        for (service, weight) in &self.destinations {
            if left < *weight {
                return Some(*service);
            }
            left -= weight;
        }
        self.destinations.first().map(|(service, _)| *service)
    }
}

/// Compiles a decoded configuration.
///
/// Keys are honoured for no longer than the node can confirm them: their lease
/// without confirmation is 0.
#[must_use]
pub fn compile_hosted(configuration: &HostedConfiguration, names: &Names) -> Running {
    let mut running = Running {
        revision: configuration.version,
        ..Running::default()
    };
    for service in &configuration.services {
        let key = names.service(&service.name);
        running.service_names.insert(service.name.clone(), key);
        if service.cold_rate_per_s > 0 {
            let rate_per_s = service.cold_rate_per_s;
            running.cold_rates_per_s.insert(key, rate_per_s);
        }
    }
    for workspace in &configuration.workspaces {
        add_workspace(workspace, names, &mut running);
    }
    let by_host = &mut running.hosts.by_host;
    for route in &configuration.routes {
        let routes = by_host.entry(route.host.clone()).or_default();
        routes.push(compile_route(route, names));
    }
    for routes in by_host.values_mut() {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
    let is_restricted = |regions: &[String]| !regions.is_empty();
    running.restricts_regions = configuration
        .routes
        .iter()
        .any(|route| is_restricted(&route.regions))
        || configuration
            .workspaces
            .iter()
            .any(|workspace| is_restricted(&workspace.regions));
    running
}

/// A host as routes name it: in lower case, without a port.
#[must_use]
pub fn plain_host(host: &str) -> String {
    host.split(':').next().unwrap_or(host).to_ascii_lowercase()
}

fn add_workspace(workspace: &HostedWorkspace, names: &Names, running: &mut Running) {
    let key = names.workspace(&workspace.name);
    let rules = WorkspaceRules {
        workspace: key,
        class: workspace.class,
        regions: region_set(&workspace.regions, names),
        rate: Rate {
            rate_per_s: workspace.rate_per_s,
            burst_count: workspace.burst_count,
        },
        key_lease_ms: 0,
    };
    running.workspaces.insert(key, rules);
    for presented in &workspace.keys {
        running.granted.insert(KeyDigest::of_key(presented), key);
    }
}

fn compile_route(route: &HostedRoute, names: &Names) -> HostRoute {
    let destinations = route.destinations.iter();
    HostRoute {
        prefix: route.prefix.clone(),
        destinations: destinations
            .map(|(service, weight)| (names.service(service), *weight))
            .collect(),
        class: route.class,
        repeatable: route.repeatable,
        retry_limit: route.attempt_limit.saturating_sub(1),
        timeout_ms: route.timeout_ms,
        aim_ms: route.aim_ms,
        is_open: route.is_open,
        regions: region_set(&route.regions, names),
    }
}

fn region_set(regions: &[String], names: &Names) -> RegionSet {
    RegionSet::only(regions.iter().map(|region| names.region(region)))
}
