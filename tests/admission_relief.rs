//! New requests are throttled only if that reduces the load of downstream services.

use dogwoodbridge::{admission::WorkShares, model::Class};

/// Requests of one kind that arrive at a target.
struct RequestKind {
    new_class: Option<Class>,
    arrivals_per_s: u64,
    run_us: u64,
}

// A few downloads share a target with many reads of call chains, and the service that the reads
// call is full. Refusing downloads with them would not reduce its load.
#[test]
fn a_small_share_of_the_work_is_not_throttled() {
    struct Case {
        name: &'static str,
        kinds: Vec<RequestKind>,
        class: Class,
        reduces_downstream_load: bool,
    }
    let kind = |new_class, arrivals_per_s, run_us| RequestKind {
        new_class,
        arrivals_per_s,
        run_us,
    };
    let cases = [
        Case {
            name: "few downloads among many reads",
            kinds: vec![
                kind(None, 60, 240_000),
                kind(Some(Class::Browse), 4, 180_000),
            ],
            class: Class::Browse,
            reduces_downstream_load: false,
        },
        Case {
            name: "orders among reads, a third of the work",
            kinds: vec![
                kind(None, 41, 260_000),
                kind(Some(Class::Critical), 9, 550_000),
            ],
            class: Class::Critical,
            reduces_downstream_load: true,
        },
        Case {
            name: "only lookups",
            kinds: vec![kind(Some(Class::Browse), 15, 600_000)],
            class: Class::Browse,
            reduces_downstream_load: true,
        },
    ];
    for case in cases {
        let mut work_shares = WorkShares::new();
        for step in 0..5000_u64 {
            let now_us = step * 1000;
            for kind in &case.kinds {
                if step.is_multiple_of(1000 / kind.arrivals_per_s) {
                    work_shares.arrive(kind.new_class, now_us);
                    work_shares.end(kind.new_class, kind.run_us);
                }
            }
        }
        let reduces_downstream_load =
            work_shares.would_reduce_downstream_load(case.class, 5_000_000);
        assert_eq!(
            reduces_downstream_load, case.reduces_downstream_load,
            "{}",
            case.name
        );
    }
}

// A class throttled to a tenth runs little. If only running requests counted, its share of the work
// would become insignificant, all its requests would be admitted, and it would be throttled again.
#[test]
fn refused_requests_count_as_work() {
    let mut work_shares = WorkShares::new();
    for step in 0..5000_u64 {
        work_shares.arrive(Some(Class::Browse), step * 1000);
        if step.is_multiple_of(10) {
            work_shares.end(Some(Class::Browse), 200_000);
        }
        work_shares.arrive(None, step * 1000);
        work_shares.end(None, 200_000);
    }
    assert!(work_shares.would_reduce_downstream_load(Class::Browse, 5_000_000));
}
