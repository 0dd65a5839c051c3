//! Which process of a target is the current one when notices are delayed,
//! duplicated or from an earlier process.

use dogwoodbridge::target::{NoticeStatus, ProcessNotice, Registration};

/// Records the heartbeat of a process that does not leave.
fn record_heartbeat(
    registration: &mut Registration,
    instance_id: &str,
    started_unix_ms: u64,
    sequence: u64,
    now_us: u64,
) -> NoticeStatus {
    let notice = ProcessNotice {
        instance_id,
        started_unix_ms,
        sequence: Some(sequence),
        is_leaving: false,
    };
    registration.record_heartbeat(notice, now_us)
}

enum Notice {
    Alive(&'static str, u64, u64),
    Leave(&'static str, Option<u64>),
}

struct Case {
    name: &'static str,
    notices: Vec<(Notice, Option<NoticeStatus>)>,
}

/// A partition delays a heartbeat while its process crashes and another one
/// registers at the same address. If the node accepted it, all requests would be
/// addressed to the old process and refused by the new one.
#[test]
fn only_current_process_is_accepted() {
    use {
        Notice::{Alive, Leave},
        NoticeStatus::{Current, NewProcess, Outdated},
    };
    let cases = [
        Case {
            name: "in order",
            notices: vec![
                (Alive("i-1", 100, 1), Some(NewProcess)),
                (Alive("i-1", 100, 2), Some(Current)),
                (Alive("i-1", 100, 9), Some(Current)),
            ],
        },
        Case {
            name: "out of order",
            notices: vec![
                (Alive("i-1", 100, 5), Some(NewProcess)),
                (Alive("i-1", 100, 4), Some(Outdated)),
                (Alive("i-1", 100, 5), Some(Outdated)),
                (Alive("i-1", 100, 6), Some(Current)),
            ],
        },
        Case {
            name: "delayed heartbeat of an earlier process",
            notices: vec![
                (Alive("i-1", 100, 5), Some(NewProcess)),
                (Alive("i-2", 200, 1), Some(NewProcess)),
                (Alive("i-1", 100, 6), Some(Outdated)),
                (Alive("i-2", 200, 2), Some(Current)),
            ],
        },
        Case {
            name: "restarted with the same instance id and a new sequence",
            notices: vec![
                (Alive("i-1", 100, 50), Some(NewProcess)),
                (Alive("i-1", 300, 1), Some(NewProcess)),
                (Alive("i-1", 100, 51), Some(Outdated)),
                (Alive("i-1", 300, 2), Some(Current)),
            ],
        },
        Case {
            name: "heartbeat after the leave notice",
            notices: vec![
                (Alive("i-1", 100, 1), Some(NewProcess)),
                (Leave("i-1", None), None),
                (Alive("i-1", 100, 2), Some(Outdated)),
                (Alive("i-2", 200, 1), Some(NewProcess)),
            ],
        },
    ];
    for case in cases {
        let mut registration = Registration::new();
        for (index, (notice, expected)) in case.notices.into_iter().enumerate() {
            let status = match notice {
                Alive(instance_id, started_unix_ms, sequence) => Some(record_heartbeat(
                    &mut registration,
                    instance_id,
                    started_unix_ms,
                    sequence,
                    0,
                )),
                Leave(instance_id, started_unix_ms) => {
                    assert!(
                        registration.record_leave(instance_id, started_unix_ms, 0),
                        "{}: {index}",
                        case.name
                    );
                    None
                }
            };
            assert_eq!(status, expected, "{}: notice {index}", case.name);
        }
    }
}

/// The leave notice of an earlier process arrives after another one has replaced it.
/// If the node applied it, a healthy target would be out of service for good.
#[test]
fn leave_notice_of_another_process_is_ignored() {
    struct Case {
        name: &'static str,
        leave: (&'static str, Option<u64>),
        is_applied: bool,
    }
    let cases = [
        Case {
            name: "other instance id",
            leave: ("i-1", Some(100)),
            is_applied: false,
        },
        Case {
            name: "same instance id, earlier start time",
            leave: ("i-2", Some(100)),
            is_applied: false,
        },
        Case {
            name: "same instance id, no start time",
            leave: ("i-2", None),
            is_applied: true,
        },
        Case {
            name: "current process",
            leave: ("i-2", Some(200)),
            is_applied: true,
        },
    ];
    for case in cases {
        let mut registration = Registration::new();
        record_heartbeat(&mut registration, "i-2", 200, 1, 0);
        let is_applied = registration.record_leave(case.leave.0, case.leave.1, 0);
        assert_eq!(is_applied, case.is_applied, "{}", case.name);
    }
}

/// Guards against a leave notice that is forgotten because it arrives before the heartbeats of
/// its process, at a node that has just started.
#[test]
fn a_leave_before_the_first_heartbeat_holds() {
    struct Case {
        name: &'static str,
        is_known_before: bool,
        leave: (&'static str, Option<u64>),
        /// Instance id, start and time of a heartbeat after the leave.
        heartbeat: (&'static str, u64, u64),
        expected: NoticeStatus,
    }
    const SECOND_US: u64 = 1_000_000;
    let cases = [
        Case {
            name: "same process",
            is_known_before: false,
            leave: ("i-2", Some(200)),
            heartbeat: ("i-2", 200, 3 * SECOND_US),
            expected: NoticeStatus::Outdated,
        },
        Case {
            name: "same process, much later",
            is_known_before: false,
            leave: ("i-2", Some(200)),
            heartbeat: ("i-2", 200, 600 * SECOND_US),
            expected: NoticeStatus::Outdated,
        },
        Case {
            name: "same process, beside an earlier one",
            is_known_before: true,
            leave: ("i-2", Some(200)),
            heartbeat: ("i-2", 200, SECOND_US),
            expected: NoticeStatus::Outdated,
        },
        Case {
            name: "leave without a start",
            is_known_before: false,
            leave: ("i-2", None),
            heartbeat: ("i-2", 200, 3 * SECOND_US),
            expected: NoticeStatus::Outdated,
        },
        Case {
            name: "the instance started again under its id",
            is_known_before: false,
            leave: ("i-2", Some(200)),
            heartbeat: ("i-2", 300, SECOND_US),
            expected: NoticeStatus::NewProcess,
        },
        Case {
            name: "the instance started again long after a leave without a start",
            is_known_before: false,
            leave: ("i-2", None),
            heartbeat: ("i-2", 300, 60 * SECOND_US),
            expected: NoticeStatus::NewProcess,
        },
        Case {
            name: "another instance",
            is_known_before: false,
            leave: ("i-2", Some(200)),
            heartbeat: ("i-3", 200, SECOND_US),
            expected: NoticeStatus::NewProcess,
        },
    ];
    for case in cases {
        let mut registration = Registration::new();
        if case.is_known_before {
            record_heartbeat(&mut registration, "i-1", 100, 9, 0);
        }
        assert!(
            !registration.record_leave(case.leave.0, case.leave.1, 0),
            "{}",
            case.name
        );
        let (instance_id, started_unix_ms, now_us) = case.heartbeat;
        let status = record_heartbeat(&mut registration, instance_id, started_unix_ms, 5, now_us);
        assert_eq!(status, case.expected, "{}", case.name);
    }
}
