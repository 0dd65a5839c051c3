//! `dogwoodctl` as operators run it: output, exit codes, what it leaves behind.

mod support;

use {
    dogwoodbridge::{
        conf::{ConfigurationRecord, Publication, check_dir},
        control::KeyVerdict,
        control::Operated,
        documents::{Document, DocumentKind},
        keys::{KeyDigest, KeysRecord},
        model::{AdmissionLevel, Class},
    },
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
        process::Output,
        sync::atomic::Ordering,
    },
    support::{
        FakePlatform, Faults,
        node::{FakeNode, SECRET},
    },
    tokio::process::Command,
    uuid::Uuid,
};

fn example(firm: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(firm)
}

struct Ran {
    code: i32,
    output: String,
    errors: String,
}

async fn ctl(arguments: &[&str]) -> Ran {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_dogwoodctl"))
        .args(arguments)
        .env_remove("DOGWOOD_NODES")
        .env_remove("DOGWOOD_PLATFORM")
        .env("DOGWOOD_OPERATOR_SECRET", SECRET)
        .output()
        .await
        .expect("dogwoodctl starts");
    Ran {
        code: output.status.code().expect("it exits by itself"),
        output: String::from_utf8(output.stdout).expect("UTF-8"),
        errors: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

async fn publish(fake: &FakePlatform, more: &[&str]) -> Ran {
    let (dir, platform) = (example("cascade-tally"), fake.address.to_string());
    let dir = dir.to_str().expect("UTF-8");
    let mut arguments = vec![
        "publish",
        dir,
        "--platform",
        &platform,
        "--publisher",
        "ann",
    ];
    arguments.extend(more);
    ctl(&arguments).await
}

fn published_by(publisher: &str) -> Vec<u8> {
    let record = ConfigurationRecord {
        publication: Publication {
            publish_id: Uuid::new_v4(),
            publisher: publisher.to_owned(),
            published_unix_ms: 1,
        },
        rules: check_dir(&example("injectio")).expect("the example is right"),
    };
    serde_json::to_vec(&record).expect("plain data")
}

fn publisher_in(fake: &FakePlatform) -> Option<String> {
    let (_, content) = fake.get("configuration");
    let record: Option<ConfigurationRecord> = serde_json::from_slice(&content).ok();
    record.map(|record| record.publication.publisher)
}

#[tokio::test]
async fn check_reports_by_exit_code_and_in_both_forms() {
    let dir = example("injectio");
    let ran = ctl(&["check", dir.to_str().expect("UTF-8")]).await;
    assert_eq!(
        (ran.code, ran.output.as_str()),
        (0, "4 services and 8 workspaces, no problems\n")
    );

    let bad = std::env::temp_dir().join(format!("dogwood-cli-{}", Uuid::new_v4()));
    std::fs::create_dir_all(&bad).expect("writable");
    std::fs::write(
        bad.join("catalog.toml"),
        "service = \"catalog\"\nretrys = 2\n",
    )
    .expect("writable");
    let path = bad.to_str().expect("UTF-8");
    let ran = ctl(&["check", path]).await;
    assert_eq!(ran.code, 1);
    assert!(
        ran.output.contains("catalog.toml:2: retrys: unknown field"),
        "{}",
        ran.output
    );
    let ran = ctl(&["check", path, "--output", "json"]).await;
    let json: serde_json::Value = serde_json::from_str(&ran.output).expect("JSON");
    assert_eq!(json["problems"][0]["line"], 2);

    let fake = FakePlatform::new().await;
    let platform = fake.address.to_string();
    let ran = ctl(&["publish", path, "--platform", &platform]).await;
    assert_eq!(
        (ran.code, fake.call_count()),
        (1, 0),
        "nothing is half published"
    );
    std::fs::remove_dir_all(&bad).expect("writable");
}

/// How a publication ends under a fault.
struct PublishCase {
    name: &'static str,
    faults: Faults,
    code: i32,
    says: &'static str,
    /// Publisher of what the platform then holds.
    holds: Option<&'static str>,
}

// Answers get lost, another operator publishes at the same time, the platform
// is down. The operator must read what really happened, since acting on a
// wrong report undoes a colleague's work or leaves old rules in force.
#[tokio::test]
async fn publish_reports_rightly_whatever_happens() {
    let fault = Faults::default;
    let cases = [
        PublishCase {
            name: "no fault",
            faults: fault(),
            code: 0,
            says: "published as version 2",
            holds: Some("ann"),
        },
        PublishCase {
            name: "answer lost after it took effect",
            faults: Faults {
                lost_after_count: 1,
                ..fault()
            },
            code: 0,
            says: "published as version 2",
            holds: Some("ann"),
        },
        PublishCase {
            name: "all answers to writes are lost",
            faults: Faults {
                all_answers_lost: true,
                ..fault()
            },
            code: 0,
            says: "published as version 2",
            holds: Some("ann"),
        },
        PublishCase {
            name: "write lost before it took effect",
            faults: Faults {
                lost_before_count: 1,
                ..fault()
            },
            code: 0,
            says: "published as version 2",
            holds: Some("ann"),
        },
        PublishCase {
            name: "another operator is first",
            faults: Faults {
                racer: Some(published_by("bob")),
                ..fault()
            },
            code: 1,
            says: "NOT published: conflict with version 2 by bob",
            holds: Some("bob"),
        },
        PublishCase {
            name: "lost before, then another operator is first",
            faults: Faults {
                lost_before_count: 1,
                racer: Some(published_by("bob")),
                ..fault()
            },
            code: 1,
            says: "NOT published: conflict with version 2 by bob",
            holds: Some("bob"),
        },
        PublishCase {
            name: "answer lost, then another operator publishes on top",
            faults: Faults {
                lost_after_count: 1,
                racer: Some(published_by("bob")),
                ..fault()
            },
            code: 1,
            says: "NOT in force: the answer was lost, and now version 3 by bob",
            holds: Some("bob"),
        },
        PublishCase {
            name: "no write is ever answered",
            faults: Faults {
                lost_before_count: 1_000,
                ..fault()
            },
            code: 3,
            says: "UNKNOWN whether published after 5 tries",
            holds: Some("eve"),
        },
        PublishCase {
            name: "down",
            faults: Faults {
                down: true,
                ..fault()
            },
            code: 1,
            says: "NOT published: the exchange with the platform broke off",
            holds: Some("eve"),
        },
        PublishCase {
            name: "the platform refuses the size",
            faults: Faults {
                status: Some(413),
                ..fault()
            },
            code: 1,
            says: "NOT published",
            holds: Some("eve"),
        },
    ];
    for case in cases {
        let fake = FakePlatform::new().await;
        fake.put("configuration", &published_by("eve"));
        fake.set_faults(case.faults);
        let ran = publish(&fake, &[]).await;
        assert!(
            ran.output.contains(case.says),
            "{}: {}{}",
            case.name,
            ran.output,
            ran.errors
        );
        assert_eq!(ran.code, case.code, "{}: {}", case.name, ran.output);
        assert_eq!(publisher_in(&fake).as_deref(), case.holds, "{}", case.name);
    }
}

// The platform's reads are behind while two operators publish. The loser must
// still read the winner's name and not that of an older publication.
#[tokio::test]
async fn a_conflict_names_the_winner_once_reads_catch_up() {
    let fake = FakePlatform::new().await;
    fake.put("configuration", &published_by("eve"));
    fake.set_faults(Faults {
        stale: true,
        racer: Some(published_by("bob")),
        ..Faults::default()
    });
    let catch_up = async {
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        fake.set_faults(Faults::default());
    };
    let (ran, ()) = tokio::join!(publish(&fake, &[]), catch_up);
    assert!(ran.output.contains("version 2 by bob"), "{}", ran.output);
}

#[tokio::test]
async fn two_operators_at_once_have_one_winner() {
    let fake = FakePlatform::new().await;
    fake.put("configuration", &published_by("eve"));
    let condition = ["--if-version", "1"];
    let (first, second) = tokio::join!(publish(&fake, &condition), publish(&fake, &condition));
    let mut codes = [first.code, second.code];
    codes.sort_unstable();
    assert_eq!(codes, [0, 1], "{}{}", first.output, second.output);
    assert_eq!(fake.get("configuration").0, 2);
}

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
        lost_after_count: 1,
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
        all_answers_lost: true,
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

/// Two zones with a node each that know of each other, a published
/// configuration and one key.
struct Mesh {
    fake: FakePlatform,
    nodes: [FakeNode; 2],
    addresses: [SocketAddr; 2],
}

const KEY: &str = "dwk_test";

impl Mesh {
    async fn new() -> Self {
        let fake = FakePlatform::new().await;
        assert_eq!(publish(&fake, &[]).await.code, 0);
        let mut keys = KeysRecord::default();
        keys.grant(KeyDigest::of_key(KEY), "summit-cards", 0)
            .expect("a new key");
        fake.put("keys", &keys.write());
        let (a, a_address) = FakeNode::spawn("n1", "az1").await;
        let (b, b_address) = FakeNode::spawn("n2", "az2").await;
        let members = vec![a.member(a_address), b.member(b_address)];
        for node in [&a, &b] {
            *node.members.lock().expect("not poisoned") = members.clone();
        }
        let mesh = Self {
            fake,
            nodes: [a, b],
            addresses: [a_address, b_address],
        };
        mesh.sync().await;
        mesh
    }

    /// Brings the platform's documents to the nodes that run.
    async fn sync(&self) {
        let is_running = |node: &&FakeNode| !node.shutdown.is_cancelled();
        for node in self.nodes.iter().filter(is_running) {
            for kind in [DocumentKind::Configuration, DocumentKind::Keys] {
                let (version, content) = self.fake.get(kind.name());
                node.store.offer(Document {
                    kind,
                    version,
                    content: content.into(),
                });
            }
            let version = node.store.versions().of(DocumentKind::Configuration);
            let mut running = node.running.clone();
            let is_ready = |running: &std::sync::Arc<dogwoodbridge::conf::Running>| {
                running.revision >= version && !running.granted.is_empty()
            };
            running.wait_for(is_ready).await.expect("the task runs");
        }
    }

    fn seed(&self) -> String {
        self.addresses[0].to_string()
    }

    fn verdicts(&self) -> [KeyVerdict; 2] {
        let digest = KeyDigest::of_key(KEY);
        [
            self.nodes[0].key_verdict(&digest),
            self.nodes[1].key_verdict(&digest),
        ]
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.shutdown.cancel();
        }
    }
}

#[tokio::test]
async fn publish_waits_until_it_is_in_force_in_each_zone() {
    let mesh = Mesh::new().await;
    let seed = mesh.seed();
    let sync = async {
        while mesh.fake.get("configuration").0 < 2 {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        mesh.sync().await;
    };
    let wait = ["--nodes", &seed, "--wait-ms", "60000"];
    let (ran, ()) = tokio::join!(publish(&mesh.fake, &wait), sync);
    assert_eq!(ran.code, 0, "{}", ran.output);
    assert!(
        ran.output.contains("zone az1: in force (1 of 1 nodes)"),
        "{}",
        ran.output
    );
    assert!(
        ran.output.contains("zone az2: in force (1 of 1 nodes)"),
        "{}",
        ran.output
    );

    let ran = publish(&mesh.fake, &["--nodes", &seed, "--wait-ms", "100"]).await;
    assert_eq!(
        ran.code, 3,
        "published, but the nodes are behind: {}",
        ran.output
    );
    assert!(
        ran.output.contains("zone az2: NOT in force everywhere"),
        "{}",
        ran.output
    );
}

// A zone's only node has died. The operator must neither wait for it nor read
// that the revision is in force there.
#[tokio::test]
async fn publish_does_not_wait_for_nodes_that_do_not_answer() {
    let mesh = Mesh::new().await;
    mesh.nodes[1].shutdown.cancel();
    let seed = mesh.seed();
    let sync = async {
        while mesh.fake.get("configuration").0 < 2 {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        mesh.sync().await;
    };
    let wait = ["--nodes", &seed, "--wait-ms", "600000"];
    let (ran, ()) = tokio::join!(publish(&mesh.fake, &wait), sync);
    assert_eq!(ran.code, 3, "{}", ran.output);
    assert!(ran.output.contains("zone az1: in force"), "{}", ran.output);
    let dead = "zone az2: NOT in force everywhere (0 of 1 nodes, 1 did not answer)";
    assert!(ran.output.contains(dead), "{}", ran.output);
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

#[tokio::test]
async fn status_shows_zones_nodes_and_targets() {
    let mesh = Mesh::new().await;
    let seed = mesh.seed();
    let ran = ctl(&["status", "--nodes", &seed]).await;
    assert_eq!(ran.code, 0, "{}", ran.output);
    let zone = "zone az2: 1 nodes, 1 ready, revision 1, 64 quota slices, platform seen 12 ms ago";
    assert!(ran.output.contains(zone), "{}", ran.output);
    assert!(
        ran.output.contains("target catalog: 3 running"),
        "{}",
        ran.output
    );
    let ran = ctl(&["status", "--nodes", &seed, "--output", "json"]).await;
    let json: serde_json::Value = serde_json::from_str(&ran.output).expect("JSON");
    assert_eq!(json["nodes"][1]["status"]["versions"]["keys"], 1);

    mesh.nodes[1].shutdown.cancel();
    let gone = async {
        while tokio::net::TcpStream::connect(mesh.addresses[1])
            .await
            .is_ok()
        {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    };
    gone.await;
    let ran = ctl(&["status", "--nodes", &seed]).await;
    assert_eq!(ran.code, 3, "{}", ran.output);
    assert!(
        ran.output.contains("zone az2: 1 nodes (1 did not answer)"),
        "{}",
        ran.output
    );
}

#[tokio::test]
async fn drain_reaches_the_named_node_only() {
    let mesh = Mesh::new().await;
    let seed = mesh.seed();
    let ran = ctl(&["drain", "n2", "--nodes", &seed]).await;
    assert_eq!(ran.code, 0, "{}{}", ran.output, ran.errors);
    let drained = |index: usize| mesh.nodes[index].drained.load(Ordering::Relaxed);
    assert_eq!((drained(0), drained(1)), (false, true));
    let ran = ctl(&["drain", "n9", "--nodes", &seed]).await;
    assert_eq!(ran.code, 1);
    assert!(ran.errors.contains("known are: n1, n2"), "{}", ran.errors);
}

/// A request and what is explained about it.
struct ExplainCase {
    name: &'static str,
    request: &'static [&'static str],
    lowest_class: Class,
    reason: Option<&'static str>,
}

#[tokio::test]
async fn explain_tells_why() {
    const PRICES: &str = "prices/42";
    let cases = [
        ExplainCase {
            name: "admitted",
            request: &["--service", "catalog", "--path", PRICES, "--key", KEY],
            lowest_class: Class::Browse,
            reason: None,
        },
        ExplainCase {
            name: "by workspace",
            request: &[
                "--service",
                "catalog",
                "--path",
                PRICES,
                "--workspace",
                "back-office",
            ],
            lowest_class: Class::Browse,
            reason: None,
        },
        ExplainCase {
            name: "unknown key",
            request: &["--service", "catalog", "--path", PRICES, "--key", "other"],
            lowest_class: Class::Browse,
            reason: Some("unknown-key"),
        },
        ExplainCase {
            name: "no key",
            request: &["--service", "catalog", "--path", PRICES],
            lowest_class: Class::Browse,
            reason: Some("missing-key"),
        },
        ExplainCase {
            name: "no route",
            request: &["--service", "catalog", "--path", "other", "--key", KEY],
            lowest_class: Class::Browse,
            reason: Some("no-route"),
        },
        ExplainCase {
            name: "no service",
            request: &["--service", "catalogue", "--path", PRICES, "--key", KEY],
            lowest_class: Class::Browse,
            reason: Some("no-route"),
        },
        ExplainCase {
            name: "browsing under overload",
            request: &["--service", "catalog", "--path", PRICES, "--key", KEY],
            lowest_class: Class::Critical,
            reason: Some("overloaded"),
        },
        ExplainCase {
            name: "a price change under overload",
            request: &[
                "--service",
                "catalog",
                "--path",
                PRICES,
                "--key",
                KEY,
                "--method",
                "put",
            ],
            lowest_class: Class::Critical,
            reason: None,
        },
    ];
    let mesh = Mesh::new().await;
    let seed = mesh.seed();
    for case in cases {
        let level = AdmissionLevel {
            lowest_class: case.lowest_class,
            ..AdmissionLevel::idle()
        };
        *mesh.nodes[0].level.lock().expect("not poisoned") = level;
        let fixed = ["explain", "--nodes", &seed, "--output", "json"];
        let ran = ctl(&[&fixed[..], case.request].concat()).await;
        assert_eq!(ran.code, 0, "{}: {}", case.name, ran.errors);
        let json: serde_json::Value = serde_json::from_str(&ran.output).expect("JSON");
        assert_eq!(
            json["reason"].as_str(),
            case.reason,
            "{}: {}",
            case.name,
            ran.output
        );
        assert_eq!(json["admitted"], case.reason.is_none(), "{}", case.name);
    }
}

#[tokio::test]
async fn missing_flags_and_wrong_secrets_are_named() {
    let ran = ctl(&["status"]).await;
    assert_eq!(ran.code, 1);
    assert!(ran.errors.contains("--nodes is missing"), "{}", ran.errors);
    let mesh = Mesh::new().await;
    let seed = mesh.seed();
    let wrong = ["--nodes", &seed, "--operator-secret", "another-secret-here"];
    let ran = ctl(&[&["drain", &seed], &wrong[..]].concat()).await;
    assert_eq!(ran.code, 1);
    assert!(ran.errors.contains("--operator-secret"), "{}", ran.errors);
    assert!(!mesh.nodes[0].drained.load(Ordering::Relaxed));
    let ran = ctl(&["completions", "bash"]).await;
    assert!(ran.output.contains("_dogwoodctl"));
}
