//! The home of an idempotency key decides each case as documented.

use dogwoodbridge::{
    freshness::Freshness,
    guard::{
        Begin, CLOCK_MARGIN_MS, Finish, GuardKey, GuardTable, GuardTime, Handover, History,
        KeyedRequest, RETENTION_MS, StoredAnswer,
    },
    model::{Reason, Refusal, WorkspaceKey},
};

const START_UNIX_MS: u64 = 1_700_000_000_000;

const fn at(now_ms: u64) -> GuardTime {
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

const fn request(made_ms: Option<u64>) -> KeyedRequest {
    let made_unix_ms = match made_ms {
        Some(made_ms) => Some(START_UNIX_MS + made_ms),
        None => None,
    };
    KeyedRequest {
        key: key(7),
        made_unix_ms,
        fingerprint: 1,
    }
}

fn answer(body: &'static str) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: vec![],
        body: body.into(),
    }
}

/// A home whose slice's past is known since `known_ms`, or wholly.
fn home(known_ms: Option<u64>) -> GuardTable {
    let mut table = GuardTable::new(1);
    let history = History {
        since_version: 3,
        known_since_unix_ms: known_ms.map_or(0, |known_ms| START_UNIX_MS + known_ms),
    };
    table.hold(key(7).slice(), history);
    table
}

struct FirstSend {
    name: &'static str,
    known_ms: Option<u64>,
    made_ms: Option<u64>,
    now_ms: u64,
    freshness: Freshness,
    expected: Result<(), Refusal>,
}

#[test]
fn a_first_send_runs_only_where_the_past_of_its_key_is_known() {
    let unsure = Err(Refusal::unknown(Reason::NoHome));
    let margin_ms = CLOCK_MARGIN_MS;
    let now_ms = 50_000;
    let base = FirstSend {
        name: "new fleet, opaque key",
        known_ms: None,
        made_ms: None,
        now_ms,
        freshness: Freshness::Fresh,
        expected: Ok(()),
    };
    let cases = [
        FirstSend { ..base },
        FirstSend {
            name: "store down",
            freshness: Freshness::StoreDown,
            ..base
        },
        FirstSend {
            name: "cut off",
            freshness: Freshness::CutOff,
            expected: Err(Refusal::not_run(Reason::NoHome).with_retry_after_ms(1000)),
            ..base
        },
        FirstSend {
            name: "opaque key after a takeover",
            known_ms: Some(40_000),
            expected: unsure,
            ..base
        },
        FirstSend {
            name: "opaque key a retention time after a takeover",
            known_ms: Some(40_000),
            now_ms: 40_000 + RETENTION_MS,
            ..base
        },
        FirstSend {
            name: "key made before the takeover",
            known_ms: Some(40_000),
            made_ms: Some(39_000),
            expected: unsure,
            ..base
        },
        FirstSend {
            name: "key made just after the takeover",
            known_ms: Some(40_000),
            made_ms: Some(40_000 + 2 * margin_ms),
            expected: unsure,
            ..base
        },
        FirstSend {
            name: "key made well after the takeover",
            known_ms: Some(40_000),
            made_ms: Some(40_001 + 2 * margin_ms),
            ..base
        },
        FirstSend {
            name: "key from the future",
            made_ms: Some(now_ms + margin_ms + 1),
            expected: Err(Refusal::not_run(Reason::BadRequest)),
            ..base
        },
        FirstSend {
            name: "key older than what is kept",
            made_ms: Some(10_000),
            now_ms: 10_000 + RETENTION_MS,
            expected: unsure,
            ..base
        },
    ];
    for case in cases {
        let begin =
            home(case.known_ms).begin(&request(case.made_ms), at(case.now_ms), case.freshness);
        let expected = match case.expected {
            Ok(()) => Begin::Execute,
            Err(refusal) => Begin::Refuse(refusal),
        };
        assert_eq!(begin, expected, "{}", case.name);
    }
}

struct Resend {
    name: &'static str,
    finish: Option<Finish>,
    fingerprint: u64,
    expected: Begin,
}

#[test]
fn a_resend_gets_what_became_of_the_first_send() {
    let cases = [
        Resend {
            name: "still running",
            finish: None,
            fingerprint: 1,
            expected: Begin::Refuse(Refusal::unknown(Reason::InProgress).with_retry_after_ms(200)),
        },
        Resend {
            name: "answered",
            finish: Some(Finish::Answered(answer("done"))),
            fingerprint: 1,
            expected: Begin::Replay(answer("done")),
        },
        Resend {
            name: "provably not run",
            finish: Some(Finish::NotRun),
            fingerprint: 1,
            expected: Begin::Execute,
        },
        Resend {
            name: "unknown",
            finish: Some(Finish::Unknown),
            fingerprint: 1,
            expected: Begin::Refuse(Refusal::unknown(Reason::EarlierUnknown)),
        },
        Resend {
            name: "the key stands for another request",
            finish: Some(Finish::Answered(answer("done"))),
            fingerprint: 2,
            expected: Begin::Refuse(Refusal::not_run(Reason::KeyReused).with_exhausted()),
        },
    ];
    for case in cases {
        let mut table = home(None);
        let first = table.begin(&request(None), at(0), Freshness::Fresh);
        assert_eq!(first, Begin::Execute, "{}", case.name);
        if let Some(finish) = case.finish {
            table.finish(key(7), finish, at(10));
        }
        let resend = KeyedRequest {
            fingerprint: case.fingerprint,
            ..request(None)
        };
        let begin = table.begin(&resend, at(20), Freshness::Fresh);
        assert_eq!(begin, case.expected, "{}", case.name);
    }
}

#[test]
fn a_planned_move_loses_nothing() {
    let (mut giver, mut taker) = (home(None), GuardTable::new(1));
    giver.begin(&request(None), at(0), Freshness::Fresh);
    giver.finish(key(7), Finish::Answered(answer("done")), at(10));
    let export = giver.release(key(7).slice(), at(20)).expect("it was held");
    let refused = giver.begin(&request(None), at(20), Freshness::Fresh);
    assert!(matches!(refused, Begin::Refuse(refusal) if refusal.reason == Reason::NoHome));

    let history = History {
        since_version: 4,
        known_since_unix_ms: at(30).unix_ms,
    };
    taker.hold(key(7).slice(), history);
    let handover = Handover {
        export,
        moved_by_version: 4,
        to_started_unix_ms: 1,
    };
    let strange = [
        Handover {
            moved_by_version: 3,
            ..handover.clone()
        },
        Handover {
            to_started_unix_ms: 2,
            ..handover.clone()
        },
    ];
    for handover in strange {
        assert!(!taker.import(handover, at(40)), "of another move");
    }
    assert!(taker.import(handover.clone(), at(40)));
    assert!(!taker.import(handover, at(40)), "a second copy");
    let resend = taker.begin(&request(None), at(50), Freshness::Fresh);
    assert_eq!(resend, Begin::Replay(answer("done")));
    let other = KeyedRequest {
        key: key(7 + 4096),
        ..request(None)
    };
    assert_eq!(
        taker.begin(&other, at(50), Freshness::Fresh),
        Begin::Execute
    );
}

#[test]
fn a_full_home_refuses_new_keys_and_forgets_none() {
    let mut table = home(None).with_max_record_count(1);
    table.begin(&request(None), at(0), Freshness::Fresh);
    let other = KeyedRequest {
        key: key(7 + 4096),
        ..request(None)
    };
    let refused = table.begin(&other, at(1), Freshness::Fresh);
    assert!(matches!(refused, Begin::Refuse(refusal) if refusal.reason == Reason::Overloaded));
    table.finish(key(7), Finish::Answered(answer("done")), at(2));
    table.expire(RETENTION_MS + 1);
    assert_eq!(table.record_count(), 1);
    table.expire(RETENTION_MS + 2);
    assert_eq!((table.record_count(), table.answer_bytes()), (0, 0));
    let begin = table.begin(&other, at(RETENTION_MS + 3), Freshness::Fresh);
    assert_eq!(begin, Begin::Execute);
}
