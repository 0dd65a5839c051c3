//! Identity of a request across repeats, callers' connections and nodes.

use {
    crate::{conf::normalize_host, exchange::OutboundRequest, peer::FleetAuth},
    std::fmt,
};

/// Separates these digests from other uses of the fleet secret.
const DOMAIN: &[u8] = b"request-digest";

/// Keyed digest of what makes two requests the same: workspace, host or service, method, path,
/// query and body.
///
/// It includes the workspace, so that a caller affects only requests of its own workspace. It is
/// keyed with the fleet secret: log lines and reports reveal nothing about the request, and
/// callers cannot construct two requests with the same digest.
#[derives::key]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Computes the digest. `service` replaces the host where callers address services.
    #[must_use]
    pub fn new(
        auth: &FleetAuth,
        workspace: &str,
        service: &str,
        outbound: &OutboundRequest,
    ) -> Self {
        let host = outbound.host.as_deref().map(normalize_host);
        let parts = [
            DOMAIN,
            workspace.as_bytes(),
            host.as_deref().unwrap_or(service).as_bytes(),
            outbound.method.as_str().as_bytes(),
            outbound.path.as_str().as_bytes(),
        ];
        Self(auth.keyed_digest(&parts, &outbound.body))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
