//! What the port between nodes believes.

mod local_mesh;

use {
    base64::{Engine, engine::general_purpose::STANDARD_NO_PAD},
    capnp::{message, serialize_packed},
    dogwoodbridge::{
        keys::KeyDigest,
        model::{Class, RequestContext, RequestId},
        peer::{ContentDigest, FleetAuth, MAX_CONTEXT_AGE_MS, ReceivedContext, encode_context},
        schema::peer_capnp,
        timer::unix_ms,
    },
    hyper::header::HeaderValue,
    local_mesh::{
        client::{self, Seen},
        mesh::{KEY, Mesh, SECRET, digest},
    },
};

const PATH: &str = "/once/echo";
const BODY: &[u8] = b"order 1";
const ORDER_KEY: &str = "key-1";
const ACCEPTED: (u16, &str, &str) = (200, "", "");
const REFUSED: (u16, &str, &str) = (403, "not-run", "not-authentic");

/// An attempt as a node sends it.
struct Recorded {
    context: HeaderValue,
    proof: HeaderValue,
}

fn recorded(mesh: &Mesh, secret: &str, attempt_id: u64, sent_unix_ms: u64) -> Recorded {
    let names = &mesh[0].node.names;
    let context = RequestContext {
        request_id: RequestId::new("7").unwrap(),
        workspace: names.workspace("tally"),
        key: KeyDigest::of_key(KEY),
        service: names.service("a"),
        class: Class::Critical,
        remaining_us: 3_000_000,
        retry_allotment: 0,
        depth: 0,
        repeatable: false,
    };
    let sent = ReceivedContext {
        context,
        attempt_id,
        is_guarded: false,
        content: ContentDigest::new(Some(&HeaderValue::from_static(ORDER_KEY)), BODY),
    };
    let context = stamped(&encode_context(&sent, names, unix_ms()), sent_unix_ms);
    let proof = FleetAuth::new(secret).sign(&[context.as_bytes(), b"POST", PATH.as_bytes()]);
    Recorded { context, proof }
}

fn stamped(context: &HeaderValue, sent_unix_ms: u64) -> HeaderValue {
    let bytes = STANDARD_NO_PAD.decode(context.as_bytes()).unwrap();
    let read =
        serialize_packed::read_message(bytes.as_slice(), message::ReaderOptions::new()).unwrap();
    let mut message = message::Builder::new_default();
    let reader = read.get_root::<peer_capnp::context::Reader<'_>>().unwrap();
    message.set_root(reader).unwrap();
    let mut builder = message
        .get_root::<peer_capnp::context::Builder<'_>>()
        .unwrap();
    builder.set_sent_unix_ms(sent_unix_ms);
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &message).unwrap();
    HeaderValue::try_from(STANDARD_NO_PAD.encode(bytes)).unwrap()
}

async fn send(mesh: &Mesh, recorded: &Recorded, key: &str, path: &str, body: &[u8]) -> Seen {
    let headers = [
        ("dogwood-context", recorded.context.to_str().unwrap()),
        ("dogwood-auth", recorded.proof.to_str().unwrap()),
        ("idempotency-key", key),
    ];
    let request = client::request("POST", path, &headers, body);
    client::send(mesh[0].peer_address(), request).await
}

struct SeamCase {
    name: &'static str,
    secret: &'static str,
    /// Sent so long after its stamp; negative is before it.
    age_ms: i64,
    key: &'static str,
    path: &'static str,
    body: &'static [u8],
    expected: (u16, &'static str, &'static str),
}

const SOUND: SeamCase = SeamCase {
    name: "sound",
    secret: SECRET,
    age_ms: 0,
    key: ORDER_KEY,
    path: PATH,
    body: BODY,
    expected: ACCEPTED,
};

/// Someone on the network between two nodes records an attempt and sends it
/// changed, late or under a secret of their own. Were it believed, an order
/// would run that no caller sent.
#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_is_believed_only_as_its_node_sent_it() {
    let limit_ms = i64::try_from(MAX_CONTEXT_AGE_MS).unwrap();
    let cases = [
        SOUND,
        SeamCase {
            name: "other secret",
            secret: "a-secret-of-another-fleet",
            expected: REFUSED,
            ..SOUND
        },
        SeamCase {
            name: "other body",
            body: b"order 2",
            expected: REFUSED,
            ..SOUND
        },
        SeamCase {
            name: "no body",
            body: b"",
            expected: REFUSED,
            ..SOUND
        },
        SeamCase {
            name: "other idempotency key",
            key: "key-2",
            expected: REFUSED,
            ..SOUND
        },
        SeamCase {
            name: "other path",
            path: "/once/other",
            expected: REFUSED,
            ..SOUND
        },
        SeamCase {
            name: "a clock a little off",
            age_ms: limit_ms / 2,
            ..SOUND
        },
        SeamCase {
            name: "expired",
            age_ms: limit_ms + 10_000,
            expected: REFUSED,
            ..SOUND
        },
        SeamCase {
            name: "from the future",
            age_ms: -limit_ms - 10_000,
            expected: REFUSED,
            ..SOUND
        },
    ];
    let mesh = Mesh::start(&["a"]).await;
    let mut run_count = 0;
    for (attempt_id, case) in cases.iter().enumerate() {
        let sent_unix_ms = unix_ms().saturating_add_signed(-case.age_ms);
        let attempt = recorded(&mesh, case.secret, attempt_id as u64, sent_unix_ms);
        let seen = send(&mesh, &attempt, case.key, case.path, case.body).await;
        assert_eq!(
            (seen.status.as_u16(), seen.header("dogwood-reason")),
            (case.expected.0, case.expected.2),
            "{}: {}",
            case.name,
            seen.text()
        );
        run_count += usize::from(case.expected == ACCEPTED);
        let executions = mesh[0].target.executions();
        assert_eq!(executions.len(), run_count, "{}", case.name);
    }
}

/// An attempt is recorded on its way and sent again a moment later, unchanged.
/// Its proof is sound; were it taken, the shop would pay for a second order.
#[tokio::test(flavor = "multi_thread")]
async fn a_replayed_attempt_runs_once() {
    let mesh = Mesh::start(&["a"]).await;
    let attempt = recorded(&mesh, SECRET, 1, unix_ms());
    let first = send(&mesh, &attempt, ORDER_KEY, PATH, BODY).await;
    assert_eq!(first.status, 200, "{}", first.text());
    for _ in 0..3 {
        let again = send(&mesh, &attempt, ORDER_KEY, PATH, BODY).await;
        assert_eq!(again.summary(), REFUSED, "{}", again.text());
    }
    assert_eq!(mesh[0].target.executions().len(), 1);
}

/// An operator revokes a key while a request of it is on its way to another
/// node, whose target must not see it any more. Its caller's own node may
/// learn of it later.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_revoked_key_is_refused_where_it_arrives() {
    let mesh = Mesh::start(&["a", "b"]).await;
    mesh[1].running.send_modify(|running| {
        let mut next = (**running).clone();
        next.revoked.insert(digest(KEY));
        *running = std::sync::Arc::new(next);
    });
    let refused = (401, "not-run", "revoked-key");
    for path in ["/b/echo", "/b/once/echo"] {
        let request = client::request("GET", path, &[("dogwood-key", KEY)], b"");
        let seen = client::send(mesh[0].caller_address(), request).await;
        assert_eq!(seen.summary(), refused, "{path}: {}", seen.text());
    }
    assert!(mesh[1].target.executions().is_empty());
    let request = client::request("GET", "/a/echo", &[("dogwood-key", KEY)], b"");
    let seen = client::send(mesh[0].caller_address(), request).await;
    assert_eq!(seen.summary(), (200, "whole", ""));
    let forwarded = format!("{:?}", mesh[0].target.executions());
    assert!(!forwarded.contains(&digest(KEY).to_string()), "{forwarded}");
}
