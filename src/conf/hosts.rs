//! Routes selected by host and path prefix.

use {
    super::{CompiledConfiguration, WorkspaceRules},
    crate::{
        keys::KeyDigest,
        model::{Class, Names, RegionSet, ServiceKey},
        quota::Rate,
    },
    rand::Rng,
    std::collections::HashMap,
};

/// A configuration with routes selected by host and path prefix, as decoded by
/// an adapter.
#[derives::value]
#[derive(Default)]
pub struct HostedConfiguration {
    /// Increases with each configuration that operators put into force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<HostedRoute>,
    /// Services that routes may use as destinations.
    pub services: Vec<HostedService>,
    /// Workspaces; when empty, no request needs a key.
    pub workspaces: Vec<HostedWorkspace>,
    /// Maximum size of a request body, in bytes; `None` for that of the node's settings.
    pub max_body_bytes: Option<usize>,
}

/// A route selected by host and path prefix.
#[derives::value]
pub struct HostedRoute {
    /// Host, in lower case, without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Destination services with their weights.
    pub destinations: Vec<(String, u32)>,
    /// Class of its requests.
    pub class: Class,
    /// Whether a request may be executed again after an unknown outcome.
    pub repeatable: bool,
    /// Maximum attempts per request, including the first.
    pub attempt_limit: u8,
    /// Maximum time until the final response, in milliseconds.
    pub timeout_ms: u32,
    /// Response time, in milliseconds, up to which a response has its full value.
    pub latency_objective_ms: u32,
    /// Whether requests without a key are accepted.
    pub is_public: bool,
    /// Regions in which its requests may run; empty for all.
    pub regions: Vec<String>,
}

/// A destination service of routes.
#[derives::value]
#[derive(Eq)]
pub struct HostedService {
    /// Name of the service.
    pub name: String,
    /// Sustainable rate of a cold target, in requests per second; 0: targets are
    /// never cold.
    pub cold_rate_per_s: u32,
    /// Path at which a target tells whether it is healthy and stays; empty if there is none.
    pub health_path: String,
}

/// A workspace with its keys.
#[derives::value]
pub struct HostedWorkspace {
    /// Name of the workspace.
    pub name: String,
    /// Class of the workspace, if operators set one.
    pub class: Option<Class>,
    /// Keys granted to the workspace, in plain text.
    pub keys: Vec<String>,
    /// Regions in which its requests may run; empty for all.
    pub regions: Vec<String>,
    /// Requests per second over the whole fleet; 0 for no limit.
    pub rate_per_s: u32,
    /// Burst size in requests, over the whole fleet.
    pub burst_count: u32,
}

/// Routes by host, longest prefix first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostRoutes {
    routes_by_host: HashMap<String, Vec<HostRoute>>,
}

/// A compiled route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRoute {
    prefix: String,
    destinations: Vec<(ServiceKey, u32)>,
    /// Class of its requests.
    pub class: Class,
    /// Whether a request may be executed again after an unknown outcome.
    pub repeatable: bool,
    /// Maximum retries per request.
    pub retry_limit: u8,
    /// Maximum time until the final response, in milliseconds.
    pub timeout_ms: u32,
    /// Response time, in milliseconds, up to which a response has its full value.
    pub latency_objective_ms: u32,
    /// Whether requests without a key are accepted.
    pub is_public: bool,
    /// Regions in which its requests may run.
    pub regions: RegionSet,
}

impl HostRoutes {
    /// Returns the route with the longest prefix that matches the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&HostRoute> {
        let routes = self.routes_by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }

    /// Whether there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes_by_host.is_empty()
    }
}

impl HostRoute {
    /// Picks a destination at random in proportion to the weights.
    pub fn pick_service<R: Rng>(&self, rng: &mut R) -> Option<ServiceKey> {
        let weights = self
            .destinations
            .iter()
            .map(|(_, weight)| u64::from(*weight));
        let total_weight: u64 = weights.sum();
        let mut remaining_weight = rng.random_range(0..total_weight.max(1));
        for (service, weight) in &self.destinations {
            let weight = u64::from(*weight);
            if remaining_weight < weight {
                return Some(*service);
            }
            remaining_weight -= weight;
        }
        self.destinations.first().map(|(service, _)| *service)
    }
}

/// Compiles a decoded configuration.
///
/// The key lease is 0: keys are accepted only while the node can confirm them.
#[must_use]
pub fn compile_hosted(configuration: &HostedConfiguration, names: &Names) -> CompiledConfiguration {
    let mut compiled = CompiledConfiguration {
        revision: configuration.version,
        max_body_bytes: configuration.max_body_bytes,
        ..CompiledConfiguration::default()
    };
    for service in &configuration.services {
        let service_key = names.service(&service.name);
        compiled
            .service_names
            .insert(service.name.clone(), service_key);
        if service.cold_rate_per_s > 0 {
            let cold_rate_per_s = service.cold_rate_per_s;
            compiled
                .cold_rates_per_s
                .insert(service_key, cold_rate_per_s);
        }
        if !service.health_path.is_empty() {
            let health_path = service.health_path.clone();
            compiled.health_paths.insert(service_key, health_path);
        }
    }
    for workspace in &configuration.workspaces {
        add_workspace(workspace, names, &mut compiled);
    }
    let routes_by_host = &mut compiled.hosts.routes_by_host;
    for route in &configuration.routes {
        let routes = routes_by_host.entry(route.host.clone()).or_default();
        routes.push(compile_route(route, names));
    }
    for routes in routes_by_host.values_mut() {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
    let is_restricted = |regions: &[String]| !regions.is_empty();
    compiled.restricts_regions = configuration
        .routes
        .iter()
        .any(|route| is_restricted(&route.regions))
        || configuration
            .workspaces
            .iter()
            .any(|workspace| is_restricted(&workspace.regions));
    compiled
}

/// Converts a host to the form used in routes: lower case, without a port.
#[must_use]
pub fn normalize_host(host: &str) -> String {
    host.split(':').next().unwrap_or(host).to_ascii_lowercase()
}

fn add_workspace(workspace: &HostedWorkspace, names: &Names, compiled: &mut CompiledConfiguration) {
    let workspace_key = names.workspace(&workspace.name);
    let rules = WorkspaceRules {
        workspace: workspace_key,
        class: workspace.class,
        regions: region_set(&workspace.regions, names),
        rate: Rate {
            rate_per_s: workspace.rate_per_s,
            burst_count: workspace.burst_count,
        },
        key_lease_ms: 0,
    };
    compiled.workspaces.insert(workspace_key, rules);
    for key in &workspace.keys {
        compiled
            .granted
            .insert(KeyDigest::of_key(key), workspace_key);
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
        latency_objective_ms: route.latency_objective_ms,
        is_public: route.is_public,
        regions: region_set(&route.regions, names),
    }
}

fn region_set(regions: &[String], names: &Names) -> RegionSet {
    RegionSet::only(regions.iter().map(|region| names.region(region)))
}
