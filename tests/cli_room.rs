//! `dogwoodctl room` against fake nodes.

mod platform_support;

use {
    dogwoodbridge::control::{ClassCounts, Figure, TargetCapacity, WorkspaceRefusalCount},
    platform_support::{
        ctl::ctl,
        node::{FakeNode, idle_target},
    },
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// How a listener in front of a node passes on what the node sends.
#[derive(Clone, Copy)]
enum Link {
    /// Each part later by this.
    Delayed(Duration),
    /// Only on the first connection; later ones stay silent.
    FirstConnectionOnly,
    /// Never.
    Silent,
}

async fn listen_in_front_of(node: SocketAddr, link: Link) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let mut connection_count = 0;
        while let Ok((caller, _)) = listener.accept().await {
            connection_count += 1;
            let is_passed_on = match link {
                Link::Delayed(_) => true,
                Link::FirstConnectionOnly => connection_count == 1,
                Link::Silent => false,
            };
            let delay = match link {
                Link::Delayed(delay) => delay,
                Link::FirstConnectionOnly | Link::Silent => Duration::ZERO,
            };
            tokio::spawn(pass_on(caller, node, delay, is_passed_on));
        }
    });
    address
}

async fn pass_on(caller: TcpStream, node: SocketAddr, delay: Duration, is_passed_on: bool) {
    let node = TcpStream::connect(node).await.expect("the node listens");
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_node, mut to_node) = node.into_split();
    let answers = async {
        let mut part = vec![0; 1 << 16];
        while let Ok(length @ 1..) = from_node.read(&mut part).await {
            tokio::time::sleep(delay).await;
            if is_passed_on && to_caller.write_all(&part[..length]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = answers => {}
        _ = tokio::io::copy(&mut from_caller, &mut to_node) => {}
    }
}

/// Nodes that know each other; the link in front of each, if there is one.
struct Nodes {
    nodes: Vec<FakeNode>,
    /// Addresses that the members tell each other.
    addresses: Vec<SocketAddr>,
    own_addresses: Vec<SocketAddr>,
}

impl Nodes {
    async fn spawn(links: &[Option<Link>]) -> Self {
        let (mut nodes, mut addresses) = (Vec::new(), Vec::new());
        let mut own_addresses = Vec::new();
        for (link, number) in links.iter().zip(1..) {
            let zone = format!("az{number}");
            let (node, address) = FakeNode::spawn(&format!("n{number}"), &zone).await;
            addresses.push(match link {
                Some(link) => listen_in_front_of(address, *link).await,
                None => address,
            });
            own_addresses.push(address);
            nodes.push(node);
        }
        let members: Vec<_> = nodes
            .iter()
            .zip(&addresses)
            .map(|(node, address)| node.member(*address))
            .collect();
        for node in &nodes {
            *node.members.lock().expect("not poisoned") = members.clone();
        }
        Self {
            nodes,
            addresses,
            own_addresses,
        }
    }

    fn set(&self, index: usize, capacity: Option<TargetCapacity>) {
        *self.nodes[index].capacity.lock().expect("not poisoned") = capacity;
    }

    fn seed(&self) -> String {
        self.addresses[0].to_string()
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.shutdown.cancel();
        }
    }
}

fn refused(workspaces: &[(&str, u64)]) -> Vec<WorkspaceRefusalCount> {
    let counts = workspaces.iter();
    let counts = counts.map(|(workspace, count)| WorkspaceRefusalCount {
        workspace: (*workspace).to_owned(),
        count: *count,
        excess_max_count: 0,
    });
    counts.collect()
}

fn scarce_target(work_time_percent: u32, supply_percent: u32) -> TargetCapacity {
    let figure = |value, age_ms| Figure { value, age_ms };
    TargetCapacity {
        running: figure(150, 0),
        waiting: figure(130, 0),
        slots: figure(150, 700),
        work_time_percent: figure(work_time_percent, 80),
        supply_percent: figure(supply_percent, 0),
        load_percent: figure(187, 0),
        refused_by_class: ClassCounts {
            browse: 60,
            standard: 9,
            critical: 1,
        },
        refused_by_workspace: refused(&[("summit-cards", 40), ("back-office", 20)]),
        last_refused_ago_ms: Some(15),
        ..idle_target()
    }
}

fn json(output: &str) -> Value {
    serde_json::from_str(output).expect("JSON")
}

/// Guards against sums and means over the wrong targets, such as an unknown figure counted as 0,
/// and against a node that is counted twice because it was found under two addresses.
#[tokio::test]
async fn figures_are_summed_up_by_service() {
    let nodes = Nodes::spawn(&[None, None, None, None]).await;
    nodes.set(0, Some(scarce_target(250, 60)));
    nodes.set(1, Some(scarce_target(100, 0)));
    let other = TargetCapacity {
        service: "prices".to_owned(),
        ..idle_target()
    };
    nodes.set(2, Some(other));
    nodes.set(3, None);
    let second_address =
        listen_in_front_of(nodes.addresses[0], Link::Delayed(Duration::ZERO)).await;
    let seeds = format!("{},{second_address}", nodes.seed());
    let ran = ctl(&["room", "--nodes", &seeds, "--output", "json"]).await;
    assert_eq!(ran.code, 0, "{}{}", ran.output, ran.errors);
    let report = json(&ran.output);
    assert_eq!(
        (&report["node_count"], &report["responded_count"]),
        (&Value::from(4), &Value::from(4))
    );
    assert_eq!(report["services"].as_array().map(Vec::len), Some(2));
    let catalog = &report["services"][0];
    for (pointer, expected) in [
        ("/service", Value::from("catalog")),
        ("/target_count", 2.into()),
        ("/unknown_target_count", 0.into()),
        ("/slots/total", 300.into()),
        ("/running/total", 300.into()),
        ("/waiting/total", 260.into()),
        ("/work_time_percent/known_count", 2.into()),
        ("/work_time_percent/mean", 175.0.into()),
        ("/work_time_percent/lowest", 100.into()),
        ("/work_time_percent/highest", 250.into()),
        ("/supply_percent/known_count", 1.into()),
        ("/supply_percent/mean", 60.0.into()),
        ("/refused/by_class/browse", 120.into()),
        ("/refused/by_class/critical", 2.into()),
        ("/refused/by_workspace/0/workspace", "summit-cards".into()),
        ("/refused/by_workspace/0/count", 80.into()),
        ("/refused/unlisted_count", 20.into()),
    ] {
        assert_eq!(catalog.pointer(pointer), Some(&expected), "{pointer}");
    }
    let age_ms = catalog["oldest_age_ms"].as_u64().expect("a number");
    assert!(age_ms >= 700, "slots were announced 700 ms ago: {age_ms}");
    let prices = &report["services"][1];
    assert_eq!(prices["work_time_percent"]["mean"], Value::Null);

    let ran = ctl(&["room", "catalog", "--nodes", &seeds]).await;
    assert_eq!(ran.code, 0, "{}", ran.errors);
    for expected in [
        "service catalog: 2 targets, oldest figure ",
        "  slots             300        -        -        -        2",
        "  work time %         -      175      100      250        2",
        "  supply %            -       60       60       60        1",
        "  refused in the last 10 s: 120 browse, 18 standard, 2 critical; age ",
        "    summit-cards 80\n    back-office 40\n    workspaces not listed 20\n",
        "4 of 4 nodes responded",
    ] {
        assert!(ran.output.contains(expected), "{expected}: {}", ran.output);
    }
    assert!(!ran.output.contains("prices"), "{}", ran.output);
}

/// Guards against more than ten workspaces, or refusals of the others that are lost silently.
#[tokio::test]
async fn ten_workspaces_are_listed_and_the_rest_is_counted() {
    let nodes = Nodes::spawn(&[None, None]).await;
    for (index, first) in [(0, 0), (1, 5)] {
        let names: Vec<String> = (first..first + 10)
            .map(|number| format!("w{number}"))
            .collect();
        let counts: Vec<_> = names.iter().map(|name| (name.as_str(), 10)).collect();
        let target = TargetCapacity {
            refused_by_class: ClassCounts {
                browse: 100,
                ..ClassCounts::default()
            },
            refused_by_workspace: refused(&counts),
            ..idle_target()
        };
        nodes.set(index, Some(target));
    }
    let ran = ctl(&["room", "--nodes", &nodes.seed(), "--output", "json"]).await;
    let refused = &json(&ran.output)["services"][0]["refused"];
    assert_eq!(refused["by_workspace"].as_array().map(Vec::len), Some(10));
    assert_eq!(refused["by_workspace"][4]["count"], 20, "{refused}");
    assert_eq!(refused["unlisted_count"], 50, "{refused}");
}

/// A fleet in which the third node behaves like this.
struct LinkCase {
    name: &'static str,
    link: Link,
    code: i32,
    is_silent: bool,
    age_min_ms: u64,
}

/// Guards against a node that does not respond and is left out or counted as idle, and against
/// figures of a late node that look fresh.
#[tokio::test]
async fn silent_nodes_are_named_and_late_ones_aged() {
    const DELAY_MS: u64 = 400;
    let cases = [
        LinkCase {
            name: "never responds",
            link: Link::Silent,
            code: 3,
            is_silent: true,
            age_min_ms: 0,
        },
        LinkCase {
            name: "responds to the first call only",
            link: Link::FirstConnectionOnly,
            code: 3,
            is_silent: true,
            age_min_ms: 0,
        },
        LinkCase {
            name: "responds late",
            link: Link::Delayed(Duration::from_millis(DELAY_MS)),
            code: 0,
            is_silent: false,
            age_min_ms: DELAY_MS,
        },
    ];
    for case in cases {
        let name = case.name;
        let nodes = Nodes::spawn(&[None, None, Some(case.link)]).await;
        let ran = ctl(&["room", "--nodes", &nodes.seed(), "--output", "json"]).await;
        assert_eq!(ran.code, case.code, "{name}: {}", ran.output);
        let report = json(&ran.output);
        let catalog = &report["services"][0];
        let silent_count = u64::from(case.is_silent);
        assert_eq!(report["node_count"], 3, "{name}");
        assert_eq!(report["responded_count"], 3 - silent_count, "{name}");
        assert_eq!(catalog["unknown_target_count"], silent_count, "{name}");
        assert_eq!(catalog["target_count"], 3 - silent_count, "{name}");
        assert_eq!(
            catalog["slots"]["total"],
            150 * (3 - silent_count),
            "{name}"
        );
        let age_ms = catalog["oldest_age_ms"].as_u64().expect("a number");
        assert!(age_ms >= case.age_min_ms, "{name}: {age_ms}");
        let silent = report["did_not_respond"].as_array().expect("a list");
        let named: Vec<_> = silent.iter().map(|node| &node["node_id"]).collect();
        let expected: &[&str] = if case.is_silent { &["n3"] } else { &[] };
        assert_eq!(named, expected, "{name}");
        if case.is_silent {
            assert_eq!(silent[0]["service"], "catalog", "{name}");
            let ran = ctl(&["room", "catalog", "--nodes", &nodes.seed()]).await;
            let line = format!("\n  n3 az3 {} (service catalog): ", nodes.addresses[2]);
            assert!(ran.output.contains(&line), "{name}: {}", ran.output);
            let head = "service catalog: 2 targets, 1 unknown, oldest";
            assert!(ran.output.contains(head), "{name}: {}", ran.output);
        }
    }
}

/// Guards against an empty table for a misspelt service, and against a service that seems unknown
/// because the only node that has it does not respond.
#[tokio::test]
async fn an_unknown_service_is_an_error_that_lists_the_known_ones() {
    let nodes = Nodes::spawn(&[None, None, Some(Link::Silent)]).await;
    nodes.set(0, None);
    let other = TargetCapacity {
        service: "prices".to_owned(),
        ..idle_target()
    };
    nodes.set(1, Some(other));
    let seed = nodes.seed();
    let ran = ctl(&["room", "catalogue", "--nodes", &seed]).await;
    assert_eq!(ran.code, 1, "{}", ran.output);
    let expected = "no target announces service \"catalogue\"; known are: catalog, prices; \
                    1 nodes did not answer";
    assert!(ran.errors.contains(expected), "{}", ran.errors);
    let ran = ctl(&["room", "catalog", "--nodes", &seed]).await;
    assert_eq!(ran.code, 3, "{}", ran.errors);
    let head = "service catalog: 0 targets, 1 unknown";
    assert!(ran.output.contains(head), "{}", ran.output);
}

/// Guards against a node that is reported as silent because one of its two addresses is.
#[tokio::test]
async fn a_node_that_responds_at_another_address_is_not_silent() {
    let nodes = Nodes::spawn(&[None, Some(Link::FirstConnectionOnly)]).await;
    let second_address =
        listen_in_front_of(nodes.own_addresses[1], Link::Delayed(Duration::ZERO)).await;
    let seeds = format!("{},{second_address}", nodes.seed());
    let ran = ctl(&["room", "--nodes", &seeds]).await;
    assert_eq!(ran.code, 0, "{}", ran.output);
    assert!(
        ran.output.contains("2 of 2 nodes responded"),
        "{}",
        ran.output
    );
}

/// Guards against a fleet that is out of reach and looks like one without load.
#[tokio::test]
async fn no_response_at_all_is_a_failure() {
    let nodes = Nodes::spawn(&[Some(Link::Silent)]).await;
    let ran = ctl(&["room", "catalog", "--nodes", &nodes.seed()]).await;
    assert_eq!(ran.code, 1, "{}", ran.output);
    assert!(
        ran.output.contains("0 of 1 nodes responded"),
        "{}",
        ran.output
    );
    let ran = ctl(&["room"]).await;
    assert!(ran.errors.contains("--nodes is missing"), "{}", ran.errors);
}
