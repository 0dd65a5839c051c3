//! Outgoing RPC connections and the calls made over them.

use {
    super::{
        CallKind, RpcCounters, RpcError,
        auth::{FleetAuth, NONCE_BYTES, Nonces, Prover, new_nonce},
        client::{Call, Command, Reply},
        codec,
        thread::{CALL_TIMEOUT_MS, receive_options},
    },
    crate::{
        documents::{Document, DocumentKind},
        guard::Handover,
        model::{Names, WorkspaceKey},
        quota::{BorrowRequest, BorrowResponse, LeaseRequest, LeaseResponse, PoolHandover},
        schema::rpc_capnp::{gate, node},
    },
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpSocket, TcpStream},
        sync::OnceCell,
    },
    tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

/// Time without a response after which a connection is not used again: it may have gone silent,
/// which only a call would show.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);

/// A connection, once it is open.
#[derive(Default)]
struct Link {
    client: OnceCell<node::Client>,
    /// When the last response arrived.
    responded_at: Cell<Option<Instant>>,
}

impl Link {
    fn is_idle(&self) -> bool {
        let responded_at = self.responded_at.get();
        responded_at.is_some_and(|responded_at| responded_at.elapsed() > MAX_IDLE_TIME)
    }
}

/// Connections to other nodes, one per address.
pub struct Connections {
    local_ip: IpAddr,
    auth: FleetAuth,
    names: Names,
    counters: Arc<RpcCounters>,
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
}

impl Connections {
    pub fn new(
        local_ip: IpAddr,
        auth: FleetAuth,
        names: Names,
        counters: Arc<RpcCounters>,
    ) -> Self {
        Self {
            local_ip,
            auth,
            names,
            counters,
            links: RefCell::new(HashMap::new()),
        }
    }

    /// Makes a call and sends its result to the caller.
    pub async fn execute(&self, call: Call) {
        let address = call.address;
        match call.command {
            Command::Document {
                kind,
                above_version,
                reply,
            } => {
                let document = |node| self.document(node, kind, above_version);
                self.call_with_timeout(address, reply, document).await;
            }
            Command::Lease { request, reply } => {
                self.call_with_timeout(address, reply, |node| self.lease(node, request))
                    .await;
            }
            Command::Borrow { request, reply } => {
                self.call_with_timeout(address, reply, |node| self.borrow(node, request))
                    .await;
            }
            Command::TakeOver { workspace, reply } => {
                self.call_with_timeout(address, reply, |node| self.take_over(node, workspace))
                    .await;
            }
            Command::HandOver { handover, reply } => {
                self.call_with_timeout(address, reply, |node| self.hand_over(node, handover))
                    .await;
            }
        }
    }

    async fn call_with_timeout<T, F: Future<Output = Result<T, capnp::Error>>>(
        &self,
        address: SocketAddr,
        reply: Reply<T>,
        call: impl FnOnce(node::Client) -> F,
    ) {
        let link = self.link(address);
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        let result = tokio::time::timeout(limit, self.call(address, &link, call)).await;
        let limit_ms = CALL_TIMEOUT_MS;
        let result = result.unwrap_or(Err(RpcError::TimedOut { address, limit_ms }));
        match result {
            Ok(_) => link.responded_at.set(Some(Instant::now())),
            Err(_) => self.discard(address, &link),
        }
        // The caller may have stopped waiting.
        let _ = reply.send(result);
    }

    /// The connection to this address. An idle one is replaced; its calls in progress go on.
    fn link(&self, address: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        let link = links.entry(address).or_default();
        if link.is_idle() {
            *link = Rc::default();
        }
        link.clone()
    }

    async fn call<T, F: Future<Output = Result<T, capnp::Error>>>(
        &self,
        address: SocketAddr,
        link: &Link,
        call: impl FnOnce(node::Client) -> F,
    ) -> Result<T, RpcError> {
        let node = link.client.get_or_try_init(|| self.open(address)).await?;
        let result = call(node.clone()).await;
        result.map_err(|error| call_failed(address, &error))
    }

    // A connection over which a call failed may be half open, and the next call
    // would run into its timeout too. A new connection is opened instead.
    fn discard(&self, address: SocketAddr, link: &Rc<Link>) {
        let mut links = self.links.borrow_mut();
        if links
            .get(&address)
            .is_some_and(|current| Rc::ptr_eq(current, link))
        {
            links.remove(&address);
        }
    }

    async fn open(&self, address: SocketAddr) -> Result<node::Client, RpcError> {
        let stream = self.connect(address).await;
        let stream = stream.map_err(|error| RpcError::Unreachable {
            address,
            cause: error.to_string(),
        })?;
        let (reader, writer) = stream.into_split();
        let network = VatNetwork::new(
            reader.compat(),
            writer.compat_write(),
            Side::Client,
            receive_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate: gate::Client = system.bootstrap(Side::Server);
        tokio::task::spawn_local(async move {
            // Calls in progress return the error that ended the connection.
            let _ = system.await;
        });
        self.authenticate(address, gate).await
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.bind(SocketAddr::new(self.local_ip, 0))?;
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn authenticate(
        &self,
        address: SocketAddr,
        gate: gate::Client,
    ) -> Result<node::Client, RpcError> {
        let client = new_nonce();
        let mut request = gate.challenge_request();
        request.get().set_client_nonce(&client);
        let challenge = request.send().promise.await;
        let challenge = challenge.map_err(|error| call_failed(address, &error))?;
        let nonces = self
            .verify_server(client, &challenge)
            .map_err(|error| call_failed(address, &error))?;
        let nonces = nonces.ok_or(RpcError::NotAuthentic { address })?;
        let proof = self.auth.proof(Prover::Client, &nonces);
        let mut request = gate.enter_request();
        request.get().set_client_proof(&proof);
        let entered = request.send().promise.await;
        let node = entered.and_then(|entered| entered.get()?.get_node());
        node.map_err(|_| RpcError::NotAuthentic { address })
    }

    fn verify_server(
        &self,
        client: [u8; NONCE_BYTES],
        challenge: &capnp::capability::Response<gate::challenge_results::Owned>,
    ) -> Result<Option<Nonces>, capnp::Error> {
        let challenge = challenge.get()?;
        let Ok(server) = <[u8; NONCE_BYTES]>::try_from(challenge.get_server_nonce()?) else {
            return Ok(None);
        };
        let nonces = Nonces { client, server };
        let proof = challenge.get_server_proof()?;
        let is_valid = self.auth.is_valid(Prover::Server, &nonces, proof);
        Ok(is_valid.then_some(nonces))
    }

    async fn document(
        &self,
        node: node::Client,
        kind: DocumentKind,
        above_version: u64,
    ) -> Result<Option<Document>, capnp::Error> {
        let mut request = node.document_request();
        let index = u8::try_from(kind.index()).expect("kinds fit into 8 bits");
        request.get().set_kind(index);
        request.get().set_above_version(above_version);
        self.counters.record_call(CallKind::Document);
        let response = request.send().promise.await?;
        let response = response.get()?;
        self.counters
            .record_words(CallKind::Document, response.total_size()?.word_count);
        if response.get_version() <= above_version {
            return Ok(None);
        }
        Ok(Some(Document {
            kind,
            version: response.get_version(),
            content: response.get_content()?.into(),
        }))
    }

    async fn lease(
        &self,
        node: node::Client,
        lease_request: LeaseRequest,
    ) -> Result<LeaseResponse, capnp::Error> {
        let mut request = node.lease_request();
        codec::write_lease_request(&self.names, &lease_request, request.get().init_ask());
        let request_words = request.get().into_reader().total_size()?.word_count;
        self.counters.record_call(CallKind::Lease);
        let response = request.send().promise.await?;
        let response = response.get()?;
        let response_words = response.total_size()?.word_count;
        self.counters
            .record_words(CallKind::Lease, request_words + response_words);
        codec::read_lease_response(response.get_answer()?)
    }

    async fn borrow(
        &self,
        node: node::Client,
        borrow_request: BorrowRequest,
    ) -> Result<BorrowResponse, capnp::Error> {
        let mut request = node.borrow_request();
        codec::write_borrow_request(&self.names, &borrow_request, request.get().init_ask());
        let request_words = request.get().into_reader().total_size()?.word_count;
        self.counters.record_call(CallKind::Borrow);
        let response = request.send().promise.await?;
        let response = response.get()?;
        let response_words = response.total_size()?.word_count;
        self.counters
            .record_words(CallKind::Borrow, request_words + response_words);
        Ok(codec::read_borrow_response(response.get_answer()?))
    }

    async fn take_over(
        &self,
        node: node::Client,
        workspace: WorkspaceKey,
    ) -> Result<Option<PoolHandover>, capnp::Error> {
        let mut request = node.take_over_request();
        request
            .get()
            .set_workspace(self.names.workspace_name(workspace));
        self.counters.record_call(CallKind::TakeOver);
        let response = request.send().promise.await?;
        let response = response.get()?;
        let response_words = response.total_size()?.word_count;
        self.counters
            .record_words(CallKind::TakeOver, response_words);
        if !response.get_retired() {
            return Ok(None);
        }
        codec::read_pool_handover(response.get_estate()?).map(Some)
    }

    async fn hand_over(
        &self,
        node: node::Client,
        handover: Handover,
    ) -> Result<bool, capnp::Error> {
        let mut request = node.hand_over_request();
        codec::write_handover(&self.names, &handover, request.get().init_handover());
        let request_words = request.get().into_reader().total_size()?.word_count;
        self.counters.record_call(CallKind::HandOver);
        self.counters
            .record_words(CallKind::HandOver, request_words);
        let response = request.send().promise.await?;
        Ok(response.get()?.get_accepted())
    }
}

fn call_failed(address: SocketAddr, error: &capnp::Error) -> RpcError {
    RpcError::Failed {
        address,
        cause: error.to_string(),
    }
}
