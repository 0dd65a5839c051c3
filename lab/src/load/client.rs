//! A caller that repeats what failed.

use {
    super::{Attempt, Original},
    crate::{
        caller::{CallRecord, CallRequest, Caller, Judgement},
        scenario::LoadConf,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// One request to send, with repeats.
#[derive(Debug, Clone)]
pub(super) struct Send {
    pub(super) caller: Caller,
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) request: CallRequest,
    pub(super) started_at: Instant,
}

impl Send {
    /// Sends until an end that is not repeated.
    ///
    /// Each send goes to the next node: callers know several.
    pub(super) async fn run(self, load: &LoadConf, mut original: Original) -> Original {
        for (index, address) in self.addresses.iter().cycle().enumerate() {
            let sent_us = micros(self.started_at);
            let Ok(record) = self.caller.send(*address, &self.request).await else {
                break;
            };
            original.attempts.push(Attempt {
                sent_us,
                judgement: record.judgement,
                reason: record.reason.clone(),
            });
            if index >= load.retry.limit as usize || !may_repeat(load, record.judgement) {
                break;
            }
            sleep(pause(load, &record)).await;
        }
        original.latency_us = micros(self.started_at).saturating_sub(original.intended_us);
        original
    }
}

fn may_repeat(load: &LoadConf, judgement: Judgement) -> bool {
    match judgement {
        Judgement::Whole | Judgement::Wrong => false,
        Judgement::NotRun => true,
        Judgement::Unknown | Judgement::NoAnswer | Judgement::TargetFailed => {
            load.method == "GET" || load.with_idempotency_key
        }
    }
}

fn pause(load: &LoadConf, record: &CallRecord) -> Duration {
    let asked_ms = record
        .retry_after_ms
        .filter(|_| load.retry.honours_retry_after);
    Duration::from_millis(load.retry.backoff_ms.max(asked_ms.unwrap_or(0)))
}

pub(super) fn micros(started_at: Instant) -> u64 {
    u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
}
