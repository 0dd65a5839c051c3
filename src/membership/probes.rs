//! Messages to single members, outside gossip's regular rounds.

use {
    crate::quarantine::ReportPacket,
    tokio::sync::{broadcast, mpsc},
};

/// Requests queued for gossip, and responses queued for each subscriber.
const CHANNEL_LENGTH: usize = 256;

/// A request to the member with this node id.
#[derives::value]
#[derive(Eq)]
pub enum MemberQuery {
    /// Checks whether it is alive.
    Liveness(String),
    /// Requests a `PeerStamp`: the documents that it holds and when their
    /// origin was last polled.
    Stamp(String),
    /// Sends it reports of crashed targets.
    Reports(String, ReportPacket),
}

/// Sends requests to members and publishes their responses and reports; clones share
/// all channels.
#[derive(Debug, Clone)]
pub struct MemberProbes {
    requests: mpsc::Sender<MemberQuery>,
    responses: broadcast::Sender<String>,
    reports: broadcast::Sender<ReportPacket>,
}

impl MemberProbes {
    /// Creates the probes and the receiver of the requests that gossip has to
    /// send.
    #[must_use]
    pub fn new() -> (Self, mpsc::Receiver<MemberQuery>) {
        let (requests, request_receiver) = mpsc::channel(CHANNEL_LENGTH);
        let responses = broadcast::channel(CHANNEL_LENGTH).0;
        let reports = broadcast::channel(CHANNEL_LENGTH).0;
        (
            Self {
                requests,
                responses,
                reports,
            },
            request_receiver,
        )
    }

    /// Checks whether a member is alive. The request is dropped if the queue is
    /// full, since the next one follows soon.
    pub fn probe_liveness(&self, node_id: &str) {
        let _ = self
            .requests
            .try_send(MemberQuery::Liveness(node_id.to_owned()));
    }

    /// Requests a stamp from a member; dropped likewise if the queue is full.
    pub fn request_stamp(&self, node_id: &str) {
        let _ = self
            .requests
            .try_send(MemberQuery::Stamp(node_id.to_owned()));
    }

    /// Sends reports of crashed targets to a member; dropped likewise if the queue is full.
    pub fn send_reports(&self, node_id: &str, packet: ReportPacket) {
        let _ = self
            .requests
            .try_send(MemberQuery::Reports(node_id.to_owned(), packet));
    }

    /// Subscribes to the reports that members send from now on.
    #[must_use]
    pub fn subscribe_reports(&self) -> broadcast::Receiver<ReportPacket> {
        self.reports.subscribe()
    }

    /// Publishes reports that a member sent.
    pub fn record_reports(&self, packet: ReportPacket) {
        // Sending fails if there are no subscribers.
        let _ = self.reports.send(packet);
    }

    /// Subscribes to the node ids of members that respond from now on.
    #[must_use]
    pub fn subscribe_responses(&self) -> broadcast::Receiver<String> {
        self.responses.subscribe()
    }

    /// Publishes that a member responded.
    pub fn record_response(&self, node_id: String) {
        // Sending fails if there are no subscribers.
        let _ = self.responses.send(node_id);
    }
}
