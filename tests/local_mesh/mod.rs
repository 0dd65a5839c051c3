//! Nodes and targets in one process for tests of the data path.

#![allow(dead_code, missing_docs)]

pub mod alone;
pub mod client;
pub mod mesh;
pub mod target;
