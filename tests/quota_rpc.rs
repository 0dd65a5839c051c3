//! Calls between nodes: authentication, encoding of messages and reconnection.

use {
    clap::Parser,
    dogwoodbridge::{
        documents::{Document, DocumentKind},
        guard::{GuardKey, Handover, SliceExport, SliceHistory, SliceRecord, StoredResponse},
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

/// Responds with fixed values and records the requests.
#[derive(Default)]
struct RecordingHandlers {
    borrow_requests: Mutex<Vec<BorrowRequest>>,
    handovers: Mutex<Vec<Handover>>,
}

impl Handlers for RecordingHandlers {
    fn document(&self, kind: DocumentKind, above_version: u64) -> Option<Document> {
        (above_version < 9).then(|| Document {
            kind,
            version: 9,
            content: vec![7; 1 << 20].into(),
        })
    }

    fn lease(&self, request: LeaseRequest) -> LeaseResponse {
        LeaseResponse {
            slice_count: u16::try_from(request.predecessor_id).expect("small in this test"),
            level: 1 << 50,
            ttl_ms: 3,
            busy_ms: 4,
            holder: request.pool,
        }
    }

    async fn borrow(&self, request: BorrowRequest) -> BorrowResponse {
        self.borrow_requests.lock().expect("no panic").push(request);
        BorrowResponse {
            pool_id: 1,
            batch_number: 2,
            granted_count: 3,
            ttl_ms: 4,
            empty_for_ms: 5,
        }
    }

    fn take_over(&self, _: WorkspaceKey) -> Option<PoolHandover> {
        Some(sample_handover())
    }

    fn hand_over(&self, handover: Handover) -> bool {
        self.handovers.lock().expect("no panic").push(handover);
        true
    }
}

fn sample_handover() -> PoolHandover {
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
    handlers: Arc<RecordingHandlers>,
    names: Names,
    address: SocketAddr,
    shutdown: CancellationToken,
}

fn start_node(ip: &str, secret: &str) -> TestNode {
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
    let handlers = Arc::new(RecordingHandlers::default());
    let shutdown = CancellationToken::new();
    let (client, calls) = rpc::channel();
    let config = RpcConfig::new(&settings, names.clone());
    rpc::spawn(config, calls, handlers.clone(), shutdown.clone()).expect("the address is free");
    TestNode {
        client,
        handlers,
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

/// Nodes number workspaces differently. A key sent untranslated would charge
/// another workspace, and a large document must arrive complete.
#[tokio::test]
async fn calls_arrive_complete_and_workspace_keys_are_translated() {
    let (client_node, server_node) = (
        start_node("127.91.1.1", SECRET),
        start_node("127.91.1.2", SECRET),
    );
    client_node.names.workspace("unknown elsewhere");
    let (client_key, server_key) = (
        client_node.names.workspace("shop"),
        server_node.names.workspace("shop"),
    );
    assert_ne!(client_key, server_key);

    let fetch = |above| {
        let kind = DocumentKind::Slices;
        client_node
            .client
            .fetch_document(server_node.address, kind, above)
    };
    let document = fetch(8)
        .await
        .expect("the server responds")
        .expect("the server has a newer document");
    assert_eq!((document.version, document.content.len()), (9, 1 << 20));
    assert_eq!(fetch(9).await, Ok(None));

    let pool = PoolRef {
        node_id: "bank".to_owned(),
        pool_id: u64::MAX,
    };
    let request = LeaseRequest {
        workspace: client_key,
        pool: pool.clone(),
        predecessor_id: 77,
    };
    let response = client_node.client.lease(server_node.address, request).await;
    let expected = LeaseResponse {
        slice_count: 77,
        level: 1 << 50,
        ttl_ms: 3,
        busy_ms: 4,
        holder: pool,
    };
    assert_eq!(response, Ok(expected));
    let handover = client_node
        .client
        .take_over(server_node.address, client_key)
        .await;
    assert_eq!(handover, Ok(Some(sample_handover())));

    let request = BorrowRequest {
        workspace: client_key,
        borrower: process(1),
        pool_id: 2,
        last_batch_number: 3,
        held_count: 4,
        returned_count: 5,
        need_count: 6,
        extra_count: 7,
    };
    let response = client_node
        .client
        .borrow(server_node.address, request.clone())
        .await;
    assert_eq!(response.map(|response| response.granted_count), Ok(3));
    let expected = BorrowRequest {
        workspace: server_key,
        ..request
    };
    assert_eq!(
        *server_node
            .handlers
            .borrow_requests
            .lock()
            .expect("no panic"),
        [expected]
    );
    assert_eq!(
        client_node
            .client
            .counters()
            .for_kind(CallKind::Borrow)
            .call_count,
        1
    );
    assert!(
        client_node
            .client
            .counters()
            .for_kind(CallKind::Borrow)
            .byte_count
            > 50
    );

    let handover = |workspace| Handover {
        export: SliceExport {
            slice: SliceIndex::new(5),
            history: SliceHistory {
                since_epoch: 1,
                known_since_unix_ms: 2,
            },
            records: vec![SliceRecord {
                key: GuardKey {
                    workspace,
                    key_hash: 1 << 100,
                },
                fingerprint: 3,
                response: Some(StoredResponse {
                    status: 201,
                    headers: vec![("a".to_owned(), "b".to_owned())],
                    body: "body".into(),
                }),
                keep_for_ms: 4,
            }],
        },
        moved_by_epoch: 6,
        to_started_unix_ms: 7,
    };
    let was_accepted = client_node
        .client
        .hand_over(server_node.address, handover(client_key))
        .await;
    assert_eq!(was_accepted, Ok(true));
    let arrived = server_node.handlers.handovers.lock().expect("no panic");
    assert_eq!(*arrived, [handover(server_key)]);
}

/// A stranger on the network connects to the RPC port. If it got responses, it
/// could drain every workspace's quota.
#[tokio::test]
async fn a_peer_without_the_fleet_secret_gets_no_response() {
    let (stranger, node) = (
        start_node("127.91.2.1", "another secret of theirs"),
        start_node("127.91.2.2", SECRET),
    );
    let error = RpcError::NotAuthentic {
        address: node.address,
    };
    let kind = DocumentKind::Keys;
    let fetched = stranger.client.fetch_document(node.address, kind, 0).await;
    assert_eq!(fetched, Err(error));
}

/// A node is replaced at the same address. Calls to it would fail forever if
/// the connection to the old process were kept.
#[tokio::test]
async fn a_replaced_peer_is_reconnected() {
    let (client_node, server_node) = (
        start_node("127.91.3.1", SECRET),
        start_node("127.91.3.2", SECRET),
    );
    let kind = DocumentKind::Keys;
    let fetch = || {
        client_node
            .client
            .fetch_document(server_node.address, kind, 9)
    };
    assert_eq!(fetch().await, Ok(None));
    server_node.shutdown.cancel();
    while fetch().await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(matches!(fetch().await, Err(RpcError::Unreachable { .. })));
    start_node("127.91.3.2", SECRET);
    assert_eq!(fetch().await, Ok(None));
}
