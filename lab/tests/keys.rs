//! Tenant keys: who gets in, what targets see, and how fast a key is gone.

use {
    lab::{
        caller::{CallRequest, Judgement},
        mesh::Mesh,
        proofs::{
            Fixture, MAIN, SMALL, SMALL_BURST, SMALL_RATE_PER_S, Sent, Violation, pair, violations,
        },
        rules::{cut, cut_from_platform, cut_one_way, isolate},
        wait::{GENEROUS_LIMIT, wait_until},
    },
    standins::{
        faultproxy::{CutMode, Rule},
        platform,
    },
    std::time::{Duration, Instant},
};

/// The product claims 5 s. The machine may be busy with other tests, so the
/// measured time is printed, and only far more than the claim fails.
const REVOCATION_LIMIT: Duration = Duration::from_secs(15);

/// A caller presents no key, one that nobody granted, or one that is gone. It
/// gets 401 with `not-run`, and no target ever hears of the request. Callers
/// with a granted key see their whole answers, and no key shows up at a
/// target, neither at the first nor at the second service of the chain.
#[tokio::test]
async fn unknown_keys_get_401_and_targets_see_no_key() {
    struct Case {
        name: &'static str,
        headers: Vec<(&'static str, String)>,
        status: u16,
    }
    let fixture = Fixture::start(pair()).await.expect("a mesh");
    let key = fixture.key.clone();
    let cases = [
        Case {
            name: "no key",
            headers: vec![],
            status: 401,
        },
        Case {
            name: "a key that nobody granted",
            headers: vec![("dogwood-key", "nobody-granted-this".to_owned())],
            status: 401,
        },
        Case {
            name: "a granted key with another case",
            headers: vec![("dogwood-key", key.to_uppercase())],
            status: 401,
        },
        Case {
            name: "a granted key in a header of another name",
            headers: vec![("authorization", format!("Bearer {key}"))],
            status: 401,
        },
        Case {
            name: "the granted key",
            headers: vec![("dogwood-key", key.clone())],
            status: 200,
        },
    ];
    let mut sent = Vec::new();
    for case in &cases {
        for index in 0..fixture.mesh.instances.len() {
            for method in ["GET", "POST"] {
                let mut request = CallRequest::new(method, &fixture.path());
                for (name, value) in &case.headers {
                    request = request.with_header(name, value);
                }
                let record = fixture.send_admitted(index, &request).await;
                let record = record.expect("a request");
                let seen = (record.status, record.judgement == Judgement::NotRun);
                assert_eq!(
                    seen,
                    (Some(case.status), case.status == 401),
                    "{}",
                    case.name
                );
                sent.push(Sent { request, record });
            }
        }
    }
    assert_eq!(fixture.violations(&sent).expect("journals"), []);
}

/// Two firms' callers share a connection, as behind a common proxy of theirs,
/// and one of them claims in headers to be the other, while nodes lose touch
/// with each other or with the platform. Were a request to run for the wrong
/// workspace, the small one would get more than its share, or the large one
/// would be refused for the small one's rate.
#[tokio::test]
async fn requests_run_for_the_workspace_of_their_key() {
    struct Case {
        name: &'static str,
        platform: platform::Faults,
        rules: Vec<Rule>,
    }
    let healthy = platform::Faults::default();
    let cases = [
        Case {
            name: "no fault",
            platform: healthy,
            rules: vec![],
        },
        Case {
            name: "platform down",
            platform: platform::Faults {
                down: true,
                ..healthy
            },
            rules: vec![],
        },
        Case {
            name: "platform slow",
            platform: platform::Faults {
                slow_ms: 1000,
                ..healthy
            },
            rules: vec![],
        },
        Case {
            name: "zone cut from the platform",
            platform: healthy,
            rules: cut_from_platform("az1", CutMode::Reset),
        },
        Case {
            name: "zones cut from each other",
            platform: healthy,
            rules: cut("az1", "az2", CutMode::Reset),
        },
    ];
    let fixture = Fixture::start(pair()).await.expect("a mesh");
    let small_key = fixture.mesh.create_key(SMALL).await.expect("a key");
    fixture.wait_served(&small_key).await.expect("served");
    let admin = fixture.mesh.platform_admin();
    let proxy = fixture.mesh.proxy_admin();
    for case in cases {
        admin
            .set_platform_faults(case.platform)
            .await
            .expect("faults");
        proxy.set_rules(case.rules).await.expect("rules");
        // A node that has lost the bank of a workspace has no tokens for a
        // while.
        for key in [&fixture.key, &small_key] {
            fixture.wait_status(0, key, 200).await.expect(case.name);
        }
        interleave(&fixture, &small_key, case.name).await;
        admin
            .set_platform_faults(healthy)
            .await
            .expect("faults lifted");
        proxy.set_rules(Vec::new()).await.expect("rules lifted");
    }
}

async fn interleave(fixture: &Fixture, small_key: &str, name: &str) {
    const ROUND_COUNT: usize = 40;
    let started = Instant::now();
    let (mut main_count, mut small_count) = (0, 0);
    let mut sent = Vec::new();
    for _ in 0..ROUND_COUNT {
        for (key, claimed) in [(fixture.key.as_str(), SMALL), (small_key, MAIN)] {
            let mut request = CallRequest::new("GET", &fixture.path()).with_key(key);
            for name in ["dogwood-workspace", "dogwood-context", "x-workspace"] {
                request = request.with_header(name, claimed);
            }
            let record = fixture.send(0, &request).await.expect("a request");
            if record.judgement != Judgement::Whole {
                assert_eq!(
                    record.reason.as_deref(),
                    Some("over-quota"),
                    "{name}: {record:?}"
                );
            } else if key == small_key {
                small_count += 1;
            } else {
                main_count += 1;
            }
            sent.push(Sent { request, record });
        }
    }
    let elapsed_s = usize::try_from(started.elapsed().as_secs() + 1).expect("small");
    let limit = SMALL_BURST + SMALL_RATE_PER_S * elapsed_s;
    println!(
        "{name}: of {ROUND_COUNT} each, main {main_count}, small {small_count}, limit {limit}"
    );
    assert!(small_count <= limit, "{name}: {small_count} > {limit}");
    assert!(
        main_count > limit,
        "{name}: {main_count} of the large workspace"
    );
    let keys = [fixture.key.clone(), small_key.to_owned()];
    let found = violations(&sent, &fixture.executions().expect("journals"), &keys);
    assert_eq!(found, Vec::<Violation>::new(), "{name}");
}

struct Revocation {
    name: &'static str,
    platform: platform::Faults,
    rules: Vec<Rule>,
    /// Whether `dogwoodctl` tells the nodes, besides the platform.
    is_told_directly: bool,
}

/// An operator revokes a key whose holder goes on sending over connections
/// that are open. Within seconds every node has to answer 401, and nothing of
/// the holder may reach a target any more.
#[tokio::test]
async fn revoked_key_stops_on_open_connections() {
    let cases = [
        Revocation {
            name: "no fault",
            platform: platform::Faults::default(),
            rules: vec![],
            is_told_directly: true,
        },
        // The platform is in an outage when the key has to go, so only the
        // nodes that dogwoodctl reaches hear of it, and they tell the others.
        Revocation {
            name: "platform down",
            platform: platform::Faults {
                down: true,
                ..Default::default()
            },
            rules: vec![],
            is_told_directly: true,
        },
        // The write takes effect but the operator never hears so. The key has
        // to be gone all the same.
        Revocation {
            name: "answers to writes lost",
            platform: platform::Faults {
                lose_answers_to_writes: true,
                ..Default::default()
            },
            rules: vec![],
            is_told_directly: true,
        },
        Revocation {
            name: "platform slow",
            platform: platform::Faults {
                slow_ms: 1000,
                ..Default::default()
            },
            rules: vec![],
            is_told_directly: false,
        },
        // Reads show the keys as they were before the revocation. A node that
        // believed them would let the holder in again.
        Revocation {
            name: "stale reads",
            platform: platform::Faults {
                stale_reads: true,
                ..Default::default()
            },
            rules: vec![],
            is_told_directly: true,
        },
        // One zone no longer hears from the platform and learns of it from
        // the other zone.
        Revocation {
            name: "zone cut from the platform",
            platform: platform::Faults::default(),
            rules: cut_from_platform("az2", CutMode::Reset),
            is_told_directly: false,
        },
        // The operator reaches the platform alone, whose reads are stale.
        Revocation {
            name: "stale reads, nodes not told",
            platform: platform::Faults {
                stale_reads: true,
                ..Default::default()
            },
            rules: vec![],
            is_told_directly: false,
        },
    ];
    let fixture = Fixture::start(pair()).await.expect("a mesh");
    for case in cases {
        let key = fixture.mesh.create_key(MAIN).await.expect("a key");
        fixture.wait_served(&key).await.expect("served");
        let proxy = fixture.mesh.proxy_admin();
        proxy.set_rules(case.rules).await.expect("rules");
        let admin = fixture.mesh.platform_admin();
        admin
            .set_platform_faults(case.platform)
            .await
            .expect("faults");
        let started = Instant::now();
        let revoked = revoke(&fixture.mesh, &key, case.is_told_directly);
        let stopped = async {
            for index in 0..fixture.mesh.instances.len() {
                fixture
                    .wait_status(index, &key, 401)
                    .await
                    .expect(case.name);
            }
            started.elapsed()
        };
        let ((), took) = tokio::join!(revoked, stopped);
        println!("{}: revoked on all nodes after {took:?}", case.name);
        assert!(took < REVOCATION_LIMIT, "{}: {took:?}", case.name);
        let before = fixture.executions().expect("journals").len();
        for index in 0..fixture.mesh.instances.len() {
            let request = CallRequest::new("GET", &fixture.path()).with_key(&key);
            let record = fixture.send(index, &request).await.expect("a request");
            assert_eq!(record.status, Some(401), "{}", case.name);
        }
        let after = fixture.executions().expect("journals").len();
        assert_eq!(after, before, "{}: nothing reaches a target", case.name);
        let healthy = platform::Faults::default();
        admin
            .set_platform_faults(healthy)
            .await
            .expect("faults lifted");
        proxy.set_rules(Vec::new()).await.expect("rules lifted");
    }
}

async fn revoke(mesh: &Mesh, key: &str, is_told_directly: bool) {
    let output = if is_told_directly {
        mesh.revoke_key(key).await
    } else {
        let platform = mesh.platform_address().to_string();
        let arguments = ["--platform", &platform, "key", "revoke", "--key", key];
        mesh.ctl_bare(&arguments).await
    };
    let output = output.expect("dogwoodctl runs");
    assert!(matches!(output.code, Some(0 | 3)), "{output:?}");
}

/// An availability zone is cut off from all others and from the platform, and
/// a key is revoked that it cannot hear of. Its holder is served there for no
/// longer than the workspace's key lease; without the bound it would be served
/// for as long as the cut lasts.
#[tokio::test]
async fn cut_off_zone_serves_a_revoked_key_no_longer_than_its_lease() {
    // key_lease_s of the configuration.
    const KEY_LEASE: Duration = Duration::from_secs(6);
    let fixture = Fixture::start(pair()).await.expect("a mesh");
    let far_index = fixture.mesh.instances.len() - 1;
    assert_eq!(fixture.mesh.instances[far_index].zone, "az2");
    let mut rules = isolate("az2", &["az1", "az2"], CutMode::BlackHole);
    rules.push(cut_one_way("", "az2", CutMode::BlackHole));
    let proxy = fixture.mesh.proxy_admin();
    proxy.set_rules(rules).await.expect("rules");
    let started = Instant::now();
    // The operator is cut off from the zone as well.
    let near = fixture.mesh.instances[0].control_address().to_string();
    let platform = fixture.mesh.platform_address().to_string();
    let arguments = [
        "--nodes",
        &near,
        "--platform",
        &platform,
        "key",
        "revoke",
        "--key",
        &fixture.key,
    ];
    let output = fixture.mesh.ctl_bare(&arguments).await.expect("runs");
    assert!(matches!(output.code, Some(0 | 3)), "{output:?}");
    let request = fixture.read();
    let at_once = fixture.send(far_index, &request).await.expect("a request");
    println!("cut off zone at once: {:?}", at_once.status);
    fixture
        .wait_status(0, &fixture.key, 401)
        .await
        .expect("gone");
    let lapsed = wait_until("the lease lapses", GENEROUS_LIMIT, || async {
        let record = fixture.send(far_index, &fixture.read()).await.ok()?;
        (record.reason.as_deref() == Some("key-lease-expired")).then_some(record)
    });
    let record = lapsed.await.expect("the lease lapses");
    assert_eq!(record.judgement, Judgement::NotRun);
    let took = started.elapsed();
    println!(
        "cut off zone refused after {took:?}, lease {KEY_LEASE:?}: {:?}",
        record.reason
    );
    assert!(took < KEY_LEASE + REVOCATION_LIMIT, "{took:?}");
    proxy.set_rules(Vec::new()).await.expect("rules lifted");
    fixture
        .wait_status(far_index, &fixture.key, 401)
        .await
        .expect("gone");
}

/// A key is revoked while one node stands still, and another is killed right
/// afterwards; the platform is down throughout, so nothing but the other nodes
/// can tell them. The holder tries exactly these two nodes as soon as they are
/// back, and must not get in again.
#[tokio::test]
async fn revocation_outlives_a_pause_and_a_restart() {
    let mut fixture = Fixture::start(pair()).await.expect("a mesh");
    let admin = fixture.mesh.platform_admin();
    let down = platform::Faults {
        down: true,
        ..Default::default()
    };
    admin.set_platform_faults(down).await.expect("faults");
    let (killed, paused) = (1, 3);
    let node = fixture.mesh.instances[paused].node.as_mut();
    node.expect("a node").pause().await.expect("paused");
    let key = fixture.key.clone();
    revoke(&fixture.mesh, &key, true).await;
    for index in [0, 1, 2] {
        fixture.wait_status(index, &key, 401).await.expect("gone");
    }
    let node = fixture.mesh.instances[killed].node.as_mut();
    node.expect("a node").restart().expect("restarted");
    let node = fixture.mesh.instances[paused].node.as_mut();
    let started = Instant::now();
    node.expect("a node").resume().expect("resumed");
    fixture.wait_status(paused, &key, 401).await.expect("gone");
    let took = started.elapsed();
    println!("paused node refuses the key {took:?} after it woke");
    assert!(took < REVOCATION_LIMIT, "{took:?}");
    let ready = fixture.mesh.instances[killed].node_admin();
    let is_ready = wait_until("ready", GENEROUS_LIMIT, || async {
        ready.is_ok("/readyz").await.then_some(())
    });
    is_ready.await.expect("ready");
    let started = Instant::now();
    fixture.wait_status(killed, &key, 401).await.expect("gone");
    println!(
        "restarted node refuses the key {:?} after it was ready",
        started.elapsed()
    );
    assert!(started.elapsed() < REVOCATION_LIMIT);
}
