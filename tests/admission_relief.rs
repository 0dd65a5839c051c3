//! New requests are held back only where it relieves the services below.

use dogwoodbridge::{admission::Relief, model::Class};

/// Requests of one kind at a target.
struct Kind {
    new_class: Option<Class>,
    arrivals_per_s: u64,
    run_us: u64,
}

// Downloads share their target with reads that chains make, and the service below
// the reads is full. Held back like a chain, downloads would be refused, and the
// service below would be as full as before.
#[test]
fn a_small_part_of_the_work_is_not_held_back() {
    struct Case {
        name: &'static str,
        kinds: Vec<Kind>,
        class: Class,
        is_felt: bool,
    }
    let kind = |new_class, arrivals_per_s, run_us| Kind {
        new_class,
        arrivals_per_s,
        run_us,
    };
    let cases = [
        Case {
            name: "few downloads beside many reads",
            kinds: vec![
                kind(None, 60, 240_000),
                kind(Some(Class::Browse), 4, 180_000),
            ],
            class: Class::Browse,
            is_felt: false,
        },
        Case {
            name: "orders beside reads, a third of the work",
            kinds: vec![
                kind(None, 41, 260_000),
                kind(Some(Class::Critical), 9, 550_000),
            ],
            class: Class::Critical,
            is_felt: true,
        },
        Case {
            name: "lookups alone",
            kinds: vec![kind(Some(Class::Browse), 15, 600_000)],
            class: Class::Browse,
            is_felt: true,
        },
    ];
    for case in cases {
        let mut relief = Relief::new();
        for step in 0..5000_u64 {
            let now_us = step * 1000;
            for kind in &case.kinds {
                if step.is_multiple_of(1000 / kind.arrivals_per_s) {
                    relief.arrive(kind.new_class, now_us);
                    relief.end(kind.new_class, kind.run_us);
                }
            }
        }
        let is_felt = relief.would_reduce_downstream_load(case.class, 5_000_000);
        assert_eq!(is_felt, case.is_felt, "{}", case.name);
    }
}

// A class that is held back to a tenth runs little. Were only what runs counted,
// it would no longer matter, be let in as a whole, and be held back again.
#[test]
fn what_is_refused_counts_as_well() {
    let mut relief = Relief::new();
    for step in 0..5000_u64 {
        relief.arrive(Some(Class::Browse), step * 1000);
        if step.is_multiple_of(10) {
            relief.end(Some(Class::Browse), 200_000);
        }
        relief.arrive(None, step * 1000);
        relief.end(None, 200_000);
    }
    assert!(relief.would_reduce_downstream_load(Class::Browse, 5_000_000));
}
