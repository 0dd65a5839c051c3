//! Encodes gossip packets as packed Cap'n Proto messages, authenticated with
//! the fleet secret.

use {
    super::{
        Announcement, Liveness, MemberPorts, Packet, PacketKind, Record,
        liveness_probe::{LIVENESS_PROBE_MARKER, LivenessProbe},
    },
    crate::{
        documents::{KIND_COUNT, Versions},
        keys::KeyDigest,
        quarantine::ReportPacket,
        schema::gossip_capnp::{packet, record},
    },
    capnp::{message::ReaderOptions, serialize_packed},
    hmac::{Hmac, Mac},
    sha2::Sha256,
    std::net::{IpAddr, Ipv4Addr, Ipv6Addr},
};

/// Length of the truncated HMAC that precedes the message.
const TAG_BYTES: usize = 16;

/// Size of the receive buffer; longer datagrams are truncated and thus
/// rejected.
pub const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Words that a reader may visit; bounds the work that a datagram can cause.
const TRAVERSAL_LIMIT_WORDS: usize = 16 << 10;

/// Maximum number of records or digests in one packet.
const MAX_LIST_LENGTH: u32 = 64;

/// First byte of reports about crashed targets; packed Cap'n Proto messages never begin with it.
const REPORTS_MARKER: u8 = 0xfe;

/// Encodes the absence of a confirmed poll of the platform.
const NO_PLATFORM_POLL_MS: u64 = u64::MAX;

/// A datagram that is not a valid packet of this fleet.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// It has no valid tag made with the fleet secret.
    #[error("the datagram is not authenticated with the fleet secret")]
    NotAuthentic,
    /// It is not a Cap'n Proto message of the gossip schema.
    #[error("the datagram is malformed: {0}")]
    Malformed(#[from] capnp::Error),
    /// It is marked as a liveness probe but cannot be decoded as one.
    #[error("the liveness probe is malformed: {0}")]
    MalformedLivenessProbe(#[from] postcard::Error),
    /// It is marked as reports but cannot be decoded as such.
    #[error("the reports are malformed: {0}")]
    MalformedReports(#[source] postcard::Error),
    /// A text field is not UTF-8.
    #[error("a text field of the datagram is not UTF-8")]
    NotUtf8,
    /// A field holds an invalid value.
    #[error("field {field} of the datagram has an invalid value")]
    InvalidField {
        /// Name of the field in the schema.
        field: String,
    },
}

/// Encodes and decodes authenticated datagrams.
#[derive(Clone)]
pub struct PacketCodec {
    mac: Hmac<Sha256>,
}

impl PacketCodec {
    /// Creates the codec for the fleet with this secret.
    #[must_use]
    pub fn new(fleet_secret: &str) -> Self {
        let mac = Hmac::new_from_slice(fleet_secret.as_bytes()).expect("any length is accepted");
        Self { mac }
    }

    /// Encodes a packet as a datagram.
    #[must_use]
    pub fn encode(&self, packet: &Packet) -> Vec<u8> {
        let mut message = capnp::message::Builder::new_default();
        write_packet(packet, message.init_root());
        let mut body = Vec::with_capacity(512);
        serialize_packed::write_message(&mut body, &message).expect("a Vec accepts all writes");
        self.tagged(&body)
    }

    /// Prepends the authentication tag to the body of a datagram.
    #[must_use]
    pub fn tagged(&self, body: &[u8]) -> Vec<u8> {
        let tag = self.mac.clone().chain_update(body).finalize().into_bytes();
        let mut datagram = tag[..TAG_BYTES].to_vec();
        datagram.extend_from_slice(body);
        datagram
    }

    /// Encodes a liveness probe as a datagram.
    #[must_use]
    pub fn encode_liveness_probe(&self, probe: LivenessProbe) -> Vec<u8> {
        let body = postcard::to_extend(&probe, vec![LIVENESS_PROBE_MARKER]);
        self.tagged(&body.expect("a Vec accepts all writes"))
    }

    /// Encodes reports about crashed targets as a datagram.
    #[must_use]
    pub fn encode_reports(&self, packet: &ReportPacket) -> Vec<u8> {
        let body = postcard::to_extend(packet, vec![REPORTS_MARKER]);
        self.tagged(&body.expect("a Vec accepts all writes"))
    }

    /// Verifies the tag of a datagram and decodes it.
    pub fn decode(&self, datagram: &[u8]) -> Result<Datagram, CodecError> {
        let (tag, body) = datagram
            .split_at_checked(TAG_BYTES)
            .ok_or(CodecError::NotAuthentic)?;
        let mac = self.mac.clone().chain_update(body);
        mac.verify_truncated_left(tag)
            .map_err(|_| CodecError::NotAuthentic)?;
        match body.split_first() {
            Some((&LIVENESS_PROBE_MARKER, encoded_probe)) => Ok(Datagram::LivenessProbe(
                postcard::from_bytes(encoded_probe)?,
            )),
            Some((&REPORTS_MARKER, encoded_packet)) => {
                let packet = postcard::from_bytes(encoded_packet);
                packet
                    .map(Datagram::Reports)
                    .map_err(CodecError::MalformedReports)
            }
            _ => decode_packet(body).map(|packet| Datagram::Packet(Box::new(packet))),
        }
    }
}

/// An authenticated datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Datagram {
    /// A gossip packet.
    Packet(Box<Packet>),
    /// A liveness probe of this node, or the response to a probe that it sent.
    LivenessProbe(LivenessProbe),
    /// Reports about crashed targets.
    Reports(ReportPacket),
}

fn decode_packet(body: &[u8]) -> Result<Packet, CodecError> {
    let options = *ReaderOptions::new().traversal_limit_in_words(Some(TRAVERSAL_LIMIT_WORDS));
    let message = serialize_packed::read_message(body, options)?;
    read_packet(message.get_root()?)
}

fn write_packet(packet: &Packet, mut builder: packet::Builder<'_>) {
    write_record(&packet.sender, builder.reborrow().init_sender());
    builder.set_sequence(packet.sequence);
    builder.set_kind(kind_code(&packet.kind));
    if let PacketKind::PingRequest { subject } = &packet.kind {
        builder.set_subject(subject.as_str());
    }
    let mut versions = builder.reborrow().init_versions(to_wire_u32(KIND_COUNT));
    for (index, version) in packet.versions.0.iter().enumerate() {
        versions.set(to_wire_u32(index), *version);
    }
    builder.set_platform_age_ms(packet.platform_age_ms.unwrap_or(NO_PLATFORM_POLL_MS));
    builder.set_origin_failing(packet.is_origin_failing);
    builder.set_table_hash(packet.table_hash);
    let mut updates = builder
        .reborrow()
        .init_updates(to_wire_u32(packet.updates.len()));
    for (index, update) in packet.updates.iter().enumerate() {
        write_record(update, updates.reborrow().get(to_wire_u32(index)));
    }
    let mut revocations = builder.init_revocations(to_wire_u32(packet.revocations.len()));
    for (index, digest) in packet.revocations.iter().enumerate() {
        revocations.set(to_wire_u32(index), &digest.0);
    }
}

fn write_record(record: &Record, mut builder: record::Builder<'_>) {
    builder.set_node_id(record.node_id.as_str());
    match record.ip {
        IpAddr::V4(ip) => builder.set_ip(&ip.octets()),
        IpAddr::V6(ip) => builder.set_ip(&ip.octets()),
    }
    builder.set_peer_port(record.ports.peer);
    builder.set_gossip_port(record.ports.gossip);
    builder.set_rpc_port(record.ports.rpc);
    builder.set_control_port(record.ports.control);
    builder.set_region(record.region.as_str());
    builder.set_zone(record.zone.as_str());
    builder.set_started_unix_ms(record.started_unix_ms);
    builder.set_incarnation(record.incarnation);
    builder.set_liveness(record.liveness as u8);
    builder.set_draining(record.draining);
    if let Some(announcement) = &record.target {
        builder.set_has_target(true);
        let mut target = builder.init_target();
        target.set_service(announcement.service.as_str());
        target.set_slot_count(announcement.slot_count);
        target.set_connection_count(announcement.connection_count);
        target.set_draining(announcement.draining);
        target.set_process_id(announcement.process_id);
    }
}

fn read_packet(reader: packet::Reader<'_>) -> Result<Packet, CodecError> {
    let mut versions = Versions::default();
    for (entry, version) in versions.0.iter_mut().zip(reader.get_versions()?) {
        *entry = version;
    }
    let updates = reader.get_updates()?;
    check_length(updates.len(), "updates")?;
    // A record that cannot be read, for example of a newer version, spoils no other.
    let updates = updates.iter().filter_map(|update| read_record(update).ok());
    let updates = updates.collect();
    let digests = reader.get_revocations()?;
    check_length(digests.len(), "revocations")?;
    let mut revocations = Vec::new();
    for digest in digests {
        let digest = digest.ok().and_then(|digest| digest.try_into().ok());
        revocations.extend(digest.map(KeyDigest));
    }
    Ok(Packet {
        sender: read_record(reader.get_sender()?)?,
        sequence: reader.get_sequence(),
        kind: read_kind(reader)?,
        versions,
        platform_age_ms: Some(reader.get_platform_age_ms())
            .filter(|age_ms| *age_ms != NO_PLATFORM_POLL_MS),
        is_origin_failing: reader.get_origin_failing(),
        table_hash: reader.get_table_hash(),
        updates,
        revocations,
    })
}

fn read_record(reader: record::Reader<'_>) -> Result<Record, CodecError> {
    let target = if reader.get_has_target() {
        let target = reader.get_target()?;
        Some(Announcement {
            service: read_text(target.get_service()?)?,
            slot_count: target.get_slot_count(),
            connection_count: target.get_connection_count(),
            draining: target.get_draining(),
            process_id: target.get_process_id(),
        })
    } else {
        None
    };
    Ok(Record {
        node_id: read_text(reader.get_node_id()?)?,
        ip: read_ip(reader.get_ip()?)?,
        ports: MemberPorts {
            peer: reader.get_peer_port(),
            gossip: reader.get_gossip_port(),
            rpc: reader.get_rpc_port(),
            control: reader.get_control_port(),
        },
        region: read_text(reader.get_region()?)?,
        zone: read_text(reader.get_zone()?)?,
        started_unix_ms: reader.get_started_unix_ms(),
        incarnation: reader.get_incarnation(),
        liveness: Liveness::from_code(reader.get_liveness())
            .ok_or_else(|| invalid_field("liveness"))?,
        draining: reader.get_draining(),
        target,
    })
}

fn kind_code(kind: &PacketKind) -> u8 {
    match kind {
        PacketKind::Ping => 0,
        PacketKind::Ack => 1,
        PacketKind::PingRequest { .. } => 2,
        PacketKind::IndirectAck => 3,
        PacketKind::SyncRequest => 4,
        PacketKind::SyncPart => 5,
        PacketKind::Updates => 6,
    }
}

fn read_kind(reader: packet::Reader<'_>) -> Result<PacketKind, CodecError> {
    Ok(match reader.get_kind() {
        0 => PacketKind::Ping,
        1 => PacketKind::Ack,
        2 => PacketKind::PingRequest {
            subject: read_text(reader.get_subject()?)?,
        },
        3 => PacketKind::IndirectAck,
        4 => PacketKind::SyncRequest,
        5 => PacketKind::SyncPart,
        6 => PacketKind::Updates,
        _ => return Err(invalid_field("kind")),
    })
}

fn read_ip(octets: &[u8]) -> Result<IpAddr, CodecError> {
    if let Ok(octets) = <[u8; 4]>::try_from(octets) {
        return Ok(IpAddr::V4(Ipv4Addr::from(octets)));
    }
    let octets = <[u8; 16]>::try_from(octets).map_err(|_| invalid_field("ip"))?;
    Ok(IpAddr::V6(Ipv6Addr::from(octets)))
}

fn read_text(reader: capnp::text::Reader<'_>) -> Result<String, CodecError> {
    reader.to_string().map_err(|_| CodecError::NotUtf8)
}

fn invalid_field(field: &str) -> CodecError {
    CodecError::InvalidField {
        field: field.to_owned(),
    }
}

fn check_length(length: u32, field: &str) -> Result<(), CodecError> {
    if length > MAX_LIST_LENGTH {
        Err(invalid_field(field))
    } else {
        Ok(())
    }
}

fn to_wire_u32(length: usize) -> u32 {
    u32::try_from(length).expect("lists in packets are short")
}
