//! Connections to the own target.

use {
    super::SendGate,
    crate::peer::connect_from,
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    std::{
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::task::AbortHandle,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why there is no connection to the target.
#[derive(Debug, thiserror::Error)]
pub enum PoolError {
    /// The target has not announced itself or is lost.
    #[error("there is no target")]
    NoTarget,
    /// All connections that it accepts are in use.
    #[error("all connections to the target are in use")]
    AllInUse,
    /// It does not accept one.
    #[error("the target does not accept a connection: {0}")]
    Connect(#[from] std::io::Error),
    /// It does not accept one in time.
    #[error("the target does not accept a connection in time")]
    Timeout,
    /// HTTP could not begin.
    #[error("HTTP/1.1 handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

/// Age at which an idle connection is not used again where the target does not
/// tell how long it keeps it.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Taken off the time that the target tells. A request that is sent while the
/// target closes the connection is lost, and nobody knows whether it ran.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// A target as it announced itself to the pool.
#[derives::value]
#[derive(Eq)]
pub struct PoolTarget {
    /// Names the process; empty where targets have no identity.
    pub instance_id: String,
    /// Port on the own address.
    pub port: u16,
    /// Start of its process, where it tells; 0 otherwise.
    pub started_unix_ms: u64,
    /// Connections that it accepts.
    pub connection_count: u32,
}

#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    usable_until: Option<Instant>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug, Default)]
struct State {
    target: Option<PoolTarget>,
    heard_ms: u64,
    // Raised when the target changes, so that no connection to its
    // predecessor comes back into the pool.
    generation: u64,
    idle: Vec<Connection>,
    open_count: u32,
}

/// Keeps connections to the target and bounds their number.
#[derive(Debug)]
pub struct TargetPool {
    ip: IpAddr,
    state: Mutex<State>,
    gate: Mutex<SendGate>,
}

impl TargetPool {
    /// A pool without a target; it will be reached on this address.
    #[must_use]
    pub fn new(ip: IpAddr) -> Arc<Self> {
        Arc::new(Self {
            ip,
            state: Mutex::default(),
            gate: Mutex::default(),
        })
    }

    /// Takes over an announcement, with how much longer the target stays cold;
    /// returns whether it (re)started.
    pub fn announce(&self, target: PoolTarget, cold_left_ms: u64, now_us: u64) -> bool {
        let mut state = self.locked();
        let is_same = state.target.as_ref().is_some_and(|known| {
            known.port == target.port
                && known.started_unix_ms == target.started_unix_ms
                && known.instance_id == target.instance_id
        });
        state.heard_ms = now_us / 1000;
        state.target = Some(target);
        if !is_same {
            state.reset();
        }
        let cold_left_us = cold_left_ms.saturating_mul(1000);
        self.gate().tell(cold_left_us, !is_same, now_us);
        !is_same
    }

    /// Forgets the target after silence; returns whether it was just lost.
    pub fn lose_if_silent(&self, now_ms: u64, silence_ms: u64) -> bool {
        let mut state = self.locked();
        let is_silent = now_ms.saturating_sub(state.heard_ms) > silence_ms;
        if state.target.is_none() || !is_silent {
            return false;
        }
        state.target = None;
        state.reset();
        true
    }

    /// An idle connection or a new one.
    pub async fn lease(self: &Arc<Self>) -> Result<Lease, PoolError> {
        let (address, mut lease) = {
            let mut state = self.locked();
            let target = state.target.clone().ok_or(PoolError::NoTarget)?;
            let idle = state.pop_idle();
            if idle.is_none() {
                if state.open_count >= target.connection_count {
                    return Err(PoolError::AllInUse);
                }
                state.open_count += 1;
            }
            let lease = Lease {
                pool: Arc::clone(self),
                generation: state.generation,
                instance_id: target.instance_id,
                connection: idle,
            };
            (SocketAddr::new(self.ip, target.port), lease)
        };
        if lease.connection.is_none() {
            let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(self.ip, address));
            let connected = connecting.await.unwrap_or(Err(PoolError::Timeout));
            // Nothing listens there: the target is down and may come back cold
            // before it tells. A connection that takes long tells nothing: this
            // node may have had no turn.
            if matches!(connected, Err(PoolError::Connect(_))) {
                self.gate().doubt();
            }
            lease.connection = Some(connected?);
        }
        Ok(lease)
    }

    /// What may be sent to the target now.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn gate(&self) -> MutexGuard<'_, SendGate> {
        self.gate.lock().expect("lock is not poisoned")
    }

    fn locked(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }
}

impl State {
    fn reset(&mut self) {
        self.generation += 1;
        self.idle.clear();
        self.open_count = 0;
    }

    fn pop_idle(&mut self) -> Option<Connection> {
        while let Some(connection) = self.idle.pop() {
            let is_young = connection
                .usable_until
                .is_none_or(|until| Instant::now() < until);
            if is_young && !connection.sender.is_closed() {
                return Some(connection);
            }
            self.open_count -= 1;
        }
        None
    }
}

async fn connect(ip: IpAddr, address: SocketAddr) -> Result<Connection, PoolError> {
    let stream = connect_from(ip, address).await?;
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await?;
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        usable_until: None,
    })
}

/// A connection in use for one exchange.
///
/// Dropping it closes the connection: what is left of an exchange that was
/// cancelled, timed out or broke would be read as the next one's answer. The
/// target sees the close and stops working.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<TargetPool>,
    generation: u64,
    instance_id: String,
    connection: Option<Connection>,
}

impl Lease {
    /// Names the process of the target that the connection leads to.
    #[must_use]
    pub fn instance_id(&self) -> &str {
        &self.instance_id
    }

    /// Sends the request of this exchange.
    pub fn sender(&mut self) -> Option<&mut http1::SendRequest<Full<Bytes>>> {
        self.connection
            .as_mut()
            .map(|connection| &mut connection.sender)
    }

    /// Gives the connection back after a whole answer; the target closes it
    /// after `idle_limit`, if it told.
    pub fn keep(mut self, idle_limit: Option<Duration>) {
        let usable = idle_limit.unwrap_or(DEFAULT_IDLE_LIMIT);
        if let Some(connection) = &mut self.connection {
            let until = Instant::now() + usable.saturating_sub(IDLE_MARGIN);
            connection.usable_until = Some(until);
        }
        let pool = Arc::clone(&self.pool);
        let mut state = pool.locked();
        if state.generation == self.generation {
            state.idle.extend(self.connection.take());
            // Taken from the count again by the drop below, unless it is
            // marked as of no generation.
            self.generation = u64::MAX;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.generation == u64::MAX {
            return;
        }
        let mut state = self.pool.locked();
        if state.generation == self.generation {
            state.open_count -= 1;
        }
    }
}
