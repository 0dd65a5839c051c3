//! `dogwoodctl publish`: races, lost answers, where it is in force.

mod platform_support;

use {
    platform_support::{
        FakePlatform, Faults,
        ctl::{Mesh, publish, published_by, publisher_in},
    },
    std::time::Duration,
};

/// How a publication ends under a fault.
struct PublishCase {
    name: &'static str,
    faults: Faults,
    code: i32,
    says: &'static str,
    /// Publisher of what the platform then holds.
    holds: Option<&'static str>,
}

// Answers get lost, another operator publishes at the same time, the platform
// is down. The operator must read what really happened, since acting on a
// wrong report undoes a colleague's work or leaves old rules in force.
#[tokio::test]
async fn publish_reports_rightly_whatever_happens() {
    let fault = Faults::default;
    let cases = [
        PublishCase {
            name: "no fault",
            faults: fault(),
            code: 0,
            says: "published as version 2",
            holds: Some("ann"),
        },
        PublishCase {
            name: "answer lost after it took effect",
            faults: Faults {
                lost_response_count: 1,
                ..fault()
            },
            code: 0,
            says: "published as version 2",
            holds: Some("ann"),
        },
        PublishCase {
            name: "all answers to writes are lost",
            faults: Faults {
                all_responses_lost: true,
                ..fault()
            },
            code: 0,
            says: "published as version 2",
            holds: Some("ann"),
        },
        PublishCase {
            name: "write lost before it took effect",
            faults: Faults {
                lost_write_count: 1,
                ..fault()
            },
            code: 0,
            says: "published as version 2",
            holds: Some("ann"),
        },
        PublishCase {
            name: "another operator is first",
            faults: Faults {
                concurrent_write: Some(published_by("bob")),
                ..fault()
            },
            code: 1,
            says: "NOT published: conflict with version 2 by bob",
            holds: Some("bob"),
        },
        PublishCase {
            name: "lost before, then another operator is first",
            faults: Faults {
                lost_write_count: 1,
                concurrent_write: Some(published_by("bob")),
                ..fault()
            },
            code: 1,
            says: "NOT published: conflict with version 2 by bob",
            holds: Some("bob"),
        },
        PublishCase {
            name: "answer lost, then another operator publishes on top",
            faults: Faults {
                lost_response_count: 1,
                concurrent_write: Some(published_by("bob")),
                ..fault()
            },
            code: 1,
            says: "NOT in force: the answer was lost, and now version 3 by bob",
            holds: Some("bob"),
        },
        PublishCase {
            name: "no write is ever answered",
            faults: Faults {
                lost_write_count: 1_000,
                ..fault()
            },
            code: 3,
            says: "UNKNOWN whether published after 5 tries",
            holds: Some("eve"),
        },
        PublishCase {
            name: "down",
            faults: Faults {
                down: true,
                ..fault()
            },
            code: 1,
            says: "NOT published: the exchange with the platform broke off",
            holds: Some("eve"),
        },
        PublishCase {
            name: "the platform refuses the size",
            faults: Faults {
                status: Some(413),
                ..fault()
            },
            code: 1,
            says: "NOT published",
            holds: Some("eve"),
        },
    ];
    for case in cases {
        let fake = FakePlatform::new().await;
        fake.put("configuration", &published_by("eve"));
        fake.set_faults(case.faults);
        let ran = publish(&fake, &[]).await;
        assert!(
            ran.output.contains(case.says),
            "{}: {}{}",
            case.name,
            ran.output,
            ran.errors
        );
        assert_eq!(ran.code, case.code, "{}: {}", case.name, ran.output);
        assert_eq!(publisher_in(&fake).as_deref(), case.holds, "{}", case.name);
    }
}

// The platform's reads are behind while two operators publish. The loser must
// still read the winner's name and not that of an older publication.
#[tokio::test]
async fn a_conflict_names_the_winner_once_reads_catch_up() {
    let fake = FakePlatform::new().await;
    fake.put("configuration", &published_by("eve"));
    fake.set_faults(Faults {
        stale: true,
        concurrent_write: Some(published_by("bob")),
        ..Faults::default()
    });
    let catch_up = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fake.set_faults(Faults::default());
    };
    let (ran, ()) = tokio::join!(publish(&fake, &[]), catch_up);
    assert!(ran.output.contains("version 2 by bob"), "{}", ran.output);
}

#[tokio::test]
async fn two_operators_at_once_have_one_winner() {
    let fake = FakePlatform::new().await;
    fake.put("configuration", &published_by("eve"));
    let condition = ["--if-version", "1"];
    let (first, second) = tokio::join!(publish(&fake, &condition), publish(&fake, &condition));
    let mut codes = [first.code, second.code];
    codes.sort_unstable();
    assert_eq!(codes, [0, 1], "{}{}", first.output, second.output);
    assert_eq!(fake.get("configuration").0, 2);
}

#[tokio::test]
async fn publish_waits_until_it_is_in_force_in_each_zone() {
    let mesh = Mesh::new().await;
    let seed = mesh.seed();
    let sync = async {
        while mesh.fake.get("configuration").0 < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        mesh.sync().await;
    };
    let wait = ["--nodes", &seed, "--wait-ms", "60000"];
    let (ran, ()) = tokio::join!(publish(&mesh.fake, &wait), sync);
    assert_eq!(ran.code, 0, "{}", ran.output);
    assert!(
        ran.output.contains("zone az1: in force (1 of 1 nodes)"),
        "{}",
        ran.output
    );
    assert!(
        ran.output.contains("zone az2: in force (1 of 1 nodes)"),
        "{}",
        ran.output
    );

    let ran = publish(&mesh.fake, &["--nodes", &seed, "--wait-ms", "100"]).await;
    assert_eq!(
        ran.code, 3,
        "published, but the nodes are behind: {}",
        ran.output
    );
    assert!(
        ran.output.contains("zone az2: NOT in force everywhere"),
        "{}",
        ran.output
    );
}

// A zone's only node has died. The operator must neither wait for it nor read
// that the revision is in force there.
#[tokio::test]
async fn publish_does_not_wait_for_nodes_that_do_not_answer() {
    let mesh = Mesh::new().await;
    mesh.nodes[1].shutdown.cancel();
    let seed = mesh.seed();
    let sync = async {
        while mesh.fake.get("configuration").0 < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        mesh.sync().await;
    };
    let wait = ["--nodes", &seed, "--wait-ms", "600000"];
    let (ran, ()) = tokio::join!(publish(&mesh.fake, &wait), sync);
    assert_eq!(ran.code, 3, "{}", ran.output);
    assert!(ran.output.contains("zone az1: in force"), "{}", ran.output);
    let dead = "zone az2: NOT in force everywhere (0 of 1 nodes, 1 did not answer)";
    assert!(ran.output.contains(dead), "{}", ran.output);
}
