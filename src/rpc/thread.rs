//! The thread on which capnp-rpc runs.

use {
    super::{
        Handlers,
        auth::FleetAuth,
        client::PendingCalls,
        connection::Connections,
        server::{Authenticator, ServerContext},
    },
    crate::{model::Names, schema::rpc_capnp::gate, settings::Settings},
    capnp::message::ReaderOptions,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    std::{
        cell::Cell,
        io,
        net::{IpAddr, SocketAddr},
        rc::Rc,
        sync::Arc,
        thread::JoinHandle,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::LocalSet,
    },
    tokio_util::{
        compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
        sync::CancellationToken,
    },
};

/// Timeout of a call, including the time to connect.
pub const CALL_TIMEOUT_MS: u64 = 1000;

/// Time within which a peer must prove that it holds the fleet secret.
const AUTHENTICATION_TIMEOUT_MS: u64 = 2000;

/// Maximum number of open connections from other nodes.
const MAX_INCOMING_CONNECTION_COUNT: usize = 4096;

/// Maximum size of a message in Cap'n Proto words (4 MiB); platform documents
/// are up to a megabyte.
const MAX_MESSAGE_WORDS: usize = (4 << 20) / 8;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY_MS: u64 = 10;

/// Configuration of the RPC thread.
#[derive(Clone)]
pub struct RpcConfig {
    listen: SocketAddr,
    local_ip: IpAddr,
    auth: FleetAuth,
    names: Names,
}

impl RpcConfig {
    /// Creates it from the node's settings and its table of names.
    #[must_use]
    pub fn new(settings: &Settings, names: Names) -> Self {
        Self {
            listen: SocketAddr::new(settings.ip, settings.rpc_port),
            local_ip: settings.ip,
            auth: FleetAuth::new(&settings.fleet_secret),
            names,
        }
    }
}

/// Starts the thread, which serves incoming calls through `handlers` and makes
/// the outgoing `calls` until `shutdown`.
///
/// # Errors
/// If the address cannot be bound or the thread cannot be started.
pub fn spawn<H: Handlers>(
    config: RpcConfig,
    calls: PendingCalls,
    handlers: Arc<H>,
    shutdown: CancellationToken,
) -> io::Result<JoinHandle<()>> {
    let listener = std::net::TcpListener::bind(config.listen)?;
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = std::thread::Builder::new().name("rpc".to_owned());
    thread.spawn(move || {
        let local_tasks = LocalSet::new();
        let server = run(config, listener, calls, handlers, shutdown);
        local_tasks.block_on(&runtime, server);
    })
}

async fn run<H: Handlers>(
    config: RpcConfig,
    listener: std::net::TcpListener,
    calls: PendingCalls,
    handlers: Arc<H>,
    shutdown: CancellationToken,
) {
    let listener = TcpListener::from_std(listener).expect("the runtime's driver is enabled");
    let context = Rc::new(ServerContext {
        auth: config.auth.clone(),
        names: config.names.clone(),
        handlers,
    });
    let counters = calls.counters.clone();
    let connections = Connections::new(config.local_ip, config.auth, config.names, counters);
    tokio::select! {
        () = shutdown.cancelled() => {}
        () = accept(listener, context) => {}
        () = make_calls(calls, Rc::new(connections)) => {}
    }
}

async fn make_calls(mut calls: PendingCalls, connections: Rc<Connections>) {
    while let Some(call) = calls.receiver.recv().await {
        let connections = connections.clone();
        tokio::task::spawn_local(async move { connections.execute(call).await });
    }
    // All clients are gone; incoming calls are still served.
    std::future::pending::<()>().await;
}

async fn accept<H: Handlers>(listener: TcpListener, context: Rc<ServerContext<H>>) {
    let open_count = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Without a delay the loop would spin, e.g. when file descriptors
            // are exhausted.
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            continue;
        };
        if open_count.get() >= MAX_INCOMING_CONNECTION_COUNT {
            continue;
        }
        open_count.set(open_count.get() + 1);
        let (context, open_count) = (context.clone(), open_count.clone());
        tokio::task::spawn_local(async move {
            serve(stream, context).await;
            open_count.set(open_count.get() - 1);
        });
    }
}

async fn serve<H: Handlers>(stream: TcpStream, context: Rc<ServerContext<H>>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        Side::Server,
        receive_options(),
    );
    let is_authenticated = Rc::new(Cell::new(false));
    let gate: gate::Client =
        capnp_rpc::new_client(Authenticator::new(context, is_authenticated.clone()));
    let system = RpcSystem::new(Box::new(network), Some(gate.client));
    tokio::select! {
        _ = system => {}
        () = wait_until_authentication_timeout(is_authenticated) => {}
    }
}

/// Returns if the peer has not authenticated in time; otherwise unauthenticated
/// peers could hold connections open indefinitely.
async fn wait_until_authentication_timeout(is_authenticated: Rc<Cell<bool>>) {
    tokio::time::sleep(Duration::from_millis(AUTHENTICATION_TIMEOUT_MS)).await;
    if is_authenticated.get() {
        std::future::pending::<()>().await;
    }
}

pub fn receive_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}
