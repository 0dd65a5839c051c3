//! Stand-ins for what surrounds the product in tests: the platform's object
//! API, a target and a fault-injecting proxy.

pub mod faultproxy;
pub mod http;
pub mod platform;
pub mod target;
