//! The harness with stand-ins alone.

use {
    lab::{
        addresses::AddressBlock,
        caller::{CallRequest, Caller, Judgement},
        mesh::{Mesh, MeshConf},
        wait::{GENEROUS_LIMIT, wait_until},
    },
    standins::{
        platform,
        target::{Entry, EntryState, Faults},
    },
    std::{collections::HashSet, fs, path::PathBuf},
};

async fn start(target_flags: &[&str]) -> Mesh {
    let conf = MeshConf::new()
        .with_instance("a", "pricing", target_flags)
        .with_instance("b", "pricing", target_flags)
        .with_proxy()
        .without_nodes();
    Mesh::start(conf).await.expect("a mesh")
}

async fn send(mesh: &Mesh, request: &CallRequest) -> Judgement {
    let address = mesh.instances[0].target_address();
    let record = Caller::new().send(address, request).await;
    record.expect("a request").judgement
}

#[test]
fn blocks_of_addresses_are_disjoint() {
    let blocks: Vec<_> = (0..50)
        .map(|_| AddressBlock::claim().expect("free"))
        .collect();
    let ips = blocks
        .iter()
        .flat_map(|block| [block.real_ip(1), block.virtual_ip(1)]);
    let distinct: HashSet<_> = ips.collect();
    assert_eq!(distinct.len(), 100);
}

#[tokio::test]
async fn whole_answers_journal_and_counted_calls() {
    let mesh = start(&["--latency", "fixed:0"]).await;
    let request = CallRequest::new("POST", "/order")
        .with_key("k")
        .with_idempotency_key("i")
        .with_deadline_ms(5000)
        .with_body("one");
    assert_eq!(send(&mesh, &request).await, Judgement::Whole);
    let journal = mesh.instances[0].target_admin().journal(0).await;
    let entry = &journal.expect("a journal")[0];
    assert_eq!(entry.test_id.as_deref(), Some(request.test_id.as_str()));
    assert!(
        entry
            .headers
            .contains(&("dogwood-key".to_owned(), "k".to_owned()))
    );
    assert!(
        entry
            .headers
            .contains(&("idempotency-key".to_owned(), "i".to_owned()))
    );
    let calls = mesh
        .platform_admin()
        .platform_calls()
        .await
        .expect("counts");
    assert_eq!(calls, platform::CallCounts::default());
}

/// A target answers wrongly or not at all. The caller must not count any such
/// answer as a whole one.
#[tokio::test]
async fn judgements() {
    struct Case {
        name: &'static str,
        faults: Faults,
        judgement: Judgement,
    }
    let cases = [
        Case {
            name: "cut",
            faults: Faults {
                cut_answers: true,
                ..Faults::default()
            },
            judgement: Judgement::NoAnswer,
        },
        Case {
            name: "failure",
            faults: Faults {
                fail_ratio: 1.0,
                ..Faults::default()
            },
            judgement: Judgement::TargetFailed,
        },
        Case {
            name: "too late",
            faults: Faults {
                late_ms: 60_000,
                ..Faults::default()
            },
            judgement: Judgement::NoAnswer,
        },
        Case {
            name: "no fault",
            faults: Faults::default(),
            judgement: Judgement::Whole,
        },
    ];
    let mesh = start(&["--latency", "fixed:0"]).await;
    let admin = mesh.instances[0].target_admin();
    for case in cases {
        admin.set_target_faults(case.faults).await.expect("set");
        let is_held = case.faults.late_ms > 0;
        let timeout_ms = if is_held { 200 } else { 30_000 };
        let request = CallRequest::new("GET", "/price").with_timeout_ms(timeout_ms);
        assert_eq!(send(&mesh, &request).await, case.judgement, "{}", case.name);
    }
}

/// Two answers are swapped. Each is whole in itself, but the caller sees that
/// it belongs to another request.
#[tokio::test]
async fn crossed_answers_are_wrong() {
    let mesh = start(&["--latency", "fixed:0"]).await;
    let faults = Faults {
        cross_answers: true,
        ..Faults::default()
    };
    let admin = mesh.instances[0].target_admin();
    admin.set_target_faults(faults).await.expect("set");
    let requests = [CallRequest::new("GET", "/a"), CallRequest::new("GET", "/b")];
    let judgements = tokio::join!(send(&mesh, &requests[0]), send(&mesh, &requests[1]));
    assert_eq!(judgements, (Judgement::Wrong, Judgement::Wrong));
}

/// A process stands still for a while. Callers get nothing meanwhile and the
/// process goes on as if nothing had been.
#[tokio::test]
async fn pause_and_resume() {
    let mut mesh = start(&["--latency", "fixed:0"]).await;
    mesh.instances[0].target.pause().await.expect("paused");
    let request = CallRequest::new("GET", "/a").with_timeout_ms(200);
    assert_eq!(send(&mesh, &request).await, Judgement::NoAnswer);
    mesh.instances[0].target.resume().expect("resumed");
    let request = CallRequest::new("GET", "/b");
    assert_eq!(send(&mesh, &request).await, Judgement::Whole);
}

/// A target is killed in the middle of work. Its memory is gone, but the test
/// still learns from the file what it had begun.
#[tokio::test]
async fn journal_outlives_kill() {
    let mut mesh = start(&["--latency", "fixed:600000"]).await;
    let address = mesh.instances[0].target_address();
    let request = CallRequest::new("POST", "/order");
    let test_id = request.test_id.clone();
    let sending = tokio::spawn(async move { Caller::new().send(address, &request).await });
    let admin = mesh.instances[0].target_admin();
    wait_until("work begins", GENEROUS_LIMIT, || async {
        let journal = admin.journal(0).await.ok()?;
        (!journal.is_empty()).then_some(())
    })
    .await
    .expect("work begins");
    mesh.instances[0].target.kill();
    let record = sending.await.expect("no panic").expect("a request");
    assert_eq!(record.judgement, Judgement::NoAnswer);
    let path = mesh.journal_path(&mesh.instances[0].node_id);
    let lines = fs::read_to_string(path).expect("a journal file");
    let entry: Entry = serde_json::from_str(lines.trim()).expect("one entry");
    assert_eq!(
        (entry.state, entry.test_id),
        (EntryState::Started, Some(test_id))
    );
    mesh.instances[0].target.restart().expect("restarted");
    wait_until("target is back", GENEROUS_LIMIT, || async {
        admin.is_ok("/-/faults").await.then_some(())
    })
    .await
    .expect("target is back");
}

#[tokio::test]
async fn planned_stop_ends_work_and_exits_with_0() {
    let mut mesh = start(&["--latency", "fixed:300", "--drain-grace-ms", "100"]).await;
    let address = mesh.instances[0].target_address();
    let request = CallRequest::new("GET", "/a");
    let sending = tokio::spawn(async move { Caller::new().send(address, &request).await });
    let admin = mesh.instances[0].target_admin();
    wait_until("work begins", GENEROUS_LIMIT, || async {
        let journal = admin.journal(0).await.ok()?;
        (!journal.is_empty()).then_some(())
    })
    .await
    .expect("work begins");
    let target = &mut mesh.instances[0].target;
    target.terminate().expect("told to end");
    let status = target.wait_exit(GENEROUS_LIMIT).await.expect("ends");
    assert_eq!(status.code(), Some(0));
    let record = sending.await.expect("no panic").expect("a request");
    assert_eq!(record.judgement, Judgement::Whole);
}

#[tokio::test]
async fn dropped_mesh_leaves_no_process() {
    let mesh = start(&[]).await;
    let mut pids: Vec<u32> = mesh.instances.iter().map(|i| i.target.pid()).collect();
    pids.push(mesh.platform.pid());
    pids.extend(mesh.proxy.as_ref().map(lab::process::Process::pid));
    assert_eq!(pids.len(), 4);
    drop(mesh);
    for pid in pids {
        assert!(!PathBuf::from(format!("/proc/{pid}")).exists(), "{pid}");
    }
}
