//! What the own target tells about itself.

use {
    crate::{
        admission::{LoadReport, TargetSize},
        event,
        events::Event,
        exchange::{AnswerBody, Collected, collect, refusal_response},
        membership::Announcement,
        model::{Reason, Refusal},
        node::{Node, Policies},
        target::PoolTarget,
    },
    bytes::Bytes,
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    serde::Deserialize,
};

const MAX_BYTES: usize = 16 << 10;

/// A target's announcement; repeated at least every few seconds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AnnounceBody {
    service: String,
    port: u16,
    slots: u32,
    connections: u32,
    #[serde(default)]
    draining: bool,
    /// Start of the target's process, where it tells; a new value means a
    /// cold target.
    #[serde(default)]
    started_unix_ms: u64,
}

/// A target's load report.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadBody {
    busy_ratio: f64,
}

/// Why something that the target told is rejected.
#[derive(Debug, thiserror::Error)]
enum AnnounceError {
    #[error("the body could not be read: {0}")]
    Body(#[from] hyper::Error),
    #[error("the body is larger than {MAX_BYTES} bytes")]
    TooLarge,
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("slots, connections and port must be at least 1")]
    Zero,
    #[error("service must be a name of letters, digits, '-', '_' or '.'")]
    Service,
    #[error("busy_ratio must lie between 0 and 1")]
    Ratio,
    #[error("only POST /-/announce and POST /-/load are known")]
    Path,
}

/// Answers a request of the own target to its node.
pub async fn handle<P: Policies>(
    node: &Node<P>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match take(node, request).await {
        Ok(()) => {
            let mut response = Response::new(AnswerBody::whole(Bytes::new()));
            *response.status_mut() = StatusCode::NO_CONTENT;
            response
        }
        Err(error) => refusal_response(Refusal::not_run(Reason::BadRequest), &error.to_string()),
    }
}

async fn take<P: Policies>(
    node: &Node<P>,
    request: Request<Incoming>,
) -> Result<(), AnnounceError> {
    let path = request.uri().path().to_owned();
    let is_post = request.method() == Method::POST;
    let mut body = request.into_body();
    let Collected::Whole(body) = collect(&mut body, MAX_BYTES).await? else {
        return Err(AnnounceError::TooLarge);
    };
    match path.as_str() {
        "/-/announce" if is_post => announce(node, serde_json::from_slice(&body)?),
        "/-/load" if is_post => report(node, &serde_json::from_slice(&body)?),
        _ => Err(AnnounceError::Path),
    }
}

fn announce<P: Policies>(node: &Node<P>, body: AnnounceBody) -> Result<(), AnnounceError> {
    if body.slots == 0 || body.connections == 0 || body.port == 0 {
        return Err(AnnounceError::Zero);
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if body.service.is_empty() || !body.service.chars().all(is_allowed) {
        return Err(AnnounceError::Service);
    }
    let now_us = node.timer.now_us();
    let target = PoolTarget {
        port: body.port,
        started_unix_ms: body.started_unix_ms,
        connection_count: body.connections,
    };
    let restarted = node.target.announce(target, now_us / 1000);
    let size = TargetSize {
        slot_count: body.slots,
        connection_count: body.connections,
    };
    {
        let mut admission = node.admission();
        admission.set_size(size, restarted, now_us);
        // Also for a target that comes up beside a node that leaves.
        if body.draining || node.is_draining() {
            admission.drain(now_us);
        }
    }
    if restarted {
        let (service, slots) = (&body.service, body.slots);
        event!(Event::TargetAnnounced, "service={service} slots={slots}");
    }
    publish(
        node,
        Announcement {
            service: body.service,
            slot_count: body.slots,
            connection_count: body.connections,
            draining: body.draining,
        },
    );
    Ok(())
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

fn report<P: Policies>(node: &Node<P>, body: &LoadBody) -> Result<(), AnnounceError> {
    if !(0.0..=1.0).contains(&body.busy_ratio) {
        return Err(AnnounceError::Ratio);
    }
    node.admission().report(LoadReport {
        busy_ratio: body.busy_ratio,
        received_us: node.timer.now_us(),
    });
    Ok(())
}
