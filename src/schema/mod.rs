//! Cap'n Proto schemas and the code generated from them.
//!
//! `generate.sh` makes the code anew; it is committed so that a build needs
//! no generator.

/// Headers between nodes; see `peer.capnp`.
#[allow(clippy::all, clippy::pedantic, clippy::use_self, missing_docs, unsafe_code)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;

/// Calls between nodes; see `rpc.capnp`.
#[allow(clippy::all, clippy::pedantic, clippy::use_self, clippy::str_to_string, missing_docs, unsafe_code)]
#[rustfmt::skip]
#[path = "generated/rpc_capnp.rs"]
pub mod rpc_capnp;

/// The slice table as a document; see `slices.capnp`.
#[allow(clippy::all, clippy::pedantic, clippy::use_self, clippy::str_to_string, missing_docs, unsafe_code)]
#[rustfmt::skip]
#[path = "generated/slices_capnp.rs"]
pub mod slices_capnp;
