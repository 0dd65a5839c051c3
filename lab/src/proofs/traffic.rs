//! Steady traffic in the background of a fault.

use {
    crate::caller::{CallRecord, CallRequest, Caller, Judgement},
    std::{net::SocketAddr, time::Duration},
    tokio::{task::JoinSet, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// A request and what its caller saw.
#[derives::value]
#[derive(Eq)]
pub struct Sent {
    /// As it was sent.
    pub request: CallRequest,
    /// What came back.
    pub record: CallRecord,
}

/// Callers that send one request after the other until they are stopped, each
/// over connections of its own.
#[derive(Debug)]
pub struct Traffic {
    stop: CancellationToken,
    callers: JoinSet<Vec<Sent>>,
}

impl Traffic {
    /// Starts one caller for each entry.
    pub fn start(
        entries: &[SocketAddr],
        pause: Duration,
        next: impl Fn(usize) -> CallRequest + Clone + Send + 'static,
    ) -> Self {
        let stop = CancellationToken::new();
        let mut callers = JoinSet::new();
        for entry in entries {
            callers.spawn(send_until(stop.clone(), *entry, pause, next.clone()));
        }
        Self { stop, callers }
    }

    /// Lets running requests end and returns all.
    pub async fn stop(self) -> Vec<Sent> {
        self.stop.cancel();
        self.callers
            .join_all()
            .await
            .into_iter()
            .flatten()
            .collect()
    }
}

async fn send_until(
    stop: CancellationToken,
    entry: SocketAddr,
    pause: Duration,
    next: impl Fn(usize) -> CallRequest,
) -> Vec<Sent> {
    let caller = Caller::new();
    let mut all = Vec::new();
    while !stop.is_cancelled() {
        let request = next(all.len());
        if let Ok(record) = caller.send(entry, &request).await {
            all.push(Sent { request, record });
        }
        sleep(pause).await;
    }
    all
}

impl Sent {
    /// Counts the requests with this conclusion.
    #[must_use]
    pub fn count(all: &[Self], judgement: Judgement) -> usize {
        let matching = all.iter().filter(|sent| sent.record.judgement == judgement);
        matching.count()
    }
}
