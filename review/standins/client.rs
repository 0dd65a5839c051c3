//! Clients of one machine.

use {
    crate::{
        http::{exchange, Message},
        record::Record,
    },
    std::{
        io::BufReader,
        net::{SocketAddr, TcpStream},
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Longest wait of a client for bytes, beyond any deadline that the cases use.
const READ_LIMIT: Duration = Duration::from_secs(12);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An id that no other request has.
pub fn next_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(READ_LIMIT)).ok()?;
    Some(BufReader::new(stream))
}

/// Sends a request on a connection of its own.
pub fn send_once(address: SocketAddr, head: &str, body: &[u8]) -> Option<Message> {
    let mut connection = connect(address)?;
    exchange(&mut connection, head, body).ok().flatten()
}

/// A request without its id.
#[derive(Clone, Copy)]
pub struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

/// A client that keeps its connection as long as the node does.
pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Sends a request and records its answer; status 0 if there is none.
    pub fn send(&mut self, request: Request<'_>, record: &Record) -> u16 {
        let id = next_id();
        let Request {
            method,
            host,
            path,
            key,
            deadline_ms,
            body,
        } = request;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Dogwoodbridge-Request-Id: {id}\r\n\
             X-Dogwoodbridge-Request-Deadline: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n"
        );
        record.sent(&id, method, &format!("{path}, {} bytes", body.len()));
        let answer = self.exchange(&head, body);
        let status = answer.map_or(0, |answer| answer.status());
        record.answered(&id, status);
        status
    }

    fn exchange(&mut self, head: &str, body: &[u8]) -> Option<Message> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => connect(self.address)?,
        };
        let answer = exchange(&mut connection, head, body).ok().flatten()?;
        if !answer.header("connection").eq_ignore_ascii_case("close") {
            self.connection = Some(connection);
        }
        Some(answer)
    }
}
