//! Retries of a whole chain.

use {
    lab::{
        caller::{CallRequest, Judgement},
        proofs::{Fixture, Sent, Traffic, chain, executions_of},
    },
    standins::target::Faults,
    std::time::Duration,
};

const SERVICES: [&str; 4] = ["catalog", "orders", "pricing", "cards"];
const RETRY_COUNT: u32 = 2;
const PAUSE: Duration = Duration::from_millis(5);
const LOAD_TIME: Duration = Duration::from_secs(3);

/// The deepest of four services fails, refuses or hangs, and clients send
/// again what failed. Were each hop to retry on its own, one send would become
/// up to 27 attempts at the service that suffers, and the overload would
/// outlast its cause. Attempts there have to stay within 1 + K for each send.
#[tokio::test]
async fn attempts_of_a_chain_stay_within_the_budget() {
    struct Case {
        name: &'static str,
        faults: Faults,
    }
    let cases = [
        Case {
            name: "always fails",
            faults: Faults {
                fail_ratio: 1.0,
                ..Faults::default()
            },
        },
        Case {
            name: "fails one time in two",
            faults: Faults {
                fail_ratio: 0.5,
                ..Faults::default()
            },
        },
        Case {
            name: "cuts each answer",
            faults: Faults {
                cut_answers: true,
                ..Faults::default()
            },
        },
        Case {
            name: "has hardly a slot",
            faults: Faults {
                slots: Some(1),
                slow_factor: 200.0,
                ..Faults::default()
            },
        },
    ];
    let fixture = Fixture::start(chain(&SERVICES, RETRY_COUNT))
        .await
        .expect("a mesh");
    for case in cases {
        set_deepest(&fixture, case.faults).await;
        let (path, key) = (fixture.path(), fixture.key.clone());
        // Clients send again at once; each send has its own name, so that its
        // attempts can be counted.
        let traffic = Traffic::start(&fixture.entries(), PAUSE, move |_| {
            CallRequest::new("GET", &path)
                .with_key(&key)
                .with_deadline_ms(1000)
        });
        tokio::time::sleep(LOAD_TIME).await;
        let sent = traffic.stop().await;
        set_deepest(&fixture, Faults::default()).await;
        check(&fixture, &sent, case.name);
        fixture.wait_served(&fixture.key).await.expect(case.name);
    }
}

async fn set_deepest(fixture: &Fixture, faults: Faults) {
    for instance in &fixture.mesh.instances {
        if instance.service == SERVICES[SERVICES.len() - 1] {
            let admin = instance.target_admin();
            admin.set_target_faults(faults).await.expect("faults");
        }
    }
}

fn check(fixture: &Fixture, sent: &[Sent], name: &str) {
    assert_eq!(fixture.violations(sent).expect("journals"), [], "{name}");
    let executions = fixture.executions().expect("journals");
    let at_deepest = executions_of(&executions, SERVICES[SERVICES.len() - 1]);
    let limit = 1 + RETRY_COUNT as usize;
    let mut attempt_count = 0;
    let mut largest = 0;
    for one in sent {
        let attempts = at_deepest
            .get(one.record.test_id.as_str())
            .map_or(0, Vec::len);
        attempt_count += attempts;
        largest = largest.max(attempts);
        assert!(
            attempts <= limit,
            "{name}: {attempts} attempts of {:?}",
            one.record
        );
    }
    let whole_count = Sent::count(sent, Judgement::Whole);
    println!(
        "{name}: {} sends, {whole_count} whole, {attempt_count} attempts at the deepest service, \
         at most {largest} for one send, limit {limit}",
        sent.len()
    );
    assert!(
        attempt_count > 0,
        "{name}: nothing reached the deepest service"
    );
}
