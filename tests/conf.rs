//! Validation and compilation of operators' files, and the configuration in force.

use {
    dogwoodbridge::{
        conf::{
            CheckError, CompiledConfiguration, ConfigurationRecord, Problem, Publication,
            RulesRecord, check_dir, compile, covers, parse_path, spawn_configuration_task,
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

/// Temporary directory, removed when dropped.
struct TempDir(PathBuf);

impl TempDir {
    fn new(files: &[(&str, &str)]) -> Self {
        let path = std::env::temp_dir().join(format!("dogwood-conf-{}", Uuid::new_v4()));
        fs::create_dir_all(&path).expect("the temporary directory is writable");
        for (name, text) in files {
            let file = path.join(name);
            fs::create_dir_all(file.parent().expect("each file has a parent directory"))
                .expect("the temporary directory is writable");
            fs::write(file, text).expect("the temporary directory is writable");
        }
        Self(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn check_files(files: &[(&str, &str)]) -> Vec<Problem> {
    let dir = TempDir::new(files);
    match check_dir(&dir.0) {
        Ok(_) => Vec::new(),
        Err(CheckError::Problems(problems)) => problems,
        Err(error) => panic!("{error}"),
    }
}

/// A service file with one invalid line, and the problem expected for it.
struct BadService {
    name: &'static str,
    text: &'static str,
    line: usize,
    field: &'static str,
    expected_text: &'static str,
}

#[test]
fn problems_name_file_line_field_and_expected_value() {
    let cases = [
        BadService {
            name: "unknown field",
            text: "service = \"catalog\"\nretrys = 2\n",
            line: 2,
            field: "retrys",
            expected_text: "expected one of `service`, `retries`",
        },
        BadService {
            name: "syntax error",
            text: "service = \"catalog\"\nretries = = 2\n",
            line: 2,
            field: "=",
            expected_text: "",
        },
        BadService {
            name: "wrong type",
            text: "service = \"catalog\"\nretries = \"two\"\n",
            line: 2,
            field: "\"two\"",
            expected_text: "expected i64",
        },
        BadService {
            name: "retries out of range",
            text: "service = \"catalog\"\nretries = 11\n[[route]]\npath = \"a\"\nclass = \"standard\"\n",
            line: 2,
            field: "retries",
            expected_text: "expected 0 to 10",
        },
        BadService {
            name: "negative cold rate",
            text: "service = \"catalog\"\ncold_rate_per_s = -1\n[[route]]\npath = \"a\"\nclass = \"standard\"\n",
            line: 2,
            field: "cold_rate_per_s",
            expected_text: "expected 0 to 1000000",
        },
        BadService {
            name: "negative deadline",
            text: "service = \"catalog\"\n[[route]]\npath = \"a\"\nclass = \"standard\"\ndeadline_ms = -1\n",
            line: 5,
            field: "deadline_ms",
            expected_text: "expected 1 to 600000",
        },
        BadService {
            name: "unknown class",
            text: "service = \"catalog\"\n[[route]]\npath = \"a\"\nclass = \"vital\"\n",
            line: 4,
            field: "class",
            expected_text: "expected browse, standard or critical",
        },
        BadService {
            name: "missing class",
            text: "service = \"catalog\"\n\n[[route]]\npath = \"a\"\n",
            line: 3,
            field: "class",
            expected_text: "expected browse, standard or critical",
        },
        BadService {
            name: "missing path",
            text: "service = \"catalog\"\n[[route]]\nclass = \"standard\"\n",
            line: 2,
            field: "path",
            expected_text: "give the path",
        },
        BadService {
            name: "unknown method",
            text: "service = \"catalog\"\n[[route]]\npath = \"a\"\nclass = \"standard\"\nmethods = [\"GET\", \"FETCH\"]\n",
            line: 5,
            field: "methods",
            expected_text: "expected GET",
        },
        BadService {
            name: "** not last",
            text: "service = \"catalog\"\n[[route]]\npath = \"a/**/b\"\nclass = \"standard\"\n",
            line: 3,
            field: "path",
            expected_text: "put it last",
        },
        BadService {
            name: "wildcard inside a segment",
            text: "service = \"catalog\"\n[[route]]\npath = \"a*/b\"\nclass = \"standard\"\n",
            line: 3,
            field: "path",
            expected_text: "between slashes",
        },
        BadService {
            name: "route covered by an earlier one",
            text: "service = \"catalog\"\n[[route]]\npath = \"**\"\nclass = \"standard\"\n[[route]]\nmethods = [\"POST\"]\npath = \"orders\"\nclass = \"critical\"\n",
            line: 5,
            field: "route",
            expected_text: "can never match",
        },
        BadService {
            name: "unrepeatable route in class browse",
            text: "service = \"catalog\"\n[[route]]\npath = \"a\"\nclass = \"browse\"\nrepeatable = false\n",
            line: 5,
            field: "repeatable",
            expected_text: "critical",
        },
        BadService {
            name: "repeatable without methods",
            text: "service = \"catalog\"\n[[route]]\npath = \"a\"\nclass = \"standard\"\nrepeatable = true\n",
            line: 5,
            field: "repeatable",
            expected_text: "needs methods",
        },
        BadService {
            name: "no route",
            text: "service = \"catalog\"\n",
            line: 1,
            field: "route",
            expected_text: "at least one",
        },
        BadService {
            name: "no service name",
            text: "[[route]]\npath = \"a\"\nclass = \"standard\"\n",
            line: 1,
            field: "service",
            expected_text: "give a name",
        },
        BadService {
            name: "service name that is invalid in a path",
            text: "service = \"cata/log\"\n[[route]]\npath = \"a\"\nclass = \"standard\"\n",
            line: 1,
            field: "service",
            expected_text: "letters",
        },
    ];
    for case in cases {
        let found = check_files(&[("catalog.toml", case.text), ("workspaces.toml", WORKSPACES)]);
        assert_eq!(found.len(), 1, "{}: {found:?}", case.name);
        let problem = &found[0];
        assert_eq!(problem.file, "catalog.toml", "{}", case.name);
        assert_eq!(problem.line, case.line, "{}: {problem}", case.name);
        assert_eq!(problem.field, case.field, "{}: {problem}", case.name);
        assert!(
            problem.message.contains(case.expected_text),
            "{}: {problem}",
            case.name
        );
    }
}

/// A workspaces file with one invalid line, and the problem expected for it.
struct BadWorkspaces {
    name: &'static str,
    text: &'static str,
    line: usize,
    field: &'static str,
}

#[test]
fn invalid_workspaces_are_reported() {
    let cases = [
        BadWorkspaces {
            name: "workspace defined twice",
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
            name: "key lease of two days",
            text: "[[workspace]]\nname = \"shop\"\nrate_per_s = 1\nburst = 1\nkey_lease_s = 172800\n",
            line: 5,
            field: "key_lease_s",
        },
    ];
    for case in cases {
        let found = check_files(&[("catalog.toml", CATALOG), ("workspaces.toml", case.text)]);
        assert_eq!(found.len(), 1, "{}: {found:?}", case.name);
        assert_eq!(found[0].line, case.line, "{}: {}", case.name, found[0]);
        assert_eq!(found[0].field, case.field, "{}: {}", case.name, found[0]);
    }
}

#[test]
fn all_problems_are_reported_together() {
    let catalog =
        "service = \"catalog\"\nretries = 99\n[[route]]\npath = \"a*\"\nclass = \"vital\"\n";
    let orders = "servce = \"orders\"\n";
    let workspaces = "[[workspace]]\nname = \"shop\"\nrate_per_s = 0\nburst = 0\n";
    let found = check_files(&[
        ("catalog.toml", catalog),
        ("orders.toml", orders),
        ("workspaces.toml", workspaces),
    ]);
    let locations: Vec<String> = found
        .iter()
        .map(|problem| format!("{}:{}", problem.file, problem.line))
        .collect();
    let expected = [
        "catalog.toml:2",
        "catalog.toml:4",
        "catalog.toml:5",
        "orders.toml:1",
        "workspaces.toml:3",
        "workspaces.toml:4",
    ];
    assert_eq!(locations, expected, "{found:?}");
}

#[test]
fn missing_and_duplicate_files_are_reported() {
    let found = check_files(&[("catalog.toml", CATALOG)]);
    assert_eq!((found.len(), found[0].field.as_str()), (1, "workspace"));
    let found = check_files(&[("workspaces.toml", WORKSPACES)]);
    assert_eq!((found.len(), found[0].field.as_str()), (1, "service"));
    let found = check_files(&[
        ("catalog.toml", CATALOG),
        ("code/dogwood.toml", CATALOG),
        ("workspaces.toml", WORKSPACES),
    ]);
    assert_eq!((found.len(), found[0].field.as_str()), (1, "service"));
    let unreadable = check_dir(Path::new("no-such-directory"));
    assert!(matches!(unreadable, Err(CheckError::Unreadable { .. })));
}

#[test]
fn service_files_in_subdirectories_are_collected() {
    let dir = TempDir::new(&[
        ("workspaces.toml", WORKSPACES),
        ("services/catalog/dogwood.toml", CATALOG),
        ("services/catalog/Cargo.toml", "[package]\n"),
    ]);
    let rules = check_dir(&dir.0).expect("the files are valid");
    assert_eq!(rules.services.len(), 1);
}

#[test]
fn example_configurations_are_valid() {
    for example in ["cascade-tally", "injectio"] {
        let dir = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("examples")
            .join(example);
        let rules = check_dir(&dir).unwrap_or_else(|error| panic!("{example}: {error:?}"));
        assert_eq!(
            (rules.services.len(), rules.workspaces.len()),
            (4, 8),
            "{example}"
        );
    }
}

/// Whether `outer` matches every path that `inner` matches.
struct CoverCase {
    outer: &'static str,
    inner: &'static str,
    covered: bool,
}

#[test]
fn covers_reports_patterns_that_match_all_paths_of_another() {
    let cases = [
        CoverCase {
            outer: "**",
            inner: "",
            covered: true,
        },
        CoverCase {
            outer: "a/**",
            inner: "a",
            covered: true,
        },
        CoverCase {
            outer: "a/*",
            inner: "a/b",
            covered: true,
        },
        CoverCase {
            outer: "a/*",
            inner: "a/**",
            covered: false,
        },
        CoverCase {
            outer: "a/b",
            inner: "a/*",
            covered: false,
        },
        CoverCase {
            outer: "*/b",
            inner: "a/b",
            covered: true,
        },
        CoverCase {
            outer: "a/*",
            inner: "a/b/c",
            covered: false,
        },
        CoverCase {
            outer: "a",
            inner: "a/b",
            covered: false,
        },
        CoverCase {
            outer: "a/b",
            inner: "a",
            covered: false,
        },
        CoverCase {
            outer: "",
            inner: "",
            covered: true,
        },
    ];
    for CoverCase {
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

fn example_rules() -> RulesRecord {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/cascade-tally");
    check_dir(&dir).expect("the example is valid")
}

fn configuration_document(version: u64, rules: RulesRecord) -> Document {
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
        &serde_json::to_vec(&record).expect("the record serializes to JSON"),
    )
}

fn document(kind: DocumentKind, version: u64, content: &[u8]) -> Document {
    Document {
        kind,
        version,
        content: Arc::from(content),
    }
}

fn keys_document(version: u64, granted: &[(&str, &str)], revoked: &[&str]) -> Document {
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
fn rules_and_keys_are_compiled() {
    let names = Names::new();
    let granted = [
        ("k1", "summit-cards"),
        ("k2", "summit-cards"),
        ("k3", "nobody"),
    ];
    let keys = keys_document(3, &granted, &["k2"]);
    let compiled = compile(
        &configuration_document(7, example_rules()),
        Some(&keys),
        &names,
    )
    .expect("the documents compile");
    assert_eq!(compiled.revision, 7);
    let catalog = compiled.service_names["catalog"];
    let route = compiled
        .route(catalog, "PUT", "/prices/42")
        .expect("a route matches");
    assert_eq!((route.class, route.repeatable), (Class::Critical, false));
    assert_eq!(route.deadline_ms, 2_000);
    let summit_cards = names.workspace("summit-cards");
    assert_eq!(compiled.workspaces[&summit_cards].rate.burst_count, 400);
    assert_eq!(compiled.workspaces[&summit_cards].key_lease_ms, 60_000);
    let key_state = |key| compiled.key_state(&KeyDigest::of_key(key));
    assert_eq!(key_state("k1"), KeyState::Granted(summit_cards));
    assert_eq!(key_state("k2"), KeyState::Revoked);
    assert_eq!(key_state("k3"), KeyState::Unknown);
}

#[test]
fn compiling_arbitrary_documents_does_not_panic() {
    bolero::check!()
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .for_each(|(rules, keys)| {
            let rules = document(DocumentKind::Configuration, 1, rules);
            let keys = document(DocumentKind::Keys, 1, keys);
            let _ = compile(&rules, Some(&keys), &Names::new());
        });
}

#[test]
fn parsing_arbitrary_path_patterns_does_not_panic() {
    bolero::check!().with_type::<String>().for_each(|path| {
        if let Ok(segments) = parse_path(path) {
            assert!(covers(&segments, &segments), "{path:?} must cover itself");
        }
    });
}

#[test]
fn invalid_documents_are_rejected() {
    let names = Names::new();
    let invalid = document(DocumentKind::Configuration, 1, b"{");
    assert!(compile(&invalid, None, &names).is_err());
    let invalid = document(DocumentKind::Keys, 1, b"[]");
    assert!(
        compile(
            &configuration_document(1, example_rules()),
            Some(&invalid),
            &names
        )
        .is_err()
    );
}

/// Documents and revocations of a node, and the configuration in force.
struct Fixture {
    store: DocumentStore,
    revocations: Revocations,
    configuration: watch::Receiver<Arc<CompiledConfiguration>>,
    shutdown: CancellationToken,
}

impl Fixture {
    fn new() -> Self {
        let store = DocumentStore::new();
        let revocations = Revocations::new();
        let shutdown = CancellationToken::new();
        let configuration =
            spawn_configuration_task(&store, &revocations, Names::new(), shutdown.clone());
        Self {
            store,
            revocations,
            configuration,
            shutdown,
        }
    }

    async fn wait_until(&mut self, condition: impl FnMut(&Arc<CompiledConfiguration>) -> bool) {
        timeout(
            Duration::from_secs(20),
            self.configuration.wait_for(condition),
        )
        .await
        .expect("the configuration comes into force within 20 s")
        .expect("the configuration task runs");
    }

    fn key_state(&self, key: &str) -> KeyState {
        self.configuration
            .borrow()
            .key_state(&KeyDigest::of_key(key))
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

// A tool publishes a document that nodes cannot parse. Requests must not be
// affected: the previous revision stays in force until the next valid one.
#[tokio::test]
async fn previous_revision_stays_in_force_when_a_document_is_invalid() {
    let mut fixture = Fixture::new();
    fixture
        .store
        .offer(configuration_document(1, example_rules()));
    fixture
        .wait_until(|configuration| configuration.revision == 1)
        .await;
    fixture
        .store
        .offer(document(DocumentKind::Configuration, 2, b"{"));
    fixture.revocations.apply(KeyDigest::of_key("k1"));
    fixture
        .wait_until(|configuration| configuration.revoked.len() == 1)
        .await;
    assert_eq!(fixture.configuration.borrow().revision, 1);
    fixture
        .store
        .offer(configuration_document(3, example_rules()));
    fixture
        .wait_until(|configuration| configuration.revision == 3)
        .await;
}

// While the platform is down, an operator sends a revocation directly to the
// nodes. Later versions of the keys document, written from an older copy, lack
// it; the key must stay revoked.
#[tokio::test]
async fn direct_revocation_survives_documents_that_lack_it() {
    let mut fixture = Fixture::new();
    fixture
        .store
        .offer(configuration_document(1, example_rules()));
    fixture
        .store
        .offer(keys_document(1, &[("k1", "summit-cards")], &[]));
    let digest = KeyDigest::of_key("k1");
    fixture
        .wait_until(|configuration| configuration.granted.contains_key(&digest))
        .await;
    fixture.revocations.apply(digest);
    fixture
        .wait_until(|configuration| configuration.revoked.contains(&digest))
        .await;
    let granted = [("k1", "summit-cards"), ("k2", "summit-cards")];
    fixture.store.offer(keys_document(2, &granted, &[]));
    fixture
        .wait_until(|configuration| configuration.granted.len() == 2)
        .await;
    assert_eq!(fixture.key_state("k1"), KeyState::Revoked);
    assert!(fixture.revocations.pending().contains(&digest));

    fixture.store.offer(keys_document(3, &granted, &["k1"]));
    fixture
        .wait_until(|configuration| configuration.granted.len() == 1)
        .await;
    let mut pending = fixture.revocations.subscribe();
    let until_empty = pending.wait_for(|pending| pending.is_empty());
    timeout(Duration::from_secs(20), until_empty)
        .await
        .expect("the revocation is confirmed by the document")
        .expect("the sender of the set exists");

    fixture.store.offer(keys_document(4, &granted, &[]));
    fixture
        .wait_until(|configuration| configuration.granted.len() == 2)
        .await;
    assert_eq!(fixture.key_state("k1"), KeyState::Revoked);
}
