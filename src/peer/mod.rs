//! HTTP/2 between nodes.

mod arrivals;
mod client;
mod headers;
mod link;
mod server;

pub use {
    arrivals::SeenAttempts,
    client::{Attempt, HopResult, send},
    headers::{
        AttemptAnswer, ContentDigest, FleetAuth, MAX_CONTEXT_AGE_MS, PeerHeaderError,
        ReceivedContext, TAG_BYTES, decode_answer, decode_context, encode_answer, encode_context,
    },
    link::{LinkError, PeerLink, connect_from},
    server::serve_peers,
};
