//! Runs `dogwoodctl` against a fake object API and two fake nodes.

use {
    super::{
        FakePlatform,
        node::{FakeNode, SECRET},
    },
    dogwoodbridge::{
        conf::{CompiledConfiguration, ConfigurationRecord, Publication, check_dir},
        control::{KeyVerdict, Operated},
        documents::{Document, DocumentKind},
        keys::{KeyDigest, KeysRecord},
    },
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
        process::Output,
        sync::Arc,
    },
    tokio::process::Command,
    uuid::Uuid,
};

pub fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
}

pub struct CommandResult {
    pub code: i32,
    pub output: String,
    pub errors: String,
}

pub async fn ctl(arguments: &[&str]) -> CommandResult {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_dogwoodctl"))
        .args(arguments)
        .env_remove("DOGWOOD_NODES")
        .env_remove("DOGWOOD_PLATFORM")
        .env("DOGWOOD_OPERATOR_SECRET", SECRET)
        .output()
        .await
        .expect("dogwoodctl starts");
    CommandResult {
        code: output.status.code().expect("it exits without a signal"),
        output: String::from_utf8(output.stdout).expect("UTF-8"),
        errors: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

pub async fn publish(fake: &FakePlatform, extra_arguments: &[&str]) -> CommandResult {
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
    arguments.extend(extra_arguments);
    ctl(&arguments).await
}

pub fn published_by(publisher: &str) -> Vec<u8> {
    let record = ConfigurationRecord {
        publication: Publication {
            publish_id: Uuid::new_v4(),
            publisher: publisher.to_owned(),
            published_unix_ms: 1,
        },
        rules: check_dir(&example("injectio")).expect("the example is valid"),
    };
    serde_json::to_vec(&record).expect("plain data")
}

pub fn publisher_in(fake: &FakePlatform) -> Option<String> {
    let (_, content) = fake.get("configuration");
    let record: Option<ConfigurationRecord> = serde_json::from_slice(&content).ok();
    record.map(|record| record.publication.publisher)
}

/// Two zones with one node each that know each other, a published configuration
/// and one key.
pub struct Mesh {
    pub fake: FakePlatform,
    pub nodes: [FakeNode; 2],
    pub addresses: [SocketAddr; 2],
}

pub const KEY: &str = "dwk_test";

impl Mesh {
    pub async fn new() -> Self {
        let fake = FakePlatform::new().await;
        assert_eq!(publish(&fake, &[]).await.code, 0);
        let mut keys = KeysRecord::default();
        keys.grant(KeyDigest::of_key(KEY), "summit-cards", 0)
            .expect("a new key");
        fake.put("keys", &keys.write());
        let (first, first_address) = FakeNode::spawn("n1", "az1").await;
        let (second, second_address) = FakeNode::spawn("n2", "az2").await;
        let members = vec![first.member(first_address), second.member(second_address)];
        for node in [&first, &second] {
            *node.members.lock().expect("not poisoned") = members.clone();
        }
        let mesh = Self {
            fake,
            nodes: [first, second],
            addresses: [first_address, second_address],
        };
        mesh.sync().await;
        mesh
    }

    /// Copies the platform's documents to the running nodes.
    pub async fn sync(&self) {
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
            let is_ready = |running: &Arc<CompiledConfiguration>| {
                running.revision >= version && !running.granted.is_empty()
            };
            running.wait_for(is_ready).await.expect("the task runs");
        }
    }

    pub fn seed(&self) -> String {
        self.addresses[0].to_string()
    }

    pub fn verdicts(&self) -> [KeyVerdict; 2] {
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
