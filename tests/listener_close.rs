//! Requests that arrive while a listener closes are fixture, not reset.

use {
    bytes::Bytes,
    dogwoodbridge::exchange::{ListenerLimits, ResponseBody, bind, serve},
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

const LIMITS: ListenerLimits = ListenerLimits {
    max_connections: 100,
    max_header_bytes: 8 << 10,
    header_timeout: Duration::from_secs(10),
    max_streams: 10,
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
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let closing = CancellationToken::new();
    let task = tokio::spawn(serve(
        listener,
        LIMITS,
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
