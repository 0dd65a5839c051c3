//! What becomes of requests that arrive while a listener closes.

use {
    bytes::Bytes,
    dogwoodbridge::exchange::{AnswerBody, ListenerLimits, bind, serve},
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
/// Enough that an order of polling which loses a request is met.
const CONNECTION_COUNT: usize = 32;
/// The listener's thread is busy from the first of these to the second, in
/// which the last moment of silent connections falls.
const BUSY_FROM: Duration = Duration::from_millis(900);
const BUSY_UNTIL: Duration = Duration::from_millis(1100);

const LIMITS: ListenerLimits = ListenerLimits {
    connection_count: 100,
    header_bytes: 8 << 10,
    header_timeout: Duration::from_secs(10),
    stream_count: 10,
};

async fn answer(_request: Request<Incoming>) -> Response<AnswerBody> {
    Response::new(AnswerBody::whole(Bytes::from_static(b"done")))
}

struct Served {
    address: SocketAddr,
    closing: CancellationToken,
    task: JoinHandle<()>,
}

fn start() -> Served {
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let closing = CancellationToken::new();
    let task = tokio::spawn(serve(
        listener,
        LIMITS,
        closing.clone(),
        CancellationToken::new(),
        Arc::new(AtomicUsize::new(0)),
        answer,
    ));
    Served {
        address,
        closing,
        task,
    }
}

async fn is_answered(stream: &mut TcpStream) -> bool {
    let mut seen = [0; 512];
    match stream.read(&mut seen).await {
        Ok(length) => seen[..length].starts_with(b"HTTP/1.1 200"),
        Err(_) => false,
    }
}

/// A request that arrived in the moment before its silent connection was closed
/// was lost: the caller saw a reset and could not tell whether it had run.
#[tokio::test]
async fn requests_that_wait_when_silence_ends_are_answered() {
    let served = start();
    let mut streams = Vec::new();
    for _ in 0..CONNECTION_COUNT {
        let mut stream = TcpStream::connect(served.address).await.unwrap();
        stream.write_all(REQUEST).await.unwrap();
        assert!(is_answered(&mut stream).await);
        streams.push(stream);
    }
    served.closing.cancel();
    tokio::time::sleep(BUSY_FROM).await;
    std::thread::sleep(BUSY_UNTIL - BUSY_FROM);
    for stream in &streams {
        assert_eq!(stream.try_write(REQUEST).unwrap(), REQUEST.len());
    }
    let mut answered_count = 0;
    for stream in &mut streams {
        answered_count += usize::from(is_answered(stream).await);
    }
    assert_eq!(answered_count, CONNECTION_COUNT);
    drop(streams);
    served.task.await.unwrap();
}

/// Connections that the system had accepted, but not yet the listener, were
/// reset with their requests when it closed.
#[tokio::test]
async fn connections_of_the_last_moment_are_served() {
    let served = start();
    // Until the listener waits.
    let mut stream = TcpStream::connect(served.address).await.unwrap();
    stream.write_all(REQUEST).await.unwrap();
    assert!(is_answered(&mut stream).await);
    served.closing.cancel();
    let mut streams = Vec::new();
    for _ in 0..CONNECTION_COUNT {
        let mut stream = std::net::TcpStream::connect(served.address).unwrap();
        stream.write_all(REQUEST).unwrap();
        stream.set_nonblocking(true).unwrap();
        streams.push(TcpStream::from_std(stream).unwrap());
    }
    let mut answered_count = 0;
    for stream in &mut streams {
        answered_count += usize::from(is_answered(stream).await);
    }
    assert_eq!(answered_count, CONNECTION_COUNT);
    drop((stream, streams));
    served.task.await.unwrap();
}
