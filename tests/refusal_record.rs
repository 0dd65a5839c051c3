//! Record of refusals at a node's target.

use {
    dogwoodbridge::{
        control::{REFUSALS_KEPT_S, RefusalRecord, WORKSPACES_PER_SECOND},
        model::{CLASS_COUNT, Class, Reason, WorkspaceKey},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::collections::{BTreeMap, BTreeSet},
};

const SECOND_US: u64 = 1_000_000;
const SEED: u64 = 20_261_204;

/// Keeps every refusal.
#[derive(Default)]
struct ExactRecord(Vec<(u64, Class, WorkspaceKey)>);

impl ExactRecord {
    fn recent(&self, now_us: u64) -> impl Iterator<Item = &(u64, Class, WorkspaceKey)> {
        let second = now_us / SECOND_US;
        let is_recent = move |(at_us, ..): &&(u64, Class, WorkspaceKey)| {
            at_us / SECOND_US + REFUSALS_KEPT_S > second
        };
        self.0.iter().filter(is_recent)
    }

    /// Largest error of one count: the sum of N / capacity over the seconds.
    fn error_max(&self, now_us: u64) -> u64 {
        let mut by_second: BTreeMap<u64, u64> = BTreeMap::new();
        for (at_us, ..) in self.recent(now_us) {
            *by_second.entry(at_us / SECOND_US).or_default() += 1;
        }
        let capacity = WORKSPACES_PER_SECOND as u64;
        by_second.into_values().map(|count| count / capacity).sum()
    }
}

/// Arrivals of one property run.
struct Load {
    name: &'static str,
    workspace_count: u16,
    gap_max_us: u64,
    is_exact: bool,
}

/// Guards against memory that grows with workspaces or refusals, and against counts that are
/// further from the truth than stated.
#[test]
fn memory_is_bounded_and_counts_keep_the_stated_error() {
    let loads = [
        Load {
            name: "few workspaces",
            workspace_count: 80,
            gap_max_us: 3_000,
            is_exact: true,
        },
        Load {
            name: "more workspaces than are counted",
            workspace_count: 2_000,
            gap_max_us: 400,
            is_exact: false,
        },
        Load {
            name: "pauses longer than the record",
            workspace_count: 300,
            gap_max_us: 12 * SECOND_US,
            is_exact: true,
        },
    ];
    for (load, seed) in loads.iter().zip(SEED..) {
        let mut random = StdRng::seed_from_u64(seed);
        let (mut record, mut exact) = (RefusalRecord::new(), ExactRecord::default());
        let (mut now_us, mut excess_max_count) = (0, 0);
        for step in 0..40_000 {
            // Most gaps are short, so that seconds fill up also under a large maximum.
            let gap_us = random.random_range(0..=load.gap_max_us);
            now_us += if step % 100 == 0 {
                gap_us
            } else {
                gap_us % 500
            };
            // The least of three draws: a few workspaces are refused far more often.
            let draws = [(); 3].map(|()| random.random_range(0..load.workspace_count));
            let workspace = WorkspaceKey::new(draws.into_iter().min().unwrap_or(0));
            let class = Class::ALL[random.random_range(0..CLASS_COUNT)];
            record.record(class, workspace, now_us);
            exact.0.push((now_us, class, workspace));
            if step % 1_000 == 999 {
                excess_max_count = excess_max_count.max(check(load, &record, &exact, now_us));
            }
        }
        // Otherwise the load does not test what its name says.
        assert_eq!(excess_max_count == 0, load.is_exact, "{}", load.name);
    }
}

/// Checks the record against the truth; returns the largest stated error.
fn check(load: &Load, record: &RefusalRecord, exact: &ExactRecord, now_us: u64) -> u64 {
    let name = load.name;
    let entry_limit = WORKSPACES_PER_SECOND * usize::try_from(REFUSALS_KEPT_S).expect("small");
    assert!(record.entry_count() <= entry_limit, "{name}");
    let mut by_class = [0; CLASS_COUNT];
    let mut by_workspace: BTreeMap<WorkspaceKey, u64> = BTreeMap::new();
    for (_, class, workspace) in exact.recent(now_us) {
        by_class[class.index()] += 1;
        *by_workspace.entry(*workspace).or_default() += 1;
    }
    let counted = record.recent_refusals(usize::MAX, now_us);
    assert_eq!(counted.by_class, by_class, "{name}");
    let error_max = exact.error_max(now_us);
    for found in &counted.by_workspace {
        let truth = by_workspace.get(&found.workspace).copied().unwrap_or(0);
        assert!(found.count <= truth + found.excess_max_count, "{name}");
        assert!(found.excess_max_count <= error_max, "{name}");
        assert!(truth <= found.count + error_max, "{name}");
        if load.is_exact {
            assert_eq!((found.count, found.excess_max_count), (truth, 0), "{name}");
        }
    }
    let listed: BTreeSet<_> = counted
        .by_workspace
        .iter()
        .map(|found| found.workspace)
        .collect();
    for (workspace, truth) in by_workspace {
        assert!(truth <= error_max || listed.contains(&workspace), "{name}");
    }
    let stated = counted.by_workspace.iter();
    stated
        .map(|found| found.excess_max_count)
        .max()
        .unwrap_or(0)
}

/// Refusals in single seconds and a later look at them.
struct Expiry {
    name: &'static str,
    refused_us: &'static [u64],
    now_us: u64,
    expected_count: u64,
}

/// Guards against old refusals that stay, or recent ones that leave, when time passes, pauses or
/// goes round the ring.
#[test]
fn old_buckets_leave() {
    let cases = [
        Expiry {
            name: "nothing refused",
            refused_us: &[],
            now_us: 50 * SECOND_US,
            expected_count: 0,
        },
        Expiry {
            name: "the first second",
            refused_us: &[0, 1, SECOND_US - 1],
            now_us: SECOND_US,
            expected_count: 3,
        },
        Expiry {
            name: "the oldest second that is kept",
            refused_us: &[5 * SECOND_US],
            now_us: 15 * SECOND_US - 1,
            expected_count: 1,
        },
        Expiry {
            name: "just too old",
            refused_us: &[5 * SECOND_US + 999_999],
            now_us: 15 * SECOND_US,
            expected_count: 0,
        },
        Expiry {
            name: "the same place of the ring",
            refused_us: &[3 * SECOND_US, 3 * SECOND_US, 13 * SECOND_US],
            now_us: 13 * SECOND_US,
            expected_count: 1,
        },
        Expiry {
            name: "a late record of a second that was replaced",
            refused_us: &[13 * SECOND_US, 3 * SECOND_US],
            now_us: 13 * SECOND_US,
            expected_count: 1,
        },
        Expiry {
            name: "after a long pause",
            refused_us: &[SECOND_US, 1_000 * SECOND_US],
            now_us: 1_001 * SECOND_US,
            expected_count: 1,
        },
    ];
    for case in cases {
        let mut record = RefusalRecord::new();
        for at_us in case.refused_us {
            record.record(Class::Standard, WorkspaceKey::new(7), *at_us);
        }
        let recent = record.recent_refusals(10, case.now_us);
        let by_workspace: u64 = recent.by_workspace.iter().map(|found| found.count).sum();
        assert_eq!(
            (recent.by_class, by_workspace),
            ([0, case.expected_count, 0], case.expected_count),
            "{}",
            case.name
        );
    }
}

/// Guards against a large workspace that is displaced by many small ones.
#[test]
fn the_largest_workspaces_stay_among_many_small_ones() {
    let mut record = RefusalRecord::new();
    let mut now_us = 0;
    for round in 0..4_000_u16 {
        // Five large workspaces with a fifth of the refusals each second, and 4,000 small ones.
        record.record(Class::Browse, WorkspaceKey::new(round % 5), now_us);
        for small in 0..4 {
            let workspace = WorkspaceKey::new(100 + (round * 4 + small) % 4_000);
            record.record(Class::Browse, workspace, now_us);
        }
        now_us += 2_000;
    }
    let recent = record.recent_refusals(10, now_us);
    assert_eq!(recent.by_workspace.len(), 10);
    let listed: BTreeSet<_> = recent
        .by_workspace
        .iter()
        .map(|found| found.workspace)
        .collect();
    for large in 0..5 {
        assert!(listed.contains(&WorkspaceKey::new(large)), "{large}");
    }
}

/// Guards against refusals that say nothing about capacity, such as a revoked key, in the record.
#[test]
fn only_refusals_for_want_of_capacity_count() {
    let expected = [
        Reason::Overloaded,
        Reason::TooLate,
        Reason::TargetShed,
        Reason::TargetCold,
        Reason::TargetLimited,
    ];
    let counted = Reason::ALL.iter().copied();
    let counted: BTreeSet<_> = counted
        .filter(|reason| RefusalRecord::is_for_capacity(*reason))
        .collect();
    assert_eq!(counted, BTreeSet::from(expected));
}
