//! Admission at the node of a target: decides whether a request starts, waits or is refused.

mod adaptive;
mod admit_all;
mod below_supply;
mod chain_shares;
mod delay;
mod downstream;
mod downstream_control;
mod drain;
mod limit;
mod objective_queue;
mod queue;
mod queueing_delay;
mod reported_load;
mod reserve;
mod retry_after;
mod service_time;
mod static_limit;
mod supply;
mod threshold;
mod trial;
mod urgent_demand;
mod waiting_queue;
mod window;
mod work_shares;

pub use {
    adaptive::Adaptive,
    admit_all::AdmitAll,
    below_supply::BelowSupply,
    chain_shares::ChainShares,
    downstream::DownstreamAdmission,
    downstream_control::DownstreamControl,
    drain::{DRAIN_ANNOUNCE_US, Drain},
    limit::{ConcurrencyLimit, MIN_LIMIT, REPORT_AGE_LIMIT_US},
    queueing_delay::queueing_delay_us,
    reported_load::ReportedLoad,
    static_limit::StaticLimit,
    supply::{SupplyEstimate, TargetState},
    work_shares::WorkShares,
};

use crate::{
    arena_key,
    model::{AdmissionLevel, Class, Refusal, WorkspaceKey},
    settings::QueueOrder,
};

arena_key! {
    /// One request at the node of a target, from its arrival to its end.
    TicketKey
}

/// Properties of an arriving request.
#[derives::value]
#[derive(Copy, Eq)]
pub struct Arrival {
    /// Class of the request.
    pub class: Class,
    /// Workspace that sent it.
    pub workspace: WorkspaceKey,
    /// Deadline, on the clock of `now_us`.
    pub deadline_us: u64,
    /// Time up to which the response has its full value; `None` if the route names no latency
    /// objective, or the request has already missed it.
    pub objective_us: Option<u64>,
}

/// Decision about one request, which the caller of the policy carries out.
#[derives::value]
#[derive(Copy, Eq)]
pub enum Decision {
    /// Send the request to the target now.
    Start(TicketKey),
    /// Refuse the request now.
    Refuse(TicketKey, Refusal),
}

/// How a started request ended at the target.
#[derives::key]
pub enum TargetResult {
    /// The target sent a complete response.
    Completed,
    /// The target itself shed the request (it responded with 503 or 429).
    Shed,
    /// The target failed or its response was lost.
    Failed,
    /// The request was cancelled while running; its latency is only a lower bound.
    Cancelled,
}

/// Load that the target itself reports; may be late or wrong.
#[derives::value]
#[derive(Copy)]
pub struct LoadReport {
    /// Share of slots in use, 0.0 to 1.0.
    pub busy_ratio: f64,
    /// Requests that wait inside the target.
    pub waiting_count: u32,
    /// Time that work takes on the target's machine, in percent of the usual time, if the target
    /// reports it.
    pub work_time_percent: Option<u16>,
    /// Time at which the node received the report.
    pub received_us: u64,
}

/// Announced size of a target.
#[derives::value]
#[derive(Copy, Eq)]
pub struct TargetSize {
    /// Requests that it can process at the same time.
    pub slot_count: u32,
    /// Connections that it accepts.
    pub connection_count: u32,
    /// Whether `slot_count` is reliable: the target processes exactly that many requests, and
    /// nothing else sends it requests.
    pub is_exact: bool,
}

/// Decides about the requests of one target.
///
/// Implementations perform no I/O and read no clock. Every ticket gets exactly one `Start` or
/// `Refuse`, unless it is withdrawn first; `end` is called for every started ticket.
pub trait AdmissionPolicy: Send + 'static {
    /// A policy for a target of this size.
    fn new(size: TargetSize) -> Self;

    /// The same policy with this order of waiting requests, set before the first one arrives.
    /// Policies with a single order ignore it.
    fn with_queue_order(self, _order: QueueOrder) -> Self
    where
        Self: Sized,
    {
        self
    }

    /// Sets the announced size, again on each announcement; `restarted` if the target restarted.
    fn set_size(&mut self, size: TargetSize, restarted: bool, now_us: u64);

    /// Handles an arriving request. Decisions, also about other requests, are appended to
    /// `decisions`.
    fn arrive(&mut self, arrival: Arrival, now_us: u64, decisions: &mut Vec<Decision>)
    -> TicketKey;

    /// Handles a request that its caller cancelled while it waited.
    fn withdraw(&mut self, ticket: TicketKey, now_us: u64, decisions: &mut Vec<Decision>);

    /// Handles the end of a started request.
    fn end(
        &mut self,
        ticket: TicketKey,
        result: TargetResult,
        now_us: u64,
        decisions: &mut Vec<Decision>,
    );

    /// Updates queues and limits. Called on every tick.
    fn tick(&mut self, now_us: u64, decisions: &mut Vec<Decision>);

    /// Records a load report of the target, used as a hint.
    fn record_load_report(&mut self, report: LoadReport);

    /// Refuses all requests that arrive from now on; waiting ones may still start.
    fn drain(&mut self);

    /// Refuses all waiting requests with [`Reason::Draining`](crate::model::Reason::Draining).
    fn refuse_waiting(&mut self, now_us: u64, decisions: &mut Vec<Decision>);

    /// Admission level propagated upstream in responses to requests of this class.
    fn level(&self, class: Class, now_us: u64) -> AdmissionLevel;

    /// Number of started requests that have not ended.
    fn running_count(&self) -> usize;

    /// Number of waiting requests.
    fn waiting_count(&self) -> usize;

    /// Requests started so far when their latency objective could no longer be expected to be
    /// met.
    fn late_start_count(&self) -> u64 {
        0
    }
}
