//! Proof of the operator secret at the start of a connection.
//!
//! Both sides send a random nonce and prove that they hold the secret by an
//! HMAC-SHA256 over both nonces; the secret itself never travels. Server:
//! nonce. Client: nonce, proof. Server: proof. Then calls follow.

use {
    super::ControlError,
    hmac::{Hmac, Mac},
    rand::{TryRngCore, rngs::OsRng},
    sha2::Sha256,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
// Different words for the two sides: otherwise a listener could send a node's
// own proof back to it.
const CLIENT_LABEL: &[u8] = b"dogwood operator 1";
const SERVER_LABEL: &[u8] = b"dogwood node 1";

type Nonce = [u8; NONCE_BYTES];

/// Proves the secret to a node, and has the node prove it.
pub async fn prove(stream: &mut TcpStream, secret: &str) -> Result<(), ControlError> {
    let server_nonce: Nonce = read(stream).await?;
    let client_nonce = new_nonce();
    let proof = mac(secret, CLIENT_LABEL, &server_nonce, &client_nonce);
    let mut message = client_nonce.to_vec();
    message.extend_from_slice(&proof.finalize().into_bytes());
    write(stream, &message).await?;
    let server_proof: [u8; PROOF_BYTES] = read(stream).await?;
    mac(secret, SERVER_LABEL, &server_nonce, &client_nonce)
        .verify_slice(&server_proof)
        .map_err(|_| ControlError::NotAuthentic)
}

/// Has an operator prove the secret, then proves it back.
pub async fn verify(stream: &mut TcpStream, secret: &str) -> Result<(), ControlError> {
    let server_nonce = new_nonce();
    write(stream, &server_nonce).await?;
    let client_nonce: Nonce = read(stream).await?;
    let client_proof: [u8; PROOF_BYTES] = read(stream).await?;
    mac(secret, CLIENT_LABEL, &server_nonce, &client_nonce)
        .verify_slice(&client_proof)
        .map_err(|_| ControlError::NotAuthentic)?;
    let proof = mac(secret, SERVER_LABEL, &server_nonce, &client_nonce);
    write(stream, &proof.finalize().into_bytes()).await
}

fn mac(secret: &str, label: &[u8], server_nonce: &Nonce, client_nonce: &Nonce) -> Hmac<Sha256> {
    let mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes());
    let mut mac = mac.expect("HMAC takes keys of any length");
    mac.update(label);
    mac.update(server_nonce);
    mac.update(client_nonce);
    mac
}

fn new_nonce() -> Nonce {
    let mut nonce = [0; NONCE_BYTES];
    OsRng
        .try_fill_bytes(&mut nonce)
        .expect("the operating system gives random numbers");
    nonce
}

async fn read<const N: usize>(stream: &mut TcpStream) -> Result<[u8; N], ControlError> {
    let mut bytes = [0; N];
    let read = stream.read_exact(&mut bytes).await;
    read.map_err(|_| ControlError::Closed)?;
    Ok(bytes)
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), ControlError> {
    stream
        .write_all(bytes)
        .await
        .map_err(|_| ControlError::Closed)
}
