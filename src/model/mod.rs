//! Types shared by all modules.

mod class;
mod context;
mod names;
mod outcome;
mod region_set;
mod request_id;

pub use {
    class::{CLASS_COUNT, Class, UnknownClass},
    context::{MAX_DEPTH, RequestContext, begins_chain},
    names::{Names, RegionKey, ServiceKey, WorkspaceKey, ZoneKey},
    outcome::{AdmissionLevel, Outcome, Reason, Refusal},
    region_set::RegionSet,
    request_id::RequestId,
};
