//! Contract of the platform's object API.

mod support;

use {
    standins::platform::{
        CallCounts, Faults, IF_VERSION, MAX_VALUE_BYTES, OBJECT_VERSION, Platform,
    },
    std::net::SocketAddr,
    support::{Answer, listener, send, wait_until},
    tokio_util::sync::CancellationToken,
};

async fn start() -> SocketAddr {
    let listener = listener().await;
    let address = listener.local_addr().expect("bound");
    tokio::spawn(Platform::new().serve(listener, CancellationToken::new()));
    address
}

async fn put(address: SocketAddr, name: &str, if_version: &str, value: &[u8]) -> Option<Answer> {
    let path = format!("/objects/{name}");
    send(address, "PUT", &path, &[(IF_VERSION, if_version)], value).await
}

async fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    send(address, "GET", path, &[], b"").await
}

async fn set_faults(address: SocketAddr, faults: Faults) {
    let body = serde_json::to_vec(&faults).expect("faults are JSON");
    let answer = send(address, "PUT", "/-/faults", &[], &body).await;
    assert_eq!(answer.expect("answered").status, 200);
}

async fn calls(address: SocketAddr) -> CallCounts {
    let answer = get(address, "/-/calls").await.expect("answered");
    serde_json::from_slice(&answer.body).expect("counts are JSON")
}

struct WriteCase {
    name: &'static str,
    earlier_writes: &'static [&'static str],
    if_version: Option<&'static str>,
    value_bytes: usize,
    status: u16,
    version: Option<&'static str>,
}

#[tokio::test]
async fn conditional_writes() {
    let cases = [
        WriteCase {
            name: "first write of an absent object",
            earlier_writes: &[],
            if_version: Some("0"),
            value_bytes: 3,
            status: 200,
            version: Some("1"),
        },
        WriteCase {
            name: "absent object where a version is expected",
            earlier_writes: &[],
            if_version: Some("4"),
            value_bytes: 3,
            status: 409,
            version: Some("0"),
        },
        WriteCase {
            name: "object that must not exist but does",
            earlier_writes: &["0"],
            if_version: Some("0"),
            value_bytes: 3,
            status: 409,
            version: Some("1"),
        },
        WriteCase {
            name: "second write",
            earlier_writes: &["0"],
            if_version: Some("1"),
            value_bytes: 3,
            status: 200,
            version: Some("2"),
        },
        WriteCase {
            name: "write with an old version",
            earlier_writes: &["0", "1"],
            if_version: Some("1"),
            value_bytes: 3,
            status: 409,
            version: Some("2"),
        },
        WriteCase {
            name: "write without a condition",
            earlier_writes: &[],
            if_version: None,
            value_bytes: 3,
            status: 428,
            version: None,
        },
        WriteCase {
            name: "condition that is no number",
            earlier_writes: &[],
            if_version: Some("new"),
            value_bytes: 3,
            status: 428,
            version: None,
        },
        WriteCase {
            name: "largest value",
            earlier_writes: &[],
            if_version: Some("0"),
            value_bytes: MAX_VALUE_BYTES,
            status: 200,
            version: Some("1"),
        },
        WriteCase {
            name: "value over the limit",
            earlier_writes: &[],
            if_version: Some("0"),
            value_bytes: MAX_VALUE_BYTES + 1,
            status: 413,
            version: None,
        },
    ];
    for case in cases {
        let address = start().await;
        for if_version in case.earlier_writes {
            let answer = put(address, "x", if_version, b"old")
                .await
                .expect("answered");
            assert_eq!(answer.status, 200, "{}", case.name);
        }
        let headers: Vec<_> = case
            .if_version
            .map(|v| (IF_VERSION, v))
            .into_iter()
            .collect();
        let value = vec![7; case.value_bytes];
        let answer = send(address, "PUT", "/objects/x", &headers, &value).await;
        let answer = answer.expect("answered");
        assert_eq!(answer.status, case.status, "{}", case.name);
        assert_eq!(answer.header(OBJECT_VERSION), case.version, "{}", case.name);
    }
}

#[tokio::test]
async fn reads_and_watches() {
    struct Case {
        name: &'static str,
        write_count: u64,
        path: &'static str,
        status: u16,
        version: &'static str,
        body: &'static str,
    }
    let cases = [
        Case {
            name: "read of an absent object",
            write_count: 0,
            path: "/objects/x",
            status: 404,
            version: "0",
            body: "",
        },
        Case {
            name: "read of the newest version",
            write_count: 2,
            path: "/objects/x",
            status: 200,
            version: "2",
            body: "value 2",
        },
        Case {
            name: "watch of a version that has come already",
            write_count: 1,
            path: "/objects/x?watch=1&above=0&wait_ms=30000",
            status: 200,
            version: "1",
            body: "value 1",
        },
        Case {
            name: "watch that missed versions gets the newest",
            write_count: 4,
            path: "/objects/x?watch=1&above=1&wait_ms=30000",
            status: 200,
            version: "4",
            body: "value 4",
        },
        Case {
            name: "watch without news",
            write_count: 1,
            path: "/objects/x?watch=1&above=1&wait_ms=20",
            status: 304,
            version: "1",
            body: "",
        },
    ];
    for case in cases {
        let address = start().await;
        for version in 0..case.write_count {
            let value = format!("value {}", version + 1);
            let answer = put(address, "x", &version.to_string(), value.as_bytes()).await;
            assert_eq!(answer.expect("answered").status, 200, "{}", case.name);
        }
        let answer = get(address, case.path).await.expect("answered");
        assert_eq!(answer.status, case.status, "{}", case.name);
        assert_eq!(
            answer.header(OBJECT_VERSION),
            Some(case.version),
            "{}",
            case.name
        );
        assert_eq!(answer.body, case.body, "{}", case.name);
    }
}

#[tokio::test]
async fn waiting_watch_hears_of_a_write_and_counts_once() {
    let address = start().await;
    let watch = tokio::spawn(get(address, "/objects/x?watch=1&above=0&wait_ms=60000"));
    wait_until(|| async { (calls(address).await.watch_count == 1).then_some(()) }).await;
    put(address, "x", "0", b"new").await.expect("answered");
    let answer = watch.await.expect("no panic").expect("answered");
    assert_eq!((answer.status, &answer.body[..]), (200, &b"new"[..]));
    let expected = CallCounts {
        write_count: 1,
        watch_count: 1,
        ..CallCounts::default()
    };
    assert_eq!(calls(address).await, expected);
}

/// The platform's store is down for a while. Calls get no answer, also those
/// that have been waiting; afterwards all objects are as they were.
#[tokio::test]
async fn down() {
    let address = start().await;
    put(address, "x", "0", b"kept").await.expect("answered");
    let watch = tokio::spawn(get(address, "/objects/x?watch=1&above=1&wait_ms=60000"));
    wait_until(|| async { (calls(address).await.watch_count == 1).then_some(()) }).await;
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    set_faults(address, down).await;
    assert!(watch.await.expect("no panic").is_none());
    assert!(get(address, "/objects/x").await.is_none());
    assert!(put(address, "x", "1", b"lost").await.is_none());
    set_faults(address, Faults::default()).await;
    let answer = get(address, "/objects/x").await.expect("answered");
    assert_eq!(answer.body, "kept");
}

/// A write takes effect, but the connection breaks before the answer. The
/// writer sees an error although its value is in force.
#[tokio::test]
async fn lost_answer_to_a_write() {
    let address = start().await;
    let faults = Faults {
        lose_answers_to_writes: true,
        ..Faults::default()
    };
    set_faults(address, faults).await;
    assert!(put(address, "x", "0", b"in force").await.is_none());
    let answer = get(address, "/objects/x")
        .await
        .expect("reads are answered");
    assert_eq!(answer.body, "in force");
    assert_eq!(answer.header(OBJECT_VERSION), Some("1"));
}

/// A replica of the store lags. A reader gets the version before the newest;
/// a write that relies on it is refused with the true version.
#[tokio::test]
async fn stale_reads() {
    let address = start().await;
    put(address, "x", "0", b"old").await.expect("answered");
    put(address, "x", "1", b"new").await.expect("answered");
    let faults = Faults {
        stale_reads: true,
        ..Faults::default()
    };
    set_faults(address, faults).await;
    let read = get(address, "/objects/x").await.expect("answered");
    assert_eq!(
        (read.header(OBJECT_VERSION), &read.body[..]),
        (Some("1"), &b"old"[..])
    );
    let write = put(address, "x", "1", b"newer").await.expect("answered");
    assert_eq!(
        (write.status, write.header(OBJECT_VERSION)),
        (409, Some("2"))
    );
}

#[tokio::test]
async fn malformed_faults_are_refused() {
    let address = start().await;
    for body in ["", "[]", "{\"dwon\":true}", "{\"down\":1}"] {
        let answer = send(address, "PUT", "/-/faults", &[], body.as_bytes()).await;
        assert_eq!(answer.expect("answered").status, 400, "{body:?}");
    }
}
