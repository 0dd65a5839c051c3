//! Sends requests at their intended times, whatever became of earlier ones.

use {
    super::{Arrivals, Original, client::Send},
    crate::{
        caller::{CallRequest, Caller},
        scenario::LoadConf,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::Semaphore,
        task::JoinSet,
        time::{Instant, sleep_until},
    },
    tokio_util::sync::CancellationToken,
    uuid::Uuid,
};

/// Requests of one load under way at a time. Further ones are recorded
/// without a send, which the report shows: a lab that quietly waited would
/// measure itself.
const MAX_IN_FLIGHT_COUNT: usize = 20_000;

/// One load of a scenario, ready to be sent.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Place of the load in the scenario.
    pub load_index: usize,
    /// The load.
    pub load: LoadConf,
    /// Tenant key.
    pub key: String,
    /// Nodes that are called.
    pub addresses: Vec<SocketAddr>,
    /// Seed of arrival times.
    pub seed: u64,
}

/// Sends one stream.
#[derive(Debug)]
pub struct Generator {
    stream: Stream,
    callers: Vec<Caller>,
    in_flight: Arc<Semaphore>,
    stop: CancellationToken,
}

impl Generator {
    /// A generator whose callers have no connections yet.
    #[must_use]
    pub fn new(stream: Stream) -> Self {
        let callers = (0..stream.load.caller_count).map(|_| Caller::new());
        Self {
            callers: callers.collect(),
            in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT_COUNT)),
            stop: CancellationToken::new(),
            stream,
        }
    }

    /// Ends the load early once the token is cancelled.
    #[must_use]
    pub fn with_stop(mut self, stop: CancellationToken) -> Self {
        self.stop = stop;
        self
    }

    /// Sends all requests and waits for their ends.
    pub async fn run(self, started_at: Instant, duration_s: u64) -> Vec<Original> {
        let mut sends = JoinSet::new();
        let mut originals = Vec::new();
        let load = Arc::new(self.stream.load.clone());
        let arrivals = Arrivals::new(&load, self.stream.seed, duration_s);
        for (number, intended_us) in arrivals.enumerate() {
            let arrival = sleep_until(started_at + Duration::from_micros(intended_us));
            if self.stop.run_until_cancelled(arrival).await.is_none() {
                break;
            }
            let request = self.request();
            let original = Original {
                test_id: request.test_id.clone(),
                load_index: self.stream.load_index,
                intended_us,
                latency_us: 0,
                attempts: Vec::new(),
            };
            let Ok(permit) = Arc::clone(&self.in_flight).try_acquire_owned() else {
                originals.push(original);
                continue;
            };
            let caller_index = number % self.callers.len();
            let send = Send {
                caller: self.callers[caller_index].clone(),
                addresses: self.addresses(caller_index, intended_us),
                request,
                started_at,
            };
            let load = Arc::clone(&load);
            sends.spawn(async move {
                let original = send.run(&load, original).await;
                drop(permit);
                original
            });
            while let Some(Ok(original)) = sends.try_join_next() {
                originals.push(original);
            }
        }
        originals.extend(sends.join_all().await);
        originals
    }

    fn request(&self) -> CallRequest {
        let load = &self.stream.load;
        let mut request = CallRequest::new(&load.method, &load.path)
            .with_key(&self.stream.key)
            .with_deadline_ms(load.deadline_ms)
            .with_timeout_ms(load.deadline_ms);
        if load.with_idempotency_key {
            request = request.with_idempotency_key(&Uuid::now_v7().to_string());
        }
        if load.method != "GET" {
            let body = request.test_id.clone();
            request = request.with_body(body);
        }
        request
    }

    /// The nodes in the order in which this caller tries them.
    fn addresses(&self, caller_index: usize, intended_us: u64) -> Vec<SocketAddr> {
        let mut addresses = self.stream.addresses.clone();
        let move_every_us = self.stream.load.move_every_s * 1_000_000;
        let move_count = intended_us.checked_div(move_every_us).unwrap_or(0);
        let move_count = usize::try_from(move_count).unwrap_or(0);
        let first = (caller_index + move_count) % addresses.len().max(1);
        addresses.rotate_left(first);
        addresses
    }
}
