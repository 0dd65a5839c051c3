//! `/metrics`, `/healthz` and `/readyz`.

use {
    super::{ClassLabel, KindLabel, target_capacity},
    crate::{
        dialect::Dialect,
        exchange::{ListenerLimits, ListenerMemory, ResponseBody, serve},
        model::Class,
        node::{Node, Policies},
    },
    bytes::Bytes,
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        header::{CONTENT_TYPE, HeaderValue},
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::net::TcpListener,
};

const LIMITS: ListenerLimits = ListenerLimits {
    max_connections: 64,
    max_header_bytes: 8 << 10,
    header_timeout: Duration::from_secs(5),
    max_streams: 16,
    memory: ListenerMemory::FOR_MACHINE,
};
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves monitoring until the node stops.
pub async fn serve_admin<P: Policies>(node: Arc<Node<P>>, listener: TcpListener) {
    let stopped = node.stopped.clone();
    let handle = move |request: Request<Incoming>| {
        let response = respond(&node, request.uri().path());
        std::future::ready(response)
    };
    serve(
        listener,
        LIMITS,
        stopped.clone(),
        stopped,
        Arc::default(),
        handle,
    )
    .await;
}

fn respond<P: Policies>(node: &Node<P>, path: &str) -> Response<ResponseBody> {
    match path {
        "/metrics" => metrics(node),
        "/healthz" => text(StatusCode::OK, "ok\n"),
        path if node.dialect.is_readiness_path(path) && node.is_draining() => {
            text(StatusCode::SERVICE_UNAVAILABLE, "draining\n")
        }
        path if node.dialect.is_readiness_path(path) && node.is_ready() => {
            text(StatusCode::OK, "ready\n")
        }
        path if node.dialect.is_readiness_path(path) => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "waiting for a configuration from the platform or a neighbour\n",
        ),
        _ => text(StatusCode::NOT_FOUND, "try /metrics, /healthz or /readyz\n"),
    }
}

fn metrics<P: Policies>(node: &Node<P>) -> Response<ResponseBody> {
    let (running, waiting, late_start_count) = {
        let admission = node.admission();
        let (running, waiting) = admission.counts();
        (running, waiting, admission.late_start_count())
    };
    let connections = node.caller_connection_count.load(Ordering::Relaxed);
    node.metrics.running.set(gauge(running));
    node.metrics.waiting.set(gauge(waiting));
    let late_starts = node.metrics.late_starts.inner();
    late_starts.store(late_start_count, Ordering::Relaxed);
    node.metrics.caller_connections.set(gauge(connections));
    node.metrics
        .held_body_bytes
        .set(gauge(node.body_room.held_bytes()));
    let bodies = KindLabel { kind: "body" };
    let given_up = node.metrics.given_up.get_or_create(&bodies);
    let given_up_count = node.body_room.given_up_count();
    given_up.inner().store(given_up_count, Ordering::Relaxed);
    node.metrics.target.set(target_capacity(node).as_ref());
    set_shares(node);
    set_reported_load(node);
    set_state_sizes(node);
    let Ok(body) = node.metrics.encode() else {
        return text(StatusCode::INTERNAL_SERVER_ERROR, "metrics are broken\n");
    };
    let mut response = text(StatusCode::OK, &body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(METRICS_TYPE));
    response
}

fn set_shares<P: Policies>(node: &Node<P>) {
    for class in Class::ALL {
        let label = ClassLabel {
            class: class.name(),
        };
        let share = node.downstream().share(class);
        node.metrics.admitted_share.get_or_create(&label).set(share);
    }
    let level = node.level(Class::Standard);
    let supplies = [
        ("own-target", level.supply_percent),
        ("called-services", level.below_supply_percent),
    ];
    for (kind, percent) in supplies {
        let supply = node.metrics.supply.get_or_create(&KindLabel { kind });
        supply.set(percent.into());
    }
}

/// Shows the figures of the target; one that is missing or stale has no sample.
fn set_reported_load<P: Policies>(node: &Node<P>) {
    let now_us = node.timer.now_us();
    let load = *node.admission().reported_load();
    let work_time_percent = load.work_time_percent(now_us);
    let figures = [
        ("waiting", load.waiting_count(now_us).map(i64::from)),
        ("work-time-percent", work_time_percent.map(i64::from)),
    ];
    let metrics = &node.metrics;
    for (kind, figure) in figures {
        let label = KindLabel { kind };
        match figure {
            Some(figure) => {
                metrics.reported.get_or_create(&label).set(figure);
            }
            None => {
                metrics.reported.remove(&label);
            }
        }
    }
}

fn set_state_sizes<P: Policies>(node: &Node<P>) {
    let running = node.running();
    let is_cold = node.target.gate().is_cold(node.timer.now_us());
    let routes = running.services.values().map(|rules| rules.routes.len());
    let sizes = [
        ("members", node.view().members.len()),
        ("services", running.services.len()),
        ("routes", routes.sum()),
        ("workspaces", running.workspaces.len()),
        ("keys-granted", running.granted.len()),
        ("keys-revoked", running.revoked.len()),
        ("evacuated-zones", node.evacuations().zones.len()),
        ("cold-targets", usize::from(is_cold)),
        ("calls-of-target", node.calls().len()),
        ("requests-in-flight", node.in_flight_count()),
    ];
    for (kind, count) in sizes {
        let entries = node.metrics.state.get_or_create(&KindLabel { kind });
        entries.set(gauge(count));
    }
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn text(status: StatusCode, body: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::copy_from_slice(
        body.as_bytes(),
    )));
    *response.status_mut() = status;
    response
}
