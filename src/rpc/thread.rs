//! The thread on which capnp-rpc lives.

use {
    super::{
        Handlers,
        auth::FleetAuth,
        client::Calls,
        connection::Connections,
        server::{Gate, Shared},
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

/// Time limit of a call, connecting included.
pub const CALL_LIMIT_MS: u64 = 1000;

/// Time that a peer has to show that it holds the fleet secret.
const ENTER_LIMIT_MS: u64 = 2000;

/// Connections from other nodes at a time.
const MAX_INCOMING_COUNT: usize = 4096;

/// Words of a message at most; documents of the platform are up to a megabyte.
const MAX_MESSAGE_WORDS: usize = (4 << 20) / 8;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE_MS: u64 = 10;

/// What the thread needs to know of its node.
#[derive(Clone)]
pub struct RpcConfig {
    listen: SocketAddr,
    own_ip: IpAddr,
    auth: FleetAuth,
    names: Names,
}

impl RpcConfig {
    /// From the settings of the node and its table of names.
    #[must_use]
    pub fn new(settings: &Settings, names: Names) -> Self {
        Self {
            listen: SocketAddr::new(settings.ip, settings.rpc_port),
            own_ip: settings.ip,
            auth: FleetAuth::new(&settings.fleet_secret),
            names,
        }
    }
}

/// Starts the thread: it listens, answers through `handlers` and makes the
/// `calls` until `shutdown`.
///
/// Fails when the address is in use.
pub fn spawn<H: Handlers>(
    config: RpcConfig,
    calls: Calls,
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
        let set = LocalSet::new();
        let work = run(config, listener, calls, handlers, shutdown);
        set.block_on(&runtime, work);
    })
}

async fn run<H: Handlers>(
    config: RpcConfig,
    listener: std::net::TcpListener,
    calls: Calls,
    handlers: Arc<H>,
    shutdown: CancellationToken,
) {
    let listener = TcpListener::from_std(listener).expect("the runtime's driver is enabled");
    let shared = Rc::new(Shared {
        auth: config.auth.clone(),
        names: config.names.clone(),
        handlers,
    });
    let counters = calls.counters.clone();
    let connections = Connections::new(config.own_ip, config.auth, config.names, counters);
    tokio::select! {
        () = shutdown.cancelled() => {}
        () = accept(listener, shared) => {}
        () = make_calls(calls, Rc::new(connections)) => {}
    }
}

async fn make_calls(mut calls: Calls, connections: Rc<Connections>) {
    while let Some(call) = calls.receiver.recv().await {
        let connections = connections.clone();
        tokio::task::spawn_local(async move { connections.serve(call).await });
    }
    // Nobody calls any more; the node may still be asked.
    std::future::pending::<()>().await;
}

async fn accept<H: Handlers>(listener: TcpListener, shared: Rc<Shared<H>>) {
    let open_count = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors: without a pause the loop would spin.
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        if open_count.get() >= MAX_INCOMING_COUNT {
            continue;
        }
        open_count.set(open_count.get() + 1);
        let (shared, open_count) = (shared.clone(), open_count.clone());
        tokio::task::spawn_local(async move {
            serve(stream, shared).await;
            open_count.set(open_count.get() - 1);
        });
    }
}

async fn serve<H: Handlers>(stream: TcpStream, shared: Rc<Shared<H>>) {
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
    let entered = Rc::new(Cell::new(false));
    let gate: gate::Client = capnp_rpc::new_client(Gate::new(shared, entered.clone()));
    let system = RpcSystem::new(Box::new(network), Some(gate.client));
    tokio::select! {
        _ = system => {}
        () = stays_outside(entered) => {}
    }
}

/// Ends when the peer has not shown the fleet secret in time; strangers would
/// otherwise hold connections for as long as they like.
async fn stays_outside(entered: Rc<Cell<bool>>) {
    tokio::time::sleep(Duration::from_millis(ENTER_LIMIT_MS)).await;
    if entered.get() {
        std::future::pending::<()>().await;
    }
}

pub fn receive_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}
