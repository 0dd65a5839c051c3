//! Which members poll the documents' origin and when, without network or clock.

use {
    dogwoodbridge::documents::{PollBounds, PollRole},
    rand::{Rng, SeedableRng, rngs::StdRng},
};

const BOUNDS: PollBounds = PollBounds::METERED_API;

const fn role(rank: Option<usize>, member_count: usize) -> PollRole {
    PollRole {
        rank,
        member_count,
        has_connected_relay: true,
    }
}

const WITHOUT_CONNECTED_RELAY: PollRole = PollRole {
    rank: None,
    member_count: 16,
    has_connected_relay: false,
};

#[test]
fn members_poll_in_order_as_the_last_confirmed_poll_ages() {
    struct Case {
        name: &'static str,
        role: PollRole,
        age_ms: Option<u64>,
        draw: f64,
        is_due: bool,
    }
    let cases = [
        Case {
            name: "first relay, age below its limit",
            role: role(Some(0), 16),
            age_ms: Some(1499),
            draw: 0.0,
            is_due: false,
        },
        Case {
            name: "first relay",
            role: role(Some(0), 16),
            age_ms: Some(1500),
            draw: 0.99,
            is_due: true,
        },
        Case {
            name: "second relay waits for the first",
            role: role(Some(1), 16),
            age_ms: Some(1999),
            draw: 0.0,
            is_due: false,
        },
        Case {
            name: "second relay",
            role: role(Some(1), 16),
            age_ms: Some(2000),
            draw: 0.99,
            is_due: true,
        },
        Case {
            name: "other member, age below its limit",
            role: role(None, 16),
            age_ms: Some(2999),
            draw: 0.0,
            is_due: false,
        },
        Case {
            name: "other member, drawn to poll",
            role: role(None, 16),
            age_ms: Some(3000),
            draw: 0.0,
            is_due: true,
        },
        Case {
            name: "other member, not drawn to poll",
            role: role(None, 16),
            age_ms: Some(3000),
            draw: 0.5,
            is_due: false,
        },
        Case {
            name: "no relay reaches the origin, age below the limit",
            role: WITHOUT_CONNECTED_RELAY,
            age_ms: Some(699),
            draw: 0.0,
            is_due: false,
        },
        Case {
            name: "no relay reaches the origin, drawn to poll",
            role: WITHOUT_CONNECTED_RELAY,
            age_ms: Some(700),
            draw: 0.06,
            is_due: true,
        },
        Case {
            name: "no relay reaches the origin, not drawn to poll",
            role: WITHOUT_CONNECTED_RELAY,
            age_ms: Some(700),
            draw: 0.07,
            is_due: false,
        },
        Case {
            name: "nothing confirmed yet",
            role: role(Some(0), 1),
            age_ms: None,
            draw: 0.99,
            is_due: true,
        },
    ];
    for case in cases {
        let is_due = BOUNDS.is_due(case.role, case.age_ms, case.draw);
        assert_eq!(is_due, case.is_due, "{}", case.name);
    }
}

#[test]
fn without_peer_polls_only_relays_poll() {
    let bounds = PollBounds {
        peer_polls: None,
        ..BOUNDS
    };
    assert!(!bounds.is_due(role(None, 1), None, 0.0));
    assert!(bounds.is_due(role(Some(1), 1), None, 0.0));
}

/// The store is down for all nodes. If every node kept calling it, the calls of a large
/// fleet would prevent its recovery.
#[test]
fn call_rate_in_an_outage_is_independent_of_zone_size() {
    const OUTAGE_MS: u64 = 60_000;
    let mut rng = StdRng::seed_from_u64(3);
    for member_count in [3, 16, 97] {
        let mut call_count = 0;
        for _ in 0..OUTAGE_MS / BOUNDS.period_ms {
            for _ in 0..member_count {
                let draw = rng.random();
                let is_due = BOUNDS.is_due(role(None, member_count), Some(3000), draw);
                call_count += u64::from(is_due);
            }
        }
        let expected_count = 2.0 * (OUTAGE_MS / 1000) as f64;
        let ratio = call_count as f64 / expected_count;
        assert!((0.5..2.0).contains(&ratio), "{member_count}: {call_count}");
    }
}
