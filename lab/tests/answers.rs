//! Each caller gets the whole answer to its own request, or is told honestly
//! what may have happened.

use {
    lab::{
        caller::{CallRequest, Judgement},
        proofs::{Fixture, Sent, Traffic, executions_of, pair},
        rules::cut,
        wait::{GENEROUS_LIMIT, wait_until},
    },
    standins::{
        faultproxy::{CutMode, Rule},
        target::Faults,
    },
    std::time::Duration,
};

const PAUSE: Duration = Duration::from_millis(5);

/// How long a fault lasts.
const LOAD_TIME: Duration = Duration::from_secs(2);

/// Reads and orders in turn, each with its own body and a short deadline.
fn mixed(fixture: &Fixture) -> impl Fn(usize) -> CallRequest + Clone + Send + 'static {
    let (read, order) = (fixture.read(), fixture.order());
    move |number| {
        let template = if number % 2 == 0 { &read } else { &order };
        let mut request = CallRequest::new(&template.method, &template.path)
            .with_deadline_ms(700)
            .with_timeout_ms(5000);
        request.key.clone_from(&template.key);
        if request.method == "POST" {
            request = request.with_body(format!("order {number}"));
        }
        request
    }
}

async fn set_faults(fixture: &Fixture, indexes: &[usize], faults: Faults) {
    for index in indexes {
        let admin = fixture.mesh.instances[*index].target_admin();
        admin.set_target_faults(faults).await.expect("faults");
    }
}

/// Sends from all nodes at once.
async fn send_for_a_while(fixture: &Fixture) -> Vec<Sent> {
    let traffic = Traffic::start(&fixture.entries(), PAUSE, mixed(fixture));
    tokio::time::sleep(LOAD_TIME).await;
    traffic.stop().await
}

/// A target answers late, crossed, in parts or with a failure, or it hangs.
/// A caller must neither take such an answer for a whole one nor get the
/// answer to somebody else's request, and `not-run` must be true: a clerk who
/// was told so sends the order again, and the shop pays twice. Afterwards the
/// mesh serves as before.
#[tokio::test]
async fn faulty_targets_never_spoil_an_answer() {
    struct Case {
        name: &'static str,
        /// Instances whose targets have the fault: 0 and 2 are `catalog`, 1 and
        /// 3 `pricing`.
        indexes: &'static [usize],
        faults: Faults,
    }
    let cases = [
        Case {
            name: "cut answers",
            indexes: &[0, 2],
            faults: Faults {
                cut_answers: true,
                ..Faults::default()
            },
        },
        Case {
            name: "cut answers of the deeper service",
            indexes: &[1, 3],
            faults: Faults {
                cut_answers: true,
                ..Faults::default()
            },
        },
        Case {
            name: "crossed answers",
            indexes: &[0, 2],
            faults: Faults {
                cross_answers: true,
                ..Faults::default()
            },
        },
        Case {
            name: "crossed answers of the deeper service",
            indexes: &[1, 3],
            faults: Faults {
                cross_answers: true,
                ..Faults::default()
            },
        },
        Case {
            name: "answers after the deadline",
            indexes: &[0, 2],
            faults: Faults {
                late_ms: 1000,
                ..Faults::default()
            },
        },
        Case {
            name: "half of all requests fail",
            indexes: &[1, 3],
            faults: Faults {
                fail_ratio: 0.5,
                ..Faults::default()
            },
        },
        Case {
            name: "one frozen target",
            indexes: &[0],
            faults: Faults {
                freeze: true,
                ..Faults::default()
            },
        },
    ];
    let fixture = Fixture::start(pair()).await.expect("a mesh");
    let mut all = Vec::new();
    for case in cases {
        set_faults(&fixture, case.indexes, case.faults).await;
        let sent = send_for_a_while(&fixture).await;
        println!("{}: {}", case.name, counts(&sent));
        set_faults(&fixture, case.indexes, Faults::default()).await;
        let entry_count = fixture.entries().len();
        assert!(sent.len() >= entry_count, "{}: no load", case.name);
        all.extend(sent);
        assert_eq!(
            fixture.violations(&all).expect("journals"),
            [],
            "{}",
            case.name
        );
        fixture.wait_served(&fixture.key).await.expect(case.name);
    }
}

/// The way between the zones breaks, stalls or is slow while answers are on
/// it. Connections between nodes die in the middle of answers; none of them
/// may reach a caller as whole, and none may be given to the next request.
#[tokio::test]
async fn broken_ways_between_zones_never_spoil_an_answer() {
    struct Case {
        name: &'static str,
        rules: Vec<Rule>,
    }
    let slow = Rule {
        delay_ms: 900,
        from_zone: Some("az2".to_owned()),
        ..Rule::default()
    };
    let frozen = Rule {
        freeze: true,
        from_zone: Some("az1".to_owned()),
        ..Rule::default()
    };
    let cases = [
        Case {
            name: "reset",
            rules: cut("az1", "az2", CutMode::Reset),
        },
        Case {
            name: "black hole",
            rules: cut("az1", "az2", CutMode::BlackHole),
        },
        Case {
            name: "answers late by more than the deadline",
            rules: vec![slow],
        },
        Case {
            name: "held, then all at once",
            rules: vec![frozen],
        },
    ];
    let fixture = Fixture::start(pair()).await.expect("a mesh");
    // Without pricing in az1, each request there needs the way to az2.
    let frozen = Faults {
        freeze: true,
        ..Faults::default()
    };
    set_faults(&fixture, &[1], frozen).await;
    let proxy = fixture.mesh.proxy_admin();
    let mut all = Vec::new();
    for case in cases {
        let traffic = Traffic::start(&fixture.entries(), PAUSE, mixed(&fixture));
        for _ in 0..3 {
            tokio::time::sleep(Duration::from_millis(500)).await;
            proxy.set_rules(case.rules.clone()).await.expect("rules");
            tokio::time::sleep(Duration::from_millis(500)).await;
            proxy.set_rules(Vec::new()).await.expect("rules lifted");
        }
        let sent = traffic.stop().await;
        println!("{}: {}", case.name, counts(&sent));
        all.extend(sent);
        assert_eq!(
            fixture.violations(&all).expect("journals"),
            [],
            "{}",
            case.name
        );
    }
    set_faults(&fixture, &[1], Faults::default()).await;
    fixture
        .wait_served(&fixture.key)
        .await
        .expect("served again");
}

/// A node is killed, or stopped by SIGSTOP and woken later, with requests in
/// flight. Its callers lose their connections or wait; all others are served,
/// nobody gets a wrong answer, and `not-run` stays true also for requests
/// whose node was gone for a while and sent them late.
#[tokio::test]
async fn killed_and_paused_nodes_never_spoil_an_answer() {
    let mut fixture = Fixture::start(pair()).await.expect("a mesh");
    let traffic = Traffic::start(&fixture.entries(), PAUSE, mixed(&fixture));
    for index in [1, 3, 0] {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let node = fixture.mesh.instances[index].node.as_mut().expect("a node");
        node.pause().await.expect("paused");
        tokio::time::sleep(Duration::from_millis(900)).await;
        node.resume().expect("resumed");
        tokio::time::sleep(Duration::from_millis(400)).await;
        node.restart().expect("killed and restarted");
    }
    let sent = traffic.stop().await;
    println!("{}", counts(&sent));
    assert!(
        Sent::count(&sent, Judgement::Whole) > 0,
        "nobody was served"
    );
    fixture
        .wait_served(&fixture.key)
        .await
        .expect("served again");
    assert_eq!(fixture.violations(&sent).expect("journals"), []);
}

/// A target hangs with an order in its hands until after the caller's
/// deadline. The caller is told `unknown` at its deadline, never `not-run`,
/// because the target goes on with the order once it wakes.
#[tokio::test]
async fn order_in_a_hung_target_is_unknown() {
    let fixture = Fixture::start(pair()).await.expect("a mesh");
    let late = Faults {
        late_ms: 3000,
        ..Faults::default()
    };
    set_faults(&fixture, &[0, 2], late).await;
    let request = fixture.order().with_deadline_ms(500);
    let record = fixture.send_admitted(0, &request).await;
    let record = record.expect("a request");
    assert_eq!(record.judgement, Judgement::Unknown, "{record:?}");
    let begun = wait_until("the order is in a journal", GENEROUS_LIMIT, || async {
        let executions = fixture.executions().ok()?;
        let of_service = executions_of(&executions, "catalog");
        of_service.get(request.test_id.as_str()).map(Vec::len)
    });
    assert_eq!(begun.await.expect("begun"), 1);
}

fn counts(sent: &[Sent]) -> String {
    let count = |judgement| Sent::count(sent, judgement);
    format!(
        "{} sent, {} whole, {} not run, {} unknown, {} failed, {} wrong, {} without answer",
        sent.len(),
        count(Judgement::Whole),
        count(Judgement::NotRun),
        count(Judgement::Unknown),
        count(Judgement::TargetFailed),
        count(Judgement::Wrong),
        count(Judgement::NoAnswer),
    )
}
