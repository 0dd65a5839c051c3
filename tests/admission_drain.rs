//! Draining of the admission queue of a target.

use dogwoodbridge::{
    admission::{
        Adaptive, AdmissionPolicy, Arrival, Decision, StaticLimit, TargetResult, TargetSize,
        TicketKey,
    },
    model::{Class, Reason, WorkspaceKey},
};

const SIZE: TargetSize = TargetSize {
    slot_count: 2,
    connection_count: 8,
    is_exact: false,
};
/// A deadline far in the future.
const FAR_DEADLINE_US: u64 = 60_000_000;

fn arrive<A: AdmissionPolicy>(policy: &mut A, decisions: &mut Vec<Decision>) -> TicketKey {
    let arrival = Arrival {
        class: Class::Critical,
        workspace: WorkspaceKey::new(0),
        deadline_us: FAR_DEADLINE_US,
        objective_us: None,
    };
    policy.arrive(arrival, 0, decisions)
}

fn is_refused_as_draining(decision: &Decision, ticket: TicketKey) -> bool {
    matches!(decision, Decision::Refuse(key, refusal)
        if *key == ticket && refusal.reason == Reason::Draining)
}

/// A target drains while requests wait for a slot. If they were refused at once, each would cost a
/// retry, and callers of a service with a single target would get refusals at a planned shutdown.
fn check_waiting_requests_start_while_draining<A: AdmissionPolicy>() {
    let mut decisions = Vec::new();
    let mut policy = A::new(SIZE);
    let mut running = Vec::new();
    let first_waiting = loop {
        let ticket = arrive(&mut policy, &mut decisions);
        if policy.waiting_count() > 0 {
            break ticket;
        }
        running.push(ticket);
    };
    let second_waiting = arrive(&mut policy, &mut decisions);
    decisions.clear();
    policy.drain();
    assert_eq!(policy.waiting_count(), 2);
    assert!(policy.level(Class::Browse, 0).draining);
    let late_ticket = arrive(&mut policy, &mut decisions);
    assert!(
        decisions
            .iter()
            .any(|decision| is_refused_as_draining(decision, late_ticket))
    );
    decisions.clear();
    policy.end(running[0], TargetResult::Completed, 10, &mut decisions);
    assert_eq!(decisions, [Decision::Start(first_waiting)]);
    decisions.clear();
    policy.refuse_waiting(20, &mut decisions);
    assert_eq!(decisions.len(), 1);
    assert!(is_refused_as_draining(&decisions[0], second_waiting));
    assert_eq!(policy.waiting_count(), 0);
}

#[test]
fn adaptive_starts_waiting_requests_while_draining() {
    check_waiting_requests_start_while_draining::<Adaptive>();
}

#[test]
fn static_limit_starts_waiting_requests_while_draining() {
    check_waiting_requests_start_while_draining::<StaticLimit>();
}
