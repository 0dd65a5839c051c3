//! The open connections of a listener and what their requests hold.
//!
//! Where a limit is reached, connections whose callers let others wait give way, so that a crowd
//! that holds its connections does not keep others out.

use {
    crate::{arena::Arena, arena_key},
    std::{
        cmp::Reverse,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::Instant,
    tokio_util::sync::CancellationToken,
};

/// Time after its last change for which a connection that has had a request is not closed for
/// another: its caller may be about to send the next one, or be reading its response.
const PROTECTED_TIME: Duration = Duration::from_secs(1);
/// Requests of a connection from which it may give way although targets work on some of them.
const MANY_REQUESTS: usize = 8;

arena_key! {
    /// An open connection.
    ConnectionKey
}

/// Limits of the connections of a listener together.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Connections.
    pub connection_count: usize,
    /// Memory of the requests in progress without their bodies, in bytes.
    pub request_bytes: usize,
    /// Memory of responses that have not been sent, in bytes.
    pub response_bytes: usize,
}

#[derive(Debug)]
struct Connection {
    /// Order of the last change of its requests.
    changed: u64,
    changed_at: Instant,
    /// Whether a request was received completely.
    has_received: bool,
    /// Requests that have begun and whose responses have not been sent.
    request_count: usize,
    /// Those of them that were received and have no response yet.
    in_service_count: usize,
    response_bytes: usize,
    /// Order of the first of the responses that have not been sent.
    response_since: u64,
    closing: CancellationToken,
}

#[derive(Debug, Default)]
struct State {
    connections: Arena<ConnectionKey, Connection>,
    change_count: u64,
    request_bytes: usize,
    response_bytes: usize,
}

/// The open connections of a listener. Clones share them.
#[derive(Debug, Clone)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    state: Arc<Mutex<State>>,
    open_count: Arc<AtomicUsize>,
}

impl Connection {
    /// Whether it waits for its caller, and for long enough to give way to others.
    fn may_close(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.changed_at);
        self.in_service_count == 0 && (!self.has_received || waited >= PROTECTED_TIME)
    }

    fn record_change(&mut self, change: u64) {
        self.changed = change;
        self.changed_at = Instant::now();
    }
}

impl ConnectionTable {
    /// A table without connections; `open_count` follows their number.
    #[must_use]
    pub fn new(limits: ConnectionLimits, open_count: Arc<AtomicUsize>) -> Self {
        Self {
            limits,
            state: Arc::default(),
            open_count,
        }
    }

    /// Adds a connection. At the limit, the one that has waited longest for its caller is closed;
    /// `None` if none has waited for long.
    #[must_use]
    pub fn open(&self) -> Option<OpenConnection> {
        let mut state = self.locked();
        if state.connections.len() >= self.limits.connection_count {
            let now = Instant::now();
            let waiting = state.find(|connection| {
                let changed = Reverse(connection.changed);
                connection.may_close(now).then_some(changed)
            });
            state.close(waiting?);
        }
        let closing = CancellationToken::new();
        let changed = state.next_change();
        let key = state.connections.insert(Connection {
            changed,
            changed_at: Instant::now(),
            has_received: false,
            request_count: 0,
            in_service_count: 0,
            response_bytes: 0,
            response_since: 0,
            closing: closing.clone(),
        });
        self.open_count.fetch_add(1, Ordering::Relaxed);
        Some(OpenConnection {
            table: self.clone(),
            key,
            closing,
        })
    }

    fn locked(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }
}

impl State {
    const fn next_change(&mut self) -> u64 {
        self.change_count += 1;
        self.change_count
    }

    /// The connection of the highest rank.
    fn find<R: Ord>(&self, rank: impl Fn(&Connection) -> Option<R>) -> Option<ConnectionKey> {
        let connections = self.connections.iter();
        let ranked = connections.filter_map(|(key, connection)| Some((rank(connection)?, key)));
        ranked
            .max_by(|(first, _), (second, _)| first.cmp(second))
            .map(|(_, key)| key)
    }

    /// Closes a connection. What its requests hold is released as they are dropped.
    fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.remove(key) {
            connection.closing.cancel();
        }
    }
}

/// An open connection until dropped.
#[derive(Debug)]
pub struct OpenConnection {
    table: ConnectionTable,
    key: ConnectionKey,
    closing: CancellationToken,
}

impl OpenConnection {
    /// Waits until the connection has to give way to others.
    pub async fn must_close(&self) {
        self.closing.cancelled().await;
    }

    /// Adds requests to the connection.
    #[must_use]
    pub fn requests(&self) -> ConnectionRequests {
        ConnectionRequests {
            table: self.table.clone(),
            key: self.key,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.locked().connections.remove(self.key);
        self.table.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The requests of a connection.
#[derive(Debug, Clone)]
pub struct ConnectionRequests {
    table: ConnectionTable,
    key: ConnectionKey,
}

impl ConnectionRequests {
    /// Adds a request whose head takes so much memory. At the limit, the connection with the most
    /// requests is closed; `None` if no connection has many.
    #[must_use]
    pub fn begin(&self, byte_count: usize) -> Option<TrackedRequest> {
        let mut state = self.table.locked();
        if state.request_bytes + byte_count > self.table.limits.request_bytes {
            let largest = state.find(|connection| {
                let count = connection.request_count;
                (count >= MANY_REQUESTS).then_some(count)
            });
            state.close(largest?);
        }
        state.request_bytes += byte_count;
        let changed = state.next_change();
        if let Some(connection) = state.connections.get_mut(self.key) {
            connection.record_change(changed);
            connection.request_count += 1;
        }
        drop(state);
        Some(TrackedRequest {
            requests: self.clone(),
            byte_count,
            response_bytes: 0,
            is_in_service: false,
        })
    }
}

/// A request from its head to the end of its response.
#[derive(Debug)]
pub struct TrackedRequest {
    requests: ConnectionRequests,
    byte_count: usize,
    response_bytes: usize,
    is_in_service: bool,
}

impl TrackedRequest {
    /// Records that the request was received completely.
    pub fn receive(&mut self) {
        if std::mem::replace(&mut self.is_in_service, true) {
            return;
        }
        let mut state = self.requests.table.locked();
        if let Some(connection) = state.connections.get_mut(self.requests.key) {
            connection.in_service_count += 1;
            connection.has_received = true;
        }
    }

    /// Records a response of this size. If there are too many bytes of responses, the connections
    /// whose callers have not read theirs for longest are closed.
    pub fn respond(&mut self, byte_count: usize) {
        let mut state = self.requests.table.locked();
        let limit_bytes = self.requests.table.limits.response_bytes;
        let own_key = self.requests.key;
        while state.response_bytes + byte_count > limit_bytes {
            let others = state
                .connections
                .iter()
                .filter(|(key, connection)| *key != own_key && connection.response_bytes > 0);
            // A response that waits for an earlier one of its connection may be read yet.
            let unread = others.min_by_key(|(_, connection)| {
                (connection.in_service_count > 0, connection.response_since)
            });
            let Some(key) = unread.map(|(key, _)| key) else {
                break;
            };
            // Its requests release their bytes when they are dropped, which is soon.
            let freed_bytes = state
                .connections
                .get(key)
                .map_or(0, |entry| entry.response_bytes);
            state.response_bytes -= freed_bytes.min(state.response_bytes);
            state.close(key);
        }
        let change = state.next_change();
        if std::mem::replace(&mut self.is_in_service, false)
            && let Some(connection) = state.connections.get_mut(own_key)
        {
            connection.in_service_count -= 1;
        }
        if let Some(connection) = state.connections.get_mut(own_key) {
            connection.record_change(change);
            if connection.response_bytes == 0 {
                connection.response_since = change;
            }
            connection.response_bytes += byte_count;
            state.response_bytes += byte_count;
            self.response_bytes = byte_count;
        }
    }
}

impl Drop for TrackedRequest {
    fn drop(&mut self) {
        let mut state = self.requests.table.locked();
        state.request_bytes -= self.byte_count;
        let change = state.next_change();
        // Of a connection that was closed the response bytes are subtracted already.
        if let Some(connection) = state.connections.get_mut(self.requests.key) {
            connection.record_change(change);
            connection.request_count -= 1;
            connection.in_service_count -= usize::from(self.is_in_service);
            connection.response_bytes -= self.response_bytes;
            state.response_bytes -= self.response_bytes;
        }
    }
}
