//! Part of a node in the division of the rates. Pure state: performs no I/O and
//! reads no clock.
//!
//! The tokens move with the division. A divider that started with empty buckets
//! would refuse callers within their rate.

/// Longest wait for a handover: several repeated requests to another zone. The
/// new divider then starts with empty buckets.
const TAKEOVER_LIMIT_US: u64 = 150_000;
/// Longest time for which a node without a configuration leaves the division to
/// the previous divider.
const NOT_READY_LIMIT_US: u64 = 3_000_000;
/// Interval between two requests for the handover.
const REQUEST_INTERVAL_US: u64 = 10_000;
/// Time after its handover in which a divider relays reports; by then all
/// reporters have learned of the new one.
const RELAY_US: u64 = 1_000_000;

#[derive(Debug, Default)]
enum Role {
    /// Grants tokens to every reporter.
    #[default]
    Granting,
    /// First candidate, waiting for the previous divider's tokens.
    TakingOver {
        previous_id: String,
        since_us: u64,
        /// First and last request for the handover.
        requested_us: Option<(u64, u64)>,
    },
    /// Has handed its tokens over and relays reports to the new divider.
    HandedOver { successor_id: String, since_us: u64 },
}

/// What a node does with a report.
#[derives::value]
#[derive(Eq)]
pub enum ReportAction {
    /// It grants tokens.
    Grant,
    /// It relays the report to the node with this id.
    Relay(String),
}

/// Part of this node in the division, derived from the order of candidates.
#[derive(Debug, Default)]
pub struct DividerRole {
    role: Role,
    /// First candidate of the last order.
    first_id: Option<String>,
    /// Node whose handover arrived last, and when.
    received: Option<(String, u64)>,
}

impl DividerRole {
    /// Starts as a node that grants tokens and knows no candidates.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the order of candidates. A node that becomes the first one takes
    /// over from the previous first one or, if it has just started, from the
    /// next one.
    pub fn set_candidates(&mut self, own_id: &str, candidate_ids: &[String], now_us: u64) {
        let is_alone = candidate_ids.iter().all(|id| id == own_id);
        let is_starting = self.first_id.is_none() && is_alone;
        if is_starting || candidate_ids.first() == self.first_id.as_ref() {
            return;
        }
        let previous_id = self.first_id.take();
        self.first_id = candidate_ids.first().cloned();
        if self.first_id.as_deref() == Some(own_id) {
            let previous_id = previous_id.or_else(|| candidate_ids.get(1).cloned());
            let previous_id = previous_id.filter(|id| !self.has_received_from(id, now_us));
            self.role = previous_id.map_or(Role::Granting, |previous_id| Role::TakingOver {
                previous_id,
                since_us: now_us,
                requested_us: None,
            });
        } else if matches!(self.role, Role::TakingOver { .. }) {
            self.role = Role::Granting;
        }
    }

    /// Whether this node was the first candidate of the last order.
    #[must_use]
    pub fn is_first(&self, own_id: &str) -> bool {
        self.first_id.as_deref() == Some(own_id)
    }

    /// Node to request the handover from now, if any. A node that is not ready,
    /// since it has no configuration, could not grant anything yet.
    pub fn due_request(&mut self, is_ready: bool, now_us: u64) -> Option<String> {
        let Role::TakingOver {
            previous_id,
            since_us,
            requested_us,
        } = &mut self.role
        else {
            return None;
        };
        let (begun_us, limit_us) = match requested_us {
            Some((first_us, _)) => (*first_us, TAKEOVER_LIMIT_US),
            None => (*since_us, NOT_READY_LIMIT_US),
        };
        if now_us >= begun_us + limit_us {
            self.role = Role::Granting;
            return None;
        }
        let is_due =
            requested_us.is_none_or(|(_, last_us)| now_us >= last_us + REQUEST_INTERVAL_US);
        if !is_ready || !is_due {
            return None;
        }
        let first_us = requested_us.map_or(now_us, |(first_us, _)| first_us);
        *requested_us = Some((first_us, now_us));
        Some(previous_id.clone())
    }

    /// Whether this node waits for a handover.
    #[must_use]
    pub const fn is_taking_over(&self) -> bool {
        matches!(self.role, Role::TakingOver { .. })
    }

    /// Records that a node's handover has arrived, which may be before this
    /// node learns that it is the first candidate.
    pub fn record_received(&mut self, previous_id: &str, now_us: u64) {
        self.received = Some((previous_id.to_owned(), now_us));
        self.end_takeover();
    }

    fn has_received_from(&self, previous_id: &str, now_us: u64) -> bool {
        self.received
            .as_ref()
            .is_some_and(|(node_id, at_us)| node_id == previous_id && now_us < at_us + RELAY_US)
    }

    /// Ends the wait for a handover.
    pub fn end_takeover(&mut self) {
        if self.is_taking_over() {
            self.role = Role::Granting;
        }
    }

    /// Whether this node still has its tokens and may hand them over.
    #[must_use]
    pub const fn is_granting(&self) -> bool {
        matches!(self.role, Role::Granting)
    }

    /// Records that this node handed its tokens over.
    pub fn record_handover(&mut self, successor_id: &str, now_us: u64) {
        self.role = Role::HandedOver {
            successor_id: successor_id.to_owned(),
            since_us: now_us,
        };
    }

    /// The node that this node handed its tokens over to, while it relays
    /// reports.
    #[must_use]
    pub fn successor_id(&self) -> Option<&str> {
        match &self.role {
            Role::HandedOver { successor_id, .. } => Some(successor_id),
            Role::Granting | Role::TakingOver { .. } => None,
        }
    }

    /// What to do with a report that arrives now.
    pub fn report_action(&mut self, now_us: u64) -> ReportAction {
        match &self.role {
            Role::TakingOver { previous_id, .. } => ReportAction::Relay(previous_id.clone()),
            // The successor may be out of reach of reporters that still come.
            Role::HandedOver { since_us, .. } if now_us >= since_us + RELAY_US => {
                self.role = Role::Granting;
                ReportAction::Grant
            }
            Role::HandedOver { successor_id, .. } => ReportAction::Relay(successor_id.clone()),
            Role::Granting => ReportAction::Grant,
        }
    }
}
