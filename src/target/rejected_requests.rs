//! Requests that the target rejected on a connection.

use {crate::model::RequestId, xxhash_rust::xxh3::xxh3_64};

/// Rejections after which a connection is not used any more.
const MAX_REJECTED_COUNT: usize = 128;

/// Requests that the target rejected on one connection.
///
/// A second copy of a rejection may arrive at any time while the connection is open.
#[derive(Debug, Default)]
pub struct RejectedRequests {
    digests: Vec<u64>,
}

impl RejectedRequests {
    /// Records that the request was rejected.
    pub fn record(&mut self, request_id: &RequestId) {
        self.digests.push(digest(request_id));
    }

    /// Whether the request was rejected.
    #[must_use]
    pub fn contains(&self, request_id: &RequestId) -> bool {
        self.digests.contains(&digest(request_id))
    }

    /// Whether no further rejection can be recorded.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.digests.len() >= MAX_REJECTED_COUNT
    }
}

fn digest(request_id: &RequestId) -> u64 {
    xxh3_64(request_id.as_str().as_bytes())
}
