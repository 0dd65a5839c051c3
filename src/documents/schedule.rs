//! Decides which members poll the documents' origin, and when.

use super::{RelayContact, RelayLossBounds};

/// Times that divide the polls among the members of an availability zone.
///
/// Ages are those of the newest confirmed poll, made locally or received.
#[derives::value]
#[derive(Copy)]
pub struct PollBounds {
    /// Interval between decisions, in milliseconds.
    pub period_ms: u64,
    /// Longest delay before the first poll, in milliseconds; drawn at random.
    pub start_delay_ms: u64,
    /// Age at which the first relay polls, in milliseconds.
    pub first_relay_age_ms: u64,
    /// Age at which the second relay polls, in milliseconds.
    pub second_relay_age_ms: u64,
    /// Age at which members query the relays, in milliseconds.
    pub query_relays_age_ms: Option<u64>,
    /// When members that are not relays poll; `None` for never.
    pub peer_polls: Option<PeerPolls>,
    /// When these members poll because no relay responds; `None` to wait until the relays are
    /// suspected.
    pub relay_loss: Option<RelayLossBounds>,
    /// Delay after the first failed call, in milliseconds.
    pub first_backoff_ms: u64,
    /// Longest delay after failed calls, in milliseconds.
    pub longest_backoff_ms: u64,
}

/// Polls by members that are not relays.
///
/// The origin may fail both relays of a zone while it serves other members.
#[derives::value]
#[derive(Copy)]
pub struct PeerPolls {
    /// Age from which they poll, in milliseconds.
    pub age_ms: u64,
    /// Polls of all of them together, per second.
    pub rate_per_s: f64,
    /// Age from which they poll while no relay reaches the origin, in milliseconds.
    pub without_relay_age_ms: u64,
    /// Polls of all of them together in that case, per second.
    pub without_relay_rate_per_s: f64,
}

/// A member's role in polling for its availability zone.
#[derives::value]
#[derive(Copy)]
pub struct PollRole {
    /// Rank among the relays, starting at 0; `None` for other members.
    pub rank: Option<usize>,
    /// Number of members in the zone.
    pub member_count: usize,
    /// What is known of the zone's relays.
    pub relay_contact: RelayContact,
    /// Random addition to the age from which it polls while the relays are silent, in
    /// milliseconds.
    pub delay_ms: u64,
}

/// Time within which a change has to be in force where the deployment sets no other, in
/// milliseconds.
const APPLY_LIMIT_MS: u64 = 2000;

impl PollBounds {
    /// For an origin that bills calls, and confirmations valid for at least four
    /// seconds.
    pub const METERED_API: Self = Self {
        period_ms: 200,
        start_delay_ms: 0,
        first_relay_age_ms: 1500,
        second_relay_age_ms: 2000,
        query_relays_age_ms: Some(2400),
        peer_polls: Some(PeerPolls {
            age_ms: 3000,
            rate_per_s: 2.0,
            without_relay_age_ms: 700,
            without_relay_rate_per_s: 5.0,
        }),
        relay_loss: Some(RelayLossBounds::new(APPLY_LIMIT_MS)),
        first_backoff_ms: 100,
        longest_backoff_ms: 1600,
    };

    /// The same bounds with another delay before the first poll.
    #[must_use]
    pub const fn with_start_delay_ms(self, start_delay_ms: u64) -> Self {
        Self {
            start_delay_ms,
            ..self
        }
    }

    /// The same bounds for changes that have to be in force within this time, in milliseconds.
    #[must_use]
    pub fn with_apply_limit_ms(self, apply_limit_ms: u64) -> Self {
        Self {
            period_ms: self.period_ms.min(apply_limit_ms / 10).max(1),
            first_relay_age_ms: self.first_relay_age_ms.min(apply_limit_ms * 3 / 4),
            second_relay_age_ms: self.second_relay_age_ms.min(apply_limit_ms),
            relay_loss: Some(RelayLossBounds::new(apply_limit_ms)),
            ..self
        }
    }

    /// Whether a member polls now.
    ///
    /// `age_ms` is `None` while there is no confirmed poll. `draw` is random in 0..1
    /// and selects among members that are not relays.
    #[must_use]
    pub fn is_due(&self, role: PollRole, age_ms: Option<u64>, draw: f64) -> bool {
        let is_older_than = |limit_ms| age_ms.is_none_or(|age_ms| age_ms >= limit_ms);
        match (role.rank, role.relay_contact, self.relay_loss) {
            (Some(0), ..) => is_older_than(self.first_relay_age_ms),
            (Some(_), ..) => is_older_than(self.second_relay_age_ms),
            (None, RelayContact::Silent, Some(loss)) => {
                is_older_than(loss.poll_age_ms + role.delay_ms)
                    && draw < loss.poll_probability(role.member_count)
            }
            (None, relay_contact, _) => self.peer_polls.is_some_and(|peer_polls| {
                let (limit_ms, rate_per_s) = match relay_contact {
                    RelayContact::Connected => (peer_polls.age_ms, peer_polls.rate_per_s),
                    RelayContact::Disconnected | RelayContact::Silent => (
                        peer_polls.without_relay_age_ms,
                        peer_polls.without_relay_rate_per_s,
                    ),
                };
                is_older_than(limit_ms)
                    && draw < self.poll_probability(rate_per_s, role.member_count)
            }),
        }
    }

    /// Probability that one of `member_count` members polls in a period.
    fn poll_probability(&self, rate_per_s: f64, member_count: usize) -> f64 {
        let period_s = self.period_ms as f64 / 1000.0;
        rate_per_s * period_s / member_count.max(1) as f64
    }
}
