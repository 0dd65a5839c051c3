//! TCP and UDP proxy between nodes, with faults by direction.
//!
//! Nodes listen on real addresses and advertise virtual ones. The proxy
//! listens on the virtual addresses and goes on to the real ones from the
//! sender's virtual address, so that sources look right on both sides.

mod admin;
mod hosts;
mod proxy;
mod rules;
mod tcp;
mod udp;

pub use {
    hosts::{Host, Hosts, ParseHostError},
    proxy::{FaultProxy, ProxyConf, ProxyError},
    rules::{CutMode, Effect, Rule, Rules},
};
