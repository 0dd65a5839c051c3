//! Publications: who wins, what the operator is told, and that no node ever
//! goes back to an earlier revision.

use {
    lab::{
        mesh::{ConfFile, CtlOutput},
        process::Process,
        proofs::{Fixture, pair},
        rules::{cut_from_platform, isolate},
        wait::{GENEROUS_LIMIT, wait_until},
    },
    standins::{
        faultproxy::{CutMode, Rule},
        platform,
    },
    std::{
        fs,
        path::PathBuf,
        time::{Duration, Instant},
    },
};

/// The product claims 5 s. The machine may be busy with other tests, so the
/// measured time is printed, and only far more than the claim fails.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(15);

const HEALTHY: platform::Faults = platform::Faults {
    down: false,
    slow_ms: 0,
    lose_answers_to_writes: false,
    stale_reads: false,
};

fn directory(fixture: &Fixture, files: &[ConfFile]) -> PathBuf {
    let dir = fixture.mesh.new_dir("publication").expect("a directory");
    for file in files {
        fs::write(dir.join(&file.name), &file.text).expect("written");
    }
    dir
}

async fn publish(fixture: &Fixture, dir: &std::path::Path, publisher: &str) -> CtlOutput {
    let dir = dir.display().to_string();
    let arguments = [
        "--output",
        "json",
        "publish",
        "--publisher",
        publisher,
        &dir,
    ];
    fixture.mesh.ctl(&arguments).await.expect("dogwoodctl runs")
}

fn report(output: &CtlOutput) -> serde_json::Value {
    serde_json::from_str(&output.stdout).unwrap_or_else(|error| panic!("{error}: {output:?}"))
}

/// Waits until all nodes have at least this revision in force.
async fn wait_in_force(fixture: &Fixture, revision: u64) {
    for index in 0..fixture.mesh.instances.len() {
        let in_force = wait_until("the revision is in force", GENEROUS_LIMIT, || async {
            let own = fixture.revision(index).await?;
            (own >= revision).then_some(())
        });
        in_force.await.expect("in force");
    }
}

/// Two operators publish at the same moment, with the platform well or slow,
/// so that both build on the same revision. One has to win; were both told
/// that they did, one of them would believe in rules that are not in force.
/// The winner's revision is in force everywhere.
#[tokio::test]
async fn one_of_two_operators_wins_and_the_other_is_told_so() {
    struct Case {
        name: &'static str,
        faults: platform::Faults,
    }
    let cases = [
        Case {
            name: "no fault",
            faults: HEALTHY,
        },
        Case {
            name: "platform slow",
            faults: platform::Faults {
                slow_ms: 800,
                ..HEALTHY
            },
        },
    ];
    let fixture = Fixture::start(pair()).await.expect("a mesh");
    let admin = fixture.mesh.platform_admin();
    let dirs = [1, 3].map(|retry_count| directory(&fixture, &fixture.changed_files(retry_count)));
    for case in cases {
        admin
            .set_platform_faults(case.faults)
            .await
            .expect("faults");
        let outputs = tokio::join!(
            publish(&fixture, &dirs[0], "anna"),
            publish(&fixture, &dirs[1], "bert"),
        );
        let reports = [(report(&outputs.0), "anna"), (report(&outputs.1), "bert")];
        let of = |outcome: &str| {
            reports
                .iter()
                .find(|(report, _)| report["outcome"] == outcome)
        };
        let (Some(won), Some(lost)) = (of("published"), of("conflict")) else {
            // They may have come one after the other; both are in force then.
            let mut versions = reports.iter().map(|(report, _)| report["version"].as_u64());
            let versions = [versions.next().flatten(), versions.next().flatten()];
            assert!(versions[0] != versions[1], "{}: {reports:?}", case.name);
            assert!(
                versions.iter().all(Option::is_some),
                "{}: {reports:?}",
                case.name
            );
            println!("{}: one after the other", case.name);
            continue;
        };
        println!(
            "{}: {} won, {} was told of a conflict",
            case.name, won.1, lost.1
        );
        let named = &lost.0["winner"]["publication"]["publisher"];
        assert_eq!(named, won.1, "{}: {:?}", case.name, lost.0);
        let revision = won.0["version"].as_u64().expect("a version");
        wait_in_force(&fixture, revision).await;
        assert_eq!(fixture.revision(0).await, Some(revision), "{}", case.name);
        admin
            .set_platform_faults(HEALTHY)
            .await
            .expect("faults lifted");
    }
}

/// An operator publishes while the platform has trouble of some kind. What the
/// operator is told has to be true, and what is published has to be in force
/// on all nodes within seconds.
#[tokio::test]
async fn publication_is_in_force_and_reported_rightly() {
    struct Case {
        name: &'static str,
        faults: platform::Faults,
        rules: Vec<Rule>,
        outcome: &'static str,
    }
    let cases = [
        Case {
            name: "no fault",
            faults: HEALTHY,
            rules: vec![],
            outcome: "published",
        },
        // The write takes effect but its answer is lost. An operator who were
        // told of a failure would publish again over a colleague's work.
        Case {
            name: "answer lost",
            faults: platform::Faults {
                lose_answers_to_writes: true,
                ..HEALTHY
            },
            rules: vec![],
            outcome: "published",
        },
        // Reads show the revision before; nodes that believed them would never
        // see the new one.
        Case {
            name: "stale reads",
            faults: platform::Faults {
                stale_reads: true,
                ..HEALTHY
            },
            rules: vec![],
            outcome: "published",
        },
        Case {
            name: "platform slow",
            faults: platform::Faults {
                slow_ms: 500,
                ..HEALTHY
            },
            rules: vec![],
            outcome: "published",
        },
        // Nodes of the zone learn of it from the other zone.
        Case {
            name: "zone cut from the platform",
            faults: HEALTHY,
            rules: cut_from_platform("az2", CutMode::Reset),
            outcome: "published",
        },
        Case {
            name: "platform down",
            faults: platform::Faults {
                down: true,
                ..HEALTHY
            },
            rules: vec![],
            outcome: "not-published",
        },
    ];
    let fixture = Fixture::start(pair()).await.expect("a mesh");
    let admin = fixture.mesh.platform_admin();
    let proxy = fixture.mesh.proxy_admin();
    for (retry_count, case) in (3..).zip(cases) {
        let before = fixture.revision(0).await.expect("a revision");
        let dir = directory(&fixture, &fixture.changed_files(retry_count));
        admin
            .set_platform_faults(case.faults)
            .await
            .expect("faults");
        proxy.set_rules(case.rules).await.expect("rules");
        let started = Instant::now();
        let output = publish(&fixture, &dir, "anna").await;
        let report = report(&output);
        assert_eq!(report["outcome"], case.outcome, "{}: {report}", case.name);
        if case.outcome == "published" {
            let revision = report["version"].as_u64().expect("a version");
            assert_eq!(revision, before + 1, "{}: written once", case.name);
            wait_in_force(&fixture, revision).await;
            let took = started.elapsed();
            println!("{}: in force on all nodes after {took:?}", case.name);
            assert!(took < IN_FORCE_LIMIT, "{}: {took:?}", case.name);
            assert_eq!(output.code, Some(0), "{}: {output:?}", case.name);
        } else {
            assert_ne!(output.code, Some(0), "{}: {output:?}", case.name);
        }
        admin
            .set_platform_faults(HEALTHY)
            .await
            .expect("faults lifted");
        proxy.set_rules(Vec::new()).await.expect("rules lifted");
        if case.outcome != "published" {
            assert_eq!(fixture.revision(0).await, Some(before), "{}", case.name);
        }
    }
}

fn node(fixture: &mut Fixture, index: usize) -> &mut Process {
    fixture.mesh.instances[index].node.as_mut().expect("a node")
}

/// Nodes are killed and start again, one after the other, while the platform
/// shows the revision before or nothing at all. A node that believed it would
/// bring old rules back; one that started without any would refuse everybody.
#[tokio::test]
async fn restarted_nodes_never_go_back() {
    struct Case {
        name: &'static str,
        faults: platform::Faults,
        /// Whether no neighbour is left that knows better.
        all_at_once: bool,
    }
    let cases = [
        Case {
            name: "stale reads",
            faults: platform::Faults {
                stale_reads: true,
                ..HEALTHY
            },
            all_at_once: false,
        },
        Case {
            name: "platform down",
            faults: platform::Faults {
                down: true,
                ..HEALTHY
            },
            all_at_once: false,
        },
        Case {
            name: "platform slow and stale",
            faults: platform::Faults {
                stale_reads: true,
                slow_ms: 300,
                ..HEALTHY
            },
            all_at_once: false,
        },
        // The platform's stale reads are all that nodes have to go by.
        Case {
            name: "stale reads, all nodes at once",
            faults: platform::Faults {
                stale_reads: true,
                ..HEALTHY
            },
            all_at_once: true,
        },
    ];
    let mut fixture = Fixture::start(pair()).await.expect("a mesh");
    let admin = fixture.mesh.platform_admin();
    for (retry_count, case) in (3..).zip(cases) {
        let files = fixture.changed_files(retry_count);
        fixture.mesh.publish_files(&files).await.expect("published");
        let revision = fixture.revision(0).await.expect("a revision");
        wait_in_force(&fixture, revision).await;
        admin
            .set_platform_faults(case.faults)
            .await
            .expect("faults");
        let all: Vec<usize> = (0..fixture.mesh.instances.len()).collect();
        let group_size = if case.all_at_once { all.len() } else { 1 };
        for group in all.chunks(group_size) {
            for index in group {
                node(&mut fixture, *index).kill();
            }
            for index in group {
                node(&mut fixture, *index).restart().expect("restarted");
            }
            for index in group {
                check_start(&fixture, *index, revision, case.name).await;
            }
        }
        admin
            .set_platform_faults(HEALTHY)
            .await
            .expect("faults lifted");
    }
}

/// Whatever the node has in force from its first answer on counts.
async fn check_start(fixture: &Fixture, index: usize, revision: u64, name: &str) {
    let ready = fixture.mesh.instances[index].node_admin();
    let seen = wait_until("ready", GENEROUS_LIMIT, || async {
        let own = fixture.revision(index).await;
        let is_right = own.is_none_or(|own| own == 0 || own >= revision);
        assert!(is_right, "{name}: {own:?} in place of {revision}");
        ready.is_ok("/readyz").await.then_some(())
    });
    seen.await.expect(name);
    assert_eq!(fixture.revision(index).await, Some(revision), "{name}");
}

/// All nodes go at once while the platform is down, so nobody is left to ask
/// for a configuration. They wait, refuse with `not-run` and say in the log
/// what they wait for; with the platform back they serve by themselves. A node
/// that finds one neighbour takes its configuration and says so.
#[tokio::test]
async fn start_without_platform_waits_or_takes_a_neighbours_configuration() {
    let mut fixture = Fixture::start(pair()).await.expect("a mesh");
    let admin = fixture.mesh.platform_admin();
    let down = platform::Faults {
        down: true,
        ..HEALTHY
    };
    admin.set_platform_faults(down).await.expect("faults");
    node(&mut fixture, 0).restart().expect("restarted");
    let has_line = |fixture: &Fixture, event: &str, text: &str, after: usize| {
        let event = format!("\"event\":\"{event}\"");
        let log = fixture.mesh.instances[0]
            .node
            .as_ref()
            .expect("a node")
            .log();
        let mut lines = log.get(after..).unwrap_or("").lines();
        lines.any(|line| line.contains(&event) && line.contains(text))
    };
    let ready = fixture.mesh.instances[0].node_admin();
    let taken = wait_until("the neighbour's configuration", GENEROUS_LIMIT, || async {
        let is_said = has_line(&fixture, "E202", "ConfigurationFromNeighbour", 0);
        (is_said && ready.is_ok("/readyz").await).then_some(())
    });
    taken.await.expect("served from a neighbour");
    let log_length = node(&mut fixture, 0).log().len();
    for index in 0..fixture.mesh.instances.len() {
        node(&mut fixture, index).kill();
    }
    for index in 0..fixture.mesh.instances.len() {
        node(&mut fixture, index).restart().expect("restarted");
    }
    let waits = wait_until(
        "the node says what it waits for",
        GENEROUS_LIMIT,
        || async {
            has_line(&fixture, "E102", "waits for a configuration", log_length).then_some(())
        },
    );
    waits.await.expect("a line in the log");
    assert!(!ready.is_ok("/readyz").await);
    let record = fixture.send(0, &fixture.order()).await.expect("a request");
    assert_eq!(record.outcome.as_deref(), Some("not-run"), "{record:?}");
    admin
        .set_platform_faults(HEALTHY)
        .await
        .expect("faults lifted");
    fixture
        .wait_served(&fixture.key)
        .await
        .expect("served again");
}

/// One availability zone is cut off while a revision is published. The others
/// have it in force and the operator is told where it is not; once the cut is
/// over the zone follows by itself.
#[tokio::test]
async fn cut_off_zone_follows_once_it_is_back() {
    let fixture = Fixture::start(pair()).await.expect("a mesh");
    let before = fixture.revision(0).await.expect("a revision");
    let rules = isolate("az2", &["az1", "az2"], CutMode::BlackHole);
    let proxy = fixture.mesh.proxy_admin();
    proxy.set_rules(rules).await.expect("rules");
    let dir = directory(&fixture, &fixture.changed_files(3));
    let output = publish(&fixture, &dir, "anna").await;
    let report = report(&output);
    assert_eq!(report["outcome"], "published", "{report}");
    assert_eq!(output.code, Some(3), "not in force everywhere: {output:?}");
    let far_index = fixture.mesh.instances.len() - 1;
    assert_eq!(fixture.revision(0).await, Some(before + 1));
    assert_eq!(fixture.revision(far_index).await, Some(before));
    proxy.set_rules(Vec::new()).await.expect("rules lifted");
    wait_in_force(&fixture, before + 1).await;
}

/// A node stands still while a revision is published, so it hears of nothing.
/// Once it wakes it must not go on with the old rules for longer than it takes
/// to hear from the others.
#[tokio::test]
async fn paused_node_follows_when_it_wakes() {
    let mut fixture = Fixture::start(pair()).await.expect("a mesh");
    let before = fixture.revision(0).await.expect("a revision");
    node(&mut fixture, 3).pause().await.expect("paused");
    let dir = directory(&fixture, &fixture.changed_files(3));
    let output = publish(&fixture, &dir, "anna").await;
    assert_eq!(report(&output)["outcome"], "published", "{output:?}");
    let started = Instant::now();
    node(&mut fixture, 3).resume().expect("resumed");
    wait_in_force(&fixture, before + 1).await;
    let took = started.elapsed();
    println!("in force on the paused node {took:?} after it woke");
    assert!(took < IN_FORCE_LIMIT, "{took:?}");
}
