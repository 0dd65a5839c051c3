//! What is sent to a target that is cold or whose zone is evacuated.

#[path = "admission_support/generated.rs"]
mod generated;

use {
    dogwoodbridge::{
        model::Class,
        target::{GateClosed, SendGate, Urgency},
    },
    generated::for_each_case,
};

const BOUND: u32 = 20;
const SECOND_US: u64 = 1_000_000;

fn pass(gate: &mut SendGate, urgency: Urgency, now_us: u64) -> bool {
    gate.pass(urgency, BOUND, now_us).is_ok()
}

/// Requests that pass of so many that come over a second.
fn passed_in_second(gate: &mut SendGate, urgency: Urgency, from_us: u64, count: u64) -> u32 {
    let times = (0..count).map(|place| from_us + place * SECOND_US / count);
    let passed = times.filter(|now_us| pass(gate, urgency, *now_us));
    u32::try_from(passed.count()).unwrap()
}

/// Pattern: a target comes up under the load of a warm one. It failed, came
/// back cold and failed again.
#[test]
fn a_cold_target_gets_no_more_than_it_bears() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut SendGate),
        is_bounded: bool,
    }
    let cases = [
        Case {
            name: "nothing told",
            prepare: |_| {},
            is_bounded: true,
        },
        Case {
            name: "a new process that is warm",
            prepare: |gate| gate.tell(0, true, 0),
            is_bounded: false,
        },
        Case {
            name: "cold after its start",
            prepare: |gate| gate.tell(3 * SECOND_US, true, 0),
            is_bounded: true,
        },
        Case {
            name: "cold again in the middle of its work",
            prepare: |gate| {
                gate.tell(0, true, 0);
                gate.tell(3 * SECOND_US, false, 0);
            },
            is_bounded: true,
        },
        Case {
            name: "calls itself warm too early",
            prepare: |gate| {
                gate.tell(3 * SECOND_US, true, 0);
                gate.tell(0, false, 0);
            },
            is_bounded: true,
        },
        Case {
            name: "was away",
            prepare: |gate| {
                gate.tell(0, true, 0);
                gate.doubt();
            },
            is_bounded: true,
        },
        Case {
            name: "was away, and a late heartbeat comes in",
            prepare: |gate| {
                gate.tell(0, true, 0);
                gate.doubt();
                gate.tell(0, false, 0);
            },
            is_bounded: true,
        },
        Case {
            name: "was away, and calls itself warm again and again",
            prepare: |gate| {
                gate.tell(0, true, 0);
                gate.doubt();
                gate.tell(0, false, 0);
                gate.tell(0, false, 0);
            },
            is_bounded: false,
        },
        Case {
            name: "its evacuation was taken back",
            prepare: |gate| {
                gate.tell(0, true, 0);
                gate.set_evacuated(true);
                gate.tell(0, false, 0);
                gate.tell(0, false, 0);
                gate.set_evacuated(false);
            },
            is_bounded: true,
        },
    ];
    for case in cases {
        let mut gate = SendGate::new();
        (case.prepare)(&mut gate);
        let passed = passed_in_second(&mut gate, Urgency::Begun, 0, 100);
        let expected = if case.is_bounded { BOUND } else { 100 };
        assert_eq!(passed, expected, "{}", case.name);
    }
}

/// A target that was busy becomes cold. What it got within the second before
/// counts as well.
#[test]
fn what_was_sent_before_a_target_became_cold_counts() {
    let mut gate = SendGate::new();
    gate.tell(0, true, 0);
    assert_eq!(passed_in_second(&mut gate, Urgency::Begun, 0, 200), 200);
    gate.tell(3 * SECOND_US, false, SECOND_US);
    assert!(!pass(&mut gate, Urgency::Begun, SECOND_US));
    let later_us = 2 * SECOND_US;
    assert_eq!(
        passed_in_second(&mut gate, Urgency::Begun, later_us, 100),
        BOUND
    );
}

/// With all targets cold, half of the calls below an order were refused and
/// the order was lost after its work was done. Calls of chains that have begun
/// go first, then the most important class.
#[test]
fn a_cold_target_keeps_room_for_what_has_begun() {
    let mut previous = 0;
    for urgency in [
        Urgency::New(Class::Browse),
        Urgency::New(Class::Standard),
        Urgency::New(Class::Critical),
        Urgency::Begun,
    ] {
        let mut gate = SendGate::new();
        gate.tell(3 * SECOND_US, true, 0);
        let passed = passed_in_second(&mut gate, urgency, 0, 100);
        assert!(passed > previous, "{urgency:?}: {passed}");
        previous = passed;
        let full_load = gate.load_percent(SECOND_US - 1) >= 200;
        assert_eq!(full_load, urgency == Urgency::Begun, "{urgency:?}");
    }
    assert_eq!(previous, BOUND);
}

/// A caller that is told when a target is warm does not come back before.
#[test]
fn a_refusal_tells_how_long_the_target_stays_cold() {
    let mut gate = SendGate::new();
    gate.tell(3 * SECOND_US, true, 0);
    passed_in_second(&mut gate, Urgency::Begun, 0, 100);
    let refused = gate.pass(Urgency::Begun, BOUND, SECOND_US - 1);
    let left_us = Some(2 * SECOND_US + 1);
    assert_eq!(refused, Err(GateClosed::Cold { left_us }));
    assert!(pass(&mut gate, Urgency::Begun, 3 * SECOND_US));
    assert_eq!(gate.load_percent(3 * SECOND_US), 0);
}

/// Work was sent into a zone that operators were about to shut down.
#[test]
fn nothing_passes_while_the_zone_is_evacuated() {
    let mut gate = SendGate::new();
    gate.tell(0, true, 0);
    assert!(gate.set_evacuated(true));
    assert!(!gate.set_evacuated(true));
    for bound in [0, BOUND] {
        let refused = gate.pass(Urgency::Begun, bound, 0);
        assert_eq!(refused, Err(GateClosed::Evacuated));
    }
    assert!(gate.set_evacuated(false));
    assert!(pass(&mut gate, Urgency::Begun, 0));
}

/// A step of a schedule: what happens, after how long.
type Step = (u8, u8);

const STEP_COUNT: usize = 300;
const CASE_COUNT: usize = 1000;
const COLD_US: u64 = 3 * SECOND_US;

/// A target as it really is, with heartbeats that come late.
struct Model {
    gate: SendGate,
    now_us: u64,
    cold_until_us: u64,
    /// What a heartbeat tells that is under way, in microseconds. There is one at
    /// most: one that was overtaken tells nothing.
    late_us: Option<u64>,
    is_evacuated: bool,
    sent_us: Vec<u64>,
}

impl Model {
    fn step(&mut self, (kind, gap): Step) {
        // Now and then a pause of a second, as a suspended node makes.
        self.now_us += if gap == 255 {
            SECOND_US
        } else {
            u64::from(gap) * 40
        };
        match kind % 32 {
            0 => self.start(),
            1 => self.evacuate(),
            2 => self.crash_unnoticed(),
            3..=5 => self.send_heartbeat(),
            6..=7 => self.deliver_heartbeat(),
            _ => self.send(),
        }
    }

    fn cold_left_us(&self) -> u64 {
        self.cold_until_us.saturating_sub(self.now_us)
    }

    /// A process that the node learns of before it sends it anything.
    fn start(&mut self) {
        self.cold_until_us = self.now_us + COLD_US;
        self.late_us = None;
        self.gate.tell(COLD_US, true, self.now_us);
    }

    /// Emptied, or taken back as a cold one.
    fn evacuate(&mut self) {
        self.is_evacuated = !self.is_evacuated;
        if !self.is_evacuated {
            self.cold_until_us = self.now_us + COLD_US;
        }
        self.gate.set_evacuated(self.is_evacuated);
    }

    /// Starts again under its own name; the node saw only that nobody listened.
    fn crash_unnoticed(&mut self) {
        self.cold_until_us = self.now_us + COLD_US;
        self.gate.doubt();
    }

    fn send_heartbeat(&mut self) {
        self.late_us = self.late_us.or(Some(self.cold_left_us()));
    }

    fn deliver_heartbeat(&mut self) {
        if let Some(cold_left_us) = self.late_us.take() {
            self.gate.tell(cold_left_us, false, self.now_us);
        }
    }

    fn send(&mut self) {
        if self.gate.pass(Urgency::Begun, BOUND, self.now_us).is_err() {
            return;
        }
        assert!(!self.is_evacuated, "sent into an evacuated zone");
        self.sent_us.push(self.now_us);
        if self.cold_left_us() == 0 {
            return;
        }
        let since_us = self.now_us.saturating_sub(SECOND_US - 1);
        let sent = self.sent_us.iter().rev();
        let sent = sent.take_while(|sent_us| **sent_us >= since_us).count();
        assert!(sent <= BOUND as usize, "{sent} in a second");
    }
}

/// No schedule of heartbeats, pauses, restarts and evacuations sends a cold
/// target more than its bound.
#[test]
fn no_schedule_exceeds_the_bound_of_a_cold_target() {
    for_each_case(CASE_COUNT, |steps: [Step; STEP_COUNT]| {
        let mut model = Model {
            gate: SendGate::new(),
            now_us: 0,
            cold_until_us: COLD_US,
            late_us: None,
            is_evacuated: false,
            sent_us: Vec::new(),
        };
        for step in steps {
            model.step(step);
        }
    });
}
