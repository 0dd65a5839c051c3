//! One HTTP/1.1 connection to the local target.

use {
    super::{
        PoolError,
        metered::{MeteredStream, Progress},
        rejected_requests::RejectedRequests,
    },
    crate::{exchange::Segments, peer::connect_from},
    hyper::{Request, Response, body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{
        net::{IpAddr, SocketAddr},
        time::Instant,
    },
    tokio::task::AbortHandle,
};

/// Size of a connection's read buffer, and of the largest head of a response, in bytes.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    pub(super) sender: http1::SendRequest<Segments>,
    pub(super) progress: Progress,
    task: AbortHandle,
    pub(super) usable_until: Option<Instant>,
    pub(super) rejected: RejectedRequests,
}

impl Connection {
    /// Sends one request; the connection is not used for others.
    pub(super) async fn send(
        &mut self,
        request: Request<Segments>,
    ) -> hyper::Result<Response<Incoming>> {
        self.sender.send_request(request).await
    }
}

impl Connection {
    /// Whether it is open and within its idle limit.
    pub(super) fn is_usable(&self) -> bool {
        let is_within_idle_limit = self.usable_until.is_none_or(|until| Instant::now() < until);
        is_within_idle_limit && !self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection from the local address.
pub(super) async fn connect(ip: IpAddr, address: SocketAddr) -> Result<Connection, PoolError> {
    let stream = connect_from(ip, address).await?;
    let progress = Progress::default();
    let stream = MeteredStream::new(stream, progress.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        progress,
        task: task.abort_handle(),
        usable_until: None,
        rejected: RejectedRequests::default(),
    })
}
