//! Short liveness probes of single members.
//!
//! A busy node probes each member at which its requests wait several times per
//! second, so a probe contains nothing but its number.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// First byte of a liveness probe; packed Cap'n Proto messages never begin with
/// it.
pub const LIVENESS_PROBE_MARKER: u8 = 0xff;

/// Time after which a probe without a response is forgotten.
const RESPONSE_TIMEOUT_MS: u64 = 1000;

/// A probe or its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LivenessProbe {
    /// Requests a response with the same number.
    Question(u64),
    /// Responds to the probe with this number.
    Answer(u64),
}

/// Probes that wait for their responses.
#[derive(Debug)]
pub struct LivenessProbes {
    next_number: u64,
    /// Probed member and time of sending, by number.
    pending: BTreeMap<u64, (String, u64)>,
}

impl LivenessProbes {
    /// Numbers probes from `first_number` on. A random one prevents recorded
    /// responses to an earlier process from being accepted as new.
    #[must_use]
    pub const fn new(first_number: u64) -> Self {
        Self {
            next_number: first_number,
            pending: BTreeMap::new(),
        }
    }

    /// Creates the probe to send to a member.
    pub fn request(&mut self, node_id: String, now_ms: u64) -> LivenessProbe {
        self.pending
            .retain(|_, (_, sent_ms)| now_ms < *sent_ms + RESPONSE_TIMEOUT_MS);
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        self.pending.insert(number, (node_id, now_ms));
        LivenessProbe::Question(number)
    }

    /// Returns the member that responded to the probe with this number, at most
    /// once per probe.
    pub fn record_response(&mut self, number: u64) -> Option<String> {
        self.pending.remove(&number).map(|(node_id, _)| node_id)
    }
}
