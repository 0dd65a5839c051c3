//! Requests while the platform is down, slow, loses answers or lies.

use {
    lab::{
        caller::{CallRequest, Judgement},
        proofs::{Fixture, Sent, Traffic, executions_of, pair},
    },
    standins::platform::Faults,
    std::time::Duration,
};

const PAUSE: Duration = Duration::from_millis(5);
/// Longer than it takes nodes to notice, and longer than leases last.
const FAULT_TIME: Duration = Duration::from_secs(5);

const HEALTHY: Faults = Faults {
    down: false,
    slow_ms: 0,
    lose_answers_to_writes: false,
    stale_reads: false,
};

/// Reads and orders in turn.
fn mixed(fixture: &Fixture) -> impl Fn(usize) -> CallRequest + Clone + Send + 'static {
    let (path, key) = (fixture.path(), fixture.key.clone());
    move |number| {
        let method = if number % 2 == 0 { "GET" } else { "POST" };
        CallRequest::new(method, &path).with_key(&key)
    }
}

/// The platform has an outage, is slow for long, loses the answers to writes
/// or shows what it held before, while chains of calls run in both zones. No
/// caller may notice: nothing is doubled, cut or crossed, hardly anything is
/// refused although its workspace is inside its rate, and each order reaches the second service of its chain once.
#[tokio::test]
async fn requests_go_on_without_a_working_platform() {
    struct Case {
        name: &'static str,
        faults: Faults,
    }
    let cases = [
        Case {
            name: "down",
            faults: Faults {
                down: true,
                ..HEALTHY
            },
        },
        Case {
            name: "slow",
            faults: Faults {
                slow_ms: 3000,
                ..HEALTHY
            },
        },
        Case {
            name: "answers to writes lost",
            faults: Faults {
                lose_answers_to_writes: true,
                ..HEALTHY
            },
        },
        Case {
            name: "stale reads",
            faults: Faults {
                stale_reads: true,
                ..HEALTHY
            },
        },
    ];
    let fixture = Fixture::start(pair()).await.expect("a mesh");
    let admin = fixture.mesh.platform_admin();
    for case in cases {
        admin
            .set_platform_faults(case.faults)
            .await
            .expect("faults");
        let traffic = Traffic::start(&fixture.entries(), PAUSE, mixed(&fixture));
        tokio::time::sleep(FAULT_TIME).await;
        let sent = traffic.stop().await;
        admin
            .set_platform_faults(HEALTHY)
            .await
            .expect("faults lifted");
        let whole_count = Sent::count(&sent, Judgement::Whole);
        println!("{}: {whole_count} of {} whole", case.name, sent.len());
        assert_eq!(
            fixture.violations(&sent).expect("journals"),
            [],
            "{}",
            case.name
        );
        let refused = refusals(&sent);
        println!("{}: refused {refused:?} ms after the start", case.name);
        let refused_limit = sent.len() / 100;
        assert!(refused.len() <= refused_limit, "{}: {refused:?}", case.name);
        let executions = fixture.executions().expect("journals");
        let at_second = executions_of(&executions, "pricing");
        let of_order = |one: &&Sent| one.request.method == "POST";
        for order in sent.iter().filter(of_order) {
            let expected = usize::from(order.record.judgement == Judgement::Whole);
            let count = at_second
                .get(order.record.test_id.as_str())
                .map_or(0, Vec::len);
            assert_eq!(count, expected, "{}: {:?}", case.name, order.record);
        }
    }
}

/// A node is killed while the platform is down, and comes back before the
/// platform does. Its callers lose what was in flight; callers of other nodes
/// are served on, nothing runs twice, and the node serves again by what its
/// neighbours know.
#[tokio::test]
async fn node_killed_while_the_platform_is_down() {
    let mut fixture = Fixture::start(pair()).await.expect("a mesh");
    let admin = fixture.mesh.platform_admin();
    let down = Faults {
        down: true,
        ..HEALTHY
    };
    admin.set_platform_faults(down).await.expect("faults");
    let others: Vec<_> = fixture.entries().into_iter().skip(2).collect();
    for killed_index in [0, 1] {
        let traffic = Traffic::start(&others, PAUSE, mixed(&fixture));
        let of_killed = Traffic::start(&fixture.entries()[..2], PAUSE, mixed(&fixture));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let node = fixture.mesh.instances[killed_index].node.as_mut();
        node.expect("a node").kill();
        tokio::time::sleep(Duration::from_secs(3)).await;
        let node = fixture.mesh.instances[killed_index].node.as_mut();
        node.expect("a node").restart().expect("restarted");
        fixture
            .wait_served(&fixture.key)
            .await
            .expect("served again");
        let sent = traffic.stop().await;
        let whole_count = Sent::count(&sent, Judgement::Whole);
        println!(
            "callers of other nodes: {whole_count} of {} whole",
            sent.len()
        );
        let refused = refusals(&sent);
        println!(
            "refused {}, from {:?} to {:?} ms after the start",
            refused.len(),
            refused.first(),
            refused.last()
        );
        let mut all = of_killed.stop().await;
        all.extend(sent);
        assert_eq!(fixture.violations(&all).expect("journals"), []);
    }
}

/// Times of refusals since the first send. The only refusal that is right
/// here is `not-run` by the quota: the workspace is within its rate, but a
/// node that has lost the bank of the workspace has no tokens for a while.
/// Anything else, except an order that was on its way to a killed node, is a
/// failure.
fn refusals(sent: &[Sent]) -> Vec<u64> {
    let first_ms = sent.iter().map(|one| one.record.sent_unix_ms).min();
    let mut refused_ms = Vec::new();
    for one in sent {
        let record = &one.record;
        match record.judgement {
            Judgement::Whole => {}
            Judgement::NotRun if record.reason.as_deref() == Some("over-quota") => {
                refused_ms.push(record.sent_unix_ms - first_ms.unwrap_or(0));
            }
            _ => panic!("{one:?}"),
        }
    }
    refused_ms.sort_unstable();
    refused_ms
}
