//! Verdicts on requests that ran when targets crashed.

use {
    bytes::Bytes,
    dogwoodbridge::{
        exchange::OutboundRequest,
        peer::FleetAuth,
        quarantine::{
            CRASH_LIMIT, Completion, Crash, CrashKey, CrashReport, CrashWatch, MAX_SUSPECT_COUNT,
            QUARANTINE_MS, RequestDigest, SUSPICION_MS, SuspectTable, Verdict,
        },
    },
    hyper::{HeaderMap, Method, http::uri::PathAndQuery},
    rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom},
};

const NOW_MS: u64 = 100_000_000;
const REQUEST: RequestDigest = RequestDigest(7);
const ALONE: Verdict = Verdict::Suspected { runs_alone: true };
const BESIDE_OTHERS: Verdict = Verdict::Suspected { runs_alone: false };

fn report(crash: u64, age_ms: u64, digests: &[RequestDigest]) -> CrashReport {
    CrashReport {
        crash: CrashKey(crash),
        age_ms,
        digests: digests.to_vec(),
    }
}

/// Guards against a request that is refused too early, too long, or never.
#[test]
fn a_verdict_follows_from_crashes_and_completions() {
    struct Case {
        name: &'static str,
        /// Key and age of each reported crash.
        crashes: &'static [(u64, u64)],
        completion_age_ms: Option<u64>,
        expected: Verdict,
    }
    const LONG_AGO_MS: u64 = QUARANTINE_MS + 1000;
    let cases = [
        Case {
            name: "unknown",
            crashes: &[],
            completion_age_ms: None,
            expected: Verdict::Clear,
        },
        Case {
            name: "one crash",
            crashes: &[(1, 50)],
            completion_age_ms: None,
            expected: BESIDE_OTHERS,
        },
        Case {
            name: "two crashes",
            crashes: &[(1, 50), (2, 40)],
            completion_age_ms: None,
            expected: ALONE,
        },
        Case {
            name: "three crashes",
            crashes: &[(1, 50), (2, 40), (3, 30)],
            completion_age_ms: None,
            expected: Verdict::Quarantined {
                left_ms: QUARANTINE_MS - 30,
            },
        },
        Case {
            name: "one crash reported three times",
            crashes: &[(1, 50), (1, 40), (1, 30)],
            completion_age_ms: None,
            expected: BESIDE_OTHERS,
        },
        Case {
            name: "completed after two of three crashes",
            crashes: &[(1, 50), (2, 40), (3, 30)],
            completion_age_ms: Some(35),
            expected: BESIDE_OTHERS,
        },
        Case {
            name: "completed after all crashes",
            crashes: &[(1, 50), (2, 40), (3, 30)],
            completion_age_ms: Some(10),
            expected: Verdict::Clear,
        },
        Case {
            name: "completed before all crashes",
            crashes: &[(1, 50), (2, 40), (3, 30)],
            completion_age_ms: Some(60),
            expected: Verdict::Quarantined {
                left_ms: QUARANTINE_MS - 30,
            },
        },
        Case {
            name: "quarantine over",
            crashes: &[
                (1, LONG_AGO_MS + 20),
                (2, LONG_AGO_MS + 10),
                (3, LONG_AGO_MS),
            ],
            completion_age_ms: None,
            expected: ALONE,
        },
        Case {
            name: "crashed another one after its quarantine",
            crashes: &[
                (1, LONG_AGO_MS + 20),
                (2, LONG_AGO_MS + 10),
                (3, LONG_AGO_MS),
                (4, 30),
            ],
            completion_age_ms: None,
            expected: Verdict::Quarantined {
                left_ms: 2 * QUARANTINE_MS - 30,
            },
        },
        Case {
            name: "one crash long ago",
            crashes: &[(1, SUSPICION_MS)],
            completion_age_ms: None,
            expected: Verdict::Clear,
        },
    ];
    for case in cases {
        let mut table = SuspectTable::new();
        for (crash, age_ms) in case.crashes {
            table.merge_crash(&report(*crash, *age_ms, &[REQUEST]), NOW_MS);
        }
        if let Some(age_ms) = case.completion_age_ms {
            let digest = REQUEST;
            table.merge_completion(Completion { digest, age_ms }, NOW_MS);
        }
        assert_eq!(
            table.verdict(REQUEST, NOW_MS),
            case.expected,
            "{}",
            case.name
        );
    }
}

/// Guards against nodes that judge a request differently since reports reached them in another
/// order.
#[test]
fn verdicts_do_not_depend_on_the_order_of_reports() {
    enum Input {
        Crash(CrashReport),
        Completion(Completion),
    }
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut inputs: Vec<Input> = (0..rng.random_range(1..12))
            .map(|_| {
                let digest = RequestDigest(rng.random_range(0..3));
                let crash = rng.random_range(0..4);
                match rng.random_bool(0.7) {
                    // The age of a crash is the same in all reports of it.
                    true => Input::Crash(report(crash, crash * 1000 + 1, &[digest])),
                    false => Input::Completion(Completion {
                        digest,
                        age_ms: rng.random_range(0..4000),
                    }),
                }
            })
            .collect();
        let mut verdicts = Vec::new();
        for _ in 0..2 {
            let mut table = SuspectTable::new();
            for input in &inputs {
                match input {
                    Input::Crash(report) => drop(table.merge_crash(report, NOW_MS)),
                    Input::Completion(completion) => {
                        table.merge_completion(*completion, NOW_MS);
                    }
                }
            }
            verdicts.push(
                (0..3)
                    .map(|digest| table.verdict(RequestDigest(digest), NOW_MS))
                    .collect::<Vec<_>>(),
            );
            inputs.shuffle(&mut rng);
        }
        assert_eq!(verdicts[0], verdicts[1], "seed {seed}");
    }
}

/// Guards against nodes that all try a refused request again at the same moment.
#[test]
fn quarantines_end_at_different_times_at_different_nodes() {
    let mut left_times_ms: Vec<u64> = (0..20)
        .map(|seed| {
            let mut table = SuspectTable::new().with_extension_seed(seed);
            for crash in 0..CRASH_LIMIT as u64 {
                table.merge_crash(&report(crash, 0, &[REQUEST]), NOW_MS);
            }
            match table.verdict(REQUEST, NOW_MS) {
                Verdict::Quarantined { left_ms } => left_ms,
                verdict => panic!("{verdict:?}"),
            }
        })
        .collect();
    left_times_ms.sort_unstable();
    assert!(left_times_ms[0] >= QUARANTINE_MS);
    assert!(left_times_ms[19] <= QUARANTINE_MS * 3 / 2);
    assert!(left_times_ms[19] - left_times_ms[0] > QUARANTINE_MS / 4);
    left_times_ms.dedup();
    assert_eq!(left_times_ms.len(), 20);
}

/// Guards against innocent requests that are refused since they ran beside a known cause.
#[test]
fn a_strongly_suspected_request_explains_a_crash() {
    let mut table = SuspectTable::new();
    let beside = [RequestDigest(1), RequestDigest(2)];
    for crash in 0..CRASH_LIMIT as u64 {
        let mut digests = beside.to_vec();
        digests.push(REQUEST);
        let key = CrashKey(crash);
        table.record_crash(&Crash { key, digests }, NOW_MS);
        // Two requests cannot be told apart yet; one of them completes.
        table.record_completion(beside[0], NOW_MS + 1);
    }
    assert!(matches!(
        table.verdict(REQUEST, NOW_MS),
        Verdict::Quarantined { .. }
    ));
    assert_eq!(table.verdict(beside[0], NOW_MS), Verdict::Clear);
    let late = RequestDigest(3);
    let crash = Crash {
        key: CrashKey(9),
        digests: vec![late, REQUEST],
    };
    let charged = table.record_crash(&crash, NOW_MS).digests;
    assert_eq!(charged, [REQUEST]);
    assert_eq!(table.verdict(late, NOW_MS), Verdict::Clear);
}

/// Guards against a caller that fills the table to displace the requests that are refused.
#[test]
fn a_flood_of_suspects_displaces_no_quarantined_request() {
    let mut table = SuspectTable::new();
    for crash in 0..CRASH_LIMIT as u64 {
        table.merge_crash(&report(crash, 0, &[REQUEST]), NOW_MS);
    }
    for crash in 0..100 {
        let digests: Vec<_> = (0..100)
            .map(|index| RequestDigest(1_000_000 + crash * 100 + index))
            .collect();
        table.merge_crash(&report(1000 + crash, 0, &digests), NOW_MS + crash);
        assert!(table.len() <= MAX_SUSPECT_COUNT);
    }
    assert!(matches!(
        table.verdict(REQUEST, NOW_MS),
        Verdict::Quarantined { .. }
    ));
    table.forget_old(NOW_MS + 10 * QUARANTINE_MS);
    assert!(table.is_empty());
}

/// Guards against broken connections that are taken for a crash, and crashes that are missed.
#[test]
fn a_crash_needs_more_than_a_broken_connection() {
    const SECOND_US: u64 = 1_000_000;
    const KEY: CrashKey = CrashKey(5);
    struct Case {
        name: &'static str,
        run: fn(&mut CrashWatch) -> Option<Crash>,
        is_crash: bool,
    }
    let cases = [
        Case {
            name: "nothing but a broken connection",
            run: |watch| watch.take_crash(SECOND_US),
            is_crash: false,
        },
        Case {
            name: "the target refuses connections",
            run: |watch| {
                watch.record_crash(KEY, 1000);
                watch.take_crash(SECOND_US)
            },
            is_crash: true,
        },
        Case {
            name: "losses may still be noticed",
            run: |watch| {
                watch.record_crash(KEY, 1000);
                watch.take_crash(2000)
            },
            is_crash: false,
        },
        Case {
            name: "a new process without notice of the old one",
            run: |watch| watch.replace_process(false, KEY, 3 * SECOND_US),
            is_crash: true,
        },
        Case {
            name: "a new process after a planned stop",
            run: |watch| watch.replace_process(true, KEY, 3 * SECOND_US),
            is_crash: false,
        },
        Case {
            name: "the target responds to a later request before it is replaced",
            run: |watch| {
                watch.record_response(SECOND_US);
                watch.replace_process(false, KEY, 3 * SECOND_US)
            },
            is_crash: false,
        },
        Case {
            name: "the response belongs to an earlier request",
            run: |watch| {
                watch.record_response(0);
                watch.replace_process(false, KEY, 3 * SECOND_US)
            },
            is_crash: true,
        },
        Case {
            name: "the loss is long past when the process is replaced",
            run: |watch| watch.replace_process(false, KEY, 60 * SECOND_US),
            is_crash: false,
        },
    ];
    for case in cases {
        let mut watch = CrashWatch::new();
        watch.record_loss(REQUEST, 500);
        let crash = (case.run)(&mut watch);
        assert_eq!(crash.is_some(), case.is_crash, "{}", case.name);
        if let Some(crash) = crash {
            assert_eq!((crash.key, crash.digests), (KEY, vec![REQUEST]));
        }
    }
}

/// Guards against one crash that counts twice because a loss was noticed late.
#[test]
fn late_losses_belong_to_the_same_crash() {
    let mut watch = CrashWatch::new();
    watch.record_loss(REQUEST, 0);
    watch.record_crash(CrashKey(1), 0);
    let first = watch.take_crash(100_000).unwrap();
    assert!(watch.record_loss(RequestDigest(8), 200_000));
    watch.record_crash(CrashKey(2), 200_000);
    let second = watch.take_crash(300_000).unwrap();
    assert_eq!(first.key, second.key);
    assert_eq!(watch.take_crash(400_000), None);
    watch.replace_process(false, CrashKey(3), 500_000);
    watch.record_loss(REQUEST, 600_000);
    watch.record_crash(CrashKey(4), 600_000);
    assert_eq!(watch.take_crash(700_000).unwrap().key, CrashKey(4));
}

fn outbound(host: Option<&str>, path: &str, body: &str) -> OutboundRequest {
    OutboundRequest {
        method: Method::POST,
        host: host.map(str::to_owned),
        path: PathAndQuery::try_from(path).unwrap(),
        headers: HeaderMap::new(),
        body: Bytes::from(body.to_owned()).into(),
    }
}

/// Guards against a caller whose requests are refused because of another caller's.
#[test]
fn only_the_same_request_of_the_same_workspace_has_the_same_digest() {
    let auth = FleetAuth::new("fleet-secret-of-the-tests");
    let digest = |workspace, service, request: &OutboundRequest| {
        RequestDigest::new(&auth, workspace, service, request)
    };
    let request = outbound(Some("shop.example:80"), "/a/b?c=1", "body");
    let own = digest("tally", "a", &request);
    let same_elsewhere = outbound(Some("SHOP.example"), "/a/b?c=1", "body");
    // A route may lead to another service after a change of the configuration.
    assert_eq!(own, digest("tally", "b", &same_elsewhere));
    let get = OutboundRequest {
        method: Method::GET,
        ..request.clone()
    };
    let others = [
        digest("other", "a", &request),
        digest("tally", "a", &get),
        digest(
            "tally",
            "a",
            &outbound(Some("x.example"), "/a/b?c=1", "body"),
        ),
        digest(
            "tally",
            "a",
            &outbound(Some("shop.example"), "/a/b", "body"),
        ),
        digest(
            "tally",
            "a",
            &outbound(Some("shop.example"), "/a/b?c=1", "bod"),
        ),
        digest("tally", "a", &outbound(None, "/a/b?c=1", "body")),
        digest("tally", "b", &outbound(None, "/a/b?c=1", "body")),
        RequestDigest::new(
            &FleetAuth::new("another-secret-entirely"),
            "tally",
            "a",
            &request,
        ),
    ];
    for (index, other) in others.iter().enumerate() {
        assert_ne!(own, *other, "{index}");
        assert!(!others[index + 1..].contains(other), "{index}");
    }
}
