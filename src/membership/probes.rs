//! Requests to single members, outside gossip's regular rounds.

use tokio::sync::{broadcast, mpsc};

/// Requests queued for gossip, and responses queued for each subscriber.
const CHANNEL_LENGTH: usize = 256;

/// A request to the member with this node id.
#[derives::value]
#[derive(Eq)]
pub enum MemberQuestion {
    /// Checks whether it is alive.
    Lives(String),
    /// Requests a `PeerStamp`: the documents that it holds and when their
    /// origin was last polled.
    Stamp(String),
}

/// Sends requests to members and publishes which ones responded; clones share
/// both channels.
#[derive(Debug, Clone)]
pub struct MemberProbes {
    requests: mpsc::Sender<MemberQuestion>,
    responses: broadcast::Sender<String>,
}

impl MemberProbes {
    /// Creates the probes and the receiver of the requests that gossip has to
    /// send.
    #[must_use]
    pub fn new() -> (Self, mpsc::Receiver<MemberQuestion>) {
        let (requests, request_receiver) = mpsc::channel(CHANNEL_LENGTH);
        let responses = broadcast::channel(CHANNEL_LENGTH).0;
        (
            Self {
                requests,
                responses,
            },
            request_receiver,
        )
    }

    /// Checks whether a member is alive. The request is dropped if the queue is
    /// full, since the next one follows soon.
    pub fn ask(&self, node_id: &str) {
        let _ = self
            .requests
            .try_send(MemberQuestion::Lives(node_id.to_owned()));
    }

    /// Requests a stamp from a member; dropped likewise if the queue is full.
    pub fn ask_stamp(&self, node_id: &str) {
        let _ = self
            .requests
            .try_send(MemberQuestion::Stamp(node_id.to_owned()));
    }

    /// Subscribes to the node ids of members that respond from now on.
    #[must_use]
    pub fn answers(&self) -> broadcast::Receiver<String> {
        self.responses.subscribe()
    }

    /// Publishes that a member responded.
    pub fn answered(&self, node_id: String) {
        // Sending fails if there are no subscribers.
        let _ = self.responses.send(node_id);
    }
}
