//! Scenarios: a mesh, load from many callers and faults on a timetable.

mod conf;
mod fault_run;
mod faults;
mod read;
mod run;

pub use {
    conf::{
        ClientRetry, FaultAction, FaultConf, GroupConf, LoadConf, LoadStep, OverloadConf,
        ProcessKind, Scenario, Selection, WorkspaceConf,
    },
    fault_run::{FaultRun, run_with_fault, wait_for_table},
    faults::apply_faults,
    run::{run, run_script},
};
