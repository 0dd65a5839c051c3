//! Open-loop load.

mod arrivals;
mod client;
mod generator;
mod record;

pub use {
    arrivals::Arrivals,
    generator::{Generator, Stream},
    record::{Attempt, Original},
};
