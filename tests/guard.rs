//! Decisions of an idempotency key's home on first requests and resends, and the
//! handover of keys to another home.

use dogwoodbridge::{
    freshness::Freshness,
    guard::{
        BeginDecision, CLOCK_MARGIN_MS, ExecutionResult, GuardKey, GuardTable, GuardTime, Handover,
        KeyedRequest, RETENTION_MS, SliceHistory, StoredResponse,
    },
    model::{Reason, Refusal, WorkspaceKey},
};

const START_UNIX_MS: u64 = 1_700_000_000_000;

const fn time(now_ms: u64) -> GuardTime {
    GuardTime {
        now_ms,
        unix_ms: START_UNIX_MS + now_ms,
    }
}

const fn key(key_hash: u128) -> GuardKey {
    GuardKey {
        workspace: WorkspaceKey::new(0),
        key_hash,
    }
}

const fn request(created_ms: Option<u64>) -> KeyedRequest {
    let created_unix_ms = match created_ms {
        Some(created_ms) => Some(START_UNIX_MS + created_ms),
        None => None,
    };
    KeyedRequest {
        key: key(7),
        created_unix_ms,
        fingerprint: 1,
    }
}

fn response(body: &'static str) -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: vec![],
        body: body.into(),
    }
}

/// A home that knows the slice's executions since `known_since_ms`, or all of
/// them if `None`.
fn home(known_since_ms: Option<u64>) -> GuardTable {
    let mut table = GuardTable::new(1);
    let history = SliceHistory {
        since_epoch: 3,
        known_since_unix_ms: known_since_ms
            .map_or(0, |known_since_ms| START_UNIX_MS + known_since_ms),
    };
    table.hold(key(7).slice(), history);
    table
}

struct FirstRequestCase {
    name: &'static str,
    known_since_ms: Option<u64>,
    created_ms: Option<u64>,
    now_ms: u64,
    freshness: Freshness,
    expected: Result<(), Refusal>,
}

#[test]
fn a_first_request_runs_only_where_the_history_of_its_key_is_known() {
    let unknown_history = Err(Refusal::unknown(Reason::NoHome));
    let clock_margin_ms = CLOCK_MARGIN_MS;
    let now_ms = 50_000;
    let base = FirstRequestCase {
        name: "new fleet, opaque key",
        known_since_ms: None,
        created_ms: None,
        now_ms,
        freshness: Freshness::Fresh,
        expected: Ok(()),
    };
    let cases = [
        FirstRequestCase { ..base },
        FirstRequestCase {
            name: "store down",
            freshness: Freshness::StoreDown,
            ..base
        },
        FirstRequestCase {
            name: "cut off",
            freshness: Freshness::CutOff,
            expected: Err(Refusal::not_run(Reason::NoHome).with_retry_after_ms(1000)),
            ..base
        },
        FirstRequestCase {
            name: "opaque key after a takeover",
            known_since_ms: Some(40_000),
            expected: unknown_history,
            ..base
        },
        FirstRequestCase {
            name: "opaque key one retention period after a takeover",
            known_since_ms: Some(40_000),
            now_ms: 40_000 + RETENTION_MS,
            ..base
        },
        FirstRequestCase {
            name: "key created before the takeover",
            known_since_ms: Some(40_000),
            created_ms: Some(39_000),
            expected: unknown_history,
            ..base
        },
        FirstRequestCase {
            name: "key created just after the takeover",
            known_since_ms: Some(40_000),
            created_ms: Some(40_000 + 2 * clock_margin_ms),
            expected: unknown_history,
            ..base
        },
        FirstRequestCase {
            name: "key created well after the takeover",
            known_since_ms: Some(40_000),
            created_ms: Some(40_001 + 2 * clock_margin_ms),
            ..base
        },
        FirstRequestCase {
            name: "key created in the future",
            created_ms: Some(now_ms + clock_margin_ms + 1),
            expected: Err(Refusal::not_run(Reason::BadRequest)),
            ..base
        },
        FirstRequestCase {
            name: "key older than the retention period",
            created_ms: Some(10_000),
            now_ms: 10_000 + RETENTION_MS,
            expected: unknown_history,
            ..base
        },
    ];
    for case in cases {
        let begin = home(case.known_since_ms).begin(
            &request(case.created_ms),
            time(case.now_ms),
            case.freshness,
        );
        let expected = match case.expected {
            Ok(()) => BeginDecision::Execute,
            Err(refusal) => BeginDecision::Refuse(refusal),
        };
        assert_eq!(begin, expected, "{}", case.name);
    }
}

struct ResendCase {
    name: &'static str,
    finish: Option<ExecutionResult>,
    fingerprint: u64,
    expected: BeginDecision,
}

#[test]
fn a_resend_gets_the_result_of_the_first_request() {
    let cases = [
        ResendCase {
            name: "still running",
            finish: None,
            fingerprint: 1,
            expected: BeginDecision::Refuse(
                Refusal::unknown(Reason::InProgress).with_retry_after_ms(200),
            ),
        },
        ResendCase {
            name: "response stored",
            finish: Some(ExecutionResult::Responded(response("done"))),
            fingerprint: 1,
            expected: BeginDecision::Replay(response("done")),
        },
        ResendCase {
            name: "provably not run",
            finish: Some(ExecutionResult::NotRun),
            fingerprint: 1,
            expected: BeginDecision::Execute,
        },
        ResendCase {
            name: "unknown",
            finish: Some(ExecutionResult::Unknown),
            fingerprint: 1,
            expected: BeginDecision::Refuse(Refusal::unknown(Reason::EarlierUnknown)),
        },
        ResendCase {
            name: "key reused for another request",
            finish: Some(ExecutionResult::Responded(response("done"))),
            fingerprint: 2,
            expected: BeginDecision::Refuse(Refusal::not_run(Reason::KeyReused).with_exhausted()),
        },
    ];
    for case in cases {
        let mut table = home(None);
        let first = table.begin(&request(None), time(0), Freshness::Fresh);
        assert_eq!(first, BeginDecision::Execute, "{}", case.name);
        if let Some(finish) = case.finish {
            table.finish(key(7), finish, time(10));
        }
        let resend = KeyedRequest {
            fingerprint: case.fingerprint,
            ..request(None)
        };
        let begin = table.begin(&resend, time(20), Freshness::Fresh);
        assert_eq!(begin, case.expected, "{}", case.name);
    }
}

/// A slice moves to another home, which must replay the stored responses. A
/// misdirected or repeated handover could make it execute a key twice.
#[test]
fn a_planned_move_keeps_keys_and_history() {
    let (mut previous_home, mut next_home) = (home(None), GuardTable::new(1));
    previous_home.begin(&request(None), time(0), Freshness::Fresh);
    previous_home.finish(
        key(7),
        ExecutionResult::Responded(response("done")),
        time(10),
    );
    let export = previous_home
        .release(key(7).slice(), time(20))
        .expect("the slice was held");
    let refused = previous_home.begin(&request(None), time(20), Freshness::Fresh);
    assert!(matches!(refused, BeginDecision::Refuse(refusal) if refusal.reason == Reason::NoHome));

    let history = SliceHistory {
        since_epoch: 4,
        known_since_unix_ms: time(30).unix_ms,
    };
    next_home.hold(key(7).slice(), history);
    let handover = Handover {
        export,
        moved_by_epoch: 4,
        to_started_unix_ms: 1,
    };
    let misdirected = [
        Handover {
            moved_by_epoch: 3,
            ..handover.clone()
        },
        Handover {
            to_started_unix_ms: 2,
            ..handover.clone()
        },
    ];
    for handover in misdirected {
        assert!(
            !next_home.import(handover, time(40)),
            "handover for another move or process"
        );
    }
    assert!(next_home.import(handover.clone(), time(40)));
    assert!(
        !next_home.import(handover, time(40)),
        "second copy of a handover"
    );
    let resend = next_home.begin(&request(None), time(50), Freshness::Fresh);
    assert_eq!(resend, BeginDecision::Replay(response("done")));
    let other = KeyedRequest {
        key: key(7 + 4096),
        ..request(None)
    };
    assert_eq!(
        next_home.begin(&other, time(50), Freshness::Fresh),
        BeginDecision::Execute
    );
}

#[test]
fn a_full_home_refuses_new_keys_and_evicts_none() {
    let mut table = home(None).with_max_record_count(1);
    table.begin(&request(None), time(0), Freshness::Fresh);
    let other = KeyedRequest {
        key: key(7 + 4096),
        ..request(None)
    };
    let refused = table.begin(&other, time(1), Freshness::Fresh);
    assert!(
        matches!(refused, BeginDecision::Refuse(refusal) if refusal.reason == Reason::Overloaded)
    );
    table.finish(
        key(7),
        ExecutionResult::Responded(response("done")),
        time(2),
    );
    table.expire(RETENTION_MS + 1);
    assert_eq!(table.record_count(), 1);
    table.expire(RETENTION_MS + 2);
    assert_eq!(
        (table.record_count(), table.stored_response_bytes()),
        (0, 0)
    );
    let begin = table.begin(&other, time(RETENTION_MS + 3), Freshness::Fresh);
    assert_eq!(begin, BeginDecision::Execute);
}
