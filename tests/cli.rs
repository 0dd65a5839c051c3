//! `dogwoodctl` as operators run it: check, status, drain, explain.

mod platform_support;

use {
    dogwoodbridge::model::{AdmissionLevel, Class},
    platform_support::{
        FakePlatform,
        ctl::{KEY, Mesh, ctl, example},
    },
    std::sync::atomic::Ordering,
    uuid::Uuid,
};

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
    let held_back = "from browse upwards, cold, EVACUATED";
    assert!(ran.output.contains(held_back), "{}", ran.output);
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
