//! Limits on requests to a target that is cold or whose zone is evacuated.

#[path = "admission_support/generated.rs"]
mod generated;

use {
    dogwoodbridge::{
        model::Class,
        target::{GateClosed, Priority, SendGate},
    },
    generated::for_each_case,
};

const COLD_LIMIT_PER_S: u32 = 20;
const SECOND_US: u64 = 1_000_000;

fn try_pass(gate: &mut SendGate, priority: Priority, now_us: u64) -> bool {
    gate.try_pass(priority, COLD_LIMIT_PER_S, now_us).is_ok()
}

/// Spreads `count` requests evenly over a second; returns how many pass.
fn count_passed_in_second(
    gate: &mut SendGate,
    priority: Priority,
    start_us: u64,
    count: u64,
) -> u32 {
    let arrival_times_us = (0..count).map(|index| start_us + index * SECOND_US / count);
    let passed = arrival_times_us.filter(|now_us| try_pass(gate, priority, *now_us));
    u32::try_from(passed.count()).unwrap()
}

/// A target restarts under the load of a warm one. Without a limit it failed,
/// restarted cold and failed again.
#[test]
fn cold_target_receives_no_more_than_its_limit() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut SendGate),
        is_limited: bool,
    }
    let cases = [
        Case {
            name: "no heartbeat received",
            prepare: |_| {},
            is_limited: true,
        },
        Case {
            name: "new process that is warm",
            prepare: |gate| gate.record_cold_time(0, true, 0),
            is_limited: false,
        },
        Case {
            name: "cold after its start",
            prepare: |gate| gate.record_cold_time(3 * SECOND_US, true, 0),
            is_limited: true,
        },
        Case {
            name: "becomes cold again while it serves requests",
            prepare: |gate| {
                gate.record_cold_time(0, true, 0);
                gate.record_cold_time(3 * SECOND_US, false, 0);
            },
            is_limited: true,
        },
        Case {
            name: "reports itself as warm too early",
            prepare: |gate| {
                gate.record_cold_time(3 * SECOND_US, true, 0);
                gate.record_cold_time(0, false, 0);
            },
            is_limited: true,
        },
        Case {
            name: "was unreachable",
            prepare: |gate| {
                gate.record_cold_time(0, true, 0);
                gate.suspect_cold();
            },
            is_limited: true,
        },
        Case {
            name: "was unreachable, then a delayed heartbeat arrives",
            prepare: |gate| {
                gate.record_cold_time(0, true, 0);
                gate.suspect_cold();
                gate.record_cold_time(0, false, 0);
            },
            is_limited: true,
        },
        Case {
            name: "was unreachable, then reports itself as warm repeatedly",
            prepare: |gate| {
                gate.record_cold_time(0, true, 0);
                gate.suspect_cold();
                gate.record_cold_time(0, false, 0);
                gate.record_cold_time(0, false, 0);
            },
            is_limited: false,
        },
        Case {
            name: "older than the node, a heartbeat says warm",
            prepare: |gate| {
                gate.begin_older_process();
                gate.record_cold_time(0, false, 0);
            },
            is_limited: true,
        },
        Case {
            name: "older than the node, a health check says warm",
            prepare: |gate| {
                gate.begin_older_process();
                gate.record_cold_time(0, false, 0);
                gate.record_checked_cold_time(0, 0);
            },
            is_limited: false,
        },
        Case {
            name: "older than the node, a heartbeat says warm and a health check cold",
            prepare: |gate| {
                gate.begin_older_process();
                gate.record_cold_time(0, false, 0);
                gate.record_checked_cold_time(3 * SECOND_US, 0);
            },
            is_limited: true,
        },
        Case {
            name: "older than the node, a health check says cold for less than a second",
            prepare: |gate| {
                gate.begin_older_process();
                gate.record_cold_time(0, false, 0);
                gate.record_checked_cold_time(3000, 0);
                gate.record_cold_time(0, false, 0);
            },
            is_limited: true,
        },
        Case {
            name: "older than the node, both say cold for less than a second",
            prepare: |gate| {
                gate.begin_older_process();
                gate.record_cold_time(3000, false, 0);
                gate.record_checked_cold_time(3000, 0);
            },
            is_limited: false,
        },
        Case {
            name: "older than the node, a heartbeat says cold and a health check warm",
            prepare: |gate| {
                gate.begin_older_process();
                gate.record_cold_time(3 * SECOND_US, false, 0);
                gate.record_checked_cold_time(0, 0);
            },
            is_limited: true,
        },
        Case {
            name: "evacuation was revoked",
            prepare: |gate| {
                gate.record_cold_time(0, true, 0);
                gate.set_evacuated(true);
                gate.record_cold_time(0, false, 0);
                gate.record_cold_time(0, false, 0);
                gate.set_evacuated(false);
            },
            is_limited: true,
        },
    ];
    for case in cases {
        let mut gate = SendGate::new();
        (case.prepare)(&mut gate);
        // In the first second of a node nothing passes to a target that is older.
        let passed = count_passed_in_second(&mut gate, Priority::ChainInProgress, SECOND_US, 100);
        let expected = if case.is_limited {
            COLD_LIMIT_PER_S
        } else {
            100
        };
        assert_eq!(passed, expected, "{}", case.name);
    }
}

/// A busy target becomes cold. Requests sent within the second before must count
/// against its limit.
#[test]
fn sends_before_target_became_cold_count_against_limit() {
    let mut gate = SendGate::new();
    gate.record_cold_time(0, true, 0);
    assert_eq!(
        count_passed_in_second(&mut gate, Priority::ChainInProgress, 0, 200),
        200
    );
    gate.record_cold_time(3 * SECOND_US, false, SECOND_US);
    assert!(!try_pass(&mut gate, Priority::ChainInProgress, SECOND_US));
    let later_us = 2 * SECOND_US;
    assert_eq!(
        count_passed_in_second(&mut gate, Priority::ChainInProgress, later_us, 100),
        COLD_LIMIT_PER_S
    );
}

/// With all targets cold, half of the downstream calls of a request were refused and
/// the request failed after its work was done. Calls of chains in progress have
/// priority, followed by the highest class.
#[test]
fn cold_target_prefers_chains_in_progress() {
    let mut previous_passed = 0;
    for priority in [
        Priority::NewChain(Class::Browse),
        Priority::NewChain(Class::Standard),
        Priority::NewChain(Class::Critical),
        Priority::ChainInProgress,
    ] {
        let mut gate = SendGate::new();
        gate.record_cold_time(3 * SECOND_US, true, 0);
        let passed = count_passed_in_second(&mut gate, priority, 0, 100);
        assert!(passed > previous_passed, "{priority:?}: {passed}");
        previous_passed = passed;
        let is_full_load = gate.load_percent(SECOND_US - 1) >= 200;
        assert_eq!(
            is_full_load,
            priority == Priority::ChainInProgress,
            "{priority:?}"
        );
    }
    assert_eq!(previous_passed, COLD_LIMIT_PER_S);
}

/// A caller that receives the remaining cold time does not retry before it ends.
#[test]
fn refusal_contains_remaining_cold_time() {
    let mut gate = SendGate::new();
    gate.record_cold_time(3 * SECOND_US, true, 0);
    count_passed_in_second(&mut gate, Priority::ChainInProgress, 0, 100);
    let refusal = gate.try_pass(Priority::ChainInProgress, COLD_LIMIT_PER_S, SECOND_US - 1);
    let left_us = Some(2 * SECOND_US + 1);
    assert_eq!(refusal, Err(GateClosed::Cold { left_us }));
    assert!(try_pass(
        &mut gate,
        Priority::ChainInProgress,
        3 * SECOND_US
    ));
    assert_eq!(gate.load_percent(3 * SECOND_US), 0);
}

/// Requests were sent to a zone that operators were about to shut down.
#[test]
fn nothing_passes_while_zone_is_evacuated() {
    let mut gate = SendGate::new();
    gate.record_cold_time(0, true, 0);
    assert!(gate.set_evacuated(true));
    assert!(!gate.set_evacuated(true));
    for cold_limit_per_s in [0, COLD_LIMIT_PER_S] {
        let refusal = gate.try_pass(Priority::ChainInProgress, cold_limit_per_s, 0);
        assert_eq!(refusal, Err(GateClosed::Evacuated));
    }
    assert!(gate.set_evacuated(false));
    assert!(try_pass(&mut gate, Priority::ChainInProgress, 0));
}

/// A step of a schedule: the kind of event and the delay before it.
type Step = (u8, u8);

const STEP_COUNT: usize = 300;
const CASE_COUNT: usize = 1000;
const COLD_US: u64 = 3 * SECOND_US;

/// The actual state of a target whose heartbeats may arrive late.
struct TargetModel {
    gate: SendGate,
    now_us: u64,
    /// Start of the node's process; its clock begins then.
    node_started_us: u64,
    cold_until_us: u64,
    /// Cold time reported by the heartbeat in transit, in microseconds. At most one is
    /// in transit: one that arrives out of order is ignored.
    in_transit_cold_left_us: Option<u64>,
    is_evacuated: bool,
    sent_at_us: Vec<u64>,
}

impl TargetModel {
    fn step(&mut self, (kind, delay): Step) {
        // An occasional pause of one second, as after the suspension of a node.
        self.now_us += if delay == 255 {
            SECOND_US
        } else {
            u64::from(delay) * 40
        };
        match kind % 32 {
            0 => self.start(),
            1 => self.toggle_evacuation(),
            2 => self.crash_undetected(),
            8 => self.restart_node(),
            3..=5 => self.send_heartbeat(),
            6..=7 => self.deliver_heartbeat(),
            _ => self.send(),
        }
    }

    /// Replaces the node's process. The heartbeat in transit may arrive first; the response to the
    /// health check arrives with it.
    fn restart_node(&mut self) {
        self.node_started_us = self.now_us;
        self.gate = SendGate::new();
        self.gate.set_evacuated(self.is_evacuated);
        self.gate.begin_older_process();
        let cold_left_us = self.cold_left_us();
        let reported_left_us = self.in_transit_cold_left_us.take().unwrap_or(cold_left_us);
        self.gate.record_cold_time(reported_left_us, false, 0);
        self.gate.record_checked_cold_time(cold_left_us, 0);
    }

    /// Time on the node's clock.
    const fn node_now_us(&self) -> u64 {
        self.now_us - self.node_started_us
    }

    fn cold_left_us(&self) -> u64 {
        self.cold_until_us.saturating_sub(self.now_us)
    }

    /// Starts a process whose heartbeat arrives before any request is sent to it.
    fn start(&mut self) {
        self.cold_until_us = self.now_us + COLD_US;
        self.in_transit_cold_left_us = None;
        self.gate
            .record_cold_time(COLD_US, true, self.node_now_us());
    }

    /// Evacuates the zone, or revokes the evacuation with a cold target.
    fn toggle_evacuation(&mut self) {
        self.is_evacuated = !self.is_evacuated;
        if !self.is_evacuated {
            self.cold_until_us = self.now_us + COLD_US;
        }
        self.gate.set_evacuated(self.is_evacuated);
    }

    /// Restarts with the same instance id; the node only sees a refused connection.
    fn crash_undetected(&mut self) {
        self.cold_until_us = self.now_us + COLD_US;
        self.gate.suspect_cold();
    }

    fn send_heartbeat(&mut self) {
        self.in_transit_cold_left_us = self.in_transit_cold_left_us.or(Some(self.cold_left_us()));
    }

    fn deliver_heartbeat(&mut self) {
        if let Some(cold_left_us) = self.in_transit_cold_left_us.take() {
            self.gate
                .record_cold_time(cold_left_us, false, self.node_now_us());
        }
    }

    fn send(&mut self) {
        if self
            .gate
            .try_pass(
                Priority::ChainInProgress,
                COLD_LIMIT_PER_S,
                self.node_now_us(),
            )
            .is_err()
        {
            return;
        }
        assert!(!self.is_evacuated, "sent to an evacuated zone");
        self.sent_at_us.push(self.now_us);
        if self.cold_left_us() == 0 {
            return;
        }
        let window_start_us = self.now_us.saturating_sub(SECOND_US - 1);
        let sent = self.sent_at_us.iter().rev();
        let sent = sent
            .take_while(|sent_at_us| **sent_at_us >= window_start_us)
            .count();
        assert!(
            sent <= COLD_LIMIT_PER_S as usize,
            "{sent} requests sent within one second"
        );
    }
}

/// A cold target receives no more than its limit under any sequence of heartbeats,
/// pauses, restarts of the target and of its node, and evacuations.
#[test]
fn no_schedule_exceeds_limit_of_cold_target() {
    for_each_case(CASE_COUNT, |steps: [Step; STEP_COUNT]| {
        let mut model = TargetModel {
            gate: SendGate::new(),
            now_us: 0,
            node_started_us: 0,
            cold_until_us: COLD_US,
            in_transit_cold_left_us: None,
            is_evacuated: false,
            sent_at_us: Vec::new(),
        };
        for step in steps {
            model.step(step);
        }
    });
}
