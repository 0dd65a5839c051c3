//! Connections that give way to others where a limit is reached.

use {
    dogwoodbridge::exchange::{
        ConnectionLimits, ConnectionTable, MemoryBudget, OpenConnection, TrackedRequest,
    },
    futures::FutureExt,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

const LIMITS: ConnectionLimits = ConnectionLimits {
    connection_count: 4,
    request_bytes: 1000,
    response_bytes: 1000,
};

fn must_close(connection: &OpenConnection) -> bool {
    connection.must_close().now_or_never().is_some()
}

/// Numbers of the connections that must close.
fn closing(connections: &[OpenConnection]) -> Vec<usize> {
    let numbered = connections.iter().enumerate();
    let closing = numbered.filter(|(_, connection)| must_close(connection));
    closing.map(|(number, _)| number).collect()
}

fn table() -> (ConnectionTable, Arc<AtomicUsize>) {
    let open_count = Arc::new(AtomicUsize::new(0));
    (
        ConnectionTable::new(LIMITS, Arc::clone(&open_count)),
        open_count,
    )
}

fn open_all(table: &ConnectionTable) -> Vec<OpenConnection> {
    (0..LIMITS.connection_count)
        .map(|_| table.open().expect("there is room"))
        .collect()
}

/// What the requests of the connections are doing, in the order of the changes.
#[derive(Clone, Copy)]
enum Step {
    /// A request begins on this connection.
    Begin(usize),
    /// It is received completely.
    Receive(usize),
    /// It gets its response.
    Respond(usize),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Time from the last step until a further connection is opened.
    wait: Duration,
    /// The connection that is closed for a further one; `None` if that is refused.
    closed: Option<usize>,
}

/// All connections have had an answer.
const ANSWERED: &[Step] = &[
    Step::Begin(3),
    Step::Receive(3),
    Step::Respond(3),
    Step::Begin(0),
    Step::Receive(0),
    Step::Respond(0),
    Step::Begin(1),
    Step::Receive(1),
    Step::Respond(1),
    Step::Begin(2),
    Step::Receive(2),
    Step::Respond(2),
];

const CASES: [Case; 7] = [
    Case {
        name: "the one that was opened first",
        steps: &[],
        wait: Duration::ZERO,
        closed: Some(0),
    },
    Case {
        name: "the one whose request has been arriving for longest",
        steps: &[
            Step::Begin(2),
            Step::Begin(0),
            Step::Begin(1),
            Step::Begin(3),
        ],
        wait: Duration::ZERO,
        closed: Some(2),
    },
    Case {
        name: "none whose request is in service",
        steps: &[
            Step::Begin(0),
            Step::Receive(0),
            Step::Begin(1),
            Step::Receive(1),
        ],
        wait: Duration::ZERO,
        closed: Some(2),
    },
    Case {
        name: "one whose response is not read",
        steps: &[
            Step::Begin(0),
            Step::Receive(0),
            Step::Respond(0),
            Step::Begin(1),
            Step::Begin(2),
            Step::Begin(3),
        ],
        wait: Duration::from_secs(2),
        closed: Some(0),
    },
    Case {
        name: "none whose caller has just been answered",
        steps: ANSWERED,
        wait: Duration::from_millis(900),
        closed: None,
    },
    Case {
        name: "the one whose caller has been silent for longest",
        steps: ANSWERED,
        wait: Duration::from_millis(1100),
        closed: Some(3),
    },
    Case {
        name: "all are in service",
        steps: &[
            Step::Begin(0),
            Step::Receive(0),
            Step::Begin(1),
            Step::Receive(1),
            Step::Begin(2),
            Step::Receive(2),
            Step::Begin(3),
            Step::Receive(3),
        ],
        wait: Duration::from_secs(2),
        closed: None,
    },
];

/// Guards against connections that wait for their callers and keep others out, and against
/// requests in service that lose their connection.
#[tokio::test(start_paused = true)]
async fn connections_that_wait_for_their_callers_give_way() {
    for case in CASES {
        let (table, open_count) = table();
        let connections = open_all(&table);
        let mut requests: Vec<Option<TrackedRequest>> = vec![None, None, None, None];
        for step in case.steps {
            match *step {
                Step::Begin(number) => requests[number] = connections[number].requests().begin(1),
                Step::Receive(number) => requests[number].as_mut().unwrap().receive(),
                Step::Respond(number) => requests[number].as_mut().unwrap().respond(1),
            }
        }
        tokio::time::advance(case.wait).await;
        let further = table.open();
        assert_eq!(further.is_some(), case.closed.is_some(), "{}", case.name);
        let expected: Vec<usize> = case.closed.into_iter().collect();
        assert_eq!(closing(&connections), expected, "{}", case.name);
        drop((requests, connections, further));
        assert_eq!(open_count.load(Ordering::Relaxed), 0, "{}", case.name);
    }
}

/// Guards against the streams of one caller that use up the memory for requests.
#[test]
fn the_connection_with_most_requests_gives_way() {
    let (table, _) = table();
    let connections = open_all(&table);
    let begin = |number: usize, count: usize| -> Vec<TrackedRequest> {
        let requests = connections[number].requests();
        (0..count).filter_map(|_| requests.begin(50)).collect()
    };
    let many = begin(0, 12);
    let _few = begin(1, 7);
    assert!(closing(&connections).is_empty());
    let _further = begin(2, 2);
    assert_eq!(closing(&connections), [0]);
    // Its requests end with it, but nobody else has many.
    let refused = connections[3].requests().begin(600);
    assert!(refused.is_none());
    drop(many);
    assert!(connections[3].requests().begin(500).is_some());
}

/// Guards against responses that are not read and use up the memory for others.
#[test]
fn the_response_that_waits_longest_gives_way() {
    let (table, _) = table();
    let connections = open_all(&table);
    let mut requests: Vec<TrackedRequest> = connections
        .iter()
        .map(|connection| connection.requests().begin(1).unwrap())
        .collect();
    for (number, byte_count) in [(2, 400), (0, 400), (1, 100)] {
        requests[number].respond(byte_count);
    }
    assert!(closing(&connections).is_empty());
    requests[3].respond(500);
    assert_eq!(closing(&connections), [2]);
    // One that does not fit at all is sent nevertheless, and alone.
    let mut large = connections[3].requests().begin(1).unwrap();
    large.respond(5000);
    assert_eq!(closing(&connections), [0, 1, 2]);
}

/// Guards against a pipelined response that is taken for unread while it waits for the one before.
#[test]
fn a_response_behind_a_request_in_service_gives_way_last() {
    let (table, _) = table();
    let connections = open_all(&table);
    let begin = |number: usize| connections[number].requests().begin(1).unwrap();
    let (mut slow, mut behind) = (begin(0), begin(0));
    slow.receive();
    behind.receive();
    behind.respond(400);
    let (mut unread, mut further) = (begin(1), begin(2));
    unread.respond(400);
    further.respond(400);
    assert_eq!(closing(&connections), [1]);
}

/// Guards against parts of the memory that together exceed it, and against machines of the usual
/// sizes that have no room for the largest body or the usual connections.
#[test]
fn the_parts_stay_within_the_memory() {
    const LARGEST_BODY_BYTES: usize = 64 << 20;
    const CONNECTION_BYTES: usize = 48 << 10;
    for (memory_mb, least_body_mb, least_connection_count) in [
        (64, 24, 200),
        (80, 32, 300),
        (160, 64, 700),
        (260, 64, 2000),
        (1024, 64, 2000),
    ] {
        let budget = MemoryBudget::new(memory_mb << 20, LARGEST_BODY_BYTES);
        let sum_bytes = budget.connection_count * CONNECTION_BYTES
            + budget.body_bytes
            + budget.small_body_bytes
            + budget.request_bytes
            + budget.response_bytes
            + budget.read_ahead_bytes;
        assert!(sum_bytes < memory_mb << 20, "{memory_mb} MB");
        assert!(budget.body_bytes >= least_body_mb << 20, "{memory_mb} MB");
        let connection_count = budget.connection_count;
        assert!(connection_count >= least_connection_count, "{memory_mb} MB");
    }
}
