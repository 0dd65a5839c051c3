//! Context and answer headers between nodes, with their authentication.

use {
    crate::{
        keys::KeyDigest,
        model::{
            AdmissionLevel, Class, Names, Outcome, Reason, Refusal, RequestContext, RequestId,
        },
        schema::peer_capnp,
    },
    base64::{Engine, engine::general_purpose::STANDARD_NO_PAD},
    capnp::{message, serialize_packed},
    hmac::{Hmac, Mac},
    hyper::header::HeaderValue,
    sha2::{Digest, Sha256},
    std::sync::LazyLock,
};

/// Longest time between sending and arrival of a context, in milliseconds.
pub const MAX_CONTEXT_AGE_MS: u64 = 30_000;

/// Length of a truncated HMAC; half of it, as RFC 2104 recommends at least.
pub const TAG_BYTES: usize = 16;

/// Words that a header holds at most: texts in it are short names.
const MAX_HEADER_WORDS: usize = 1024;

/// Why a header of another node is not believed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerHeaderError {
    /// Not base64, not Cap'n Proto, or a field out of range.
    #[error("malformed")]
    Malformed,
    /// The authentication does not match.
    #[error("not authentic")]
    NotAuthentic,
    /// Sent too long ago, or by a clock that is far ahead.
    #[error("sent more than {MAX_CONTEXT_AGE_MS} ms ago or ahead")]
    TooOld {
        /// The attempt, for the word back.
        attempt_id: u64,
    },
}

impl From<capnp::Error> for PeerHeaderError {
    fn from(_: capnp::Error) -> Self {
        Self::Malformed
    }
}

/// A context as it came from another node.
#[derives::value]
#[derive(Copy, Eq)]
pub struct ReceivedContext {
    /// The context.
    pub context: RequestContext,
    /// The attempt, for the answer.
    pub attempt_id: u64,
    /// It is for the home of its idempotency key, which sends it on.
    pub is_guarded: bool,
    /// What the attempt has to carry besides method and path.
    pub content: ContentDigest,
}

/// SHA-256 of the Idempotency-Key and the body of an attempt.
///
/// Without it, whoever can write to a connection between nodes could put
/// another order under an authentic context.
#[derives::key]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// Digest of this content.
    #[must_use]
    pub fn new(idempotency_key: Option<&HeaderValue>, body: &[u8]) -> Self {
        let key = idempotency_key.map_or(&[][..], HeaderValue::as_bytes);
        let mut hash = Sha256::new();
        hash.update((key.len() as u64).to_le_bytes());
        hash.update(key);
        hash.update(body);
        Self(hash.finalize().into())
    }

    /// Digest of an attempt without key and body; not sent.
    fn of_nothing() -> Self {
        static DIGEST: LazyLock<ContentDigest> = LazyLock::new(|| ContentDigest::new(None, &[]));
        *DIGEST
    }
}

/// What a node tells about an attempt besides the HTTP answer.
#[derives::value]
#[derive(Copy, Eq)]
pub struct AttemptAnswer {
    /// The attempt.
    pub attempt_id: u64,
    /// Set unless the answer is a target's own.
    pub refusal: Option<Refusal>,
    /// Retry allotment that comes back.
    pub unspent: u8,
    /// Admission level of the answering node.
    pub level: AdmissionLevel,
}

/// Signs and verifies with the fleet secret.
#[derive(Debug, Clone)]
pub struct FleetAuth {
    mac: Hmac<Sha256>,
}

impl FleetAuth {
    /// Authentication by this secret.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        let mac = Hmac::new_from_slice(secret.as_bytes()).expect("any length of key works");
        Self { mac }
    }

    /// Header value that proves these parts, in this order.
    #[must_use]
    pub fn sign(&self, parts: &[&[u8]]) -> HeaderValue {
        let tag = STANDARD_NO_PAD.encode(self.tag_of(parts));
        HeaderValue::try_from(tag).expect("base64 is visible")
    }

    /// Whether the header value proves these parts; takes the same time
    /// wherever the two differ.
    #[must_use]
    pub fn is_authentic(&self, value: &HeaderValue, parts: &[&[u8]]) -> bool {
        let tag = STANDARD_NO_PAD.decode(value.as_bytes());
        tag.is_ok_and(|tag| self.proves(parts, &tag))
    }

    /// Tag that proves a datagram.
    #[must_use]
    pub fn tag(&self, content: &[u8]) -> [u8; TAG_BYTES] {
        self.tag_of(&[content])
    }

    /// Whether the tag proves the datagram.
    #[must_use]
    pub fn is_tagged(&self, content: &[u8], tag: &[u8]) -> bool {
        self.proves(&[content], tag)
    }

    fn tag_of(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let whole = self.mac_of(parts).finalize().into_bytes();
        std::array::from_fn(|index| whole[index])
    }

    fn proves(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        tag.len() == TAG_BYTES && self.mac_of(parts).verify_truncated_left(tag).is_ok()
    }

    fn mac_of(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        for part in parts {
            // The length keeps parts apart: without it, bytes could be moved
            // from the path to the method under the same tag.
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac
    }
}

/// Header value of a context, stamped with this time on the receiver's clock.
#[must_use]
pub fn encode_context(received: &ReceivedContext, names: &Names, sent_unix_ms: u64) -> HeaderValue {
    let context = &received.context;
    let mut message = message::Builder::new_default();
    let mut builder = message.init_root::<peer_capnp::context::Builder<'_>>();
    builder.set_request_id(context.request_id.as_str().as_bytes());
    builder.set_workspace(names.workspace_name(context.workspace));
    builder.set_service(names.service_name(context.service));
    builder.set_class(context.class as u8);
    builder.set_remaining_us(context.remaining_us);
    builder.set_retry_allotment(context.retry_allotment);
    builder.set_depth(context.depth);
    builder.set_repeatable(context.repeatable);
    builder.set_sent_unix_ms(sent_unix_ms);
    builder.set_attempt_id(received.attempt_id);
    builder.set_guarded(received.is_guarded);
    builder.set_key_digest(&context.key.0);
    if received.content != ContentDigest::of_nothing() {
        builder.set_content_digest(&received.content.0);
    }
    to_header(&message)
}

/// Context and attempt id of an authenticated header value.
pub fn decode_context(
    value: &HeaderValue,
    names: &Names,
    now_unix_ms: u64,
) -> Result<ReceivedContext, PeerHeaderError> {
    let bytes = from_header(value)?;
    let message = serialize_packed::read_message(bytes.as_slice(), reader_options())?;
    let reader = message.get_root::<peer_capnp::context::Reader<'_>>()?;
    // A stamp from the future would make a recorded header last longer.
    if now_unix_ms.abs_diff(reader.get_sent_unix_ms()) > MAX_CONTEXT_AGE_MS {
        let attempt_id = reader.get_attempt_id();
        return Err(PeerHeaderError::TooOld { attempt_id });
    }
    let text =
        |text: capnp::text::Reader<'_>| text.to_string().map_err(|_| PeerHeaderError::Malformed);
    let class = Class::from_index(usize::from(reader.get_class()));
    let context = RequestContext {
        request_id: request_id_of(reader.get_request_id()?)?,
        workspace: names.workspace(&text(reader.get_workspace()?)?),
        key: KeyDigest(digest_of(reader.get_key_digest()?)?),
        service: names.service(&text(reader.get_service()?)?),
        class: class.ok_or(PeerHeaderError::Malformed)?,
        remaining_us: reader.get_remaining_us(),
        retry_allotment: reader.get_retry_allotment(),
        depth: reader.get_depth(),
        repeatable: reader.get_repeatable(),
    };
    Ok(ReceivedContext {
        context,
        attempt_id: reader.get_attempt_id(),
        is_guarded: reader.get_guarded(),
        content: match reader.get_content_digest()? {
            [] => ContentDigest::of_nothing(),
            digest => ContentDigest(digest_of(digest)?),
        },
    })
}

fn request_id_of(bytes: &[u8]) -> Result<RequestId, PeerHeaderError> {
    let text = std::str::from_utf8(bytes).map_err(|_| PeerHeaderError::Malformed)?;
    RequestId::new(text).ok_or(PeerHeaderError::Malformed)
}

fn digest_of(bytes: &[u8]) -> Result<[u8; 32], PeerHeaderError> {
    bytes.try_into().map_err(|_| PeerHeaderError::Malformed)
}

/// Header value of an answer.
#[must_use]
pub fn encode_answer(answer: &AttemptAnswer) -> HeaderValue {
    let mut message = message::Builder::new_default();
    let mut builder = message.init_root::<peer_capnp::answer::Builder<'_>>();
    builder.set_attempt_id(answer.attempt_id);
    if let Some(refusal) = answer.refusal {
        builder.set_outcome(refusal.outcome as u8);
        builder.set_reason(refusal.reason as u8);
        builder.set_retry_after_ms(refusal.retry_after_ms);
        builder.set_exhausted(refusal.exhausted);
    }
    builder.set_unspent(answer.unspent);
    builder.set_lowest_class(answer.level.lowest_class as u8);
    builder.set_load_percent(answer.level.load_percent);
    builder.set_below_percent(answer.level.below_percent);
    builder.set_draining(answer.level.draining);
    to_header(&message)
}

/// Answer of an authenticated header value.
pub fn decode_answer(value: &HeaderValue) -> Result<AttemptAnswer, PeerHeaderError> {
    let bytes = from_header(value)?;
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
    Ok(AttemptAnswer {
        attempt_id: reader.get_attempt_id(),
        refusal,
        unspent: reader.get_unspent(),
        level: AdmissionLevel {
            lowest_class: lowest_class.ok_or(PeerHeaderError::Malformed)?,
            load_percent: reader.get_load_percent(),
            below_percent: reader.get_below_percent(),
            draining: reader.get_draining(),
        },
    })
}

/// Bounds the memory that a packed header can claim.
fn reader_options() -> message::ReaderOptions {
    *message::ReaderOptions::new().traversal_limit_in_words(Some(MAX_HEADER_WORDS))
}

fn to_header(message: &message::Builder<message::HeapAllocator>) -> HeaderValue {
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, message).expect("a Vec accepts all writes");
    HeaderValue::try_from(STANDARD_NO_PAD.encode(bytes)).expect("base64 is visible")
}

fn from_header(value: &HeaderValue) -> Result<Vec<u8>, PeerHeaderError> {
    STANDARD_NO_PAD
        .decode(value.as_bytes())
        .map_err(|_| PeerHeaderError::Malformed)
}
