//! Serves operators' calls on the control port.

use {
    super::{
        ControlError,
        capacity::NodeCapacity,
        handshake,
        operators::Operators,
        records::{ExplainRequest, Explanation, KeyVerdict, NodeStatus},
        traffic::Traffic,
    },
    crate::{event, events::Event, keys::KeyDigest},
    futures::StreamExt,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tarpc::{
        context::Context,
        serde_transport,
        server::{BaseChannel, Channel},
        tokio_serde::formats::Json,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        time::timeout,
    },
    tokio_util::{
        codec::{Framed, LengthDelimitedCodec},
        io::{InspectReader, InspectWriter},
        sync::CancellationToken,
    },
};

/// Longest time that an operator may take to prove the secret.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(3);
/// Connections at a time. Bounds what someone without the secret can hold.
const MAX_CONNECTIONS: usize = 64;
/// Largest message, either way. The status of a thousand members takes about
/// 150 KB.
pub(super) const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Longest wait for a revocation to come into force on this node.
const REVOKE_LIMIT_MS: u64 = 2_000;
const REVOKE_POLL: Duration = Duration::from_millis(5);

/// A node as operators see it.
pub trait Operated: Clone + Send + Sync + 'static {
    /// What the node knows of itself and of the fleet.
    fn status(&self) -> NodeStatus;
    /// Starts to drain; returns at once.
    fn drain(&self);
    /// Why a request would be admitted or refused here.
    fn explain(&self, request: &ExplainRequest) -> Explanation;
    /// Load and refusals of the node's own target.
    fn capacity(&self) -> NodeCapacity;
    /// Revokes a key and passes the revocation on.
    fn revoke(&self, digest: KeyDigest);
    /// What a key is worth here.
    fn key_verdict(&self, digest: &KeyDigest) -> KeyVerdict;
    /// Where operators' calls and their bytes are counted.
    fn traffic(&self) -> Arc<Traffic> {
        Arc::default()
    }
}

/// Listens for operators until `shutdown`; gives the bound address.
pub async fn spawn_operators<O: Operated>(
    address: SocketAddr,
    secret: String,
    operated: O,
    shutdown: CancellationToken,
) -> Result<SocketAddr, ControlError> {
    let bind = |source| ControlError::Bind { address, source };
    let listener = TcpListener::bind(address).await.map_err(bind)?;
    let bound = listener.local_addr().map_err(bind)?;
    let server = Server {
        operated,
        secret: Arc::new(secret),
    };
    tokio::spawn(async move {
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = accept(listener, server, shutdown.clone()) => {}
        }
    });
    Ok(bound)
}

#[derive(Clone)]
struct Server<O> {
    operated: O,
    secret: Arc<String>,
}

async fn accept<O: Operated>(
    listener: TcpListener,
    server: Server<O>,
    shutdown: CancellationToken,
) {
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, peer)) = listener.accept().await else {
            // Out of file descriptors, most likely: accepting at once again
            // would only burn the processor.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let server = server.clone();
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = shutdown.cancelled() => {}
                () = serve(stream, peer, server) => {}
            }
            drop(permit);
        });
    }
}

async fn serve<O: Operated>(mut stream: TcpStream, peer: SocketAddr, server: Server<O>) {
    let verified = timeout(
        HANDSHAKE_LIMIT,
        handshake::verify(&mut stream, &server.secret),
    )
    .await;
    match verified {
        Ok(Ok(())) => {}
        Ok(Err(error)) => {
            event!(Event::ControlRejected, "peer={peer} error={error}");
            return;
        }
        Err(_) => {
            event!(
                Event::ControlRejected,
                "peer={peer} error=handshake timed out"
            );
            return;
        }
    }
    let _ = stream.set_nodelay(true);
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_MESSAGE_BYTES);
    let traffic = server.operated.traffic();
    let (received, sent) = (traffic.clone(), traffic.clone());
    let stream = InspectReader::new(stream, move |bytes| received.add_bytes(bytes.len()));
    let stream = InspectWriter::new(stream, move |bytes| sent.add_bytes(bytes.len()));
    let transport = serde_transport::new(Framed::new(stream, codec), Json::default());
    let calls = Calls {
        operated: server.operated,
        peer,
    };
    BaseChannel::with_defaults(transport)
        .execute(calls.serve())
        .for_each(|call| {
            traffic.add_message();
            tokio::spawn(call);
            std::future::ready(())
        })
        .await;
}

#[derive(Clone)]
struct Calls<O> {
    operated: O,
    peer: SocketAddr,
}

impl<O: Operated> Operators for Calls<O> {
    async fn status(self, _: Context, with_members: bool) -> NodeStatus {
        let mut status = self.operated.status();
        if !with_members {
            status.members.clear();
        }
        status
    }

    async fn revision(self, _: Context) -> u64 {
        self.operated.status().revision
    }

    async fn revoke(self, _: Context, digest: KeyDigest) -> KeyVerdict {
        event!(
            Event::ControlRequest,
            "peer={} call=revoke digest={digest}",
            self.peer
        );
        self.operated.revoke(digest);
        // An operator who reads "in force" may rely on it: the answer waits
        // until requests with the key are refused here.
        let in_force = async {
            while self.operated.key_verdict(&digest) != KeyVerdict::Revoked {
                tokio::time::sleep(REVOKE_POLL).await;
            }
        };
        let _ = timeout(Duration::from_millis(REVOKE_LIMIT_MS), in_force).await;
        self.operated.key_verdict(&digest)
    }

    async fn key_verdict(self, _: Context, digest: KeyDigest) -> KeyVerdict {
        self.operated.key_verdict(&digest)
    }

    async fn drain(self, _: Context) {
        event!(Event::ControlRequest, "peer={} call=drain", self.peer);
        self.operated.drain();
    }

    async fn explain(self, _: Context, request: ExplainRequest) -> Explanation {
        self.operated.explain(&request)
    }
    async fn capacity(self, _: Context) -> NodeCapacity {
        self.operated.capacity()
    }
}
