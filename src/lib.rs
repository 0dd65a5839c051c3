//! dogwoodbridge: overload control for service call graphs.
//!
//! One `dogwoodd` runs beside each target instance. Modules named after a
//! decision (`admission`, `retry`, `routing`, `quota`, `guard`, `freshness`)
//! hold logic without I/O and without a clock: time is an argument, state
//! sits in arenas. The other modules are the shells that do the I/O.

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
