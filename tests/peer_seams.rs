//! Authentication of attempts on the peer port: changed, delayed and replayed
//! ones, and revoked tenant keys.

mod local_mesh;

use {
    base64::{Engine, engine::general_purpose::STANDARD_NO_PAD},
    capnp::{message, serialize_packed},
    dogwoodbridge::{
        keys::KeyDigest,
        model::{Class, RequestContext, RequestId},
        peer::{AttemptContext, ContentDigest, FleetAuth, MAX_CONTEXT_AGE_MS, encode_context},
        schema::peer_capnp,
        timer::unix_ms,
    },
    hyper::header::HeaderValue,
    local_mesh::{
        client::{self, CallerResponse},
        mesh::{KEY, Mesh, SECRET, digest},
    },
};

const PATH: &str = "/once/echo";
const BODY: &[u8] = b"order 1";
const IDEMPOTENCY_KEY: &str = "key-1";
const ACCEPTED: (u16, &str, &str) = (200, "", "");
const REFUSED: (u16, &str, &str) = (403, "not-run", "not-authentic");

/// Headers of an attempt as a node sends them.
struct SignedAttempt {
    context: HeaderValue,
    proof: HeaderValue,
}

fn sign_attempt(mesh: &Mesh, secret: &str, attempt_id: u64, sent_unix_ms: u64) -> SignedAttempt {
    let names = &mesh[0].node.names;
    let context = RequestContext {
        request_id: RequestId::new("7").unwrap(),
        workspace: names.workspace("tally"),
        key: KeyDigest::of_key(KEY),
        service: names.service("a"),
        class: Class::Critical,
        remaining_us: 3_000_000,
        objective_remaining_us: 0,
        retry_allotment: 0,
        depth: 0,
        repeatable: false,
    };
    let attempt = AttemptContext {
        context,
        attempt_id,
        is_guarded: false,
        content: ContentDigest::new(Some(&HeaderValue::from_static(IDEMPOTENCY_KEY)), BODY),
        remembered_limit: None,
    };
    let context = with_timestamp(&encode_context(&attempt, names, unix_ms()), sent_unix_ms);
    let proof = FleetAuth::new(secret).sign(&[context.as_bytes(), b"POST", PATH.as_bytes()]);
    SignedAttempt { context, proof }
}

fn with_timestamp(context: &HeaderValue, sent_unix_ms: u64) -> HeaderValue {
    let bytes = STANDARD_NO_PAD.decode(context.as_bytes()).unwrap();
    let message_reader =
        serialize_packed::read_message(bytes.as_slice(), message::ReaderOptions::new()).unwrap();
    let mut message = message::Builder::new_default();
    let reader = message_reader
        .get_root::<peer_capnp::context::Reader<'_>>()
        .unwrap();
    message.set_root(reader).unwrap();
    let mut builder = message
        .get_root::<peer_capnp::context::Builder<'_>>()
        .unwrap();
    builder.set_sent_unix_ms(sent_unix_ms);
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &message).unwrap();
    HeaderValue::try_from(STANDARD_NO_PAD.encode(bytes)).unwrap()
}

async fn send(
    mesh: &Mesh,
    attempt: &SignedAttempt,
    key: &str,
    path: &str,
    body: &[u8],
) -> CallerResponse {
    let headers = [
        ("dogwood-context", attempt.context.to_str().unwrap()),
        ("dogwood-auth", attempt.proof.to_str().unwrap()),
        ("idempotency-key", key),
    ];
    let request = client::request("POST", path, &headers, body);
    client::send(mesh[0].peer_address(), request).await
}

struct AttemptCase {
    name: &'static str,
    secret: &'static str,
    /// Time from the timestamp to sending; negative if sent before it.
    age_ms: i64,
    key: &'static str,
    path: &'static str,
    body: &'static [u8],
    expected: (u16, &'static str, &'static str),
}

const VALID: AttemptCase = AttemptCase {
    name: "valid",
    secret: SECRET,
    age_ms: 0,
    key: IDEMPOTENCY_KEY,
    path: PATH,
    body: BODY,
    expected: ACCEPTED,
};

/// An attacker on the network between two nodes records an attempt and sends it
/// changed, late or signed with another secret. If it were accepted, the target
/// would execute a request that no caller sent.
#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_is_accepted_only_unchanged_and_in_time() {
    let limit_ms = i64::try_from(MAX_CONTEXT_AGE_MS).unwrap();
    let cases = [
        VALID,
        AttemptCase {
            name: "other secret",
            secret: "a-secret-of-another-fleet",
            expected: REFUSED,
            ..VALID
        },
        AttemptCase {
            name: "other body",
            body: b"order 2",
            expected: REFUSED,
            ..VALID
        },
        AttemptCase {
            name: "no body",
            body: b"",
            expected: REFUSED,
            ..VALID
        },
        AttemptCase {
            name: "other idempotency key",
            key: "key-2",
            expected: REFUSED,
            ..VALID
        },
        AttemptCase {
            name: "other path",
            path: "/once/other",
            expected: REFUSED,
            ..VALID
        },
        AttemptCase {
            name: "clock slightly off",
            age_ms: limit_ms / 2,
            ..VALID
        },
        AttemptCase {
            name: "expired",
            age_ms: limit_ms + 10_000,
            expected: REFUSED,
            ..VALID
        },
        AttemptCase {
            name: "timestamp in the future",
            age_ms: -limit_ms - 10_000,
            expected: REFUSED,
            ..VALID
        },
    ];
    let mesh = Mesh::start(&["a"]).await;
    let mut run_count = 0;
    for (attempt_id, case) in cases.iter().enumerate() {
        let sent_unix_ms = unix_ms().saturating_add_signed(-case.age_ms);
        let attempt = sign_attempt(&mesh, case.secret, attempt_id as u64, sent_unix_ms);
        let response = send(&mesh, &attempt, case.key, case.path, case.body).await;
        assert_eq!(
            (response.status.as_u16(), response.header("dogwood-reason")),
            (case.expected.0, case.expected.2),
            "{}: {}",
            case.name,
            response.text()
        );
        run_count += usize::from(case.expected == ACCEPTED);
        let executions = mesh[0].target.executions();
        assert_eq!(executions.len(), run_count, "{}", case.name);
    }
}

/// An attempt is recorded on the network and sent unchanged a second time shortly
/// after. Its proof is valid; if it were accepted, the request would be executed
/// twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_replayed_attempt_is_executed_once() {
    let mesh = Mesh::start(&["a"]).await;
    let attempt = sign_attempt(&mesh, SECRET, 1, unix_ms());
    let first = send(&mesh, &attempt, IDEMPOTENCY_KEY, PATH, BODY).await;
    assert_eq!(first.status, 200, "{}", first.text());
    for _ in 0..3 {
        let replayed = send(&mesh, &attempt, IDEMPOTENCY_KEY, PATH, BODY).await;
        assert_eq!(replayed.summary(), REFUSED, "{}", replayed.text());
    }
    assert_eq!(mesh[0].target.executions().len(), 1);
}

/// An operator revokes a key while a request with it is sent to another node,
/// whose target must not receive it. The node that forwards the request may
/// receive the revocation later.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_revoked_key_is_refused_by_the_receiving_node() {
    let mesh = Mesh::start(&["a", "b"]).await;
    mesh[1].running.send_modify(|running| {
        let mut updated = (**running).clone();
        updated.revoked.insert(digest(KEY));
        *running = std::sync::Arc::new(updated);
    });
    let refused = (401, "not-run", "revoked-key");
    for path in ["/b/echo", "/b/once/echo"] {
        let request = client::request("GET", path, &[("dogwood-key", KEY)], b"");
        let response = client::send(mesh[0].caller_address(), request).await;
        assert_eq!(response.summary(), refused, "{path}: {}", response.text());
    }
    assert!(mesh[1].target.executions().is_empty());
    let request = client::request("GET", "/a/echo", &[("dogwood-key", KEY)], b"");
    let response = client::send(mesh[0].caller_address(), request).await;
    assert_eq!(response.summary(), (200, "whole", ""));
    let forwarded = format!("{:?}", mesh[0].target.executions());
    assert!(!forwarded.contains(&digest(KEY).to_string()), "{forwarded}");
}
