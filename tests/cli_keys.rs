//! `dogwoodctl key`: what is granted and revoked, and what is reported.

mod platform_support;

use {
    dogwoodbridge::{
        control::KeyVerdict,
        keys::{KeyDigest, KeysRecord},
    },
    platform_support::{
        FakePlatform, Faults,
        ctl::{KEY, Mesh, ctl, publish},
    },
};

#[tokio::test]
async fn a_created_key_is_shown_once_and_only_its_digest_is_kept() {
    let fake = FakePlatform::new().await;
    let platform = fake.address.to_string();
    assert_eq!(publish(&fake, &[]).await.code, 0);
    let create = [
        "key",
        "create",
        "--workspace",
        "summit-cards",
        "--platform",
        &platform,
    ];
    let ran = ctl(&[&create[..], &["--output", "json"]].concat()).await;
    assert_eq!(ran.code, 0, "{}{}", ran.output, ran.errors);
    let json: serde_json::Value = serde_json::from_str(&ran.output).expect("JSON");
    let key = json["key"].as_str().expect("a key");
    let (_, content) = fake.get("keys");
    let record = KeysRecord::read(&content).expect("a keys document");
    assert_eq!(record.granted[0].digest, KeyDigest::of_key(key));
    assert_eq!(record.granted[0].workspace, "summit-cards");
    assert!(!String::from_utf8_lossy(&content).contains(key));

    let ran = ctl(&[
        "key",
        "create",
        "--workspace",
        "sumit-cards",
        "--platform",
        &platform,
    ])
    .await;
    assert_eq!(ran.code, 1);
    assert!(ran.errors.contains("summit-cards"), "{}", ran.errors);
}

// Several operators create keys at the same time, and an answer gets lost. No
// grant may overwrite another one, or a holder's new key would not work.
#[tokio::test]
async fn concurrent_grants_are_all_kept() {
    let fake = FakePlatform::new().await;
    let platform = fake.address.to_string();
    assert_eq!(publish(&fake, &[]).await.code, 0);
    fake.set_faults(Faults {
        lost_response_count: 1,
        ..Faults::default()
    });
    let create = [
        "key",
        "create",
        "--workspace",
        "summit-cards",
        "--platform",
        &platform,
    ];
    let (a, b, c) = tokio::join!(ctl(&create), ctl(&create), ctl(&create));
    assert_eq!(
        (a.code, b.code, c.code),
        (0, 0, 0),
        "{}{}{}",
        a.output,
        b.output,
        c.output
    );
    let record = KeysRecord::read(&fake.get("keys").1).expect("a keys document");
    assert_eq!(record.granted.len(), 3);
}

// The platform executes writes and loses all answers to them. A new key must
// not be granted several times, and its holder must get it.
#[tokio::test]
async fn a_key_is_granted_once_though_all_answers_are_lost() {
    let fake = FakePlatform::new().await;
    let platform = fake.address.to_string();
    assert_eq!(publish(&fake, &[]).await.code, 0);
    fake.set_faults(Faults {
        all_responses_lost: true,
        ..Faults::default()
    });
    let key = KeyDigest::of_key(KEY).to_string();
    let grant = [
        "key",
        "grant",
        "--workspace",
        "summit-cards",
        "--digest",
        &key,
        "--platform",
        &platform,
    ];
    let ran = ctl(&grant).await;
    assert_eq!(ran.code, 0, "{}{}", ran.output, ran.errors);
    let (version, content) = fake.get("keys");
    let record = KeysRecord::read(&content).expect("a keys document");
    assert_eq!((version, record.granted.len()), (1, 1));
}

// A key has to go while the platform is down. The nodes are told directly, and
// the operator reads zone by zone where it no longer works.
#[tokio::test]
async fn revoke_works_while_the_platform_is_down() {
    let mesh = Mesh::new().await;
    mesh.fake.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let (seed, platform) = (mesh.seed(), mesh.fake.address.to_string());
    let ran = ctl(&[
        "key",
        "revoke",
        "--key",
        KEY,
        "--nodes",
        &seed,
        "--platform",
        &platform,
    ])
    .await;
    assert_eq!(ran.code, 0, "{}{}", ran.output, ran.errors);
    assert!(
        ran.output.contains("platform: NOT written"),
        "{}",
        ran.output
    );
    assert!(ran.output.contains("zone az2: in force"), "{}", ran.output);
    assert_eq!(mesh.verdicts(), [KeyVerdict::Revoked, KeyVerdict::Revoked]);
    let pending = mesh.nodes[0].revocations.pending();
    assert!(
        pending.contains(&KeyDigest::of_key(KEY)),
        "to be told to other nodes"
    );
}

// One of the named nodes is frozen: its port takes connections and never
// answers. The key must stop working on the others, and the operator must read
// that the frozen one did not answer.
#[tokio::test]
async fn a_frozen_node_does_not_keep_the_others_from_revoking() {
    let mesh = Mesh::new().await;
    let frozen = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let frozen_address = frozen.local_addr().expect("bound");
    let mut member = mesh.nodes[0].member(frozen_address);
    member.node_id = "n3".to_owned();
    member.zone = "az3".to_owned();
    mesh.nodes[0]
        .members
        .lock()
        .expect("not poisoned")
        .push(member);
    let nodes = format!("{frozen_address},{}", mesh.seed());
    let ran = ctl(&["key", "revoke", "--key", KEY, "--nodes", &nodes]).await;
    assert_eq!(ran.code, 3, "{}{}", ran.output, ran.errors);
    assert_eq!(mesh.verdicts(), [KeyVerdict::Revoked, KeyVerdict::Revoked]);
    let silent = "zone az3: NOT in force everywhere (0 of 1 nodes, 1 did not answer)";
    assert!(ran.output.contains(silent), "{}", ran.output);
}

/// Which ways to revoke a key are open, and what is reported.
struct RevokeCase {
    name: &'static str,
    platform_up: bool,
    nodes_up: usize,
    code: i32,
}

// The ways to the platform and to the nodes fail one by one. The operator must
// get a failure only when the key goes on working everywhere, and must not
// read success while a known zone still serves it.
#[tokio::test]
async fn revoke_exit_codes_say_where_it_took_effect() {
    let cases = [
        RevokeCase {
            name: "both ways",
            platform_up: true,
            nodes_up: 2,
            code: 0,
        },
        RevokeCase {
            name: "platform only",
            platform_up: true,
            nodes_up: 0,
            code: 0,
        },
        RevokeCase {
            name: "one zone only",
            platform_up: false,
            nodes_up: 1,
            code: 3,
        },
        RevokeCase {
            name: "neither",
            platform_up: false,
            nodes_up: 0,
            code: 1,
        },
    ];
    for case in cases {
        let mesh = Mesh::new().await;
        mesh.fake.set_faults(Faults {
            down: !case.platform_up,
            ..Faults::default()
        });
        for node in &mesh.nodes[case.nodes_up..] {
            node.shutdown.cancel();
        }
        let (seed, platform) = (mesh.seed(), mesh.fake.address.to_string());
        let revoke = [
            "key",
            "revoke",
            "--key",
            KEY,
            "--nodes",
            &seed,
            "--platform",
            &platform,
        ];
        let ran = ctl(&revoke).await;
        assert_eq!(
            ran.code, case.code,
            "{}: {}{}",
            case.name, ran.output, ran.errors
        );
        let record = KeysRecord::read(&mesh.fake.get("keys").1).expect("a keys document");
        assert_eq!(
            record.is_revoked(&KeyDigest::of_key(KEY)),
            case.platform_up,
            "{}",
            case.name
        );
    }
}
