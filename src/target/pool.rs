//! HTTP/1.1 connections to the local target.

use {
    super::{
        ColdReport, PoolTarget, SendGate, UNKNOWN_PROCESS_ID,
        connection::{Connection, connect},
        metered::Progress,
    },
    crate::{exchange::Segments, model::RequestId},
    hyper::client::conn::http1,
    std::{
        io::ErrorKind,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a connection that replaces a broken one: a request waits for the result.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(50);

/// Why no connection to the target is available.
#[derive(Debug, thiserror::Error)]
pub enum PoolError {
    /// The target has not registered or was removed after silence.
    #[error("no target is registered at this node")]
    NoTarget,
    /// All connections that the target accepts are in use.
    #[error("all connections that the target accepts are in use")]
    AllInUse,
    /// The connection failed.
    #[error("cannot connect to the target: {0}")]
    Connect(#[from] std::io::Error),
    /// The target did not accept the connection in time.
    #[error("connecting to the target timed out")]
    Timeout,
    /// The HTTP/1.1 handshake failed.
    #[error("HTTP/1.1 handshake with the target failed: {0}")]
    Handshake(#[from] hyper::Error),
}

/// Idle time after which a connection is not reused if the target does not send its
/// own idle limit.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Subtracted from the idle limit. A request sent while the target closes the
/// connection is lost, and whether it ran is unknown.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    target: Option<PoolTarget>,
    last_heartbeat_ms: u64,
    /// Whether the current process said in a response that it leaves.
    is_leaving: bool,
    /// The last process that said so.
    leaving_process_id: u64,
    /// The last process that announced itself; it may return after a silence.
    last_process_id: u64,
    // Incremented when the target changes, so that no connection to the previous
    // process is returned to the pool.
    generation: u64,
    idle: Vec<Connection>,
    open_connection_count: u32,
}

/// Connection pool of the target; limits the number of open connections.
#[derive(Debug)]
pub struct TargetPool {
    ip: IpAddr,
    /// Identifies this process of the node in reports to others.
    reporter_id: u64,
    state: Mutex<State>,
    gate: Mutex<SendGate>,
}

impl TargetPool {
    /// A pool without a target; the target will be reached at `ip`.
    #[must_use]
    pub fn new(ip: IpAddr) -> Arc<Self> {
        Arc::new(Self {
            ip,
            reporter_id: rand::random(),
            state: Mutex::default(),
            gate: Mutex::default(),
        })
    }

    /// Records a heartbeat and how much longer the target stays cold; returns
    /// whether the process is new or returns after a silence. One that returns is
    /// as limited and as cold as it was.
    pub fn announce(&self, target: PoolTarget, cold: ColdReport, now_us: u64) -> bool {
        let mut state = self.lock_state();
        let is_same_process = state.target.as_ref().is_some_and(|current| {
            current.port == target.port
                && current.started_unix_ms == target.started_unix_ms
                && current.instance_id == target.instance_id
        });
        state.last_heartbeat_ms = now_us / 1000;
        state.target = Some(target);
        let mut is_known_process = is_same_process;
        if !is_same_process {
            state.reset();
            let process_id = state.process_id(self.ip);
            state.is_leaving =
                process_id != UNKNOWN_PROCESS_ID && process_id == state.leaving_process_id;
            let last_process_id = std::mem::replace(&mut state.last_process_id, process_id);
            is_known_process = process_id != UNKNOWN_PROCESS_ID && process_id == last_process_id;
        }
        self.record_cold(cold, !is_known_process, now_us);
        !is_same_process
    }

    fn record_cold(&self, cold: ColdReport, is_new_process: bool, now_us: u64) {
        let mut gate = self.gate();
        let is_older_process = is_new_process && cold.may_be_outdated;
        if is_older_process {
            gate.begin_older_process();
        }
        let left_us = cold.heartbeat_left_ms.saturating_mul(1000);
        gate.record_cold_time(left_us, is_new_process && !is_older_process, now_us);
        if let Some(left_ms) = cold.checked_left_ms {
            gate.record_checked_cold_time(left_ms.saturating_mul(1000), now_us);
        }
    }

    /// Removes the target if its last heartbeat is older than `silence_ms`; returns
    /// whether it was removed now.
    pub fn remove_if_silent(&self, now_ms: u64, silence_ms: u64) -> bool {
        let mut state = self.lock_state();
        let is_silent = now_ms.saturating_sub(state.last_heartbeat_ms) > silence_ms;
        if state.target.is_none() || !is_silent {
            return false;
        }
        state.target = None;
        state.reset();
        true
    }

    /// Identifies this process of the node.
    pub(super) const fn reporter_id(&self) -> u64 {
        self.reporter_id
    }

    /// Process id of the registered target.
    #[must_use]
    pub fn process_id(&self) -> u64 {
        self.lock_state().process_id(self.ip)
    }

    /// Records that the target said in a response that it leaves; returns whether that is new.
    pub fn set_leaving(&self) -> bool {
        let mut state = self.lock_state();
        state.leaving_process_id = state.process_id(self.ip);
        state.target.is_some() && !std::mem::replace(&mut state.is_leaving, true)
    }

    /// Process id of the target if it said in a response that it leaves.
    #[must_use]
    pub fn leaving_process_id(&self) -> u64 {
        let state = self.lock_state();
        match state.is_leaving {
            true => state.leaving_process_id,
            false => UNKNOWN_PROCESS_ID,
        }
    }

    /// Returns an idle connection or opens a new one, but none on which `avoided` was rejected.
    pub async fn acquire(
        self: &Arc<Self>,
        avoided: Option<&RequestId>,
    ) -> Result<PooledConnection, PoolError> {
        let (address, mut pooled) = {
            let mut state = self.lock_state();
            let target = state.target.clone().ok_or(PoolError::NoTarget)?;
            let idle = state.take_idle(avoided);
            if idle.is_none() {
                let has_room = state.open_connection_count < target.connection_count;
                if !has_room && !state.close_idle() {
                    return Err(PoolError::AllInUse);
                }
                state.open_connection_count += 1;
            }
            let pooled = self.pooled(&state, target.instance_id, idle);
            (SocketAddr::new(self.ip, target.port), pooled)
        };
        if pooled.connection.is_none() {
            let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(self.ip, address));
            let connected = connecting.await.unwrap_or(Err(PoolError::Timeout));
            // Nothing listens: the target is down and may restart cold before its
            // next heartbeat. A timeout proves nothing: this node itself may not
            // have been scheduled.
            if matches!(connected, Err(PoolError::Connect(_))) {
                self.gate().suspect_cold();
            }
            pooled.connection = Some(connected?);
        }
        Ok(pooled)
    }

    /// Opens a connection in place of one that broke; returns whether the target refused it,
    /// so that nothing listens any more.
    pub async fn replace_lost_connection(self: &Arc<Self>) -> bool {
        let (address, mut pooled) = {
            let mut state = self.lock_state();
            let Some(target) = state.target.clone() else {
                return false;
            };
            if state.open_connection_count >= target.connection_count {
                return false;
            }
            state.open_connection_count += 1;
            (
                SocketAddr::new(self.ip, target.port),
                self.pooled(&state, target.instance_id, None),
            )
        };
        let connecting = tokio::time::timeout(REPLACE_TIMEOUT, connect(self.ip, address));
        match connecting.await {
            Ok(Ok(connection)) => {
                pooled.connection = Some(connection);
                pooled.return_to_pool(None);
                false
            }
            Ok(Err(PoolError::Connect(error))) => error.kind() == ErrorKind::ConnectionRefused,
            Ok(Err(_)) | Err(_) => false,
        }
    }

    fn pooled(
        self: &Arc<Self>,
        state: &State,
        instance_id: String,
        connection: Option<Connection>,
    ) -> PooledConnection {
        PooledConnection {
            pool: Arc::clone(self),
            generation: state.generation,
            instance_id,
            connection,
        }
    }

    /// The send gate of the target.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn gate(&self) -> MutexGuard<'_, SendGate> {
        self.gate.lock().expect("lock is not poisoned")
    }

    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }
}

impl State {
    fn process_id(&self, ip: IpAddr) -> u64 {
        let target = self.target.as_ref();
        target.map_or(UNKNOWN_PROCESS_ID, |target| target.process_id(ip))
    }

    fn reset(&mut self) {
        self.generation += 1;
        self.is_leaving = false;
        self.idle.clear();
        self.open_connection_count = 0;
    }

    /// Takes the idle connection that was used last and on which `avoided` was not rejected.
    fn take_idle(&mut self, avoided: Option<&RequestId>) -> Option<Connection> {
        for index in (0..self.idle.len()).rev() {
            let connection = &self.idle[index];
            if !connection.is_usable() {
                self.idle.remove(index);
                self.open_connection_count -= 1;
            } else if avoided.is_none_or(|id| !connection.rejected.contains(id)) {
                return Some(self.idle.remove(index));
            }
        }
        None
    }

    /// Closes the idle connection that was used least recently; returns whether there was one.
    fn close_idle(&mut self) -> bool {
        if self.idle.is_empty() {
            return false;
        }
        self.idle.remove(0);
        self.open_connection_count -= 1;
        true
    }
}

/// A connection in use for one request.
///
/// Dropping it closes the connection: the rest of a request that was cancelled,
/// timed out or failed would be read as the response to the next one. The close
/// also lets the target stop working on the request.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Arc<TargetPool>,
    generation: u64,
    instance_id: String,
    connection: Option<Connection>,
}

impl PooledConnection {
    /// Instance id of the target process at the other end.
    #[must_use]
    pub fn instance_id(&self) -> &str {
        &self.instance_id
    }

    /// Whether the target process at the other end is the registered one.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.pool.lock_state().generation == self.generation
    }

    /// Sender for the request, and what counts the bytes until its answer.
    pub fn sender(&mut self) -> Option<(&mut http1::SendRequest<Segments>, &Progress)> {
        let connection = self.connection.as_mut()?;
        Some((&mut connection.sender, &connection.progress))
    }

    /// Records that the target rejected the request on this connection.
    pub fn record_rejected(&mut self, request_id: &RequestId) {
        if let Some(connection) = &mut self.connection {
            connection.rejected.record(request_id);
        }
    }

    /// Returns the connection to the pool after a complete response. `idle_limit` is
    /// the time after which the target closes it, if it sent one.
    pub fn return_to_pool(mut self, idle_limit: Option<Duration>) {
        let idle_limit = idle_limit.unwrap_or(DEFAULT_IDLE_LIMIT);
        if let Some(connection) = &mut self.connection {
            // None for a limit beyond the clock's range.
            let usable_for = idle_limit.saturating_sub(IDLE_MARGIN);
            connection.usable_until = Instant::now().checked_add(usable_for);
        }
        let pool = Arc::clone(&self.pool);
        let mut state = pool.lock_state();
        let is_used_up = self
            .connection
            .as_ref()
            .is_some_and(|connection| connection.rejected.is_full());
        if state.generation == self.generation && !is_used_up {
            state.idle.extend(self.connection.take());
            // Marks the connection as returned, so that `drop` does not subtract it
            // from the open connections.
            self.generation = u64::MAX;
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.generation == u64::MAX {
            return;
        }
        let mut state = self.pool.lock_state();
        if state.generation == self.generation {
            state.open_connection_count -= 1;
        }
    }
}
