//! In-process nodes and targets for tests of the data path.

#![allow(dead_code, missing_docs)]

pub mod client;
pub mod mesh;
pub mod standalone;
pub mod target;
