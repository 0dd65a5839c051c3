//! Reports that nodes exchange about crashes and completed requests.

use {
    super::RequestDigest,
    serde::{Deserialize, Serialize},
};

/// Maximum size of an encoded packet, so that it fits one datagram of a usual network.
pub const MAX_PACKET_BYTES: usize = 1200;
/// Digests per packet that stay below this size.
const MAX_DIGEST_COUNT: usize = 96;
/// Encoded size of a digest, at most.
const DIGEST_BYTES: usize = 10;
/// Encoded size of a packet without its reports, with its authentication tag, at most.
const PACKET_HEAD_BYTES: usize = 24;
/// Encoded size of a crash report without its digests, at most.
const REPORT_HEAD_BYTES: usize = 20;
/// Encoded size of a completion, at most.
const COMPLETION_BYTES: usize = 20;

/// Identifies one crash of one target process. Random, chosen by the node beside it.
#[derives::key]
#[derive(Serialize, Deserialize)]
pub struct CrashKey(pub u64);

/// Requests that ran when a target crashed.
#[derives::record]
#[derive(Eq)]
pub struct CrashReport {
    /// The crash.
    pub crash: CrashKey,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// The requests, or some of them: a report may be split.
    pub digests: Vec<RequestDigest>,
}

/// A suspected request that a target completed.
#[derives::record]
#[derive(Copy, Eq)]
pub struct Completion {
    /// The request.
    pub digest: RequestDigest,
    /// Time since it completed, in milliseconds.
    pub age_ms: u64,
}

/// Reports sent in one datagram.
#[derives::record]
#[derive(Eq, Default)]
pub struct ReportPacket {
    /// Node id of the sender if it asks for the reports that the receiver holds.
    pub requester_id: Option<String>,
    /// Crashes.
    pub crashes: Vec<CrashReport>,
    /// Completed requests.
    pub completions: Vec<Completion>,
}

impl ReportPacket {
    /// A packet by which a node only asks for reports.
    #[must_use]
    pub fn request(own_id: &str) -> Self {
        Self {
            requester_id: Some(own_id.to_owned()),
            ..Self::default()
        }
    }

    /// Whether it carries nothing.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.requester_id.is_none() && self.crashes.is_empty() && self.completions.is_empty()
    }

    /// Encoded size in bytes, at most.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let digest_count: usize = self.crashes.iter().map(|crash| crash.digests.len()).sum();
        PACKET_HEAD_BYTES
            + self.crashes.len() * REPORT_HEAD_BYTES
            + digest_count * DIGEST_BYTES
            + self.completions.len() * COMPLETION_BYTES
    }

    /// Distributes reports over packets of at most [`MAX_PACKET_BYTES`].
    #[must_use]
    pub fn split(crashes: Vec<CrashReport>, completions: Vec<Completion>) -> Vec<Self> {
        let mut packets = vec![Self::default()];
        for report in crashes {
            for digests in report.digests.chunks(MAX_DIGEST_COUNT) {
                let part = CrashReport {
                    digests: digests.to_vec(),
                    ..report.clone()
                };
                let size_bytes = REPORT_HEAD_BYTES + digests.len() * DIGEST_BYTES;
                packet_with_room(&mut packets, size_bytes)
                    .crashes
                    .push(part);
            }
        }
        for completion in completions {
            let packet = packet_with_room(&mut packets, COMPLETION_BYTES);
            packet.completions.push(completion);
        }
        packets.retain(|packet| !packet.is_empty());
        packets
    }
}

fn packet_with_room(packets: &mut Vec<ReportPacket>, size_bytes: usize) -> &mut ReportPacket {
    let has_room = packets
        .last()
        .is_some_and(|packet| packet.size_bytes() + size_bytes <= MAX_PACKET_BYTES);
    if !has_room {
        packets.push(ReportPacket::default());
    }
    packets.last_mut().expect("a packet was just added")
}
