//! Datagrams by which nodes share rates.

use {
    crate::{
        peer::{FleetAuth, TAG_BYTES},
        quota::{ReplyRef, TokenGrant, TokenNeed},
    },
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr},
};

/// Message between nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Tokens that a node needs and holds.
    Report(Report),
    /// Tokens granted in reply to a report.
    Grants(Grants),
    /// A report that reached a node which does not divide at the moment.
    Relayed {
        /// The report.
        report: Report,
        /// Its sender.
        reporter: SocketAddr,
    },
    /// The sender is the new divider and requests the tokens of the previous
    /// one.
    TakeOver {
        /// Node id of the sender.
        node_id: String,
        /// Start of its process, in milliseconds since the Unix epoch.
        started_unix_ms: u64,
    },
    /// Tokens that a divider hands over.
    Handover(HandoverPart),
    /// The sender has taken over; members report to it at once.
    TakenOver(DivisionRef),
}

/// Division of the sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DivisionRef {
    /// Node id of the sender.
    pub(super) node_id: String,
    pub(super) division_id: u64,
    /// Divisions that have handed over to it, the latest last.
    pub(super) predecessor_ids: Vec<u64>,
    /// Time of sending, on the divider's clock.
    pub(super) sent_us: u64,
}

/// Needs of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    pub(super) node_id: String,
    /// Random id of the process.
    pub(super) process_id: u64,
    /// Time of sending, on the reporter's clock.
    pub(super) sent_us: u64,
    /// Replies to earlier reports than this have arrived, or count no more.
    pub(super) settled_us: u64,
    /// Latest reply of a divider.
    pub(super) last_reply: Option<ReplyRef>,
    /// Node id of the divider that the share is lent to, if it is not the
    /// receiver.
    pub(super) lent_to: Option<String>,
    /// Needs by workspace name.
    pub(super) needs: HashMap<String, TokenNeed>,
}

/// Reply to a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Grants {
    /// Process that reported.
    pub(super) process_id: u64,
    /// When it reported, on its clock.
    pub(super) reported_us: u64,
    pub(super) division: DivisionRef,
    /// Whether the node's share was lent to the division last.
    pub(super) has_share: bool,
    /// Grants by workspace name.
    pub(super) grants: Vec<(String, TokenGrant)>,
}

/// Part of a handover that fits into a datagram.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HandoverPart {
    /// Node id of the previous divider.
    pub(super) node_id: String,
    /// Divisions that have ended, the latest last. It identifies the handover;
    /// a repeated part is applied once.
    pub(super) division_ids: Vec<u64>,
    /// Number of the part, from 0.
    pub(super) index: u32,
    pub(super) part_count: u32,
    /// Tokens by workspace name.
    pub(super) tokens: Vec<NamedTokens>,
}

/// Tokens of a workspace in a handover.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NamedTokens {
    pub(super) workspace: String,
    pub(super) token_count: u32,
    pub(super) granted_count: u32,
}

impl HandoverPart {
    /// The division that handed over; 0 if the sender had nothing to hand over.
    pub(super) fn handover_id(&self) -> u64 {
        self.division_ids.last().copied().unwrap_or(0)
    }
}

impl Message {
    /// Encodes and authenticates the message.
    pub(super) fn encode(&self, auth: &FleetAuth) -> Result<Vec<u8>, postcard::Error> {
        let mut datagram = postcard::to_stdvec(self)?;
        let tag = auth.tag(&datagram);
        datagram.extend_from_slice(&tag);
        Ok(datagram)
    }

    /// Decodes a datagram; `None` if it is not authentic or malformed.
    pub(super) fn decode(datagram: &[u8], auth: &FleetAuth) -> Option<Self> {
        let length = datagram.len().checked_sub(TAG_BYTES)?;
        let (content, tag) = datagram.split_at(length);
        if !auth.is_valid_tag(content, tag) {
            return None;
        }
        postcard::from_bytes(content).ok()
    }
}
