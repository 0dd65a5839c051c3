//! Who looks at the documents' origin, and when.

/// Times by which the members of an availability zone share the looks.
///
/// Ages are those of the newest confirmed look, own or told.
#[derives::value]
#[derive(Copy)]
pub struct PollBounds {
    /// Time between two decisions, in milliseconds.
    pub period_ms: u64,
    /// Longest wait before the first look, in milliseconds; drawn at random.
    pub start_delay_ms: u64,
    /// Age at which the first relay looks, in milliseconds.
    pub first_relay_age_ms: u64,
    /// Age at which the second relay looks, in milliseconds.
    pub second_relay_age_ms: u64,
    /// Age at which other members ask the relays, in milliseconds.
    pub ask_relays_age_ms: Option<u64>,
    /// When other members look themselves.
    pub others: Option<PeerPolls>,
    /// First pause after a failed call, in milliseconds.
    pub first_backoff_ms: u64,
    /// Longest pause after failed calls, in milliseconds.
    pub longest_backoff_ms: u64,
}

/// Looks by members that are no relays.
///
/// The origin may turn away both relays of a zone and serve the others.
#[derives::value]
#[derive(Copy)]
pub struct PeerPolls {
    /// Age from which they look, in milliseconds.
    pub age_ms: u64,
    /// Looks of all of them together, per second.
    pub rate_per_s: f64,
    /// Age from which they look where no relay reaches the origin, in
    /// milliseconds.
    pub alone_age_ms: u64,
    /// Their looks together then, per second.
    pub alone_rate_per_s: f64,
}

/// A member's part in the looks of its availability zone.
#[derives::value]
#[derive(Copy)]
pub struct PollRole {
    /// Rank among the relays, 0 first; `None` for other members.
    pub rank: Option<usize>,
    /// Members of the zone.
    pub member_count: usize,
    /// Some relay of the zone reaches the origin, as far as is known.
    pub has_relays: bool,
}

impl PollBounds {
    /// For an origin whose calls are paid for, and confirmations that hold for
    /// four seconds and more.
    pub const PAID: Self = Self {
        period_ms: 200,
        start_delay_ms: 0,
        first_relay_age_ms: 1500,
        second_relay_age_ms: 2000,
        ask_relays_age_ms: Some(2400),
        others: Some(PeerPolls {
            age_ms: 3000,
            rate_per_s: 2.0,
            alone_age_ms: 700,
            alone_rate_per_s: 5.0,
        }),
        first_backoff_ms: 100,
        longest_backoff_ms: 1600,
    };

    /// The same, with another wait before the first look.
    #[must_use]
    pub const fn with_start_delay_ms(self, start_delay_ms: u64) -> Self {
        Self {
            start_delay_ms,
            ..self
        }
    }

    /// Whether a member looks now.
    ///
    /// `age_ms` is `None` while there is no confirmed look. `draw` lies in 0..1
    /// and decides among members that are no relays.
    #[must_use]
    pub fn is_due(&self, role: PollRole, age_ms: Option<u64>, draw: f64) -> bool {
        let is_older_than = |limit_ms| age_ms.is_none_or(|age_ms| age_ms >= limit_ms);
        match role.rank {
            Some(0) => is_older_than(self.first_relay_age_ms),
            Some(_) => is_older_than(self.second_relay_age_ms),
            None => self.others.is_some_and(|others| {
                let (limit_ms, rate_per_s) = match role.has_relays {
                    true => (others.age_ms, others.rate_per_s),
                    false => (others.alone_age_ms, others.alone_rate_per_s),
                };
                is_older_than(limit_ms) && draw < self.share(rate_per_s, role.member_count)
            }),
        }
    }

    /// Chance of a look by one of so many members in a period.
    fn share(&self, rate_per_s: f64, member_count: usize) -> f64 {
        let period_s = self.period_ms as f64 / 1000.0;
        rate_per_s * period_s / member_count.max(1) as f64
    }
}
