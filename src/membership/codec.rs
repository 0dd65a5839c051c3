//! Cap'n Proto form of gossip packets, authenticated with the fleet secret.

use {
    super::{
        Announcement, Liveness, MemberPorts, Packet, PacketKind, Record,
        life_check::{LIFE_CHECK_MARK, LifeCheck},
    },
    crate::{
        documents::{KIND_COUNT, Versions},
        keys::KeyDigest,
        schema::gossip_capnp::{packet, record},
    },
    capnp::{message::ReaderOptions, serialize_packed},
    hmac::{Hmac, Mac},
    sha2::Sha256,
    std::net::{IpAddr, Ipv4Addr, Ipv6Addr},
};

/// Bytes of the truncated HMAC before the packed message.
const TAG_BYTES: usize = 16;

/// Largest datagram that is read.
pub const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Words that a reader may visit; bounds the work that a datagram can cause.
const TRAVERSAL_LIMIT_WORDS: usize = 16 << 10;

/// Most records or digests in one packet.
const MAX_LIST_LENGTH: u32 = 64;

/// Marks the absence of a confirmed look at the platform.
const NEVER_MS: u64 = u64::MAX;

/// A datagram that is not a valid packet of this fleet.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// It does not carry a tag made with the fleet secret.
    #[error("the datagram is not authenticated with the fleet secret")]
    NotAuthentic,
    /// It is not a Cap'n Proto message of this schema.
    #[error("the datagram is malformed: {0}")]
    Malformed(#[from] capnp::Error),
    /// It is not a life check.
    #[error("the life check is malformed: {0}")]
    BadLifeCheck(#[from] postcard::Error),
    /// A text is not UTF-8.
    #[error("a text in the datagram is not UTF-8")]
    NotText,
    /// A field holds a value that has no meaning.
    #[error("field {field} of the datagram has no valid value")]
    BadField {
        /// Name of the field in the schema.
        field: String,
    },
}

/// Reads and writes authenticated packets.
#[derive(Clone)]
pub struct PacketCodec {
    mac: Hmac<Sha256>,
}

impl PacketCodec {
    /// A codec for the fleet with this secret.
    #[must_use]
    pub fn new(fleet_secret: &str) -> Self {
        let mac = Hmac::new_from_slice(fleet_secret.as_bytes()).expect("any length is accepted");
        Self { mac }
    }

    /// Bytes of a datagram.
    #[must_use]
    pub fn encode(&self, packet: &Packet) -> Vec<u8> {
        let mut message = capnp::message::Builder::new_default();
        write_packet(packet, message.init_root());
        let mut body = Vec::with_capacity(512);
        serialize_packed::write_message(&mut body, &message).expect("a Vec accepts all writes");
        self.tagged(&body)
    }

    /// The body of a datagram behind its tag.
    #[must_use]
    pub fn tagged(&self, body: &[u8]) -> Vec<u8> {
        let tag = self.mac.clone().chain_update(body).finalize().into_bytes();
        let mut datagram = tag[..TAG_BYTES].to_vec();
        datagram.extend_from_slice(body);
        datagram
    }

    /// Bytes of a life check's datagram.
    #[must_use]
    pub fn encode_life_check(&self, check: LifeCheck) -> Vec<u8> {
        let body = postcard::to_extend(&check, vec![LIFE_CHECK_MARK]);
        self.tagged(&body.expect("a Vec accepts all writes"))
    }

    /// What a datagram says.
    pub fn decode(&self, datagram: &[u8]) -> Result<Datagram, CodecError> {
        let (tag, body) = datagram
            .split_at_checked(TAG_BYTES)
            .ok_or(CodecError::NotAuthentic)?;
        let mac = self.mac.clone().chain_update(body);
        mac.verify_truncated_left(tag)
            .map_err(|_| CodecError::NotAuthentic)?;
        match body.split_first() {
            Some((&LIFE_CHECK_MARK, check)) => {
                Ok(Datagram::LifeCheck(postcard::from_bytes(check)?))
            }
            _ => decode_packet(body).map(|packet| Datagram::Packet(Box::new(packet))),
        }
    }
}

/// An authentic datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Datagram {
    /// Gossip.
    Packet(Box<Packet>),
    /// A question whether this node lives, or the answer to one.
    LifeCheck(LifeCheck),
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
    let mut versions = builder.reborrow().init_versions(wire_length(KIND_COUNT));
    for (index, version) in packet.versions.0.iter().enumerate() {
        versions.set(wire_length(index), *version);
    }
    builder.set_platform_age_ms(packet.platform_age_ms.unwrap_or(NEVER_MS));
    builder.set_origin_failing(packet.is_origin_failing);
    builder.set_table_hash(packet.table_hash);
    let mut updates = builder
        .reborrow()
        .init_updates(wire_length(packet.updates.len()));
    for (index, update) in packet.updates.iter().enumerate() {
        write_record(update, updates.reborrow().get(wire_length(index)));
    }
    let mut revocations = builder.init_revocations(wire_length(packet.revocations.len()));
    for (index, digest) in packet.revocations.iter().enumerate() {
        revocations.set(wire_length(index), &digest.0);
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
    }
}

fn read_packet(reader: packet::Reader<'_>) -> Result<Packet, CodecError> {
    let mut versions = Versions::default();
    for (place, version) in versions.0.iter_mut().zip(reader.get_versions()?) {
        *place = version;
    }
    let updates = reader.get_updates()?;
    check_length(updates.len(), "updates")?;
    let updates = updates
        .iter()
        .map(read_record)
        .collect::<Result<Vec<_>, _>>()?;
    let digests = reader.get_revocations()?;
    check_length(digests.len(), "revocations")?;
    let mut revocations = Vec::new();
    for digest in digests {
        let digest = digest?.try_into().map_err(|_| bad_field("revocations"))?;
        revocations.push(KeyDigest(digest));
    }
    Ok(Packet {
        sender: read_record(reader.get_sender()?)?,
        sequence: reader.get_sequence(),
        kind: read_kind(reader)?,
        versions,
        platform_age_ms: Some(reader.get_platform_age_ms()).filter(|age_ms| *age_ms != NEVER_MS),
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
            service: text(target.get_service()?)?,
            slot_count: target.get_slot_count(),
            connection_count: target.get_connection_count(),
            draining: target.get_draining(),
        })
    } else {
        None
    };
    Ok(Record {
        node_id: text(reader.get_node_id()?)?,
        ip: read_ip(reader.get_ip()?)?,
        ports: MemberPorts {
            peer: reader.get_peer_port(),
            gossip: reader.get_gossip_port(),
            rpc: reader.get_rpc_port(),
            control: reader.get_control_port(),
        },
        region: text(reader.get_region()?)?,
        zone: text(reader.get_zone()?)?,
        started_unix_ms: reader.get_started_unix_ms(),
        incarnation: reader.get_incarnation(),
        liveness: Liveness::from_code(reader.get_liveness())
            .ok_or_else(|| bad_field("liveness"))?,
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
        PacketKind::News => 6,
    }
}

fn read_kind(reader: packet::Reader<'_>) -> Result<PacketKind, CodecError> {
    Ok(match reader.get_kind() {
        0 => PacketKind::Ping,
        1 => PacketKind::Ack,
        2 => PacketKind::PingRequest {
            subject: text(reader.get_subject()?)?,
        },
        3 => PacketKind::IndirectAck,
        4 => PacketKind::SyncRequest,
        5 => PacketKind::SyncPart,
        6 => PacketKind::News,
        _ => return Err(bad_field("kind")),
    })
}

fn read_ip(octets: &[u8]) -> Result<IpAddr, CodecError> {
    if let Ok(octets) = <[u8; 4]>::try_from(octets) {
        return Ok(IpAddr::V4(Ipv4Addr::from(octets)));
    }
    let octets = <[u8; 16]>::try_from(octets).map_err(|_| bad_field("ip"))?;
    Ok(IpAddr::V6(Ipv6Addr::from(octets)))
}

fn text(reader: capnp::text::Reader<'_>) -> Result<String, CodecError> {
    reader.to_string().map_err(|_| CodecError::NotText)
}

fn bad_field(field: &str) -> CodecError {
    CodecError::BadField {
        field: field.to_owned(),
    }
}

fn check_length(length: u32, field: &str) -> Result<(), CodecError> {
    if length > MAX_LIST_LENGTH {
        Err(bad_field(field))
    } else {
        Ok(())
    }
}

fn wire_length(length: usize) -> u32 {
    u32::try_from(length).expect("lists in packets are short")
}
