//! One attempt of a call: picks a target, sends to its node and records the result.

use {
    super::{Call, request_context},
    crate::{
        dialect::Dialect,
        event,
        events::Event,
        exchange::{ForwardedResponse, OutboundRequest},
        model::{AdmissionLevel, Reason, Refusal, RequestContext},
        node::{Node, Policies, TargetLocation},
        peer::{self, Attempt, HopResult, PeerLink},
        quarantine::{IdentifiedRequest, check_quarantine},
        retry::{ChildAllotment, RetryPolicy},
        routing::{AttemptResult, Distance, RoutePolicy, RouteRequest, TargetKey},
        target::{UNKNOWN_PROCESS_ID, serve_local},
        timer::timeout_unless_suspended,
    },
    std::{sync::Arc, time::Duration},
};

/// An attempt at a picked target, which the router counts as outstanding until it ends.
/// Dropping it before records a cancelled one.
pub struct TargetAttempt<'a, P: Policies> {
    node: &'a Arc<Node<P>>,
    call: &'a Call,
    outbound: &'a OutboundRequest,
    target: TargetKey,
    location: TargetLocation,
    tried_count: usize,
    started_us: u64,
    child: Option<ChildAllotment>,
    has_ended: bool,
}

impl<'a, P: Policies> TargetAttempt<'a, P> {
    /// Picks a target, preferably none of `tried`.
    pub fn pick(
        node: &'a Arc<Node<P>>,
        call: &'a Call,
        outbound: &'a OutboundRequest,
        tried: &[TargetKey],
    ) -> Result<Self, Refusal> {
        let started_us = node.timer.now_us();
        if started_us >= call.deadline_us {
            return Err(Refusal::not_run(Reason::TooLate));
        }
        check_quarantine(node, identify(call, outbound))?;
        let picked = node.routes().pick(route_request(call), tried, started_us);
        // No other target is left to try at this hop.
        let (target, location) = picked.map_err(Refusal::with_exhausted)?;
        Ok(Self {
            node,
            call,
            outbound,
            target,
            location,
            tried_count: tried.len(),
            started_us,
            child: None,
            has_ended: false,
        })
    }

    /// Target that was picked.
    pub const fn target(&self) -> TargetKey {
        self.target
    }

    /// Where the attempt goes.
    pub fn destination(&self) -> Destination {
        Destination {
            target: self.target,
            link: match &self.location {
                TargetLocation::Local => None,
                TargetLocation::Peer(link) => Some(Arc::clone(link)),
            },
        }
    }

    /// Sends the request and records the result.
    pub async fn send(mut self) -> Result<ForwardedResponse, Refusal> {
        let (node, call) = (self.node, self.call);
        self.log_pick();
        if self.tried_count == 0 {
            node.retries()
                .record_first_attempt(call.service, self.started_us);
        }
        node.metrics.attempts.inc();
        let distance = node.routes().policy().distance(self.target);
        if distance.is_some_and(|distance| distance != Distance::SameZone) {
            node.metrics.attempts_outside_zone.inc();
        }
        // A target's calls without a handle belong to no chain: the downstream node could not
        // spend an allotment, and a lost response would lose the allotment too.
        if !P::Dialect::CALLS_USE_CALLER_PORT {
            self.child = Some(node.retries().allot_to_child(call.retry));
        }
        let remaining_us = call.deadline_us.saturating_sub(self.started_us);
        let allotment = self.child.map_or(0, |child| child.allotment);
        let context = request_context(call, remaining_us, allotment, self.started_us);
        let hop = match &self.location {
            TargetLocation::Local => self.serve_local(&context).await,
            TargetLocation::Peer(link) => {
                let attempt = Attempt {
                    context: &context,
                    is_guarded: false,
                    outbound: self.outbound,
                    buffered_bytes: node.settings.buffered_answer_bytes,
                    time_left: Duration::from_micros(remaining_us),
                    now_unix_ms: node.timer.steady_unix_ms(),
                    remembered_limit: node
                        .routes()
                        .remembered_limit(self.target, self.started_us / 1000),
                };
                send(node, link, attempt).await
            }
        };
        self.record_hop(&hop);
        hop.result
    }

    fn log_pick(&self) {
        if !log::log_enabled!(target: "dogwood", Event::RoutePicked.level()) {
            return;
        }
        let (id, tried_count) = (self.call.request_id, self.tried_count);
        let service = self.node.names.service_name(self.call.service);
        let class = self.call.class.name();
        let routes = self.node.routes();
        let node_name = routes.node_name(self.target);
        event!(
            Event::RoutePicked,
            "request={id} service={service} class={class} node={node_name} tried={tried_count}"
        );
    }

    async fn serve_local(&self, context: &RequestContext) -> HopResult {
        let (result, unspent) = serve_local(self.node, context, self.outbound).await;
        HopResult {
            result,
            unspent,
            level: Some(self.node.level(self.call.class)),
            leaving_process_id: self.node.target.leaving_process_id(),
            reported_limit: None,
        }
    }

    fn record_hop(&mut self, hop: &HopResult) {
        let node = self.node;
        let level = hop
            .level
            .filter(|_| P::Dialect::CALLS_USE_CALLER_PORT && !self.call.begins_chain());
        if let Some(level) = level {
            let now_us = node.timer.now_us();
            node.downstream()
                .record_level(self.call.service, level, now_us);
        }
        if hop.leaving_process_id != UNKNOWN_PROCESS_ID {
            let now_ms = node.timer.now_ms();
            node.routes()
                .record_leaving(self.target, hop.leaving_process_id, now_ms);
        }
        if let Some(limit) = hop.reported_limit {
            node.routes().record_limit(limit, node.timer.now_ms());
        }
        self.record_end(attempt_result(&hop.result), hop.level, hop.unspent);
    }

    fn record_end(&mut self, result: AttemptResult, level: Option<AdmissionLevel>, unspent: u8) {
        self.has_ended = true;
        if let Some(child) = self.child {
            self.node.retries().return_unspent(child.key, unspent);
        }
        let now_us = self.node.timer.now_us();
        let latency_us = now_us.saturating_sub(self.started_us);
        let mut routes = self.node.routes();
        routes
            .policy()
            .end_attempt(self.target, result, latency_us, level, now_us);
        if let Some(level) = level {
            routes
                .policy()
                .record_level(self.target, self.call.class, level, now_us);
        }
    }
}

impl<P: Policies> Drop for TargetAttempt<'_, P> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.record_end(AttemptResult::Cancelled, None, 0);
        }
    }
}

/// Where an attempt goes; the link is `None` for the local target.
#[derive(Debug)]
pub struct Destination {
    target: TargetKey,
    link: Option<Arc<PeerLink>>,
}

impl Destination {
    /// Target of the attempt.
    pub const fn target(&self) -> TargetKey {
        self.target
    }

    /// Waits until the node has stopped responding; forever for the local target.
    pub async fn wait_until_silent(&self) {
        match &self.link {
            Some(link) => link.wait_until_silent().await,
            None => std::future::pending().await,
        }
    }
}

const fn identify<'a>(call: &Call, outbound: &'a OutboundRequest) -> IdentifiedRequest<'a> {
    IdentifiedRequest {
        workspace: call.workspace,
        service: call.service,
        outbound,
    }
}

const fn route_request(call: &Call) -> RouteRequest {
    RouteRequest {
        service: call.service,
        class: call.class,
        regions: call.regions,
    }
}

/// Sends to another node; fails with an unknown outcome at the attempt's time limit.
pub async fn send<P: Policies>(node: &Node<P>, link: &PeerLink, attempt: Attempt<'_>) -> HopResult {
    let sending = peer::send(link, attempt, &node.auth, &node.names);
    match timeout_unless_suspended(attempt.time_left, sending).await {
        Ok(hop) => hop,
        Err(_) => HopResult::failed(Refusal::unknown(Reason::DeadlineExceeded), 0),
    }
}

const fn attempt_result(result: &Result<ForwardedResponse, Refusal>) -> AttemptResult {
    match result {
        Ok(_) => AttemptResult::Completed,
        Err(refusal) => match refusal.reason {
            Reason::UnprovenRejection => AttemptResult::Completed,
            Reason::ConnectionLost
            | Reason::TargetCrashed
            | Reason::BadAnswer
            | Reason::DeadlineExceeded => AttemptResult::Failed,
            _ => AttemptResult::Refused,
        },
    }
}
