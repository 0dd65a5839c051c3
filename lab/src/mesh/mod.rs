//! A platform, a fault proxy, nodes and targets as real processes.

mod conf;
mod ctl;
mod instance;
mod settle;
mod start;

pub use {
    conf::{ConfFile, InstanceConf, MeshConf},
    ctl::CtlOutput,
    instance::Instance,
    start::{Mesh, PLATFORM_ZONE},
};
