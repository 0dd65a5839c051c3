//! Load: open loop for scenarios, closed loop for planned stops.

mod arrivals;
mod client;
mod closed;
mod generator;
mod record;

pub use {
    arrivals::Arrivals,
    closed::{ClosedLoad, Seen, WORKSPACE, begun_after, check_orders},
    generator::{Generator, Stream},
    record::{Attempt, Original},
};
