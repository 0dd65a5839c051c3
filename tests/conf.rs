//! Operators' files: what the check reports, what compiles, what stays in force.

use {
    dogwoodbridge::{
        conf::{
            CheckError, ConfigurationRecord, Problem, Publication, RulesRecord, Running, check_dir,
            compile, covers, parse_path, spawn_in_force,
        },
        documents::{Document, DocumentKind, DocumentStore},
        keys::{KeyDigest, KeyState, KeysRecord, Revocations},
        model::{Class, Names},
    },
    std::{
        fs,
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
    tokio_util::sync::CancellationToken,
    uuid::Uuid,
};

const WORKSPACES: &str = "[[workspace]]\nname = \"shop\"\nrate_per_s = 10\nburst = 20\n";
const CATALOG: &str =
    "service = \"catalog\"\n[[route]]\npath = \"prices/*\"\nclass = \"standard\"\n";

/// A directory of its own that goes with the test.
struct Dir(PathBuf);

impl Dir {
    fn new(files: &[(&str, &str)]) -> Self {
        let path = std::env::temp_dir().join(format!("dogwood-conf-{}", Uuid::new_v4()));
        fs::create_dir_all(&path).expect("the temporary directory is writable");
        for (name, text) in files {
            let file = path.join(name);
            fs::create_dir_all(file.parent().expect("files stand in a directory"))
                .expect("the temporary directory is writable");
            fs::write(file, text).expect("the temporary directory is writable");
        }
        Self(path)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn problems(files: &[(&str, &str)]) -> Vec<Problem> {
    let dir = Dir::new(files);
    match check_dir(&dir.0) {
        Ok(_) => Vec::new(),
        Err(CheckError::Problems(problems)) => problems,
        Err(error) => panic!("{error}"),
    }
}

/// A wrong line in the file of a service, and what the check says of it.
struct BadService {
    name: &'static str,
    text: &'static str,
    line: usize,
    field: &'static str,
    says: &'static str,
}

#[test]
fn names_file_line_field_and_what_would_be_right() {
    let cases = [
        BadService {
            name: "unknown field",
            text: "service = \"catalog\"\nretrys = 2\n",
            line: 2,
            field: "retrys",
            says: "expected one of `service`, `retries`",
        },
        BadService {
            name: "syntax",
            text: "service = \"catalog\"\nretries = = 2\n",
            line: 2,
            field: "=",
            says: "",
        },
        BadService {
            name: "type",
            text: "service = \"catalog\"\nretries = \"two\"\n",
            line: 2,
            field: "\"two\"",
            says: "expected i64",
        },
        BadService {
            name: "retries out of range",
            text: "service = \"catalog\"\nretries = 11\n[[route]]\npath = \"a\"\nclass = \"standard\"\n",
            line: 2,
            field: "retries",
            says: "expected 0 to 10",
        },
        BadService {
            name: "negative cold rate",
            text: "service = \"catalog\"\ncold_rate_per_s = -1\n[[route]]\npath = \"a\"\nclass = \"standard\"\n",
            line: 2,
            field: "cold_rate_per_s",
            says: "expected 0 to 1000000",
        },
        BadService {
            name: "negative deadline",
            text: "service = \"catalog\"\n[[route]]\npath = \"a\"\nclass = \"standard\"\ndeadline_ms = -1\n",
            line: 5,
            field: "deadline_ms",
            says: "expected 1 to 600000",
        },
        BadService {
            name: "unknown class",
            text: "service = \"catalog\"\n[[route]]\npath = \"a\"\nclass = \"vital\"\n",
            line: 4,
            field: "class",
            says: "expected browse, standard or critical",
        },
        BadService {
            name: "missing class",
            text: "service = \"catalog\"\n\n[[route]]\npath = \"a\"\n",
            line: 3,
            field: "class",
            says: "expected browse, standard or critical",
        },
        BadService {
            name: "missing path",
            text: "service = \"catalog\"\n[[route]]\nclass = \"standard\"\n",
            line: 2,
            field: "path",
            says: "give the path",
        },
        BadService {
            name: "unknown method",
            text: "service = \"catalog\"\n[[route]]\npath = \"a\"\nclass = \"standard\"\nmethods = [\"GET\", \"FETCH\"]\n",
            line: 5,
            field: "methods",
            says: "expected GET",
        },
        BadService {
            name: "rest not last",
            text: "service = \"catalog\"\n[[route]]\npath = \"a/**/b\"\nclass = \"standard\"\n",
            line: 3,
            field: "path",
            says: "put it last",
        },
        BadService {
            name: "wildcard inside a segment",
            text: "service = \"catalog\"\n[[route]]\npath = \"a*/b\"\nclass = \"standard\"\n",
            line: 3,
            field: "path",
            says: "between slashes",
        },
        BadService {
            name: "route that can never match",
            text: "service = \"catalog\"\n[[route]]\npath = \"**\"\nclass = \"standard\"\n[[route]]\nmethods = [\"POST\"]\npath = \"orders\"\nclass = \"critical\"\n",
            line: 5,
            field: "route",
            says: "can never match",
        },
        BadService {
            name: "unrepeatable and browse",
            text: "service = \"catalog\"\n[[route]]\npath = \"a\"\nclass = \"browse\"\nrepeatable = false\n",
            line: 5,
            field: "repeatable",
            says: "critical",
        },
        BadService {
            name: "repeatable whatever the method",
            text: "service = \"catalog\"\n[[route]]\npath = \"a\"\nclass = \"standard\"\nrepeatable = true\n",
            line: 5,
            field: "repeatable",
            says: "needs methods",
        },
        BadService {
            name: "no route",
            text: "service = \"catalog\"\n",
            line: 1,
            field: "route",
            says: "at least one",
        },
        BadService {
            name: "no service name",
            text: "[[route]]\npath = \"a\"\nclass = \"standard\"\n",
            line: 1,
            field: "service",
            says: "give a name",
        },
        BadService {
            name: "service name that no path can hold",
            text: "service = \"cata/log\"\n[[route]]\npath = \"a\"\nclass = \"standard\"\n",
            line: 1,
            field: "service",
            says: "letters",
        },
    ];
    for case in cases {
        let found = problems(&[("catalog.toml", case.text), ("workspaces.toml", WORKSPACES)]);
        assert_eq!(found.len(), 1, "{}: {found:?}", case.name);
        let problem = &found[0];
        assert_eq!(problem.file, "catalog.toml", "{}", case.name);
        assert_eq!(problem.line, case.line, "{}: {problem}", case.name);
        assert_eq!(problem.field, case.field, "{}: {problem}", case.name);
        assert!(
            problem.message.contains(case.says),
            "{}: {problem}",
            case.name
        );
    }
}

/// Wrong workspaces.
struct BadWorkspaces {
    name: &'static str,
    text: &'static str,
    line: usize,
    field: &'static str,
}

#[test]
fn checks_workspaces() {
    let cases = [
        BadWorkspaces {
            name: "twice",
            text: "[[workspace]]\nname = \"shop\"\nrate_per_s = 1\nburst = 1\n[[workspace]]\nname = \"shop\"\nrate_per_s = 1\nburst = 1\n",
            line: 5,
            field: "name",
        },
        BadWorkspaces {
            name: "rate 0",
            text: "[[workspace]]\nname = \"shop\"\nrate_per_s = 0\nburst = 1\n",
            line: 3,
            field: "rate_per_s",
        },
        BadWorkspaces {
            name: "no burst",
            text: "[[workspace]]\nname = \"shop\"\nrate_per_s = 1\n",
            line: 1,
            field: "burst",
        },
        BadWorkspaces {
            name: "lease of two days",
            text: "[[workspace]]\nname = \"shop\"\nrate_per_s = 1\nburst = 1\nkey_lease_s = 172800\n",
            line: 5,
            field: "key_lease_s",
        },
    ];
    for case in cases {
        let found = problems(&[("catalog.toml", CATALOG), ("workspaces.toml", case.text)]);
        assert_eq!(found.len(), 1, "{}: {found:?}", case.name);
        assert_eq!(found[0].line, case.line, "{}: {}", case.name, found[0]);
        assert_eq!(found[0].field, case.field, "{}: {}", case.name, found[0]);
    }
}

#[test]
fn reports_all_problems_at_once() {
    let catalog =
        "service = \"catalog\"\nretries = 99\n[[route]]\npath = \"a*\"\nclass = \"vital\"\n";
    let orders = "servce = \"orders\"\n";
    let workspaces = "[[workspace]]\nname = \"shop\"\nrate_per_s = 0\nburst = 0\n";
    let found = problems(&[
        ("catalog.toml", catalog),
        ("orders.toml", orders),
        ("workspaces.toml", workspaces),
    ]);
    let places: Vec<String> = found
        .iter()
        .map(|p| format!("{}:{}", p.file, p.line))
        .collect();
    let expected = [
        "catalog.toml:2",
        "catalog.toml:4",
        "catalog.toml:5",
        "orders.toml:1",
        "workspaces.toml:3",
        "workspaces.toml:4",
    ];
    assert_eq!(places, expected, "{found:?}");
}

#[test]
fn finds_missing_and_doubled_files() {
    let found = problems(&[("catalog.toml", CATALOG)]);
    assert_eq!((found.len(), found[0].field.as_str()), (1, "workspace"));
    let found = problems(&[("workspaces.toml", WORKSPACES)]);
    assert_eq!((found.len(), found[0].field.as_str()), (1, "service"));
    let found = problems(&[
        ("catalog.toml", CATALOG),
        ("code/dogwood.toml", CATALOG),
        ("workspaces.toml", WORKSPACES),
    ]);
    assert_eq!((found.len(), found[0].field.as_str()), (1, "service"));
    let unreadable = check_dir(Path::new("no-such-directory"));
    assert!(matches!(unreadable, Err(CheckError::Unreadable { .. })));
}

#[test]
fn collects_service_files_beside_the_code() {
    let dir = Dir::new(&[
        ("workspaces.toml", WORKSPACES),
        ("services/catalog/dogwood.toml", CATALOG),
        ("services/catalog/Cargo.toml", "[package]\n"),
    ]);
    let rules = check_dir(&dir.0).expect("the files are right");
    assert_eq!(rules.services.len(), 1);
}

#[test]
fn examples_pass_the_check() {
    for firm in ["cascade-tally", "injectio"] {
        let dir = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("examples")
            .join(firm);
        let rules = check_dir(&dir).unwrap_or_else(|error| panic!("{firm}: {error:?}"));
        assert_eq!(
            (rules.services.len(), rules.workspaces.len()),
            (4, 8),
            "{firm}"
        );
    }
}

/// Whether one pattern matches all that another one does.
struct Cover {
    outer: &'static str,
    inner: &'static str,
    covered: bool,
}

#[test]
fn knows_which_patterns_cover_others() {
    let cases = [
        Cover {
            outer: "**",
            inner: "",
            covered: true,
        },
        Cover {
            outer: "a/**",
            inner: "a",
            covered: true,
        },
        Cover {
            outer: "a/*",
            inner: "a/b",
            covered: true,
        },
        Cover {
            outer: "a/*",
            inner: "a/**",
            covered: false,
        },
        Cover {
            outer: "a/b",
            inner: "a/*",
            covered: false,
        },
        Cover {
            outer: "*/b",
            inner: "a/b",
            covered: true,
        },
        Cover {
            outer: "a/*",
            inner: "a/b/c",
            covered: false,
        },
        Cover {
            outer: "a",
            inner: "a/b",
            covered: false,
        },
        Cover {
            outer: "a/b",
            inner: "a",
            covered: false,
        },
        Cover {
            outer: "",
            inner: "",
            covered: true,
        },
    ];
    for Cover {
        outer,
        inner,
        covered,
    } in cases
    {
        let outer_segments = parse_path(outer).expect("a valid pattern");
        let inner_segments = parse_path(inner).expect("a valid pattern");
        assert_eq!(
            covers(&outer_segments, &inner_segments),
            covered,
            "{outer} {inner}"
        );
    }
}

fn example() -> RulesRecord {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/cascade-tally");
    check_dir(&dir).expect("the example is right")
}

fn configuration(version: u64, rules: RulesRecord) -> Document {
    let record = ConfigurationRecord {
        publication: Publication {
            publish_id: Uuid::new_v4(),
            publisher: "test".to_owned(),
            published_unix_ms: 0,
        },
        rules,
    };
    document(
        DocumentKind::Configuration,
        version,
        &serde_json::to_vec(&record).expect("plain data"),
    )
}

fn document(kind: DocumentKind, version: u64, content: &[u8]) -> Document {
    Document {
        kind,
        version,
        content: Arc::from(content),
    }
}

fn keys(version: u64, granted: &[(&str, &str)], revoked: &[&str]) -> Document {
    let mut record = KeysRecord::default();
    for (key, workspace) in granted {
        record
            .grant(KeyDigest::of_key(key), workspace, 0)
            .expect("a new key");
    }
    for key in revoked {
        record.revoke(KeyDigest::of_key(key), 0);
    }
    document(DocumentKind::Keys, version, &record.write())
}

#[test]
fn compiles_rules_and_keys() {
    let names = Names::new();
    let granted = [
        ("k1", "summit-cards"),
        ("k2", "summit-cards"),
        ("k3", "nobody"),
    ];
    let keys = keys(3, &granted, &["k2"]);
    let running = compile(&configuration(7, example()), Some(&keys), &names).expect("compiles");
    assert_eq!(running.revision, 7);
    let catalog = running.service_names["catalog"];
    let route = running
        .route(catalog, "PUT", "/prices/42")
        .expect("a route");
    assert_eq!((route.class, route.repeatable), (Class::Critical, false));
    assert_eq!(route.deadline_ms, 2_000);
    let summit = names.workspace("summit-cards");
    assert_eq!(running.workspaces[&summit].rate.burst_count, 400);
    assert_eq!(running.workspaces[&summit].key_lease_ms, 60_000);
    let state = |key| running.key_state(&KeyDigest::of_key(key));
    assert_eq!(state("k1"), KeyState::Granted(summit));
    assert_eq!(state("k2"), KeyState::Revoked);
    assert_eq!(state("k3"), KeyState::Unknown);
}

#[test]
fn any_documents_compile_or_are_refused_without_panic() {
    bolero::check!()
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .for_each(|(rules, keys)| {
            let rules = document(DocumentKind::Configuration, 1, rules);
            let keys = document(DocumentKind::Keys, 1, keys);
            let _ = compile(&rules, Some(&keys), &Names::new());
        });
}

#[test]
fn any_path_pattern_is_read_without_panic() {
    bolero::check!().with_type::<String>().for_each(|path| {
        if let Ok(segments) = parse_path(path) {
            assert!(covers(&segments, &segments), "{path:?} covers itself");
        }
    });
}

#[test]
fn refuses_documents_that_cannot_be_read() {
    let names = Names::new();
    let broken = document(DocumentKind::Configuration, 1, b"{");
    assert!(compile(&broken, None, &names).is_err());
    let broken = document(DocumentKind::Keys, 1, b"[]");
    assert!(compile(&configuration(1, example()), Some(&broken), &names).is_err());
}

/// A node's documents, revocations and what it has in force.
struct Node {
    store: DocumentStore,
    revocations: Revocations,
    running: watch::Receiver<Arc<Running>>,
    shutdown: CancellationToken,
}

impl Node {
    fn new() -> Self {
        let store = DocumentStore::new();
        let revocations = Revocations::new();
        let shutdown = CancellationToken::new();
        let running = spawn_in_force(&store, &revocations, Names::new(), shutdown.clone());
        Self {
            store,
            revocations,
            running,
            shutdown,
        }
    }

    async fn wait(&mut self, holds: impl FnMut(&Arc<Running>) -> bool) {
        timeout(Duration::from_secs(20), self.running.wait_for(holds))
            .await
            .expect("comes into force")
            .expect("the task runs");
    }

    fn state(&self, key: &str) -> KeyState {
        self.running.borrow().key_state(&KeyDigest::of_key(key))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

// A tool writes a document that nodes cannot read. Users must notice nothing:
// the earlier revision stays in force, and the next good one replaces it.
#[tokio::test]
async fn keeps_the_earlier_revision_when_a_document_is_broken() {
    let mut node = Node::new();
    node.store.offer(configuration(1, example()));
    node.wait(|running| running.revision == 1).await;
    node.store
        .offer(document(DocumentKind::Configuration, 2, b"{"));
    node.revocations.apply(KeyDigest::of_key("k1"));
    node.wait(|running| running.revoked.len() == 1).await;
    assert_eq!(node.running.borrow().revision, 1);
    node.store.offer(configuration(3, example()));
    node.wait(|running| running.revision == 3).await;
}

// An operator revokes a key while the platform is down and tells the nodes
// directly. Later versions of the keys document, written from an older copy,
// lack the revocation; the key must not work again.
#[tokio::test]
async fn revocation_told_directly_survives_documents_that_lack_it() {
    let mut node = Node::new();
    node.store.offer(configuration(1, example()));
    node.store.offer(keys(1, &[("k1", "summit-cards")], &[]));
    let digest = KeyDigest::of_key("k1");
    node.wait(|running| running.granted.contains_key(&digest))
        .await;
    node.revocations.apply(digest);
    node.wait(|running| running.revoked.contains(&digest)).await;
    let granted = [("k1", "summit-cards"), ("k2", "summit-cards")];
    node.store.offer(keys(2, &granted, &[]));
    node.wait(|running| running.granted.len() == 2).await;
    assert_eq!(node.state("k1"), KeyState::Revoked);
    assert!(node.revocations.pending().contains(&digest));

    node.store.offer(keys(3, &granted, &["k1"]));
    node.wait(|running| running.granted.len() == 1).await;
    let mut pending = node.revocations.subscribe();
    let emptied = pending.wait_for(|pending| pending.is_empty());
    timeout(Duration::from_secs(20), emptied)
        .await
        .expect("the document has it")
        .expect("the set lives");

    node.store.offer(keys(4, &granted, &[]));
    node.wait(|running| running.granted.len() == 2).await;
    assert_eq!(node.state("k1"), KeyState::Revoked);
}
