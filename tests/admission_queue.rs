//! Decisions of the adaptive policy in single situations: start, wait or refuse.

use dogwoodbridge::{
    admission::{
        Adaptive, AdmissionPolicy, Arrival, ConcurrencyLimit, Decision, LoadReport,
        REPORT_AGE_LIMIT_US, TargetResult, TargetSize, TicketKey,
    },
    model::{Class, Reason, Refusal, WorkspaceKey},
};

const SERVICE_US: u64 = 10_000;
const SLOT_COUNT: u32 = 40;
/// Time to a deadline that no test reaches.
const FAR_DEADLINE_US: u64 = 60_000_000;

struct Fixture {
    policy: Adaptive,
    decisions: Vec<Decision>,
    /// Number of decisions already checked for starts.
    checked_count: usize,
    running: Vec<TicketKey>,
    now_us: u64,
}

impl Fixture {
    /// A target whose limit has grown to its slots.
    fn settled() -> Self {
        let mut fixture = Self {
            policy: Adaptive::new(size()),
            decisions: Vec::new(),
            checked_count: 0,
            running: Vec::new(),
            now_us: 0,
        };
        for _ in 0..50 {
            for _ in 0..2 * SLOT_COUNT {
                fixture.arrive(Class::Browse, 0, FAR_DEADLINE_US);
            }
            fixture.finish_all();
        }
        assert_eq!(fixture.policy.limit_count(), SLOT_COUNT);
        fixture
    }

    /// Ends all running requests after each service time until none runs or waits.
    fn finish_all(&mut self) {
        while self.policy.running_count() + self.policy.waiting_count() > 0 {
            self.record_starts();
            self.now_us += SERVICE_US;
            let running = std::mem::take(&mut self.running);
            self.end_all(&running);
            self.policy.tick(self.now_us, &mut self.decisions);
        }
    }

    fn record_starts(&mut self) {
        for decision in &self.decisions[self.checked_count..] {
            if let Decision::Start(ticket) = decision {
                self.running.push(*ticket);
            }
        }
        self.checked_count = self.decisions.len();
    }

    fn arrive(&mut self, class: Class, workspace: u16, remaining_us: u64) -> TicketKey {
        let arrival = Arrival {
            class,
            workspace: WorkspaceKey::new(workspace),
            deadline_us: self.now_us + remaining_us,
            objective_us: None,
        };
        self.policy
            .arrive(arrival, self.now_us, &mut self.decisions)
    }

    fn start(&mut self, class: Class, workspace: u16) -> Option<TicketKey> {
        let ticket = self.arrive(class, workspace, FAR_DEADLINE_US);
        self.decisions
            .contains(&Decision::Start(ticket))
            .then_some(ticket)
    }

    fn end_all(&mut self, tickets: &[TicketKey]) {
        for ticket in tickets {
            self.policy.end(
                *ticket,
                TargetResult::Completed,
                self.now_us,
                &mut self.decisions,
            );
        }
    }

    fn refusal(&self, ticket: TicketKey) -> Option<Refusal> {
        self.decisions.iter().find_map(|decision| match decision {
            Decision::Refuse(other, refusal) if *other == ticket => Some(*refusal),
            _ => None,
        })
    }
}

const fn size() -> TargetSize {
    TargetSize {
        slot_count: SLOT_COUNT,
        connection_count: 400,
        is_exact: false,
    }
}

/// Browse requests fill the target. Without reserved slots, a critical request would wait for a
/// browse request to end.
#[test]
fn browse_requests_leave_reserved_slots_for_recent_critical_demand() {
    struct Case {
        name: &'static str,
        recent_critical_count: u32,
        reserved_count: u32,
    }
    for case in [
        Case {
            name: "no recent critical requests: 5 %",
            recent_critical_count: 0,
            reserved_count: 2,
        },
        Case {
            name: "few critical requests: one more than these",
            recent_critical_count: 3,
            reserved_count: 4,
        },
        Case {
            name: "many critical requests: 20 %",
            recent_critical_count: 30,
            reserved_count: 8,
        },
    ] {
        let mut fixture = Fixture::settled();
        let critical: Vec<TicketKey> = (0..case.recent_critical_count)
            .filter_map(|_| fixture.start(Class::Critical, 1))
            .collect();
        assert_eq!(critical.len(), case.recent_critical_count as usize);
        fixture.end_all(&critical);
        for _ in 0..2 * SLOT_COUNT {
            fixture.arrive(Class::Browse, 0, FAR_DEADLINE_US);
        }
        let running = fixture.policy.running_count();
        assert_eq!(
            running,
            (SLOT_COUNT - case.reserved_count) as usize,
            "{}",
            case.name
        );
        for _ in 0..case.reserved_count {
            assert!(fixture.start(Class::Critical, 1).is_some(), "{}", case.name);
        }
        let waiting = fixture.arrive(Class::Critical, 1, FAR_DEADLINE_US);
        assert_eq!(
            fixture.refusal(waiting),
            None,
            "{}: the request waits",
            case.name
        );
    }
}

#[test]
fn requests_that_cannot_finish_by_their_deadline_are_refused_at_once() {
    struct Case {
        name: &'static str,
        remaining_us: u64,
        reason: Option<Reason>,
    }
    for case in [
        Case {
            name: "the deadline has passed",
            remaining_us: 0,
            reason: Some(Reason::TooLate),
        },
        Case {
            name: "less than half the service time is left",
            remaining_us: SERVICE_US / 3,
            reason: Some(Reason::TooLate),
        },
        Case {
            name: "the whole service time is left",
            remaining_us: SERVICE_US,
            reason: None,
        },
    ] {
        let mut fixture = Fixture::settled();
        let ticket = fixture.arrive(Class::Critical, 0, case.remaining_us);
        let reason = fixture.refusal(ticket).map(|refusal| refusal.reason);
        assert_eq!(reason, case.reason, "{}", case.name);
    }
}

/// The target was very slow, and all deadlines are shorter than its service time was. If the
/// estimate did not decay, all requests would be refused although the target is idle.
#[test]
fn an_idle_target_is_tried_again_after_it_was_slow() {
    let mut fixture = Fixture::settled();
    for _ in 0..40 {
        let ticket = fixture.start(Class::Standard, 0).expect("a slot is free");
        fixture.now_us += 5_000_000;
        fixture.end_all(&[ticket]);
    }
    let refused = fixture.arrive(Class::Standard, 0, 500_000);
    assert!(fixture.refusal(refused).is_some());
    fixture.now_us += 12_000_000;
    let ticket = fixture.arrive(Class::Standard, 0, 500_000);
    assert_eq!(fixture.refusal(ticket), None);
}

/// The queue is full of browse requests when critical requests arrive.
#[test]
fn a_full_queue_sheds_the_lowest_class_and_the_busiest_workspace() {
    let mut fixture = Fixture::settled();
    for _ in 0..5000 {
        fixture.arrive(Class::Browse, 0, FAR_DEADLINE_US);
    }
    let light_workspace: Vec<TicketKey> = (0..5)
        .map(|_| fixture.arrive(Class::Browse, 1, FAR_DEADLINE_US))
        .collect();
    assert!(
        light_workspace
            .iter()
            .all(|ticket| fixture.refusal(*ticket).is_none())
    );
    let level = fixture.policy.level(Class::Browse, fixture.now_us);
    assert_eq!(level.lowest_class, Class::Standard);
    let refused_before = fixture.decisions.len();
    let critical_tickets: Vec<TicketKey> = (0..100)
        .map(|_| fixture.arrive(Class::Critical, 1, FAR_DEADLINE_US))
        .collect();
    assert!(
        critical_tickets
            .iter()
            .all(|ticket| fixture.refusal(*ticket).is_none())
    );
    assert!(fixture.decisions.len() > refused_before + 50);
    let retry_after_ms: Vec<u32> = fixture
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Refuse(_, refusal) => Some(refusal.retry_after_ms),
            Decision::Start(_) => None,
        })
        .collect();
    let spread_ms = retry_after_ms.iter().max().unwrap() - retry_after_ms.iter().min().unwrap();
    assert!(
        spread_ms >= 50,
        "callers would retry at the same time: spread of {spread_ms} ms"
    );
}

/// Upstream nodes shed a class while the level excludes it. If the level stayed high after the
/// queue is empty, callers of an idle target would be refused.
#[test]
fn the_level_falls_again_when_the_queue_empties() {
    let mut fixture = Fixture::settled();
    for _ in 0..5000 {
        fixture.arrive(Class::Standard, 0, FAR_DEADLINE_US);
    }
    let level = fixture.policy.level(Class::Browse, fixture.now_us);
    assert_eq!(level.lowest_class, Class::Critical);
    assert!(level.load_percent > 200);
    fixture.finish_all();
    for _ in 0..10 {
        fixture.now_us += 10_000;
        fixture.policy.tick(fixture.now_us, &mut fixture.decisions);
    }
    let level = fixture.policy.level(Class::Browse, fixture.now_us);
    assert_eq!(level.lowest_class, Class::Browse);
}

/// The target has restarted and is cold. At full load, its requests would time out.
#[test]
fn the_limit_is_low_after_a_restart() {
    let mut fixture = Fixture::settled();
    fixture.policy.set_size(size(), true, fixture.now_us);
    assert_eq!(fixture.policy.limit_count(), SLOT_COUNT / 8);
    fixture.policy.set_size(size(), false, fixture.now_us);
    assert_eq!(fixture.policy.limit_count(), SLOT_COUNT / 8);
}

/// Runs a limit for several windows at constant latency.
struct LimitFixture {
    limit: ConcurrencyLimit,
    now_us: u64,
}

impl LimitFixture {
    fn run(&mut self, count: usize, shed_count: usize, report_age_us: Option<u64>) {
        for _ in 0..count {
            if let Some(age_us) = report_age_us {
                self.limit.record_load_report(LoadReport {
                    waiting_count: 0,
                    work_time_percent: None,
                    busy_ratio: 1.0,
                    received_us: self.now_us.saturating_sub(age_us),
                });
            }
            for _ in 0..shed_count {
                self.limit.record_shed();
            }
            let started_us = self.now_us;
            self.now_us += SERVICE_US;
            for _ in 0..4 * SLOT_COUNT {
                self.limit.record_start(SLOT_COUNT);
                self.limit.record_end(started_us, false, self.now_us);
            }
        }
    }
}

/// A target that shed requests has reported that it is busy, recently or long ago, correctly or
/// not. If growth stopped because of the report, the limit would stay far below the capacity of
/// the target.
#[test]
fn only_a_fresh_busy_report_slows_growth() {
    let limit_after_growth = |report_age_us: Option<u64>| {
        let mut fixture = LimitFixture {
            limit: ConcurrencyLimit::new(size()),
            now_us: 2 * REPORT_AGE_LIMIT_US,
        };
        fixture.run(10, 0, None);
        assert_eq!(fixture.limit.count(), SLOT_COUNT);
        fixture.run(20, 100, None);
        assert_eq!(fixture.limit.count(), 4);
        fixture.run(8, 0, report_age_us);
        let limit_after_eight_windows = fixture.limit.count();
        fixture.run(100, 0, report_age_us);
        assert_eq!(fixture.limit.count(), SLOT_COUNT, "growth must not stop");
        limit_after_eight_windows
    };
    let unreported_limit = limit_after_growth(None);
    let stale_limit = limit_after_growth(Some(REPORT_AGE_LIMIT_US + SERVICE_US + 1));
    let fresh_limit = limit_after_growth(Some(0));
    assert_eq!(stale_limit, unreported_limit);
    assert!(
        fresh_limit > 4 && fresh_limit < unreported_limit,
        "{fresh_limit} {unreported_limit}"
    );
}
