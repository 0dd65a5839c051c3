//! Exchanges revocations between this node's set and gossip.

use {
    super::{KeyDigest, Revocations},
    tokio::sync::{
        broadcast::{self, error::RecvError},
        mpsc,
    },
    tokio_util::sync::CancellationToken,
};

/// Starts a task that, until `shutdown`, sends new revocations to gossip and adds
/// those received from gossip to the set. Gossip recognizes its own updates and
/// spreads each only once.
pub fn spawn_revocation_exchange(
    revocations: Revocations,
    to_gossip: mpsc::Sender<Vec<KeyDigest>>,
    mut from_gossip: broadcast::Receiver<Vec<KeyDigest>>,
    shutdown: CancellationToken,
) {
    let mut added = revocations.subscribe_new();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                () = shutdown.cancelled() => break,
                digest = added.recv() => {
                    let digests = match digest {
                        Ok(digest) => vec![digest],
                        // Some were missed and would stay on this node alone:
                        // send all pending ones again.
                        Err(RecvError::Lagged(_)) => revocations.pending().iter().copied().collect(),
                        Err(RecvError::Closed) => break,
                    };
                    if to_gossip.send(digests).await.is_err() {
                        break;
                    }
                }
                digests = from_gossip.recv() => match digests {
                    Ok(digests) => {
                        for digest in digests {
                            revocations.apply(digest);
                        }
                    }
                    Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => break,
                },
            }
        }
    });
}
