//! Whether the relays of an availability zone respond.
//!
//! Members that are not relays learn of a change from their relays. Membership excludes lost ones
//! only after seconds, which is too late for a change that is written right after their loss.

/// When members act on relays that do not respond.
///
/// In a zone of up to 24 members each polls within four fifths of the limit.
#[derives::value]
#[derive(Copy)]
pub struct RelayLossBounds {
    /// Time without a response of any relay after which all are probed, in milliseconds.
    pub probe_age_ms: u64,
    /// Time without a response after which a relay counts as silent, in milliseconds.
    pub silence_ms: u64,
    /// Age of the last confirmed poll from which members poll while all relays are silent, in
    /// milliseconds.
    pub poll_age_ms: u64,
    /// Longest random addition to that age, in milliseconds.
    pub poll_spread_ms: u64,
}

/// Members per zone that poll in the same period while the relays are silent, on average.
const MEAN_POLLING_COUNT: f64 = 24.0;
/// In zones with more members, each probes the relays less often.
const MEMBERS_PER_PROBE_PERIOD: u64 = 24;

impl RelayLossBounds {
    /// For changes that have to be in force within this time, in milliseconds.
    #[must_use]
    pub const fn new(apply_limit_ms: u64) -> Self {
        Self {
            probe_age_ms: apply_limit_ms * 3 / 10,
            silence_ms: apply_limit_ms / 2,
            poll_age_ms: apply_limit_ms / 2,
            poll_spread_ms: apply_limit_ms / 5,
        }
    }

    /// The bounds in a zone of this size. Members of a larger one probe less often, so that a relay
    /// receives probes at a bounded rate.
    #[must_use]
    pub fn for_zone(self, member_count: usize) -> Self {
        let member_count = u64::try_from(member_count).unwrap_or(u64::MAX);
        let factor = member_count.div_ceil(MEMBERS_PER_PROBE_PERIOD).max(1);
        let response_ms = self.silence_ms.saturating_sub(self.probe_age_ms);
        let probe_age_ms = self.probe_age_ms.saturating_mul(factor);
        Self {
            probe_age_ms,
            silence_ms: probe_age_ms.saturating_add(response_ms),
            ..self
        }
    }

    /// Probability that one of `member_count` members polls when it is due.
    #[must_use]
    pub fn poll_probability(&self, member_count: usize) -> f64 {
        MEAN_POLLING_COUNT / member_count.max(1) as f64
    }
}

/// What a member knows of its zone's relays.
#[derives::key]
pub enum RelayContact {
    /// A relay responds and reaches the origin, as far as known.
    Connected,
    /// Relays respond, but none reaches the origin, or they are suspected.
    Disconnected,
    /// No relay responds.
    Silent,
}

/// Times of the relays' last responses. Pure state: performs no I/O and reads no clock.
#[derive(Debug, Default)]
pub struct RelayResponses {
    /// Node id and time in milliseconds; at most one entry for each relay.
    relays: Vec<(String, u64)>,
}

impl RelayResponses {
    /// No relays.
    #[must_use]
    pub const fn new() -> Self {
        Self { relays: Vec::new() }
    }

    /// Tracks these relays and no others. A new one counts as having just responded.
    pub fn track(&mut self, node_ids: &[String], now_ms: u64) {
        self.relays
            .retain(|(node_id, _)| node_ids.contains(node_id));
        for node_id in node_ids {
            if self.last_ms(node_id).is_none() {
                self.relays.push((node_id.clone(), now_ms));
            }
        }
    }

    /// Records a response of a member; of no effect if it is no relay.
    pub fn record(&mut self, node_id: &str, now_ms: u64) {
        let mut relays = self.relays.iter_mut();
        if let Some((_, last_ms)) = relays.find(|(relay, _)| relay == node_id) {
            *last_ms = (*last_ms).max(now_ms);
        }
    }

    /// Whether the relays have to be probed: none has responded for a while.
    #[must_use]
    pub fn needs_probe(&self, bounds: RelayLossBounds, now_ms: u64) -> bool {
        let last_ms = self.relays.iter().map(|(_, last_ms)| *last_ms).max();
        last_ms.is_some_and(|last_ms| now_ms.saturating_sub(last_ms) >= bounds.probe_age_ms)
    }

    /// Whether a member is a relay that does not respond.
    #[must_use]
    pub fn is_silent(&self, node_id: &str, bounds: RelayLossBounds, now_ms: u64) -> bool {
        self.last_ms(node_id)
            .is_some_and(|last_ms| now_ms.saturating_sub(last_ms) >= bounds.silence_ms)
    }

    fn last_ms(&self, node_id: &str) -> Option<u64> {
        let mut relays = self.relays.iter();
        let relay = relays.find(|(relay, _)| relay == node_id);
        relay.map(|(_, last_ms)| *last_ms)
    }
}
