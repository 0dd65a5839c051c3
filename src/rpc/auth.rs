//! Proof that a peer holds the fleet secret.

use {
    hmac::{Hmac, Mac},
    sha2::Sha256,
};

/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 16;

/// Who proves. A proof of one side is no proof of the other, so it cannot be
/// sent back to its maker.
#[derives::key]
pub enum Prover {
    /// The side that accepted the connection.
    Server,
    /// The side that opened it.
    Client,
}

/// Nonces of both sides of a connection.
#[derives::key]
pub struct Nonces {
    /// Chosen by the side that opened the connection.
    pub client: [u8; NONCE_BYTES],
    /// Chosen by the side that accepted it.
    pub server: [u8; NONCE_BYTES],
}

/// Proves and checks with the fleet secret.
#[derive(Clone)]
pub struct FleetAuth {
    secret: String,
}

impl FleetAuth {
    /// Uses this secret.
    pub fn new(secret: &str) -> Self {
        Self {
            secret: secret.to_owned(),
        }
    }

    /// The proof of one side for this connection.
    pub fn proof(&self, prover: Prover, nonces: &Nonces) -> Vec<u8> {
        self.mac(prover, nonces).finalize().into_bytes().to_vec()
    }

    /// Whether the proof is right; takes the same time wherever it differs.
    pub fn is_valid(&self, prover: Prover, nonces: &Nonces, proof: &[u8]) -> bool {
        self.mac(prover, nonces).verify_slice(proof).is_ok()
    }

    fn mac(&self, prover: Prover, nonces: &Nonces) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.secret.as_bytes())
            .expect("a key of any length is valid");
        let label: &[u8] = match prover {
            Prover::Server => b"dogwood rpc server",
            Prover::Client => b"dogwood rpc client",
        };
        mac.update(label);
        mac.update(&nonces.client);
        mac.update(&nonces.server);
        mac
    }
}

/// A nonce that was never used before.
pub fn new_nonce() -> [u8; NONCE_BYTES] {
    rand::random()
}
