//! Forwards requests between nodes over authenticated HTTP/2.

mod client;
mod headers;
mod link;
mod seen_attempts;
mod server;

pub use {
    client::{Attempt, HopResult, send},
    headers::{
        AttemptContext, ContentDigest, FleetAuth, MAX_CONTEXT_AGE_MS, PeerHeaderError,
        ResponseMetadata, TAG_BYTES, decode_context, decode_response_metadata, encode_context,
        encode_response_metadata,
    },
    link::{LinkError, PeerLink, connect_from},
    seen_attempts::SeenAttempts,
    server::serve_peers,
};
