//! Requests that arrive while a listener or an idle connection closes are served, not reset.

use {
    bytes::Bytes,
    dogwoodbridge::exchange::{ListenerLimits, ListenerMemory, ResponseBody, bind, serve},
    hyper::{Request, Response, body::Incoming},
    std::{
        io::Write,
        net::SocketAddr,
        sync::{Arc, atomic::AtomicUsize},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinHandle,
    },
    tokio_util::sync::CancellationToken,
};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: node\r\n\r\n";
/// Enough connections that a poll order which loses a request would occur.
const CONNECTION_COUNT: usize = 32;
/// The listener's thread is blocked between these times after the close; the idle time of
/// the connections ends in between.
const BLOCKED_FROM: Duration = Duration::from_millis(900);
const BLOCKED_UNTIL: Duration = Duration::from_millis(1100);
/// Read timeout that ends while the thread is blocked.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

const LIMITS: ListenerLimits = ListenerLimits {
    max_connections: 100,
    max_header_bytes: 8 << 10,
    header_timeout: Duration::from_secs(10),
    max_streams: 10,
    memory: ListenerMemory::FOR_MACHINE,
};

async fn respond(_request: Request<Incoming>) -> Response<ResponseBody> {
    Response::new(ResponseBody::buffered(Bytes::from_static(b"done")))
}

struct Fixture {
    address: SocketAddr,
    closing: CancellationToken,
    task: JoinHandle<()>,
}

fn start_listener() -> Fixture {
    start_listener_with_limits(LIMITS)
}

fn start_listener_with_limits(limits: ListenerLimits) -> Fixture {
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let closing = CancellationToken::new();
    let task = tokio::spawn(serve(
        listener,
        limits,
        closing.clone(),
        CancellationToken::new(),
        Arc::new(AtomicUsize::new(0)),
        respond,
    ));
    Fixture {
        address,
        closing,
        task,
    }
}

async fn reads_ok_response(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 512];
    match stream.read(&mut buffer).await {
        Ok(length) => buffer[..length].starts_with(b"HTTP/1.1 200"),
        Err(_) => false,
    }
}

/// A request arrives just before its idle connection is closed. If it were lost, the caller
/// would see a reset and could not tell whether the request ran.
#[tokio::test]
async fn requests_pending_when_the_idle_time_ends_are_served() {
    let fixture = start_listener();
    let mut streams = Vec::new();
    for _ in 0..CONNECTION_COUNT {
        let mut stream = TcpStream::connect(fixture.address).await.unwrap();
        stream.write_all(REQUEST).await.unwrap();
        assert!(reads_ok_response(&mut stream).await);
        streams.push(stream);
    }
    fixture.closing.cancel();
    tokio::time::sleep(BLOCKED_FROM).await;
    std::thread::sleep(BLOCKED_UNTIL - BLOCKED_FROM);
    for stream in &streams {
        assert_eq!(stream.try_write(REQUEST).unwrap(), REQUEST.len());
    }
    let mut ok_count = 0;
    for stream in &mut streams {
        ok_count += usize::from(reads_ok_response(stream).await);
    }
    assert_eq!(ok_count, CONNECTION_COUNT);
    drop(streams);
    fixture.task.await.unwrap();
}

/// The system has accepted connections that the listener has not accepted yet when it
/// closes. They must not be reset, since they already contain requests.
#[tokio::test]
async fn connections_pending_at_close_are_served() {
    let fixture = start_listener();
    // The response shows that the listener is accepting.
    let mut stream = TcpStream::connect(fixture.address).await.unwrap();
    stream.write_all(REQUEST).await.unwrap();
    assert!(reads_ok_response(&mut stream).await);
    fixture.closing.cancel();
    let mut streams = Vec::new();
    for _ in 0..CONNECTION_COUNT {
        let mut stream = std::net::TcpStream::connect(fixture.address).unwrap();
        stream.write_all(REQUEST).unwrap();
        stream.set_nonblocking(true).unwrap();
        streams.push(TcpStream::from_std(stream).unwrap());
    }
    let mut ok_count = 0;
    for stream in &mut streams {
        ok_count += usize::from(reads_ok_response(stream).await);
    }
    assert_eq!(ok_count, CONNECTION_COUNT);
    drop((stream, streams));
    fixture.task.await.unwrap();
}

struct ReadTimeoutCase {
    name: &'static str,
    /// Whether the connections have served a request before.
    has_served: bool,
}

/// A process is suspended beyond the read timeout of connections, on which requests arrive
/// meanwhile. They were closed unread when it resumed, and callers saw a reset.
#[tokio::test]
async fn requests_pending_when_the_read_timeout_ends_are_served() {
    let cases = [
        ReadTimeoutCase {
            name: "idle after a request",
            has_served: true,
        },
        ReadTimeoutCase {
            name: "first request",
            has_served: false,
        },
    ];
    for case in &cases {
        let fixture = start_listener_with_limits(ListenerLimits {
            header_timeout: READ_TIMEOUT,
            ..LIMITS
        });
        let mut streams = Vec::new();
        for _ in 0..CONNECTION_COUNT {
            let mut stream = TcpStream::connect(fixture.address).await.unwrap();
            if case.has_served {
                stream.write_all(REQUEST).await.unwrap();
                assert!(reads_ok_response(&mut stream).await, "{}", case.name);
            }
            streams.push(stream);
        }
        tokio::time::sleep(BLOCKED_FROM).await;
        for stream in &streams {
            assert_eq!(stream.try_write(REQUEST).unwrap(), REQUEST.len());
        }
        std::thread::sleep(BLOCKED_UNTIL - BLOCKED_FROM);
        let mut ok_count = 0;
        for stream in &mut streams {
            ok_count += usize::from(reads_ok_response(stream).await);
        }
        assert_eq!(ok_count, CONNECTION_COUNT, "{}", case.name);
        fixture.closing.cancel();
        drop(streams);
        fixture.task.await.unwrap();
    }
}

/// A caller sends a part of the headers and no more. Such connections would exhaust the
/// connection limit.
#[tokio::test]
async fn a_connection_with_incomplete_headers_is_closed() {
    let fixture = start_listener_with_limits(ListenerLimits {
        header_timeout: READ_TIMEOUT,
        ..LIMITS
    });
    let mut stream = TcpStream::connect(fixture.address).await.unwrap();
    stream.write_all(REQUEST).await.unwrap();
    assert!(reads_ok_response(&mut stream).await);
    stream
        .write_all(&REQUEST[..REQUEST.len() / 2])
        .await
        .unwrap();
    let mut buffer = [0; 512];
    let read = tokio::time::timeout(READ_TIMEOUT * 10, stream.read(&mut buffer)).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))), "{read:?}");
    fixture.closing.cancel();
    fixture.task.await.unwrap();
}
