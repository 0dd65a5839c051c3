//! Calls over connections that have gone silent.

use {
    clap::Parser,
    dogwoodbridge::{
        documents::{Document, DocumentKind},
        guard::Handover,
        model::{Names, WorkspaceKey},
        quota::{BorrowRequest, BorrowResponse, LeaseRequest, LeaseResponse, PoolHandover},
        rpc::{self, Handlers, RpcClient, RpcConfig},
        settings::Settings,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

/// A change is in force everywhere within 2 s, and a relay may take 1.5 s to find it.
const FETCH_LIMIT: Duration = Duration::from_millis(500);
/// Time after a disturbance from which bounds hold.
const CALM_TIME: Duration = Duration::from_secs(3);

struct DocumentHandlers;

impl Handlers for DocumentHandlers {
    fn document(&self, kind: DocumentKind, above_version: u64) -> Option<Document> {
        Some(Document {
            kind,
            version: above_version + 1,
            content: Arc::from(&b"content"[..]),
        })
    }

    fn lease(&self, _request: LeaseRequest) -> LeaseResponse {
        LeaseResponse::default()
    }

    async fn borrow(&self, _request: BorrowRequest) -> BorrowResponse {
        BorrowResponse::default()
    }

    fn take_over(&self, _workspace: WorkspaceKey) -> Option<PoolHandover> {
        None
    }

    fn hand_over(&self, _handover: Handover) -> bool {
        false
    }
}

fn start_node(ip: &str, shutdown: &CancellationToken) -> (RpcClient, SocketAddr) {
    let settings = Settings::parse_from([
        "dogwoodd",
        "--node-id=n",
        "--region=r",
        "--zone=z",
        "--platform=127.0.0.1:1",
        "--operator-secret=not needed in this test",
        "--fleet-secret=a secret of the fleet",
        &format!("--ip={ip}"),
    ]);
    let (client, calls) = rpc::channel();
    let config = RpcConfig::new(&settings, Names::new());
    rpc::spawn(config, calls, Arc::new(DocumentHandlers), shutdown.clone()).unwrap();
    (client, SocketAddr::new(settings.ip, settings.rpc_port))
}

/// Forwards connections; those that are open can be made silent, without a reset.
#[derive(Clone)]
struct Forwarder {
    address: SocketAddr,
    silence: Arc<Mutex<CancellationToken>>,
}

impl Forwarder {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let forwarder = Self {
            address: listener.local_addr().unwrap(),
            silence: Arc::default(),
        };
        let running = forwarder.clone();
        tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((mut near, _)) = listener.accept().await {
                let silenced = running.silence.lock().unwrap().clone();
                connections.spawn(async move {
                    let mut far = TcpStream::connect(to).await.unwrap();
                    tokio::select! {
                        () = silenced.cancelled() => {}
                        _ = copy_bidirectional(&mut near, &mut far) => return,
                    }
                    std::future::pending::<()>().await;
                });
            }
        });
        forwarder
    }

    fn silence_open_connections(&self) {
        std::mem::take(&mut *self.silence.lock().unwrap()).cancel();
    }
}

/// Guards against a change that is late since the connection over which it is fetched went silent
/// long before.
#[tokio::test]
async fn a_silent_connection_delays_no_document() {
    let shutdown = CancellationToken::new();
    let _guard = shutdown.clone().drop_guard();
    let (client, _) = start_node("127.91.4.1", &shutdown);
    let (_, server) = start_node("127.91.4.2", &shutdown);
    let forwarder = Forwarder::start(server).await;
    let fetch = |above| {
        let call = client.fetch_document(forwarder.address, DocumentKind::Configuration, above);
        timeout(FETCH_LIMIT, call)
    };
    fetch(1)
        .await
        .expect("in time")
        .expect("the server responds");
    forwarder.silence_open_connections();
    tokio::time::sleep(CALM_TIME).await;
    let fetched = fetch(2).await.expect("in time");
    assert_eq!(fetched.unwrap().unwrap().version, 3);
}
