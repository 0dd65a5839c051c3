//! Which members poll the documents' origin and when, without network or clock.

use {
    dogwoodbridge::documents::{
        PollBounds, PollRole, RelayContact, RelayLossBounds, RelayResponses,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
};

const BOUNDS: PollBounds = PollBounds::METERED_API;

const fn role(rank: Option<usize>, member_count: usize) -> PollRole {
    PollRole {
        rank,
        member_count,
        relay_contact: RelayContact::Connected,
        delay_ms: 0,
    }
}

const WITHOUT_CONNECTED_RELAY: PollRole = PollRole {
    rank: None,
    member_count: 16,
    relay_contact: RelayContact::Disconnected,
    delay_ms: 0,
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

/// A member that is no relay, and what it knows of its relays.
struct MemberModel {
    bounds: PollBounds,
    loss: RelayLossBounds,
    responses: RelayResponses,
    member_count: usize,
    polled_ms: u64,
    delay_ms: u64,
}

impl MemberModel {
    const RELAYS: [&str; 2] = ["relay-1", "relay-2"];

    fn new(apply_limit_ms: u64, member_count: usize) -> Self {
        let bounds = BOUNDS.with_apply_limit_ms(apply_limit_ms);
        let loss = bounds.relay_loss.unwrap().for_zone(member_count);
        let mut responses = RelayResponses::new();
        responses.track(&Self::RELAYS.map(str::to_owned), 0);
        Self {
            bounds,
            loss,
            responses,
            member_count,
            polled_ms: 0,
            delay_ms: 0,
        }
    }

    /// Whether it polls at a tick; relays that run respond to its probes at once.
    fn tick(&mut self, now_ms: u64, has_relays: bool, rng: &mut StdRng) -> bool {
        if has_relays && self.responses.needs_probe(self.loss, now_ms) {
            self.responses.record(Self::RELAYS[0], now_ms);
        }
        let mut relays = Self::RELAYS.iter();
        let are_silent = relays.all(|relay| self.responses.is_silent(relay, self.loss, now_ms));
        let role = PollRole {
            rank: None,
            member_count: self.member_count,
            relay_contact: match are_silent {
                true => RelayContact::Silent,
                false => RelayContact::Connected,
            },
            delay_ms: self.delay_ms,
        };
        let age_ms = now_ms - self.polled_ms;
        let is_due = self.bounds.is_due(role, Some(age_ms), rng.random());
        if is_due {
            self.polled_ms = now_ms;
            self.delay_ms = rng.random_range(0..=self.loss.poll_spread_ms);
        }
        is_due
    }
}

/// Guards against a change that is in force too late at the members that are left when the relays
/// of all zones are lost: they waited until membership suspected the relays.
#[test]
fn a_member_without_relays_polls_within_four_fifths_of_the_limit() {
    const RELAY_POLL_MS: u64 = 1500;
    let mut rng = StdRng::seed_from_u64(8);
    for apply_limit_ms in [1000, 2000, 2500, 4000] {
        for _ in 0..500 {
            let member_count = rng.random_range(3..=24);
            let mut member = MemberModel::new(apply_limit_ms, member_count);
            let loss_ms = rng.random_range(2000..20_000);
            let mut changed_ms = loss_ms;
            let mut now_ms = rng.random_range(0..member.bounds.period_ms);
            while now_ms < loss_ms + 4 * apply_limit_ms {
                let has_relays = now_ms < loss_ms;
                if has_relays && now_ms - member.polled_ms > RELAY_POLL_MS {
                    member.polled_ms = now_ms;
                }
                if member.tick(now_ms, has_relays, &mut rng) && !has_relays {
                    changed_ms = now_ms;
                }
                let late_ms = now_ms.saturating_sub(changed_ms);
                assert!(
                    late_ms <= apply_limit_ms * 4 / 5,
                    "{apply_limit_ms}: {late_ms} ms after {changed_ms}, loss {loss_ms}"
                );
                now_ms += member.bounds.period_ms;
            }
        }
    }
}

/// Guards against polls of members whose relays respond, and of all members of a large zone at
/// once when they do not.
#[test]
fn polls_without_relays_are_bounded() {
    let mut rng = StdRng::seed_from_u64(9);
    for (member_count, has_relays, most_count) in [(24, true, 0), (97, false, 40), (160, false, 40)]
    {
        let mut members: Vec<MemberModel> = (0..member_count)
            .map(|_| MemberModel::new(2000, member_count))
            .collect();
        let mut now_ms = 0;
        while now_ms < 10_000 {
            let mut poll_count = 0;
            for member in &mut members {
                if has_relays {
                    member.polled_ms = now_ms;
                }
                poll_count += usize::from(member.tick(now_ms, has_relays, &mut rng));
            }
            assert!(poll_count <= most_count, "{member_count}: {poll_count}");
            now_ms += BOUNDS.period_ms;
        }
    }
}
