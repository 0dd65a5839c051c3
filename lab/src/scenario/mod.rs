//! Scenarios: a mesh, load from many callers and faults on a timetable.

mod conf;
mod faults;
mod read;
mod run;

pub use {
    conf::{
        ClientRetry, FaultAction, FaultConf, GroupConf, LoadConf, LoadStep, OverloadConf,
        ProcessKind, Scenario, Selection, WorkspaceConf,
    },
    faults::apply_faults,
    run::{run, run_script},
};
