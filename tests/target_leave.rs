//! How long a target that leaves may get requests, whatever its node knows of it.

use dogwoodbridge::{
    admission::Drain,
    target::{Health, NoticeStatus, ProcessNotice, Registration},
};

const SECOND_US: u64 = 1_000_000;
/// Time after the acknowledgement of a leave from which a target must get nothing.
const LIMIT_US: u64 = 2 * SECOND_US;
const INSTANCE: &str = "i-1";
/// Start of the target's process, before the first start of its node.
const STARTED_UNIX_MS: u64 = 1_000;
const NODE_STARTED_UNIX_MS: u64 = 5_000;

/// What happens, at a time in microseconds since the first start of the node.
#[derive(Clone, Copy)]
enum Step {
    Ready(u64),
    Draining(u64),
    Leave(u64),
    SaysSoInResponse(u64),
    /// The node takes the target for lost.
    Silence,
    /// The node is killed; its next process starts at this time.
    Restart(u64),
}

struct Case {
    name: &'static str,
    steps: Vec<Step>,
    /// Time of the first acknowledgement of the leave.
    acknowledged_us: u64,
}

const fn notice(started_unix_ms: u64, sequence: u64, is_leaving: bool) -> ProcessNotice<'static> {
    ProcessNotice {
        instance_id: INSTANCE,
        started_unix_ms,
        sequence: Some(sequence),
        is_leaving,
    }
}

/// A node with its registration. Its timer counts from its start.
struct Fixture {
    registration: Registration,
    started_us: u64,
    sequence: u64,
}

impl Fixture {
    fn start(now_us: u64) -> Self {
        let started_unix_ms = NODE_STARTED_UNIX_MS + now_us / 1000;
        Self {
            registration: Registration::new().with_node_start(started_unix_ms),
            started_us: now_us,
            sequence: now_us,
        }
    }

    fn heartbeat(&mut self, is_leaving: bool, now_us: u64) -> NoticeStatus {
        self.sequence += 1;
        let notice = notice(STARTED_UNIX_MS, self.sequence, is_leaving);
        self.registration
            .record_heartbeat(notice, now_us - self.started_us)
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Ready(now_us) => {
                self.heartbeat(false, now_us);
            }
            Step::Draining(now_us) => {
                self.heartbeat(true, now_us);
            }
            Step::Leave(now_us) => {
                let now_us = now_us - self.started_us;
                self.registration
                    .record_leave(INSTANCE, Some(STARTED_UNIX_MS), now_us);
            }
            Step::SaysSoInResponse(now_us) => {
                self.registration.record_leaving(now_us - self.started_us);
            }
            Step::Silence => self.registration.record_silence(),
            Step::Restart(now_us) => *self = Self::start(now_us),
        }
    }

    /// Whether a request that arrives then could still be sent to the target.
    fn allows_starts(&self, now_us: u64) -> bool {
        let now_us = now_us - self.started_us;
        let start = self.registration.leave_start().expect("the target leaves");
        Drain::of_leave(start, now_us).allows_starts(now_us)
    }
}

/// Guards against a drain whose time limits begin again when the node is restarted or takes the
/// target for lost meanwhile.
#[test]
fn limits_of_a_drain_do_not_begin_again() {
    use Step::{Draining, Leave, Ready, Restart, SaysSoInResponse, Silence};
    let cases = [
        Case {
            name: "each heartbeat says so",
            steps: vec![Ready(0), Draining(SECOND_US), Draining(5 * SECOND_US / 2)],
            acknowledged_us: SECOND_US,
        },
        Case {
            name: "the node is restarted",
            steps: vec![
                Ready(0),
                Draining(SECOND_US),
                Restart(2 * SECOND_US),
                Draining(5 * SECOND_US / 2),
            ],
            acknowledged_us: SECOND_US,
        },
        Case {
            name: "the node is restarted twice",
            steps: vec![
                Draining(0),
                Restart(SECOND_US / 2),
                Draining(SECOND_US),
                Restart(3 * SECOND_US / 2),
                Draining(19 * SECOND_US / 10),
            ],
            acknowledged_us: 0,
        },
        Case {
            name: "the target is silent",
            steps: vec![
                Ready(0),
                Draining(SECOND_US),
                Silence,
                Draining(7 * SECOND_US),
            ],
            acknowledged_us: SECOND_US,
        },
        Case {
            name: "the target says ready after a silence",
            steps: vec![Ready(0), Draining(SECOND_US), Silence, Ready(7 * SECOND_US)],
            acknowledged_us: SECOND_US,
        },
        Case {
            name: "a final leave after the heartbeats",
            steps: vec![Ready(0), Draining(SECOND_US), Leave(2 * SECOND_US)],
            acknowledged_us: SECOND_US,
        },
        Case {
            name: "said in a response, then by a heartbeat",
            steps: vec![
                Ready(0),
                SaysSoInResponse(SECOND_US),
                Draining(5 * SECOND_US / 2),
            ],
            acknowledged_us: SECOND_US,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::start(0);
        for step in &case.steps {
            fixture.apply(*step);
        }
        let limit_us = case.acknowledged_us + LIMIT_US;
        assert!(!fixture.allows_starts(limit_us), "{}", case.name);
    }
}

/// Guards against refusals at once when a target begins to leave while its node knows it: other
/// nodes have not heard of it yet.
#[test]
fn a_target_that_is_known_is_served_for_a_while() {
    use Step::{Draining, Leave, Ready, Restart};
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
    }
    let cases = [
        Case {
            name: "draining",
            steps: vec![Ready(0), Draining(SECOND_US)],
        },
        Case {
            name: "leave",
            steps: vec![Ready(0), Leave(SECOND_US)],
        },
        Case {
            name: "after a restart of the node",
            steps: vec![
                Ready(0),
                Restart(SECOND_US / 2),
                Ready(3 * SECOND_US / 4),
                Draining(SECOND_US),
            ],
        },
    ];
    for case in cases {
        let mut fixture = Fixture::start(0);
        for step in &case.steps {
            fixture.apply(*step);
        }
        assert!(fixture.allows_starts(2 * SECOND_US), "{}", case.name);
        assert!(!fixture.allows_starts(3 * SECOND_US), "{}", case.name);
    }
}

/// Guards against a target that cannot be used any more because an earlier one on its instance
/// left, where neither has an id or a start.
#[test]
fn a_target_without_identity_can_follow_one_that_left() {
    for is_silent_between in [true, false] {
        let mut registration = Registration::new().with_node_start(NODE_STARTED_UNIX_MS);
        let notice = |is_leaving| ProcessNotice {
            instance_id: "",
            started_unix_ms: 0,
            sequence: None,
            is_leaving,
        };
        registration.record_heartbeat(notice(false), 0);
        registration.record_heartbeat(notice(true), SECOND_US);
        if is_silent_between {
            registration.record_silence();
        }
        let status = registration.record_heartbeat(notice(false), 7 * SECOND_US);
        assert_eq!(status, NoticeStatus::NewProcess);
        assert_eq!(registration.leave_start(), None);
    }
}

/// Guards against a heartbeat that was sent before a leave and arrives after a restart of the
/// node, and against a health check that is made where no leave can have been forgotten.
#[test]
fn only_what_may_be_a_late_heartbeat_is_confirmed() {
    struct Case {
        name: &'static str,
        requires_confirmation: bool,
        started_unix_ms: u64,
        sequence: u64,
        is_leaving: bool,
        expected: NoticeStatus,
    }
    let cases = [
        Case {
            name: "older than the node, with a clock that was set back",
            requires_confirmation: true,
            started_unix_ms: NODE_STARTED_UNIX_MS + 60_000,
            sequence: 7,
            is_leaving: false,
            expected: NoticeStatus::Unconfirmed,
        },
        Case {
            name: "older than the node",
            requires_confirmation: true,
            started_unix_ms: STARTED_UNIX_MS,
            sequence: 1,
            is_leaving: false,
            expected: NoticeStatus::Unconfirmed,
        },
        Case {
            name: "started after the node",
            requires_confirmation: true,
            started_unix_ms: NODE_STARTED_UNIX_MS,
            sequence: 1,
            is_leaving: false,
            expected: NoticeStatus::NewProcess,
        },
        Case {
            name: "older, says that it leaves",
            requires_confirmation: true,
            started_unix_ms: STARTED_UNIX_MS,
            sequence: 1,
            is_leaving: true,
            expected: NoticeStatus::NewProcess,
        },
        Case {
            name: "heartbeats are never late",
            requires_confirmation: false,
            started_unix_ms: STARTED_UNIX_MS,
            sequence: 1,
            is_leaving: false,
            expected: NoticeStatus::NewProcess,
        },
    ];
    for case in cases {
        let mut registration = Registration::new()
            .with_node_start(NODE_STARTED_UNIX_MS)
            .with_confirmation(case.requires_confirmation);
        let notice = notice(case.started_unix_ms, case.sequence, case.is_leaving);
        let status = registration.record_heartbeat(notice, SECOND_US);
        assert_eq!(status, case.expected, "{}", case.name);
    }
}

/// Guards against a health check that makes a target ready although a leave or a newer process
/// was recorded while it was under way.
#[test]
fn a_confirmation_counts_only_for_the_process_that_it_concerns() {
    struct Case {
        name: &'static str,
        between: fn(&mut Registration),
        is_confirmed: bool,
    }
    let cases = [
        Case {
            name: "nothing in between",
            between: |_| {},
            is_confirmed: true,
        },
        Case {
            name: "it has left",
            between: |registration| {
                registration.record_leave(INSTANCE, Some(STARTED_UNIX_MS), SECOND_US);
            },
            is_confirmed: false,
        },
        Case {
            name: "its next heartbeat, which may be late too",
            between: |registration| {
                let next = notice(STARTED_UNIX_MS, 2, false);
                let status = registration.record_heartbeat(next, SECOND_US);
                assert_eq!(status, NoticeStatus::InCheck);
            },
            is_confirmed: true,
        },
        Case {
            name: "its next heartbeat says that it leaves",
            between: |registration| {
                registration.record_heartbeat(notice(STARTED_UNIX_MS, 2, true), SECOND_US);
            },
            is_confirmed: false,
        },
        Case {
            name: "another process has started",
            between: |registration| {
                registration.record_heartbeat(notice(NODE_STARTED_UNIX_MS, 1, false), SECOND_US);
            },
            is_confirmed: false,
        },
    ];
    for case in cases {
        let mut registration = Registration::new()
            .with_node_start(NODE_STARTED_UNIX_MS)
            .with_confirmation(true);
        registration.record_heartbeat(notice(STARTED_UNIX_MS, 1, false), 0);
        (case.between)(&mut registration);
        let is_confirmed = registration.record_check(INSTANCE, STARTED_UNIX_MS, Health::Staying);
        assert_eq!(is_confirmed, case.is_confirmed, "{}", case.name);
    }
}

/// Guards against two late heartbeats of a target that left, the second of which would confirm
/// the first, and against a target that is lost for good because its health check fails.
#[test]
fn heartbeats_after_a_check_count_by_its_result() {
    struct Case {
        name: &'static str,
        health: Health,
        /// Time of the next heartbeat.
        now_us: u64,
        expected: NoticeStatus,
    }
    let cases = [
        Case {
            name: "it stays",
            health: Health::Staying,
            now_us: SECOND_US,
            expected: NoticeStatus::Current,
        },
        Case {
            name: "its answer does not tell",
            health: Health::Unknown,
            now_us: SECOND_US,
            expected: NoticeStatus::Current,
        },
        Case {
            name: "it leaves or is ill",
            health: Health::Unavailable,
            now_us: SECOND_US,
            expected: NoticeStatus::Unconfirmed,
        },
        Case {
            name: "it leaves or is ill, the heartbeat comes much later",
            health: Health::Unavailable,
            now_us: 30 * SECOND_US,
            expected: NoticeStatus::Unconfirmed,
        },
    ];
    for case in cases {
        let mut registration = Registration::new()
            .with_node_start(NODE_STARTED_UNIX_MS)
            .with_confirmation(true);
        registration.record_heartbeat(notice(STARTED_UNIX_MS, 1, false), 0);
        registration.record_check(INSTANCE, STARTED_UNIX_MS, case.health);
        let next = notice(STARTED_UNIX_MS, 2, false);
        let status = registration.record_heartbeat(next, case.now_us);
        assert_eq!(status, case.expected, "{}", case.name);
    }
}
