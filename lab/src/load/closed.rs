//! Closed-loop load: callers that go on through planned stops, and what they and
//! the journals tell.

use {
    crate::{
        caller::{CallRecord, CallRequest, Caller, Judgement},
        measure::read_journals,
        mesh::{Instance, Mesh},
    },
    standins::target::EntryState,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
    tokio_util::sync::CancellationToken,
};

/// Workspace that the callers belong to; the configuration must have it.
pub const WORKSPACE: &str = "northwind-dealers";

/// Of so many requests one is an order.
const ORDER_PERIOD: usize = 3;
/// After so long a request is sent no more; far above what a stop may take.
const SEND_LIMIT: Duration = Duration::from_secs(20);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const CALLER_TIMEOUT_MS: u64 = 30_000;

/// How a request ended that was sent until it was not refused.
#[derive(Debug)]
struct Ended {
    record: CallRecord,
    is_order: bool,
    refusal_counts: BTreeMap<String, u64>,
}

/// Callers in a closed loop over all nodes.
#[derive(Debug)]
pub struct ClosedLoad {
    stop: CancellationToken,
    callers: JoinSet<Vec<Ended>>,
}

impl ClosedLoad {
    /// Starts the callers with a new key.
    ///
    /// # Panics
    /// If no key can be made.
    pub async fn start(mesh: &Mesh, caller_count: usize) -> Self {
        let key = mesh.create_key(WORKSPACE).await.expect("a key");
        let addresses: Vec<SocketAddr> = mesh
            .instances
            .iter()
            .map(Instance::caller_address)
            .collect();
        let stop = CancellationToken::new();
        let mut callers = JoinSet::new();
        for number in 0..caller_count {
            callers.spawn(call_on(
                number,
                addresses.clone(),
                key.clone(),
                stop.clone(),
            ));
        }
        Self { stop, callers }
    }

    /// Lets requests under way end; what was refused is sent on meanwhile.
    pub async fn finish(self) -> Seen {
        self.stop.cancel();
        Seen(
            self.callers
                .join_all()
                .await
                .into_iter()
                .flatten()
                .collect(),
        )
    }
}

async fn call_on(
    number: usize,
    addresses: Vec<SocketAddr>,
    key: String,
    stop: CancellationToken,
) -> Vec<Ended> {
    let caller = Caller::new();
    let load_started_at = Instant::now();
    let mut ended = Vec::new();
    while !stop.is_cancelled() {
        let index = number + ended.len();
        let is_order = index.is_multiple_of(ORDER_PERIOD);
        let request = if is_order {
            CallRequest::new("POST", "/catalog/orders").with_body("one")
        } else {
            CallRequest::new("GET", "/catalog/prices/7")
        };
        let request = request.with_key(&key).with_timeout_ms(CALLER_TIMEOUT_MS);
        let (record, refusal_counts) =
            send_on(&caller, &addresses, index, &request, load_started_at).await;
        ended.push(Ended {
            record,
            is_order,
            refusal_counts,
        });
    }
    ended
}

/// Sends to one node after the other while nothing ran; the record is that of the
/// last try that reached a node.
async fn send_on(
    caller: &Caller,
    addresses: &[SocketAddr],
    first: usize,
    request: &CallRequest,
    load_started_at: Instant,
) -> (CallRecord, BTreeMap<String, u64>) {
    let mut refusal_counts = BTreeMap::new();
    let mut send_count = 0;
    let mut last_refusal = None;
    let started_at = Instant::now();
    loop {
        let address = addresses[(first + send_count) % addresses.len()];
        let record = caller.send(address, request).await.expect("a request");
        send_count += 1;
        let never_sent = is_port_closed(&record);
        let is_refused = record.judgement == Judgement::NotRun;
        if !(never_sent || is_refused) {
            return (record, refusal_counts);
        }
        let reason = record.reason.clone();
        let reason = reason.unwrap_or_else(|| "port closed".to_owned());
        if is_refused || last_refusal.is_none() {
            last_refusal = Some(record);
        }
        if started_at.elapsed() > SEND_LIMIT
            && let Some(record) = last_refusal
        {
            return (record, refusal_counts);
        }
        let second = load_started_at.elapsed().as_secs();
        *refusal_counts
            .entry(format!("{reason} in second {second}"))
            .or_default() += 1;
        sleep(RETRY_PAUSE).await;
    }
}

/// Nothing listens there any more, or not yet: no request was cut off.
fn is_port_closed(record: &CallRecord) -> bool {
    let error = record.error.as_deref().unwrap_or_default();
    record.judgement == Judgement::NoAnswer && error.starts_with("client error (Connect)")
}

/// What callers saw.
#[derive(Debug)]
pub struct Seen(Vec<Ended>);

impl Seen {
    /// What these callers and the other ones saw.
    #[must_use]
    pub fn merged(mut self, other: Self) -> Self {
        self.0.extend(other.0);
        self
    }

    /// Every request has its whole answer in the end.
    ///
    /// # Panics
    /// If one has not, or if there were hardly any.
    pub fn assert_all_whole(&self, name: &str) {
        self.print(name);
        assert!(self.0.len() > 100, "{name}: hardly any load");
        for ended in &self.0 {
            let record = &ended.record;
            assert_eq!(record.judgement, Judgement::Whole, "{name}: {record:?}");
        }
    }

    /// Every request has an answer; one whose time was up may be unknown.
    ///
    /// # Panics
    /// If one has none.
    pub fn assert_none_cut(&self, name: &str) {
        self.print(name);
        for ended in &self.0 {
            let record = &ended.record;
            let is_late = record.reason.as_deref() == Some("deadline-exceeded");
            let is_answered = match record.judgement {
                Judgement::Whole | Judgement::NotRun => true,
                // A chain answers so when its deepest call was refused.
                Judgement::TargetFailed => record.answer.is_some(),
                Judgement::Unknown => is_late,
                Judgement::Wrong | Judgement::NoAnswer => false,
            };
            assert!(is_answered, "{name}: {record:?}");
        }
    }

    fn print(&self, name: &str) {
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for ended in &self.0 {
            let judgement = format!("{:?}", ended.record.judgement);
            *counts.entry(judgement).or_default() += 1;
            for (reason, count) in &ended.refusal_counts {
                *counts.entry(format!("refused {reason}")).or_default() += count;
            }
        }
        println!("{name}: {counts:?}");
    }
}

/// Requests that the target beside this node began after a time.
///
/// # Panics
/// If the journals cannot be read.
#[must_use]
pub fn begun_after(mesh: &Mesh, node_id: &str, unix_ms: u64) -> usize {
    let executions = read_journals(mesh).expect("journals");
    let begun = executions.iter().filter(|execution| {
        let entry = &execution.entry;
        let is_begun = entry.state != EntryState::Refused;
        execution.node_id == node_id && is_begun && entry.started_unix_ms > unix_ms
    });
    begun.count()
}

/// No order ran twice, none with a whole answer is missing, none that was
/// refused ran, and no target was cut off in the middle of one.
///
/// # Panics
/// If any of this is not so, or the journals cannot be read.
pub fn check_orders(mesh: &Mesh, seen: &Seen, name: &str) {
    let executions = read_journals(mesh).expect("journals");
    let orders: HashMap<&str, &Ended> = seen
        .0
        .iter()
        .filter(|ended| ended.is_order)
        .map(|ended| (ended.record.test_id.as_str(), ended))
        .collect();
    let mut begun = HashSet::new();
    for execution in &executions {
        let entry = &execution.entry;
        let Some((test_id, ended)) = entry
            .test_id
            .as_deref()
            .and_then(|test_id| orders.get_key_value(test_id))
        else {
            continue;
        };
        if entry.state == EntryState::Refused {
            continue;
        }
        let is_first = begun.insert((execution.service.as_str(), *test_id));
        assert!(is_first, "{name}: order {test_id} ran twice");
        let judgement = ended.record.judgement;
        assert_ne!(judgement, Judgement::NotRun, "{name}: {test_id} ran");
        if judgement == Judgement::Whole {
            assert_eq!(entry.state, EntryState::Finished, "{name}: {test_id}");
        }
    }
    for (test_id, ended) in &orders {
        if ended.record.judgement == Judgement::Whole {
            for service in ["catalog", "pricing"] {
                assert!(begun.contains(&(service, *test_id)), "{name}: {test_id}");
            }
        }
    }
}
