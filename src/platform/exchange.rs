//! One HTTP/1.1 request to the platform and its response.

use {
    super::{MAX_OBJECT_BYTES, PlatformError},
    crate::control::Traffic,
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, StatusCode, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{
        io,
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
    tokio::net::{TcpSocket, TcpStream},
    tokio_util::io::{InspectReader, InspectWriter},
};

const VERSION_HEADER: &str = "object-version";

/// A response whose body was read completely.
pub(super) struct PlatformResponse {
    pub(super) status: StatusCode,
    version: Option<u64>,
    pub(super) content: Vec<u8>,
}

impl PlatformResponse {
    pub(super) fn version(&self) -> Result<u64, PlatformError> {
        self.version.ok_or(PlatformError::NoVersion)
    }
}

/// Sends a request on a new connection.
// Calls are rare (about one per second and relay), so connections are not reused.
// The server may close a reused connection while a request is sent, which leaves
// unknown whether a write was executed; a failed connect proves that the request
// was not sent.
pub(super) async fn exchange(
    platform: SocketAddr,
    local_ip: Option<IpAddr>,
    request: Request<Full<Bytes>>,
    traffic: Arc<Traffic>,
) -> Result<PlatformResponse, PlatformError> {
    let stream = connect(platform, local_ip)
        .await
        .map_err(PlatformError::Unreachable)?;
    let sent = traffic.clone();
    let stream = InspectReader::new(stream, move |bytes| traffic.add_bytes(bytes.len()));
    let stream = InspectWriter::new(stream, move |bytes| sent.add_bytes(bytes.len()));
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let exchange = async move {
        let response = sender.send_request(request).await?;
        let (head, body) = response.into_parts();
        let version = head.headers.get(VERSION_HEADER);
        let version = version.and_then(|value| value.to_str().ok()?.parse().ok());
        let body = Limited::new(body, MAX_OBJECT_BYTES).collect().await;
        Ok(PlatformResponse {
            status: head.status,
            version,
            content: body
                .map_err(|_| PlatformError::BadBody)?
                .to_bytes()
                .to_vec(),
        })
    };
    // The connection is driven here and not in a separate task, so that cancelling
    // the call closes the connection at once.
    tokio::pin!(exchange);
    tokio::select! {
        result = &mut exchange => result,
        _ = connection => exchange.await,
    }
}

async fn connect(platform: SocketAddr, local_ip: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = if platform.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if let Some(ip) = local_ip {
        socket.bind(SocketAddr::new(ip, 0))?;
    }
    let stream = socket.connect(platform).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
