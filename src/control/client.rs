//! Operators' end of the control connection.

use {
    super::{ControlError, handshake, operators::OperatorsClient, service::MAX_MESSAGE_BYTES},
    std::{net::SocketAddr, time::Duration},
    tarpc::{client, serde_transport, tokio_serde::formats::Json},
    tokio::{net::TcpStream, time::timeout},
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// Connects to a node and proves the operator secret.
pub async fn connect(
    address: SocketAddr,
    secret: &str,
    limit_ms: u64,
) -> Result<OperatorsClient, ControlError> {
    let connecting = open(address, secret);
    timeout(Duration::from_millis(limit_ms), connecting)
        .await
        .unwrap_or(Err(ControlError::TimedOut { limit_ms }))
}

async fn open(address: SocketAddr, secret: &str) -> Result<OperatorsClient, ControlError> {
    let mut stream = TcpStream::connect(address)
        .await
        .map_err(ControlError::Connect)?;
    let _ = stream.set_nodelay(true);
    handshake::prove(&mut stream, secret).await?;
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_MESSAGE_BYTES);
    let transport = serde_transport::new(Framed::new(stream, codec), Json::default());
    Ok(OperatorsClient::new(client::Config::default(), transport).spawn())
}
