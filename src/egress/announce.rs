//! Notices of the local target: heartbeats, graceful leave and load reports.

use {
    super::confirm::confirm,
    crate::{
        admission::{Drain, LoadReport, TargetSize},
        dialect::{
            Dialect, Heartbeat, NoticeError, TargetLoad, TargetNotice, TargetState, WorkTime,
        },
        event,
        events::Event,
        exchange::{Collected, ResponseBody, collect},
        membership::Announcement,
        node::{Node, Policies},
        quarantine::is_end_planned,
        target::{ColdReport, NoticeStatus, PoolTarget, ProcessNotice},
        timer::unix_ms,
    },
    hyper::{Request, Response, body::Incoming},
    std::sync::Arc,
};

const MAX_NOTICE_BYTES: usize = 16 << 10;
/// How far a target's start may lie in the future of this node's clock, in milliseconds.
const MAX_START_AHEAD_MS: u64 = 3_600_000;

/// Handles a notice that the local target sends to its node.
pub async fn handle<P: Policies>(
    node: &Arc<Node<P>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let result = apply_notice(node, request).await;
    if let Err(error) = &result {
        event!(Event::NoticeRejected, "error={error}");
    }
    node.dialect.notice_response(result)
}

async fn apply_notice<P: Policies>(
    node: &Arc<Node<P>>,
    request: Request<Incoming>,
) -> Result<(), NoticeError> {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let mut body = request.into_body();
    let Collected::Complete(body) = collect(&mut body, MAX_NOTICE_BYTES).await? else {
        return Err(NoticeError::TooLarge {
            limit_bytes: MAX_NOTICE_BYTES,
        });
    };
    match node.dialect.read_notice(&method, &path, &body.to_bytes())? {
        TargetNotice::Alive(heartbeat) => return record_heartbeat(node, heartbeat),
        TargetNotice::Leaving {
            instance_id,
            started_unix_ms,
        } => record_leave(node, &instance_id, started_unix_ms),
        TargetNotice::Load(load) => record_load(node, load),
    }
    Ok(())
}

/// Records the load that the local target reports.
pub fn record_load<P: Policies>(node: &Node<P>, load: TargetLoad) {
    if load.work_time == WorkTime::Invalid {
        node.metrics.invalid_reports.inc();
        event!(Event::LoadReportInvalid, "node={}", node.settings.node_id);
    }
    if load.work_time.percent().is_some() {
        node.downstream().record_work_time();
    }
    let report = LoadReport {
        busy_ratio: load.busy_ratio,
        waiting_count: load.waiting_count,
        work_time_percent: load.work_time.percent(),
        received_us: node.timer.now_us(),
    };
    node.admission().record_load_report(report);
}

fn record_heartbeat<P: Policies>(
    node: &Arc<Node<P>>,
    heartbeat: Heartbeat,
) -> Result<(), NoticeError> {
    let notice = ProcessNotice {
        instance_id: &heartbeat.instance_id,
        started_unix_ms: heartbeat.started_unix_ms,
        sequence: heartbeat.sequence,
        is_leaving: heartbeat.state == TargetState::Draining,
    };
    check_sender(node, &heartbeat.service, notice)?;
    let now_us = node.timer.now_us();
    let notice_status = node.registration().record_heartbeat(notice, now_us);
    match notice_status {
        NoticeStatus::NewProcess | NoticeStatus::Current => apply_heartbeat(node, heartbeat, None),
        NoticeStatus::Unconfirmed => {
            tokio::spawn(confirm(Arc::clone(node), heartbeat));
        }
        NoticeStatus::InCheck => {}
        NoticeStatus::Outdated => event!(
            Event::NoticeOutdated,
            "instance={} started_unix_ms={} sequence={:?}",
            heartbeat.instance_id,
            heartbeat.started_unix_ms,
            heartbeat.sequence
        ),
    }
    Ok(())
}

/// Refuses a heartbeat that can be of no target: a start in the future would make the heartbeats of
/// the local target outdated, and a service that is not configured would take its place.
fn check_sender<P: Policies>(
    node: &Node<P>,
    service: &str,
    notice: ProcessNotice<'_>,
) -> Result<(), NoticeError> {
    let invalid = |field: &str, expected: &str| {
        Err(NoticeError::Field {
            field: field.to_owned(),
            expected: expected.to_owned(),
        })
    };
    // The clock may have been set after this process started.
    let now_unix_ms = node.timer.steady_unix_ms().max(unix_ms());
    let latest_start_unix_ms = now_unix_ms + MAX_START_AHEAD_MS;
    if notice.started_unix_ms > latest_start_unix_ms {
        return invalid("start", "must not lie in the future");
    }
    let running = node.running();
    let is_configured = running.revision == 0 || running.service_names.contains_key(service);
    if !is_configured && node.registration().would_replace(notice) {
        return invalid("service", "must be configured");
    }
    Ok(())
}

/// Makes the process that sent the heartbeat the local target. `checked_cold_left_ms` is the
/// remaining cold time that its response to a health check reported, if there was one.
pub fn apply_heartbeat<P: Policies>(
    node: &Node<P>,
    heartbeat: Heartbeat,
    checked_cold_left_ms: Option<u64>,
) {
    let Heartbeat {
        instance_id,
        service,
        port,
        slot_count,
        connection_count,
        state: _,
        started_unix_ms,
        sequence,
        cold_left_ms,
    } = heartbeat;
    let now_us = node.timer.now_us();
    let target = PoolTarget {
        instance_id: instance_id.clone(),
        port,
        started_unix_ms,
        connection_count,
    };
    let was_end_planned = is_end_planned(node);
    let was_draining = is_target_draining(node);
    let (was_cold, previous_limit_per_s) = {
        let gate = node.target.gate();
        (gate.is_cold(now_us), gate.named_limit_per_s())
    };
    let cold = ColdReport::new(cold_left_ms)
        .with_checked_left_ms(checked_cold_left_ms)
        .with_may_be_outdated(node.registration().may_lack_newer_heartbeats());
    let has_restarted = node.target.announce(target, cold, now_us);
    let process_id = node.target.process_id();
    let size = TargetSize {
        slot_count,
        connection_count,
        is_exact: P::Dialect::SLOTS_ARE_EXACT,
    };
    let is_draining = {
        let mut admission = node.admission();
        // Read under the lock: a leave that is recorded later drains the new policy.
        let leave_start = node.registration().leave_start();
        let is_drain_over =
            admission.drain_in_progress().is_some() && leave_start.is_none() && !node.is_draining();
        admission.set_size(size, has_restarted || is_drain_over, now_us);
        if let Some(leave_start) = leave_start {
            admission.drain(Drain::of_leave(leave_start, now_us));
        }
        // Also for a target that starts while its node drains.
        if node.is_draining() {
            admission.drain(Drain::new(now_us));
        }
        leave_start.is_some()
    };
    let age_ms = now_us / 1000;
    if has_restarted {
        node.quarantine.replace_process(was_end_planned, now_us);
        event!(
            Event::TargetAnnounced,
            "service={service} instance={instance_id} slots={slot_count} cold_left_ms={cold_left_ms} draining={is_draining} sequence={sequence:?} node_age_ms={age_ms}"
        );
    }
    let limit_per_s = node.target.gate().named_limit_per_s();
    if let Some(previous_per_s) = previous_limit_per_s.filter(|_| limit_per_s.is_none()) {
        event!(
            Event::TargetLimited,
            "limit_per_s=None previous_per_s={previous_per_s} cause=new-process node_age_ms={age_ms}"
        );
    }
    if is_draining && (has_restarted || !was_draining) {
        event!(
            Event::TargetLeaving,
            "notice=heartbeat instance={instance_id} sequence={sequence:?} is_first_notice={has_restarted} node_age_ms={age_ms}"
        );
    }
    let longest_left_ms = cold.longest_left_ms();
    if longest_left_ms > 0 && !was_cold {
        event!(
            Event::TargetCold,
            "instance={instance_id} cold_left_ms={longest_left_ms}"
        );
    }
    publish_announcement(
        node,
        Announcement {
            service,
            slot_count,
            connection_count,
            draining: is_draining,
            process_id,
        },
    );
}

fn record_leave<P: Policies>(node: &Node<P>, instance_id: &str, started_unix_ms: Option<u64>) {
    let now_us = node.timer.now_us();
    let is_present = node
        .registration()
        .record_leave(instance_id, started_unix_ms, now_us);
    let age_ms = now_us / 1000;
    event!(
        Event::TargetLeaving,
        "notice=leave instance={instance_id} is_present={is_present} node_age_ms={age_ms}"
    );
    if !is_present {
        return;
    }
    drain_target(node);
}

fn is_target_draining<P: Policies>(node: &Node<P>) -> bool {
    let own_state = node.own_state.borrow();
    let target = own_state.target.as_ref();
    target.is_some_and(|target| target.draining)
}

/// Records that the local target said in a response that it leaves.
pub fn record_leaving_response<P: Policies>(node: &Node<P>) {
    if node.target.set_leaving() {
        node.registration().record_leaving(node.timer.now_us());
        let age_ms = node.timer.now_ms();
        event!(
            Event::TargetLeaving,
            "notice=response is_present=true node_age_ms={age_ms}"
        );
        drain_target(node);
    }
}

fn drain_target<P: Policies>(node: &Node<P>) {
    let leave_start = node.registration().leave_start();
    if let Some(leave_start) = leave_start {
        let now_us = node.timer.now_us();
        node.admission().drain(Drain::of_leave(leave_start, now_us));
    }
    node.own_state.send_if_modified(|own_state| {
        let Some(target) = &mut own_state.target else {
            return false;
        };
        !std::mem::replace(&mut target.draining, true)
    });
}

/// Notifies gossip and routing only of changes, not of each repeated heartbeat.
fn publish_announcement<P: Policies>(node: &Node<P>, mut announcement: Announcement) {
    node.own_state.send_if_modified(|own_state| {
        // A leave may have been recorded since the heartbeat.
        announcement.draining |= node.registration().leave_start().is_some();
        if own_state.target.as_ref() == Some(&announcement) {
            return false;
        }
        own_state.target = Some(announcement);
        true
    });
}
