//! Encodes, decodes and authenticates the headers that nodes exchange: the
//! context of an attempt and the metadata of its response.

use {
    crate::{
        exchange::Segments,
        keys::KeyDigest,
        model::{
            AdmissionLevel, Class, Names, Outcome, Reason, Refusal, RequestContext, RequestId,
        },
        schema::peer_capnp,
        target::{ReportedLimit, UNKNOWN_PROCESS_ID},
    },
    base64::{Engine, engine::general_purpose::STANDARD_NO_PAD},
    capnp::{message, serialize_packed},
    hmac::{Hmac, Mac},
    hyper::header::HeaderValue,
    sha2::{Digest, Sha256},
    std::sync::LazyLock,
};

/// Maximum difference between a context's timestamp and the receiver's clock,
/// in milliseconds.
pub const MAX_CONTEXT_AGE_MS: u64 = 30_000;

/// Length of a truncated HMAC tag: half of HMAC-SHA-256, the minimum that RFC
/// 2104 recommends.
pub const TAG_BYTES: usize = 16;

/// Maximum size of a decoded header in Cap'n Proto words; texts in it are short
/// names.
const MAX_HEADER_WORDS: usize = 1024;

/// Why a header from another node is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerHeaderError {
    /// Not base64, not Cap'n Proto, or a field out of range.
    #[error("malformed")]
    Malformed,
    /// The authentication tag does not match.
    #[error("not authentic")]
    NotAuthentic,
    /// The timestamp is too far in the past or in the future.
    #[error("timestamp differs by more than {MAX_CONTEXT_AGE_MS} ms from this node's clock")]
    TimestampOutOfRange {
        /// Id of the attempt, for the response.
        attempt_id: u64,
    },
}

impl From<capnp::Error> for PeerHeaderError {
    fn from(_: capnp::Error) -> Self {
        Self::Malformed
    }
}

/// Context of an attempt, as sent between nodes.
#[derives::value]
#[derive(Copy, Eq)]
pub struct AttemptContext {
    /// Context of the request.
    pub context: RequestContext,
    /// Id of the attempt, repeated in the response.
    pub attempt_id: u64,
    /// Whether the receiver is the home of the idempotency key, which forwards
    /// the attempt to a target.
    pub is_guarded: bool,
    /// Digest that the attempt's idempotency key and body must match.
    pub content: ContentDigest,
    /// Limit that the receiver reported for its target.
    pub remembered_limit: Option<ReportedLimit>,
}

/// SHA-256 of the Idempotency-Key and the body of an attempt.
///
/// Without it, anyone who can write to a connection between nodes could send
/// another body under an authentic context.
#[derives::key]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// Computes the digest.
    #[must_use]
    pub fn new(idempotency_key: Option<&HeaderValue>, body: &[u8]) -> Self {
        Self::of_parts(idempotency_key, std::iter::once(body))
    }

    /// The same of a body in segments.
    #[must_use]
    pub fn of_segments(idempotency_key: Option<&HeaderValue>, body: &Segments) -> Self {
        Self::of_parts(idempotency_key, body.iter().map(AsRef::as_ref))
    }

    fn of_parts<'a>(
        idempotency_key: Option<&HeaderValue>,
        body: impl Iterator<Item = &'a [u8]>,
    ) -> Self {
        let key = idempotency_key.map_or(&[][..], HeaderValue::as_bytes);
        let mut hash = Sha256::new();
        hash.update((key.len() as u64).to_le_bytes());
        hash.update(key);
        for part in body {
            hash.update(part);
        }
        Self(hash.finalize().into())
    }

    /// Digest of an attempt without key and body; omitted from the header.
    fn empty() -> Self {
        static DIGEST: LazyLock<ContentDigest> = LazyLock::new(|| ContentDigest::new(None, &[]));
        *DIGEST
    }
}

/// Metadata that a node adds to the HTTP response to an attempt, in the
/// `dogwood-answer` header.
#[derives::value]
#[derive(Copy, Eq)]
pub struct ResponseMetadata {
    /// Id of the attempt.
    pub attempt_id: u64,
    /// Why there is no response of a target; `None` if there is one.
    pub refusal: Option<Refusal>,
    /// Unspent part of the attempt's retry allotment.
    pub unspent: u8,
    /// Admission level of the responding node.
    pub level: AdmissionLevel,
    /// Process of its target that said in a response that it leaves; 0 if none did.
    pub leaving_process_id: u64,
    /// Limit that its target names.
    pub reported_limit: Option<ReportedLimit>,
}

/// Signs and verifies headers and datagrams with the fleet secret.
#[derive(Debug, Clone)]
pub struct FleetAuth {
    mac: Hmac<Sha256>,
}

impl FleetAuth {
    /// Creates it from the fleet secret.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        let mac = Hmac::new_from_slice(secret.as_bytes()).expect("any length of key works");
        Self { mac }
    }

    /// Header value that authenticates these parts in this order.
    #[must_use]
    pub fn sign(&self, parts: &[&[u8]]) -> HeaderValue {
        let tag = STANDARD_NO_PAD.encode(self.compute_tag(parts));
        HeaderValue::try_from(tag).expect("base64 is visible")
    }

    /// Whether the header value authenticates these parts; compares in constant
    /// time.
    #[must_use]
    pub fn is_authentic(&self, value: &HeaderValue, parts: &[&[u8]]) -> bool {
        let tag = STANDARD_NO_PAD.decode(value.as_bytes());
        tag.is_ok_and(|tag| self.verify(parts, &tag))
    }

    /// Tag that authenticates a datagram.
    #[must_use]
    pub fn tag(&self, content: &[u8]) -> [u8; TAG_BYTES] {
        self.compute_tag(&[content])
    }

    /// Whether the tag authenticates the datagram.
    #[must_use]
    pub fn is_valid_tag(&self, content: &[u8], tag: &[u8]) -> bool {
        self.verify(&[content], tag)
    }

    /// Keyed digest of these parts and the body, in this order.
    #[must_use]
    pub fn keyed_digest(&self, parts: &[&[u8]], body: &Segments) -> u64 {
        let mut mac = self.compute_mac(parts);
        mac.update(&(body.len() as u64).to_le_bytes());
        for segment in body.iter() {
            mac.update(segment);
        }
        let tag = mac.finalize().into_bytes();
        u64::from_le_bytes(std::array::from_fn(|index| tag[index]))
    }

    fn compute_tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let full_tag = self.compute_mac(parts).finalize().into_bytes();
        std::array::from_fn(|index| full_tag[index])
    }

    fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        tag.len() == TAG_BYTES && self.compute_mac(parts).verify_truncated_left(tag).is_ok()
    }

    fn compute_mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        for part in parts {
            // The length separates the parts: without it, bytes could be moved
            // from the path to the method under the same tag.
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac
    }
}

/// Encodes a context; `sent_unix_ms` is the current time on the receiver's
/// clock.
#[must_use]
pub fn encode_context(attempt: &AttemptContext, names: &Names, sent_unix_ms: u64) -> HeaderValue {
    let context = &attempt.context;
    let mut message = message::Builder::new_default();
    let mut builder = message.init_root::<peer_capnp::context::Builder<'_>>();
    builder.set_request_id(context.request_id.as_str().as_bytes());
    builder.set_workspace(names.workspace_name(context.workspace));
    builder.set_service(names.service_name(context.service));
    builder.set_class(context.class as u8);
    builder.set_remaining_us(context.remaining_us);
    builder.set_objective_us(context.objective_remaining_us);
    builder.set_retry_allotment(context.retry_allotment);
    builder.set_depth(context.depth);
    builder.set_repeatable(context.repeatable);
    builder.set_sent_unix_ms(sent_unix_ms);
    builder.set_attempt_id(attempt.attempt_id);
    builder.set_guarded(attempt.is_guarded);
    builder.set_key_digest(&context.key.0);
    if attempt.content != ContentDigest::empty() {
        builder.set_content_digest(&attempt.content.0);
    }
    if let Some(remembered) = attempt.remembered_limit {
        builder.set_limit_process(remembered.process_id);
        builder.set_limit_milli_per_s(remembered.milli_per_s);
        builder.set_limit_reporter(remembered.reporter_id);
    }
    to_header_value(&message)
}

/// A limit as decoded; `None` without a process.
fn reported_limit(process_id: u64, milli_per_s: u64, reporter_id: u64) -> Option<ReportedLimit> {
    (process_id != UNKNOWN_PROCESS_ID).then_some(ReportedLimit {
        process_id,
        milli_per_s,
        reporter_id,
    })
}

/// Decodes a context whose header value was authenticated; fails if its
/// timestamp is out of range.
pub fn decode_context(
    value: &HeaderValue,
    names: &Names,
    now_unix_ms: u64,
) -> Result<AttemptContext, PeerHeaderError> {
    let bytes = from_header_value(value)?;
    let message = serialize_packed::read_message(bytes.as_slice(), reader_options())?;
    let reader = message.get_root::<peer_capnp::context::Reader<'_>>()?;
    // A timestamp in the future would extend the time for a replay.
    if now_unix_ms.abs_diff(reader.get_sent_unix_ms()) > MAX_CONTEXT_AGE_MS {
        let attempt_id = reader.get_attempt_id();
        return Err(PeerHeaderError::TimestampOutOfRange { attempt_id });
    }
    let text =
        |text: capnp::text::Reader<'_>| text.to_string().map_err(|_| PeerHeaderError::Malformed);
    let class = Class::from_index(usize::from(reader.get_class()));
    let context = RequestContext {
        request_id: parse_request_id(reader.get_request_id()?)?,
        workspace: names.workspace(&text(reader.get_workspace()?)?),
        key: KeyDigest(parse_digest(reader.get_key_digest()?)?),
        service: names.service(&text(reader.get_service()?)?),
        class: class.ok_or(PeerHeaderError::Malformed)?,
        remaining_us: reader.get_remaining_us(),
        objective_remaining_us: reader.get_objective_us(),
        retry_allotment: reader.get_retry_allotment(),
        depth: reader.get_depth(),
        repeatable: reader.get_repeatable(),
    };
    Ok(AttemptContext {
        context,
        attempt_id: reader.get_attempt_id(),
        is_guarded: reader.get_guarded(),
        content: match reader.get_content_digest()? {
            [] => ContentDigest::empty(),
            digest => ContentDigest(parse_digest(digest)?),
        },
        remembered_limit: reported_limit(
            reader.get_limit_process(),
            reader.get_limit_milli_per_s(),
            reader.get_limit_reporter(),
        ),
    })
}

fn parse_request_id(bytes: &[u8]) -> Result<RequestId, PeerHeaderError> {
    let text = std::str::from_utf8(bytes).map_err(|_| PeerHeaderError::Malformed)?;
    RequestId::new(text).ok_or(PeerHeaderError::Malformed)
}

fn parse_digest(bytes: &[u8]) -> Result<[u8; 32], PeerHeaderError> {
    bytes.try_into().map_err(|_| PeerHeaderError::Malformed)
}

/// Encodes response metadata.
#[must_use]
pub fn encode_response_metadata(metadata: &ResponseMetadata) -> HeaderValue {
    let mut message = message::Builder::new_default();
    let mut builder = message.init_root::<peer_capnp::answer::Builder<'_>>();
    builder.set_attempt_id(metadata.attempt_id);
    if let Some(refusal) = metadata.refusal {
        builder.set_outcome(refusal.outcome as u8);
        builder.set_reason(refusal.reason as u8);
        builder.set_retry_after_ms(refusal.retry_after_ms);
        builder.set_exhausted(refusal.exhausted);
    }
    builder.set_unspent(metadata.unspent);
    builder.set_lowest_class(metadata.level.lowest_class as u8);
    builder.set_load_percent(metadata.level.load_percent);
    builder.set_below_percent(metadata.level.below_percent);
    builder.set_draining(metadata.level.draining);
    builder.set_work_time_percent(metadata.level.work_time_percent);
    builder.set_wait_us(metadata.level.wait_us);
    builder.set_supply_percent(metadata.level.supply_percent);
    builder.set_below_supply_percent(metadata.level.below_supply_percent);
    builder.set_leaving_process(metadata.leaving_process_id);
    if let Some(limit) = metadata.reported_limit {
        builder.set_limit_process(limit.process_id);
        builder.set_limit_milli_per_s(limit.milli_per_s);
        builder.set_limit_reporter(limit.reporter_id);
    }
    to_header_value(&message)
}

/// Decodes response metadata whose header value was authenticated.
pub fn decode_response_metadata(value: &HeaderValue) -> Result<ResponseMetadata, PeerHeaderError> {
    let bytes = from_header_value(value)?;
    let message = serialize_packed::read_message(bytes.as_slice(), reader_options())?;
    let reader = message.get_root::<peer_capnp::answer::Reader<'_>>()?;
    let lowest_class = Class::from_index(usize::from(reader.get_lowest_class()));
    let outcome = match reader.get_outcome() {
        0 => None,
        1 => Some(Outcome::NotRun),
        2 => Some(Outcome::Unknown),
        _ => return Err(PeerHeaderError::Malformed),
    };
    let refusal = match outcome {
        None => None,
        Some(outcome) => Some(Refusal {
            outcome,
            reason: Reason::from_code(reader.get_reason()).ok_or(PeerHeaderError::Malformed)?,
            retry_after_ms: reader.get_retry_after_ms(),
            exhausted: reader.get_exhausted(),
        }),
    };
    Ok(ResponseMetadata {
        attempt_id: reader.get_attempt_id(),
        refusal,
        unspent: reader.get_unspent(),
        level: AdmissionLevel {
            lowest_class: lowest_class.ok_or(PeerHeaderError::Malformed)?,
            load_percent: reader.get_load_percent(),
            below_percent: reader.get_below_percent(),
            draining: reader.get_draining(),
            work_time_percent: reader.get_work_time_percent(),
            wait_us: reader.get_wait_us(),
            supply_percent: reader.get_supply_percent(),
            below_supply_percent: reader.get_below_supply_percent(),
        },
        leaving_process_id: reader.get_leaving_process(),
        reported_limit: reported_limit(
            reader.get_limit_process(),
            reader.get_limit_milli_per_s(),
            reader.get_limit_reporter(),
        ),
    })
}

/// Limits the memory that a packed header can allocate.
fn reader_options() -> message::ReaderOptions {
    *message::ReaderOptions::new().traversal_limit_in_words(Some(MAX_HEADER_WORDS))
}

fn to_header_value(message: &message::Builder<message::HeapAllocator>) -> HeaderValue {
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, message).expect("a Vec accepts all writes");
    HeaderValue::try_from(STANDARD_NO_PAD.encode(bytes)).expect("base64 is visible")
}

fn from_header_value(value: &HeaderValue) -> Result<Vec<u8>, PeerHeaderError> {
    STANDARD_NO_PAD
        .decode(value.as_bytes())
        .map_err(|_| PeerHeaderError::Malformed)
}
