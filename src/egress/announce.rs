//! What the own target tells about itself.

use {
    crate::{
        admission::{LoadReport, TargetSize},
        dialect::{Dialect, Heartbeat, NoticeError, TargetNotice, TargetState},
        event,
        events::Event,
        exchange::{AnswerBody, Collected, collect},
        membership::Announcement,
        node::{Node, Policies},
        target::{NoticeStatus, PoolTarget},
    },
    hyper::{Request, Response, body::Incoming},
};

const MAX_BYTES: usize = 16 << 10;

/// Answers a request of the own target to its node.
pub async fn handle<P: Policies>(
    node: &Node<P>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let result = take(node, request).await;
    if let Err(error) = &result {
        event!(Event::NoticeRejected, "error={error}");
    }
    node.dialect.notice_response(result)
}

async fn take<P: Policies>(node: &Node<P>, request: Request<Incoming>) -> Result<(), NoticeError> {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let mut body = request.into_body();
    let Collected::Whole(body) = collect(&mut body, MAX_BYTES).await? else {
        return Err(NoticeError::TooLarge {
            limit_bytes: MAX_BYTES,
        });
    };
    match node.dialect.read_notice(&method, &path, &body)? {
        TargetNotice::Alive(heartbeat) => alive(node, heartbeat),
        TargetNotice::Leaving {
            instance_id,
            started_unix_ms,
        } => leave(node, &instance_id, started_unix_ms),
        TargetNotice::Load { busy_ratio } => {
            let received_us = node.timer.now_us();
            node.admission().record_load_report(LoadReport {
                busy_ratio,
                received_us,
            });
        }
    }
    Ok(())
}

fn alive<P: Policies>(node: &Node<P>, heartbeat: Heartbeat) {
    let Heartbeat {
        instance_id,
        service,
        port,
        slot_count,
        connection_count,
        state,
        started_unix_ms,
        sequence,
        cold_left_ms,
    } = heartbeat;
    let standing = node
        .registration()
        .record_heartbeat(&instance_id, started_unix_ms, sequence);
    if standing == NoticeStatus::Outdated {
        event!(
            Event::NoticeOutdated,
            "instance={instance_id} started_unix_ms={started_unix_ms} sequence={sequence:?}"
        );
        return;
    }
    let now_us = node.timer.now_us();
    let target = PoolTarget {
        instance_id: instance_id.clone(),
        port,
        started_unix_ms,
        connection_count,
    };
    let was_cold = node.target.gate().is_cold(now_us);
    let restarted = node.target.announce(target, cold_left_ms, now_us);
    let size = TargetSize {
        slot_count,
        connection_count,
        is_exact: P::Dialect::SLOTS_ARE_EXACT,
    };
    let is_draining = state == TargetState::Draining;
    {
        let mut admission = node.admission();
        admission.set_size(size, restarted, now_us);
        // Also for a target that comes up beside a node that leaves.
        if is_draining || node.is_draining() {
            admission.drain(now_us);
        }
    }
    if restarted {
        event!(
            Event::TargetAnnounced,
            "service={service} instance={instance_id} slots={slot_count} cold_left_ms={cold_left_ms}"
        );
    }
    if cold_left_ms > 0 && !was_cold {
        event!(
            Event::TargetCold,
            "instance={instance_id} cold_left_ms={cold_left_ms}"
        );
    }
    publish(
        node,
        Announcement {
            service,
            slot_count,
            connection_count,
            draining: is_draining,
        },
    );
}

fn leave<P: Policies>(node: &Node<P>, instance_id: &str, started_unix_ms: Option<u64>) {
    let is_present = node
        .registration()
        .record_leave(instance_id, started_unix_ms);
    event!(
        Event::TargetLeaving,
        "instance={instance_id} is_present={is_present}"
    );
    if !is_present {
        return;
    }
    node.admission().drain(node.timer.now_us());
    node.own_state.send_if_modified(|own| {
        let Some(target) = &mut own.target else {
            return false;
        };
        !std::mem::replace(&mut target.draining, true)
    });
}

/// Gossip and routing are woken only by changes, not by each repetition.
fn publish<P: Policies>(node: &Node<P>, announcement: Announcement) {
    node.own_state.send_if_modified(|own| {
        if own.target.as_ref() == Some(&announcement) {
            return false;
        }
        own.target = Some(announcement);
        true
    });
}
