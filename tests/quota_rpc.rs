//! Calls between nodes: who is let in, what arrives, what a dead peer costs.

use {
    clap::Parser,
    dogwoodbridge::{
        documents::{Document, DocumentKind},
        guard::{GuardKey, Handover, History, SliceExport, SliceRecord, StoredAnswer},
        model::{Names, WorkspaceKey},
        quota::{
            BorrowRequest, BorrowResponse, HandedOverLease, LeaseRequest, LeaseResponse,
            PoolHandover, PoolRef, Process,
        },
        rpc::{self, CallKind, Handlers, RpcClient, RpcConfig, RpcError},
        settings::Settings,
        slices::SliceIndex,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    tokio_util::sync::CancellationToken,
};

const SECRET: &str = "a secret of the fleet";

/// Answers from fixed values and keeps what it was asked.
#[derive(Default)]
struct Fake {
    borrowed: Mutex<Vec<BorrowRequest>>,
    handed_over: Mutex<Vec<Handover>>,
}

impl Handlers for Fake {
    fn document(&self, kind: DocumentKind, above_version: u64) -> Option<Document> {
        (above_version < 9).then(|| Document {
            kind,
            version: 9,
            content: vec![7; 1 << 20].into(),
        })
    }

    fn lease(&self, ask: LeaseRequest) -> LeaseResponse {
        LeaseResponse {
            slice_count: u16::try_from(ask.predecessor_id).expect("small in this test"),
            level: 1 << 50,
            ttl_ms: 3,
            busy_ms: 4,
            holder: ask.bank,
        }
    }

    async fn borrow(&self, ask: BorrowRequest) -> BorrowResponse {
        self.borrowed.lock().expect("no panic").push(ask);
        BorrowResponse {
            bank_id: 1,
            loan: 2,
            granted_count: 3,
            ttl_ms: 4,
            empty_for_ms: 5,
        }
    }

    fn take_over(&self, _: WorkspaceKey) -> Option<PoolHandover> {
        Some(estate_of_fake())
    }

    fn hand_over(&self, handover: Handover) -> bool {
        self.handed_over.lock().expect("no panic").push(handover);
        true
    }
}

fn estate_of_fake() -> PoolHandover {
    PoolHandover {
        level: 1 << 51,
        lent_count: 5,
        leases: vec![HandedOverLease {
            owner: "o".to_owned(),
            holder_id: 1 << 60,
            slice_count: 6,
            left_ms: 7,
        }],
    }
}

struct TestNode {
    client: RpcClient,
    fake: Arc<Fake>,
    names: Names,
    address: SocketAddr,
    shutdown: CancellationToken,
}

fn start(ip: &str, secret: &str) -> TestNode {
    let settings = Settings::parse_from([
        "dogwoodd",
        "--node-id=n",
        "--region=r",
        "--zone=z",
        "--platform=127.0.0.1:1",
        "--operator-secret=not needed in this test",
        &format!("--ip={ip}"),
        &format!("--fleet-secret={secret}"),
    ]);
    let names = Names::new();
    let fake = Arc::new(Fake::default());
    let shutdown = CancellationToken::new();
    let (client, calls) = rpc::channel();
    let config = RpcConfig::new(&settings, names.clone());
    rpc::spawn(config, calls, fake.clone(), shutdown.clone()).expect("the address is free");
    TestNode {
        client,
        fake,
        names,
        address: SocketAddr::new(settings.ip, settings.rpc_port),
        shutdown,
    }
}

fn process(started_unix_ms: u64) -> Process {
    Process {
        node_id: "n1".to_owned(),
        started_unix_ms,
    }
}

#[tokio::test]
async fn calls_arrive_whole_and_names_are_translated() {
    let (asker, asked) = (start("127.91.1.1", SECRET), start("127.91.1.2", SECRET));
    asker.names.workspace("unknown elsewhere");
    let (ours, theirs) = (asker.names.workspace("shop"), asked.names.workspace("shop"));
    assert_ne!(ours, theirs);

    let fetch = |above| {
        let kind = DocumentKind::Slices;
        asker.client.fetch_document(asked.address, kind, above)
    };
    let document = fetch(8).await.expect("it answers").expect("it has one");
    assert_eq!((document.version, document.content.len()), (9, 1 << 20));
    assert_eq!(fetch(9).await, Ok(None));

    let bank = PoolRef {
        node_id: "bank".to_owned(),
        bank_id: u64::MAX,
    };
    let ask = LeaseRequest {
        workspace: ours,
        bank: bank.clone(),
        predecessor_id: 77,
    };
    let answer = asker.client.lease(asked.address, ask).await;
    let expected = LeaseResponse {
        slice_count: 77,
        level: 1 << 50,
        ttl_ms: 3,
        busy_ms: 4,
        holder: bank,
    };
    assert_eq!(answer, Ok(expected));
    let estate = asker.client.take_over(asked.address, ours).await;
    assert_eq!(estate, Ok(Some(estate_of_fake())));

    let ask = BorrowRequest {
        workspace: ours,
        borrower: process(1),
        bank_id: 2,
        last_loan: 3,
        held_count: 4,
        returned_count: 5,
        need_count: 6,
        extra_count: 7,
    };
    let answer = asker.client.borrow(asked.address, ask.clone()).await;
    assert_eq!(answer.map(|answer| answer.granted_count), Ok(3));
    let expected = BorrowRequest {
        workspace: theirs,
        ..ask
    };
    assert_eq!(*asked.fake.borrowed.lock().expect("no panic"), [expected]);
    assert_eq!(asker.client.counters().of(CallKind::Borrow).call_count, 1);
    assert!(asker.client.counters().of(CallKind::Borrow).byte_count > 50);

    let handover = |workspace| Handover {
        export: SliceExport {
            slice: SliceIndex::new(5),
            history: History {
                since_version: 1,
                known_since_unix_ms: 2,
            },
            records: vec![SliceRecord {
                key: GuardKey {
                    workspace,
                    key_hash: 1 << 100,
                },
                fingerprint: 3,
                answer: Some(StoredAnswer {
                    status: 201,
                    headers: vec![("a".to_owned(), "b".to_owned())],
                    body: "body".into(),
                }),
                keep_for_ms: 4,
            }],
        },
        moved_by_version: 6,
        to_started_unix_ms: 7,
    };
    let taken = asker.client.hand_over(asked.address, handover(ours)).await;
    assert_eq!(taken, Ok(true));
    let arrived = asked.fake.handed_over.lock().expect("no panic");
    assert_eq!(*arrived, [handover(theirs)]);
}

/// Someone else on the network opens the port of calls between nodes. With an
/// answer to its calls it could drain every workspace's quota.
#[tokio::test]
async fn a_peer_without_the_fleet_secret_is_answered_nothing() {
    let (stranger, node) = (
        start("127.91.2.1", "another secret of theirs"),
        start("127.91.2.2", SECRET),
    );
    let error = RpcError::NotAuthentic {
        address: node.address,
    };
    let kind = DocumentKind::Keys;
    let fetched = stranger.client.fetch_document(node.address, kind, 0).await;
    assert_eq!(fetched, Err(error));
}

/// A node is replaced at the same address. Calls to it would fail for ever if
/// the connection to the old process were kept.
#[tokio::test]
async fn a_replaced_peer_is_connected_to_anew() {
    let (asker, asked) = (start("127.91.3.1", SECRET), start("127.91.3.2", SECRET));
    let kind = DocumentKind::Keys;
    let fetch = || asker.client.fetch_document(asked.address, kind, 9);
    assert_eq!(fetch().await, Ok(None));
    asked.shutdown.cancel();
    while fetch().await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(matches!(fetch().await, Err(RpcError::Unreachable { .. })));
    start("127.91.3.2", SECRET);
    assert_eq!(fetch().await, Ok(None));
}
