//! Meshes of real processes on loopback, callers, load, faults and reports.

pub mod addresses;
pub mod admin;
pub mod binaries;
pub mod caller;
pub mod capacity;
pub mod cost;
pub mod demo;
pub mod errors;
pub mod load;
pub mod measure;
pub mod mesh;
pub mod process;
pub mod proofs;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod up;
pub mod usage;
pub mod wait;

pub use errors::LabError;
