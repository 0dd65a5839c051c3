//! Model of senders and targets.

pub mod model;
mod parts;
pub mod setup;
