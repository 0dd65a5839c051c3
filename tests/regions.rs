//! Requests restricted to named regions, enforced by the target's node.

mod local_mesh;

use {
    dogwoodbridge::{
        conf::{
            CompiledConfiguration, HostedConfiguration, HostedRoute, HostedWorkspace,
            compile_hosted,
        },
        model::{Class, Names, RegionSet},
    },
    local_mesh::{
        client,
        mesh::{KEY, Mesh},
    },
    std::sync::Arc,
};

fn route(prefix: &str, regions: &[&str]) -> HostedRoute {
    HostedRoute {
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        destinations: vec![("s".to_owned(), 1)],
        class: Class::Standard,
        repeatable: true,
        attempt_limit: 2,
        timeout_ms: 1000,
        latency_objective_ms: 500,
        is_public: false,
        regions: names_of(regions),
    }
}

fn workspace(name: &str, regions: &[&str]) -> HostedWorkspace {
    HostedWorkspace {
        name: name.to_owned(),
        class: None,
        keys: Vec::new(),
        regions: names_of(regions),
        rate_per_s: 0,
        burst_count: 0,
    }
}

fn names_of(regions: &[&str]) -> Vec<String> {
    regions.iter().map(|region| (*region).to_owned()).collect()
}

/// A route and a workspace may both restrict regions; a request may run only in regions
/// that both allow.
#[test]
fn route_and_workspace_regions_both_apply() {
    struct Case {
        workspace: &'static str,
        path: &'static str,
        allowed: &'static [&'static str],
    }
    let names = Names::new();
    let running = compile_hosted(
        &HostedConfiguration {
            version: 1,
            routes: vec![route("/any/", &[]), route("/east/", &["east", "north"])],
            services: Vec::new(),
            workspaces: vec![
                workspace("unrestricted", &[]),
                workspace("eastern", &["east"]),
                workspace("western", &["west"]),
            ],
            max_body_bytes: None,
        },
        &names,
    );
    const REGIONS: [&str; 3] = ["east", "north", "west"];
    let cases = [
        Case {
            workspace: "unrestricted",
            path: "/any/x",
            allowed: &REGIONS,
        },
        Case {
            workspace: "unrestricted",
            path: "/east/x",
            allowed: &["east", "north"],
        },
        Case {
            workspace: "eastern",
            path: "/any/x",
            allowed: &["east"],
        },
        Case {
            workspace: "eastern",
            path: "/east/x",
            allowed: &["east"],
        },
        Case {
            workspace: "western",
            path: "/east/x",
            allowed: &[],
        },
    ];
    for case in cases {
        let workspace = names.workspace(case.workspace);
        let regions = running.allowed_regions(workspace, Some("H:80"), case.path);
        let allowed = REGIONS.iter().copied();
        let allowed: Vec<&str> = allowed
            .filter(|region| regions.allows(names.region(region)))
            .collect();
        assert_eq!(allowed, case.allowed, "{} {}", case.workspace, case.path);
    }
}

/// The sender has an older configuration and sends a request to a region where it may no
/// longer run. The target's node refuses it as not run.
#[tokio::test(flavor = "multi_thread")]
async fn the_targets_node_refuses_requests_not_allowed_in_its_region() {
    let mesh = Mesh::start(&["b", "a"]).await;
    let target_instance = &mesh.instances[1];
    let mut running = CompiledConfiguration::clone(&target_instance.node.running());
    let other_region = RegionSet::only([target_instance.node.names.region("other")]);
    for rules in running.workspaces.values_mut() {
        rules.regions = other_region;
    }
    running.restricts_regions = true;
    target_instance.running.send_replace(Arc::new(running));
    let headers = [("dogwood-key", KEY)];
    let request = client::request("GET", "/a/echo", &headers, b"");
    let response = client::send(mesh.instances[0].caller_address(), request).await;
    assert_eq!(response.summary(), (503, "not-run", "outside-regions"));
    assert!(target_instance.target.executions().is_empty());
}
