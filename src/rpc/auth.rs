//! Mutual authentication of connections with the fleet secret.

use {
    hmac::{Hmac, Mac},
    sha2::Sha256,
};

/// Length of a nonce.
pub const NONCE_BYTES: usize = 16;

/// Side that makes a proof. The proofs of the two sides differ, so that one
/// cannot be reflected to the side that made it.
#[derives::key]
pub enum Prover {
    /// The side that accepted the connection.
    Server,
    /// The side that opened it.
    Client,
}

/// Nonces of the two sides of a connection.
#[derives::key]
pub struct Nonces {
    /// Chosen by the side that opened the connection.
    pub client: [u8; NONCE_BYTES],
    /// Chosen by the side that accepted it.
    pub server: [u8; NONCE_BYTES],
}

/// Makes and verifies proofs with the fleet secret.
#[derive(Clone)]
pub struct FleetAuth {
    secret: String,
}

impl FleetAuth {
    /// Creates it from the fleet secret.
    pub fn new(secret: &str) -> Self {
        Self {
            secret: secret.to_owned(),
        }
    }

    /// Proof of this side for the connection with these nonces.
    pub fn proof(&self, prover: Prover, nonces: &Nonces) -> Vec<u8> {
        self.compute_mac(prover, nonces)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Whether the proof is valid; compares in constant time.
    pub fn is_valid(&self, prover: Prover, nonces: &Nonces, proof: &[u8]) -> bool {
        self.compute_mac(prover, nonces).verify_slice(proof).is_ok()
    }

    fn compute_mac(&self, prover: Prover, nonces: &Nonces) -> Hmac<Sha256> {
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

/// Creates a random nonce that no connection has used before.
pub fn new_nonce() -> [u8; NONCE_BYTES] {
    rand::random()
}
