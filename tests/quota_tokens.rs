//! A node's tokens: who waits for them, whom it asks, what it does alone.

use {
    dogwoodbridge::{
        model::{Class, WorkspaceKey},
        quota::{
            DividedQuota, DividerChoice, Outstanding, QuotaGate, Rate, TokenGrant, TokenHoldings,
        },
        timer::Timer,
    },
    tokio_util::sync::CancellationToken,
};

const RATE: Rate = Rate {
    rate_per_s: 200,
    burst_count: 200,
};
const NODE_COUNT: usize = 16;
const PERIOD_US: u64 = 200_000;
const SECOND_US: u64 = 1_000_000;

/// Requests of a workspace come while the node holds no token, the most
/// important ones last. Served in the order of arrival, reads would take the
/// tokens of orders.
#[test]
fn those_that_wait_are_served_by_importance() {
    let mut holding = TokenHoldings::default();
    let mut waits =
        [Class::Browse, Class::Standard, Class::Critical].map(|class| (class, holding.wait(class)));
    assert_eq!(holding.need().waiting_counts, [1, 1, 1]);
    let grant = TokenGrant {
        counts: [0, 0, 2],
        empty_for_ms: [30, 20, 0],
    };
    holding.granted(&grant, 0);
    let verdicts = waits
        .each_mut()
        .map(|(_, receiver)| receiver.try_recv().expect("all are answered"));
    assert_eq!(verdicts, [Err(30), Err(20), Ok(())]);
    // The token left over is not given to a lesser class; it goes back.
    holding.end_period(200);
    assert_eq!(holding.need().returned_count, 1);
}

/// The divider's thread stands still for a moment, or it is gone. Passed over
/// too soon, nodes part and each part serves its own demand alone; passed over
/// too late, all wait for tokens.
#[test]
fn a_divider_is_passed_over_when_it_stays_silent() {
    struct Case {
        name: &'static str,
        gap_us: u64,
        ask_count: u32,
        place: usize,
    }
    let cases = [
        Case {
            name: "many asks in a short stop",
            gap_us: 12_000,
            ask_count: 10,
            place: 0,
        },
        Case {
            name: "gone under load",
            gap_us: 12_000,
            ask_count: 14,
            place: 1,
        },
        Case {
            name: "one lost report",
            gap_us: PERIOD_US,
            ask_count: 2,
            place: 0,
        },
        Case {
            name: "gone when idle",
            gap_us: PERIOD_US,
            ask_count: 4,
            place: 1,
        },
    ];
    for case in cases {
        let mut choice = DividerChoice::new();
        let mut now_us = SECOND_US;
        choice.answered(now_us);
        for _ in 0..case.ask_count {
            now_us += case.gap_us;
            choice.asked(now_us);
        }
        assert_eq!(
            choice.place(NODE_COUNT, now_us),
            case.place,
            "{}",
            case.name
        );
        assert_eq!(choice.place(NODE_COUNT, now_us + 4 * SECOND_US), 0);
    }
}

/// A node cannot reach any divider. It admits by its own even share, also when
/// it held tokens: whoever divides may have counted them again.
#[tokio::test]
async fn a_node_without_a_divider_admits_by_its_even_share() {
    let workspace = WorkspaceKey::new(0);
    let quota = DividedQuota::new(Timer::new(CancellationToken::new()));
    quota.set_member_count(NODE_COUNT);
    // Nothing was granted yet: the request waits and is told to come back.
    let refused = quota.admit(workspace, RATE, Class::Critical).await;
    assert!(refused.is_err_and(|refusal| refusal.retry_after_ms > 0));
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    let mut admitted_count = 0;
    while quota.admit(workspace, RATE, Class::Critical).await.is_ok() {
        admitted_count += 1;
    }
    // Half a second of a sixteenth of 200 a second.
    assert!((5..=13).contains(&admitted_count), "{admitted_count}");
}

/// A request got a token and was then refused by a busy target. Without the
/// token back its caller would be refused for its rate as well, although
/// nothing ran.
#[tokio::test]
async fn a_request_that_did_not_run_gives_its_token_back() {
    let workspace = WorkspaceKey::new(0);
    let timer = Timer::new(CancellationToken::new());
    let quota = DividedQuota::new(timer.clone());
    quota.set_member_count(NODE_COUNT);
    quota.lent(timer.now_us() + 60 * SECOND_US);
    assert!(quota.admit(workspace, RATE, Class::Browse).await.is_err());
    let grant = TokenGrant {
        counts: [1, 0, 0],
        empty_for_ms: [60_000; 3],
    };
    quota.granted(workspace, &grant);
    for _ in 0..3 {
        assert!(quota.admit(workspace, RATE, Class::Browse).await.is_ok());
        assert!(quota.admit(workspace, RATE, Class::Browse).await.is_err());
        quota.refund(workspace, Class::Browse);
    }
}

/// A node is killed and starts anew while the reply to its last report is on the
/// way, or a reply comes twice. Honoured, its tokens would be admitted although
/// the divider counts them for others, and the workspace would exceed its rate.
#[test]
fn only_a_report_of_this_process_is_answered_and_once() {
    struct Case {
        name: &'static str,
        process_id: u64,
        sent_us: u64,
        is_believed: bool,
    }
    let cases = [
        Case {
            name: "to an earlier process at the same time",
            process_id: 6,
            sent_us: 200,
            is_believed: false,
        },
        Case {
            name: "never sent",
            process_id: 7,
            sent_us: 300,
            is_believed: false,
        },
        Case {
            name: "to this process",
            process_id: 7,
            sent_us: 200,
            is_believed: true,
        },
        Case {
            name: "a second time",
            process_id: 7,
            sent_us: 200,
            is_believed: false,
        },
        Case {
            name: "late, after a newer report",
            process_id: 7,
            sent_us: 100,
            is_believed: true,
        },
    ];
    let mut outstanding = Outstanding::new(7);
    outstanding.sent(100);
    outstanding.sent(200);
    for case in cases {
        let is_believed = outstanding.settle(case.process_id, case.sent_us);
        assert_eq!(is_believed, case.is_believed, "{}", case.name);
    }
}
