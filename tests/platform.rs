//! The client against the platform's object API, with and without faults.

mod platform_support;

use {
    dogwoodbridge::{
        backoff::Backoff,
        documents::{DocumentKind, DocumentWriter, WriteResult},
        platform::{MAX_OBJECT_BYTES, Platform, PlatformError, WatchResult, WriteOutcome},
    },
    platform_support::{FakePlatform, Faults},
    std::{collections::HashSet, net::IpAddr, time::Duration},
    tokio::time::timeout,
};

const NAME: &str = "keys";

#[tokio::test]
async fn reads_writes_and_conflicts() {
    let fake = FakePlatform::new().await;
    let platform = Platform::new(fake.address);
    assert_eq!(platform.read(NAME).await.expect("absent").version, 0);
    assert!(matches!(
        platform.write(NAME, 0, b"a".to_vec()).await,
        WriteOutcome::Written(1)
    ));
    assert!(matches!(
        platform.write(NAME, 0, b"b".to_vec()).await,
        WriteOutcome::Conflict(1)
    ));
    assert!(matches!(
        platform.write(NAME, 1, b"b".to_vec()).await,
        WriteOutcome::Written(2)
    ));
    let object = platform.read(NAME).await.expect("present");
    assert_eq!((object.version, object.content.as_slice()), (2, &b"b"[..]));
    let counts = platform.call_counts();
    assert_eq!(
        (counts.read_count, counts.write_count, counts.watch_count),
        (2, 3, 0)
    );
}

#[tokio::test]
async fn a_watch_ends_with_a_higher_version_or_after_its_wait() {
    let fake = FakePlatform::new().await;
    let platform = Platform::new(fake.address);
    fake.put(NAME, b"a");
    let unchanged = platform.watch(NAME, 1, 20).await.expect("responds");
    assert_eq!(unchanged, WatchResult::Unchanged);
    let watch = platform.watch(NAME, 1, 20_000);
    let write = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        fake.put(NAME, b"b");
    };
    let (watched, ()) = tokio::join!(watch, write);
    let Ok(WatchResult::Changed(object)) = watched else {
        panic!("{watched:?}");
    };
    assert_eq!(object.version, 2);
    let Ok(WatchResult::Changed(object)) = platform.watch(NAME, 0, 20_000).await else {
        panic!("a higher version already exists");
    };
    assert_eq!(object.version, 2);
}

// The platform serves plain reads from a stale copy. A node that relied on them would
// miss a revocation and report itself as fresh. The refusal of a write whose condition
// can't hold still returns the current version.
#[tokio::test]
async fn the_current_version_is_correct_despite_stale_reads() {
    let fake = FakePlatform::new().await;
    let platform = Platform::new(fake.address);
    assert_eq!(platform.current_version(NAME).await.expect("responds"), 0);
    fake.put(NAME, b"a");
    fake.put(NAME, b"b");
    fake.set_faults(Faults {
        stale: true,
        ..Faults::default()
    });
    assert_eq!(platform.read(NAME).await.expect("responds").version, 1);
    assert_eq!(platform.current_version(NAME).await.expect("responds"), 2);
    assert_eq!(
        fake.get(NAME),
        (2, b"b".to_vec()),
        "polling the version changes nothing"
    );
}

/// A fault and the expected result of a write.
struct WriteCase {
    name: &'static str,
    faults: Faults,
    byte_count: usize,
    expected: &'static str,
    applied: bool,
}

// A write or its response may be lost. The client must report whether the result is
// certain: a slice that the node wrongly considers released would be used by two owners.
#[tokio::test]
async fn a_write_is_unknown_exactly_if_it_may_have_taken_effect() {
    let fault = Faults::default;
    let cases = [
        WriteCase {
            name: "no fault",
            faults: fault(),
            byte_count: MAX_OBJECT_BYTES,
            expected: "written",
            applied: true,
        },
        WriteCase {
            name: "response lost",
            faults: Faults {
                lost_response_count: 1,
                ..fault()
            },
            byte_count: 1,
            expected: "unknown",
            applied: true,
        },
        WriteCase {
            name: "request lost",
            faults: Faults {
                lost_write_count: 1,
                ..fault()
            },
            byte_count: 1,
            expected: "unknown",
            applied: false,
        },
        WriteCase {
            name: "down",
            faults: Faults {
                down: true,
                ..fault()
            },
            byte_count: 1,
            expected: "unknown",
            applied: false,
        },
        WriteCase {
            name: "server error",
            faults: Faults {
                status: Some(503),
                ..fault()
            },
            byte_count: 1,
            expected: "unknown",
            applied: false,
        },
        WriteCase {
            name: "slow",
            faults: Faults {
                delay_ms: 60_000,
                ..fault()
            },
            byte_count: 1,
            expected: "unknown",
            applied: false,
        },
        WriteCase {
            name: "no version in the response",
            faults: Faults {
                no_version: true,
                ..fault()
            },
            byte_count: 1,
            expected: "unknown",
            applied: true,
        },
        WriteCase {
            name: "too large for the platform",
            faults: Faults {
                status: Some(413),
                ..fault()
            },
            byte_count: 1,
            expected: "refused",
            applied: false,
        },
        WriteCase {
            name: "larger than any object",
            faults: fault(),
            byte_count: MAX_OBJECT_BYTES + 1,
            expected: "refused",
            applied: false,
        },
        WriteCase {
            name: "bad request",
            faults: Faults {
                status: Some(400),
                ..fault()
            },
            byte_count: 1,
            expected: "refused",
            applied: false,
        },
    ];
    for case in cases {
        let fake = FakePlatform::new().await;
        let platform = Platform::new(fake.address).with_call_timeout_ms(300);
        fake.set_faults(case.faults);
        let written = match platform.write(NAME, 0, vec![b'x'; case.byte_count]).await {
            WriteOutcome::Written(_) => "written",
            WriteOutcome::Conflict(_) => "conflict",
            WriteOutcome::Refused(_) => "refused",
            WriteOutcome::Unknown(_) => "unknown",
        };
        assert_eq!(written, case.expected, "{}", case.name);
        assert_eq!(fake.get(NAME).0 > 0, case.applied, "{}", case.name);
    }
}

// No process listens at the platform's address, so the write was certainly not sent.
#[tokio::test]
async fn a_write_is_refused_if_the_connect_fails() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let platform = Platform::new(address);
    let written = platform.write(NAME, 0, Vec::new()).await;
    assert!(
        matches!(
            written,
            WriteOutcome::Refused(PlatformError::Unreachable(_))
        ),
        "{written:?}"
    );
    let written = DocumentWriter::write(&platform, DocumentKind::Keys, 0, Vec::new()).await;
    assert_eq!(written, WriteResult::Unknown);
}

#[tokio::test]
async fn writes_through_the_document_writer() {
    let fake = FakePlatform::new().await;
    let platform = Platform::new(fake.address);
    let write = |version| DocumentWriter::write(&platform, DocumentKind::Slices, version, vec![1]);
    assert_eq!(write(0).await, WriteResult::Written(1));
    assert_eq!(write(0).await, WriteResult::Conflict(1));
    fake.set_faults(Faults {
        lost_response_count: 1,
        ..Faults::default()
    });
    assert_eq!(write(1).await, WriteResult::Unknown);
    assert_eq!(fake.get("slices").0, 2);
}

// A platform that accepts the request and never responds must not block a read or a watch
// longer than its timeout.
#[tokio::test]
async fn calls_end_within_their_timeouts() {
    let fake = FakePlatform::new().await;
    let platform = Platform::new(fake.address).with_call_timeout_ms(100);
    fake.set_faults(Faults {
        delay_ms: 600_000,
        ..Faults::default()
    });
    let calls = async {
        assert!(matches!(
            platform.read(NAME).await,
            Err(PlatformError::TimedOut { .. })
        ));
        let watched = platform.watch(NAME, 0, 100).await;
        assert!(matches!(watched, Err(PlatformError::TimedOut { .. })));
    };
    timeout(Duration::from_secs(60), calls)
        .await
        .expect("the calls end");
}

#[tokio::test]
async fn connects_from_the_configured_local_address() {
    let fake = FakePlatform::new().await;
    let local_ip: IpAddr = "127.1.2.3".parse().expect("an address");
    let platform = Platform::new(fake.address).with_local_ip(local_ip);
    platform.read(NAME).await.expect("responds");
    assert_eq!(fake.peers()[0].ip(), local_ip);
}

// All nodes lose the platform at the same time. With equal delays they would also retry
// at the same time and overload it again.
#[test]
fn backoff_delays_grow_up_to_a_limit_with_jitter() {
    let mut backoff = Backoff::new(100, 1_000);
    for step_ms in [100, 200, 400, 800, 1_000, 1_000] {
        let delay_ms = backoff.next_delay().as_millis();
        assert!(
            (step_ms / 2..=step_ms).contains(&delay_ms),
            "{delay_ms} of {step_ms}"
        );
    }
    backoff.reset();
    assert!(backoff.next_delay().as_millis() <= 100);
    let delays: HashSet<u128> = (0..100)
        .map(|_| Backoff::new(10_000, 10_000).next_delay().as_millis())
        .collect();
    assert!(delays.len() > 10);
}

// Plain reads are older than a version that the platform has reported, until they catch
// up. A write based on the older content would restore withdrawn rules.
#[tokio::test]
async fn reads_at_least_a_reported_version_or_fails() {
    let fake = FakePlatform::new().await;
    let platform = Platform::new(fake.address);
    fake.put(NAME, b"a");
    fake.put(NAME, b"b");
    fake.set_faults(Faults {
        stale: true,
        ..Faults::default()
    });
    let stale_read = platform.read_at_least(NAME, 2).await;
    assert!(
        matches!(stale_read, Err(PlatformError::Stale { version: 2 })),
        "{stale_read:?}"
    );
    assert_eq!(
        platform
            .read_at_least(NAME, 1)
            .await
            .expect("present")
            .version,
        1
    );
    let catch_up = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        fake.set_faults(Faults::default());
    };
    let (object, ()) = tokio::join!(platform.read_at_least(NAME, 2), catch_up);
    assert_eq!(object.expect("catches up").content, b"b");
    assert_eq!(
        platform
            .read_at_least("absent", 0)
            .await
            .expect("absent")
            .version,
        0
    );
}
