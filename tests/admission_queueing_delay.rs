//! Expected wait and work time in the level of a target.

use dogwoodbridge::{
    admission::{
        Adaptive, AdmissionPolicy, Arrival, LoadReport, REPORT_AGE_LIMIT_US, TargetResult,
        TargetSize, queueing_delay_us,
    },
    model::{Class, WorkspaceKey},
};

const SERVICE_US: u64 = 80_000;

/// Senders would avoid a target with free slots, or all go to one whose queue appears shorter.
#[test]
fn the_wait_counts_requests_ahead_beyond_the_free_slots() {
    struct Case {
        ahead_count: usize,
        running_count: usize,
        slot_count: u32,
        wait_us: u32,
    }
    let cases = [
        Case {
            ahead_count: 0,
            running_count: 0,
            slot_count: 10,
            wait_us: 0,
        },
        Case {
            ahead_count: 0,
            running_count: 9,
            slot_count: 10,
            wait_us: 0,
        },
        Case {
            ahead_count: 0,
            running_count: 10,
            slot_count: 10,
            wait_us: 8_000,
        },
        Case {
            ahead_count: 9,
            running_count: 10,
            slot_count: 10,
            wait_us: 80_000,
        },
        Case {
            ahead_count: 3,
            running_count: 8,
            slot_count: 10,
            wait_us: 16_000,
        },
        Case {
            ahead_count: 0,
            running_count: 0,
            slot_count: 0,
            wait_us: 0,
        },
    ];
    for case in cases {
        let Case {
            ahead_count,
            running_count,
            slot_count,
            wait_us,
        } = case;
        let service_us = SERVICE_US as f64;
        let actual_us = queueing_delay_us(ahead_count, running_count, slot_count, service_us);
        assert_eq!(
            actual_us, wait_us,
            "{ahead_count} {running_count} {slot_count}"
        );
    }
    assert_eq!(queueing_delay_us(usize::MAX - 1, 1, 1, 1e9), u32::MAX);
}

/// A request of a high class does not wait for those of lower ones, and a work time that a target
/// reported once must not count for ever.
#[test]
fn the_level_reports_the_wait_of_the_class_and_a_recent_work_time() {
    let mut policy = Adaptive::new(TargetSize {
        slot_count: 2,
        connection_count: 2,
        is_exact: true,
    });
    let mut decisions = Vec::new();
    let arrival = |class| Arrival {
        class,
        workspace: WorkspaceKey::new(0),
        deadline_us: 10_000_000,
        objective_us: None,
    };
    let first = policy.arrive(arrival(Class::Standard), 0, &mut decisions);
    policy.end(first, TargetResult::Completed, SERVICE_US, &mut decisions);
    for _ in 0..5 {
        policy.arrive(arrival(Class::Standard), SERVICE_US, &mut decisions);
    }
    let wait_us = |class| policy.level(class, SERVICE_US).wait_us;
    // One slot is reserved for critical requests: one runs, four wait, and the next one starts
    // after five ends.
    assert_eq!(policy.running_count(), 1);
    assert_eq!(u64::from(wait_us(Class::Standard)), 5 * SERVICE_US / 2);
    assert_eq!(wait_us(Class::Critical), 0);
    assert_eq!(
        policy.level(Class::Standard, SERVICE_US).work_time_percent,
        0
    );
    policy.record_load_report(LoadReport {
        busy_ratio: 1.0,
        waiting_count: 0,
        work_time_percent: Some(250),
        received_us: SERVICE_US,
    });
    let work_time = |now_us| policy.level(Class::Standard, now_us).work_time_percent;
    assert_eq!(work_time(SERVICE_US + REPORT_AGE_LIMIT_US), 250);
    assert_eq!(work_time(SERVICE_US + REPORT_AGE_LIMIT_US + 1), 0);
}
