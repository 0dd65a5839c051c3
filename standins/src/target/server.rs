//! Requests from the node.

use {
    super::{
        Announcement, CALL_HANDLE, CallResult, DEADLINE_MS, Entry, EntryState, Faults, Journal,
        LoadReport, SHED, TARGET_REFUSAL, TEST_ID, TargetConf, WholeAnswer, admin,
        announce::{announce, report_load},
        answer::{AnswerBody, digest},
        crossing::Crossing,
        downstream::{self, HttpClient, Parent},
        journal::unix_ms,
        slots::Slots,
    },
    crate::http::{self, BodyError, NoAnswer},
    bytes::Bytes,
    hyper::{
        HeaderMap, Request, Response, StatusCode,
        body::Incoming,
        header::{self, HeaderValue},
    },
    rand::Rng,
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{self, Instant},
    },
    tokio_util::sync::{CancellationToken, DropGuard},
};

/// Largest request body.
const MAX_BODY_BYTES: usize = 4 << 20;
/// How much of a body the journal keeps.
const JOURNAL_BODY_BYTES: usize = 256;
pub(super) type TargetAnswer = Response<AnswerBody>;

#[derive(Debug)]
struct Shared {
    conf: TargetConf,
    started_at: Instant,
    started_unix_ms: u64,
    slots: Slots,
    journal: Journal,
    faults: watch::Sender<Faults>,
    client: HttpClient,
    draining: CancellationToken,
    crossing: Crossing,
}

/// A target; clones share their state.
#[derive(Debug, Clone)]
pub struct Target(Arc<Shared>);

impl Target {
    /// A target that has not begun to serve.
    #[must_use]
    pub fn new(conf: TargetConf, journal: Journal) -> Self {
        Self(Arc::new(Shared {
            started_at: Instant::now(),
            started_unix_ms: unix_ms(),
            slots: Slots::new(conf.slots, conf.queue_length),
            conf,
            journal,
            faults: watch::Sender::new(Faults::default()),
            client: downstream::http_client(),
            draining: CancellationToken::new(),
            crossing: Crossing::default(),
        }))
    }

    /// Serves until a drain is over. Running work ends first, within the
    /// configured limit.
    pub async fn serve(self, listener: TcpListener, admin_listener: TcpListener) {
        let stop = CancellationToken::new();
        let _stop_at_return: DropGuard = stop.clone().drop_guard();
        self.spawn_reports(&stop);
        tokio::spawn(admin::serve(self.clone(), admin_listener, stop.clone()));
        let target = self.clone();
        let connection_count = self.conf().connections;
        let closing = CancellationToken::new();
        let serving = http::serve(
            listener,
            connection_count,
            closing.clone(),
            move |request| {
                let target = target.clone();
                async move { target.answer(request).await }
            },
        );
        let serving = tokio::spawn(serving);
        self.0.draining.cancelled().await;
        time::sleep(Duration::from_millis(self.conf().drain_grace_ms)).await;
        closing.cancel();
        let drain_limit = Duration::from_millis(self.conf().drain_limit_ms);
        let _ = time::timeout(drain_limit, serving).await;
    }

    /// Begins to drain: announced at once, ends [`Target::serve`].
    pub fn drain(&self) {
        self.0.draining.cancel();
    }

    pub(super) fn conf(&self) -> &TargetConf {
        &self.0.conf
    }

    pub(super) fn client(&self) -> &HttpClient {
        &self.0.client
    }

    pub(super) fn journal(&self) -> &Journal {
        &self.0.journal
    }

    pub(super) fn draining(&self) -> CancellationToken {
        self.0.draining.clone()
    }

    /// Load as it is now.
    pub(super) fn load(&self) -> LoadReport {
        LoadReport {
            busy_ratio: self.0.slots.busy_ratio(),
            waiting_count: self.0.slots.waiting_count(),
            work_time_percent: Some(self.work_time_factor() * 100.0),
        }
    }

    pub(super) fn faults(&self) -> Faults {
        *self.0.faults.borrow()
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        let slot_count = faults.slots.unwrap_or(self.conf().slots);
        self.0.slots.set_count(slot_count);
        self.0.faults.send_replace(faults);
    }

    pub(super) async fn wait_unfrozen(&self) {
        let mut faults = self.0.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.freeze).await;
    }

    pub(super) fn announcement(&self) -> Announcement {
        let conf = self.conf();
        Announcement {
            service: conf.service.clone(),
            port: conf.listen.port(),
            slots: self.faults().slots.unwrap_or(conf.slots),
            connections: conf.connections,
            draining: self.0.draining.is_cancelled(),
            started_unix_ms: self.0.started_unix_ms,
        }
    }

    fn spawn_reports(&self, stop: &CancellationToken) {
        let Some(egress) = self.conf().egress else {
            return;
        };
        let announcing = announce(self.clone(), egress);
        tokio::spawn(stop.clone().run_until_cancelled_owned(announcing));
        let reporting = report_load(self.clone(), egress);
        tokio::spawn(stop.clone().run_until_cancelled_owned(reporting));
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<TargetAnswer, NoAnswer> {
        let arrived_at = Instant::now();
        let (parts, body) = request.into_parts();
        let body = match http::read_body(body, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(BodyError::TooLarge) => return Ok(plain(StatusCode::PAYLOAD_TOO_LARGE)),
            Err(BodyError::Incomplete) => return Err(NoAnswer),
        };
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let path = path.to_owned();
        let parent = Parent {
            method: parts.method,
            headers: parts.headers,
            body,
        };
        self.wait_unfrozen().await;
        let answer = self.work(&path, &parent, arrived_at).await;
        Ok(self.deliver(answer).await)
    }

    async fn work(&self, path: &str, parent: &Parent, arrived_at: Instant) -> TargetAnswer {
        let deadline = deadline(&parent.headers, arrived_at);
        let Ok(_slot) = self.wait_for_slot(deadline).await else {
            self.0.journal.add(entry(path, parent, EntryState::Refused));
            return self.refusal("queue", parent);
        };
        let service_time = self.service_time();
        if deadline.is_some_and(|deadline| Instant::now() + service_time > deadline) {
            self.0.journal.add(entry(path, parent, EntryState::Refused));
            return self.refusal("deadline", parent);
        }
        let running = Running::new(&self.0.journal, entry(path, parent, EntryState::Started));
        if !service_time.is_zero() {
            time::sleep(service_time).await;
        }
        let calls = self.call_downstream(parent).await;
        self.wait_unfrozen().await;
        running.finish();
        self.whole_answer(path, parent, calls)
    }

    /// A slot, or an error if the queue is full or the deadline passes first.
    async fn wait_for_slot(
        &self,
        deadline: Option<Instant>,
    ) -> Result<super::slots::Slot, NoAnswer> {
        let acquire = self.0.slots.acquire();
        let slot = match deadline {
            Some(deadline) => match time::timeout_at(deadline, acquire).await {
                Ok(slot) => slot,
                Err(_) => return Err(NoAnswer),
            },
            None => acquire.await,
        };
        slot.map_err(|_| NoAnswer)
    }

    fn service_time(&self) -> Duration {
        let service_time = self.conf().latency.sample(&mut rand::rng());
        service_time.mul_f64(self.work_time_factor())
    }

    /// How much longer than usual work takes that begins now.
    fn work_time_factor(&self) -> f64 {
        let conf = self.conf();
        let mut factor = self.faults().slow_factor.max(0.0);
        let age_ms = self.0.started_at.elapsed().as_millis() as u64;
        if age_ms < conf.cold_start_ms {
            factor *= conf.cold_factor.max(0.0);
        }
        let slow_ms = conf.slow_after_ms..conf.slow_after_ms.saturating_add(conf.slow_for_ms);
        if slow_ms.contains(&age_ms) {
            factor *= conf.slow_factor.max(0.0);
        }
        factor
    }

    async fn call_downstream(&self, parent: &Parent) -> Vec<CallResult> {
        let Some(egress) = self.conf().egress else {
            return Vec::new();
        };
        let mut results = Vec::new();
        for call in &self.conf().calls {
            results.push(downstream::call(&self.0.client, egress, call, parent).await);
        }
        results
    }

    fn whole_answer(&self, path: &str, parent: &Parent, calls: Vec<CallResult>) -> TargetAnswer {
        let faults = self.faults();
        let status = if rand::rng().random::<f64>() < faults.fail_ratio {
            StatusCode::INTERNAL_SERVER_ERROR
        } else if calls.iter().all(|call| call.whole && call.status < 300) {
            StatusCode::OK
        } else {
            StatusCode::BAD_GATEWAY
        };
        let answer = WholeAnswer {
            service: self.conf().service.clone(),
            target: self.conf().listen.to_string(),
            method: parent.method.to_string(),
            path: path.to_owned(),
            test_id: header_text(&parent.headers, TEST_ID),
            body_digest: digest(&parent.body),
            calls,
            padding: "x".repeat(self.conf().answer_bytes),
            checksum: String::new(),
        };
        let body = serde_json::to_vec(&answer.with_checksum()).unwrap_or_default();
        let mut answer = Response::new(AnswerBody::new(Bytes::from(body)));
        *answer.status_mut() = status;
        answer.headers_mut().insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        self.echo_handle(&mut answer, parent);
        answer
    }

    /// Without the handle the node would take the answer for another call's.
    fn echo_handle(&self, answer: &mut TargetAnswer, parent: &Parent) {
        let handle = parent.headers.get(CALL_HANDLE);
        if let Some(handle) = handle.filter(|_| !self.faults().no_echo) {
            answer.headers_mut().insert(CALL_HANDLE, handle.clone());
        }
    }

    /// Tells the node that the work was not begun, so that it may be sent
    /// elsewhere.
    fn refusal(&self, cause: &'static str, parent: &Parent) -> TargetAnswer {
        let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
        let headers = answer.headers_mut();
        headers.insert(TARGET_REFUSAL, HeaderValue::from_static(cause));
        headers.insert(SHED, HeaderValue::from_static("not-run"));
        self.echo_handle(&mut answer, parent);
        answer
    }

    async fn deliver(&self, mut answer: TargetAnswer) -> TargetAnswer {
        let faults = self.faults();
        if faults.late_ms > 0 {
            time::sleep(Duration::from_millis(faults.late_ms)).await;
        }
        if faults.cross_answers {
            answer = self.0.crossing.swap(answer).await;
        }
        if faults.cut_answers {
            answer = answer.map(AnswerBody::with_cut);
        }
        answer
    }
}

/// Work under way; cancelled when dropped, which happens when the caller
/// closes the connection.
#[derive(Debug)]
struct Running<'a> {
    journal: &'a Journal,
    sequence: u64,
    end_state: EntryState,
}

impl<'a> Running<'a> {
    fn new(journal: &'a Journal, entry: Entry) -> Self {
        Self {
            sequence: journal.add(entry),
            journal,
            end_state: EntryState::Cancelled,
        }
    }

    fn finish(mut self) {
        self.end_state = EntryState::Finished;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.journal.end(self.sequence, self.end_state);
    }
}

fn entry(path: &str, parent: &Parent, state: EntryState) -> Entry {
    let headers = parent.headers.iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.as_str().to_owned(), value)
    });
    let body_start = &parent.body[..parent.body.len().min(JOURNAL_BODY_BYTES)];
    Entry {
        sequence: 0,
        started_unix_ms: unix_ms(),
        ended_unix_ms: None,
        state,
        method: parent.method.to_string(),
        path: path.to_owned(),
        headers: headers.collect(),
        body_digest: digest(&parent.body),
        body: String::from_utf8_lossy(body_start).into_owned(),
        call_handle: header_text(&parent.headers, CALL_HANDLE),
        test_id: header_text(&parent.headers, TEST_ID),
    }
}

fn deadline(headers: &HeaderMap, arrived_at: Instant) -> Option<Instant> {
    let remaining_ms = header_text(headers, DEADLINE_MS)?.parse().ok()?;
    Some(arrived_at + Duration::from_millis(remaining_ms))
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn plain(status: StatusCode) -> TargetAnswer {
    let mut answer = Response::new(AnswerBody::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}
