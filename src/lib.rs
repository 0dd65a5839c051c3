//! dogwoodbridge: overload control for service call graphs.
//!
//! One node (`dogwoodd`) runs beside each target instance. The modules
//! that make decisions (`admission`, `retry`, `routing`, `quota`, `guard`,
//! `freshness`) contain logic that performs no I/O and reads no clock: time is an
//! argument, and state is kept in arenas. The other modules perform the I/O.

pub mod admission;
pub mod arena;
pub mod backoff;
pub mod cli;
pub mod conf;
pub mod control;
pub mod daemon;
pub mod dialect;
pub mod documents;
pub mod egress;
pub mod entries;
pub mod events;
pub mod exchange;
pub mod freshness;
pub mod guard;
pub mod ingress;
pub mod keys;
pub mod logging;
pub mod membership;
pub mod model;
pub mod node;
pub mod objects;
pub mod peer;
pub mod platform;
pub mod quarantine;
pub mod quota;
pub mod reference;
pub mod retry;
pub mod routing;
pub mod rpc;
pub mod schema;
pub mod settings;
pub mod shutdown;
pub mod slices;
pub mod target;
pub mod timer;
