//! Contract of the target.

mod support;

use {
    clap::Parser,
    standins::target::{
        AnswerError, CALL_HANDLE, DEADLINE_MS, Entry, EntryState, Faults, Journal, Latency,
        TARGET_REFUSAL, TEST_ID, Target, TargetConf, WholeAnswer,
    },
    std::{net::SocketAddr, time::Duration},
    support::{Answer, listener, send, wait_until},
    tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinHandle},
};

struct Running {
    address: SocketAddr,
    admin: SocketAddr,
    target: Target,
    serving: JoinHandle<()>,
}

impl Running {
    async fn new(flags: &[&str]) -> Self {
        let (listener, admin_listener) = (listener().await, listener().await);
        let address = listener.local_addr().expect("bound");
        let admin = admin_listener.local_addr().expect("bound");
        let (listen_flag, admin_flag) = (address.to_string(), admin.to_string());
        let mut arguments = vec!["target", "--service", "pricing"];
        arguments.extend(["--listen", &listen_flag, "--admin", &admin_flag]);
        arguments.extend(flags);
        let target = Target::new(TargetConf::parse_from(arguments), Journal::new());
        let serving = tokio::spawn(target.clone().serve(listener, admin_listener));
        Self {
            address,
            admin,
            target,
            serving,
        }
    }

    async fn set_faults(&self, faults: Faults) {
        let body = serde_json::to_vec(&faults).expect("faults are JSON");
        let answer = send(self.admin, "PUT", "/-/faults", &[], &body).await;
        assert_eq!(answer.expect("answered").status, 200);
    }

    async fn journal(&self) -> Vec<Entry> {
        let answer = send(self.admin, "GET", "/-/journal?from=0", &[], b"").await;
        serde_json::from_slice(&answer.expect("answered").body).expect("a journal")
    }

    async fn wait_for_entries(&self, count: usize, state: EntryState) -> Vec<Entry> {
        wait_until(|| async {
            let entries = self.journal().await;
            let matching = entries.iter().filter(|entry| entry.state == state).count();
            (matching >= count).then_some(entries)
        })
        .await
    }

    async fn get(&self, test_id: &str) -> Option<Answer> {
        let headers = [(TEST_ID, test_id), (CALL_HANDLE, test_id)];
        send(self.address, "GET", "/price?card=7", &headers, b"").await
    }

    fn spawn_get(&self, test_id: &'static str) -> JoinHandle<Option<Answer>> {
        let address = self.address;
        tokio::spawn(async move {
            let headers = [(TEST_ID, test_id), (CALL_HANDLE, test_id)];
            send(address, "GET", "/price?card=7", &headers, b"").await
        })
    }
}

#[tokio::test]
async fn whole_answer_and_journal() {
    let running = Running::new(&["--latency", "fixed:0", "--answer-bytes", "5000"]).await;
    let headers = [(TEST_ID, "t1"), (CALL_HANDLE, "h1"), ("x-other", "o")];
    let answer = send(running.address, "POST", "/order", &headers, b"body").await;
    let answer = answer.expect("answered");
    assert_eq!(
        (answer.status, answer.header(CALL_HANDLE)),
        (200, Some("h1"))
    );
    let whole = WholeAnswer::check(&answer.body, "t1").expect("whole");
    assert_eq!(
        (whole.method.as_str(), whole.path.as_str()),
        ("POST", "/order")
    );
    assert_eq!(whole.padding.len(), 5000);
    let entries = running.wait_for_entries(1, EntryState::Finished).await;
    let entry = &entries[0];
    assert_eq!((entry.sequence, entry.body.as_str()), (0, "body"));
    assert_eq!(entry.call_handle.as_deref(), Some("h1"));
    assert_eq!(entry.body_digest, whole.body_digest);
    assert!(
        entry
            .headers
            .contains(&("x-other".to_owned(), "o".to_owned()))
    );
}

#[tokio::test]
async fn answers_that_are_not_whole_are_noticed() {
    let running = Running::new(&["--latency", "fixed:0"]).await;
    let body = running.get("t1").await.expect("answered").body;
    let text = String::from_utf8(body.to_vec()).expect("text");
    let cut = &text[..text.len() / 2];
    let mixed = text.replace("pricing", "archive");
    assert!(WholeAnswer::check(text.as_bytes(), "t1").is_ok());
    assert!(matches!(
        WholeAnswer::check(cut.as_bytes(), "t1"),
        Err(AnswerError::Malformed { .. })
    ));
    assert_eq!(
        WholeAnswer::check(mixed.as_bytes(), "t1"),
        Err(AnswerError::Checksum)
    );
    assert!(matches!(
        WholeAnswer::check(text.as_bytes(), "t2"),
        Err(AnswerError::OtherRequest { .. })
    ));
}

/// A caller gives up while its request is worked on. The work stops, the slot
/// is free for others, and the journal says so.
#[tokio::test]
async fn closed_connection_cancels_work() {
    let running = Running::new(&["--latency", "fixed:600000", "--slots", "1"]).await;
    let mut stream = TcpStream::connect(running.address)
        .await
        .expect("connected");
    let request = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    running.wait_for_entries(1, EntryState::Started).await;
    drop(stream);
    running.wait_for_entries(1, EntryState::Cancelled).await;
    let _second = running.spawn_get("t2");
    running.wait_for_entries(1, EntryState::Started).await;
}

/// Work is not begun if it can't end in time or has no place in the queue, so
/// the caller hears at once that nothing ran.
#[tokio::test]
async fn refusals_without_work() {
    struct Case {
        name: &'static str,
        flags: &'static [&'static str],
        deadline_ms: &'static str,
        refusal: &'static str,
    }
    let cases = [
        Case {
            name: "service time over the deadline",
            flags: &["--latency", "fixed:600000", "--slots", "2"],
            deadline_ms: "500",
            refusal: "deadline",
        },
        Case {
            name: "deadline passes in the queue",
            flags: &["--latency", "fixed:600000", "--slots", "1"],
            deadline_ms: "30",
            refusal: "queue",
        },
        Case {
            name: "queue is full",
            flags: &[
                "--latency",
                "fixed:600000",
                "--slots",
                "1",
                "--queue-length",
                "0",
            ],
            deadline_ms: "900000",
            refusal: "queue",
        },
    ];
    for case in cases {
        let running = Running::new(case.flags).await;
        let _first = running.spawn_get("t1");
        running.wait_for_entries(1, EntryState::Started).await;
        let headers = [(DEADLINE_MS, case.deadline_ms)];
        let answer = send(running.address, "GET", "/b", &headers, b"").await;
        let answer = answer.expect("answered");
        assert_eq!(answer.status, 503, "{}", case.name);
        assert_eq!(
            answer.header(TARGET_REFUSAL),
            Some(case.refusal),
            "{}",
            case.name
        );
        let entries = running.journal().await;
        assert_eq!(entries[1].state, EntryState::Refused, "{}", case.name);
    }
}

/// A target answers wrongly: it fails, breaks off in the middle or leaves out
/// the handle. A caller that trusted it would take a part for the whole.
#[tokio::test]
async fn faulty_answers() {
    struct Case {
        name: &'static str,
        faults: Faults,
        status: Option<u16>,
        handle: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "none",
            faults: Faults::default(),
            status: Some(200),
            handle: Some("t1"),
        },
        Case {
            name: "failure",
            faults: Faults {
                fail_ratio: 1.0,
                ..Faults::default()
            },
            status: Some(500),
            handle: Some("t1"),
        },
        Case {
            name: "no echo",
            faults: Faults {
                no_echo: true,
                ..Faults::default()
            },
            status: Some(200),
            handle: None,
        },
        Case {
            name: "cut",
            faults: Faults {
                cut_answers: true,
                ..Faults::default()
            },
            status: None,
            handle: None,
        },
    ];
    for case in cases {
        let running = Running::new(&["--latency", "fixed:0"]).await;
        running.set_faults(case.faults).await;
        let answer = running.get("t1").await;
        let status = answer.as_ref().map(|answer| answer.status);
        let handle = answer
            .as_ref()
            .and_then(|answer| answer.header(CALL_HANDLE));
        assert_eq!(
            (status, handle),
            (case.status, case.handle),
            "{}",
            case.name
        );
    }
}

/// A target mixes up two answers. Each caller gets an answer that is whole but
/// belongs to the other one, with the other one's handle.
#[tokio::test]
async fn crossed_answers() {
    let running = Running::new(&["--latency", "fixed:0"]).await;
    let faults = Faults {
        cross_answers: true,
        ..Faults::default()
    };
    running.set_faults(faults).await;
    let (first, second) = tokio::join!(running.get("t1"), running.get("t2"));
    let (first, second) = (first.expect("answered"), second.expect("answered"));
    assert_eq!(first.header(CALL_HANDLE), Some("t2"));
    assert!(WholeAnswer::check(&first.body, "t2").is_ok());
    assert!(WholeAnswer::check(&second.body, "t1").is_ok());
}

/// A target hangs. Requests stay unanswered until it goes on.
#[tokio::test]
async fn freeze_and_slots() {
    let running = Running::new(&["--latency", "fixed:0", "--slots", "4"]).await;
    let frozen = Faults {
        freeze: true,
        slots: Some(1),
        ..Faults::default()
    };
    running.set_faults(frozen).await;
    let mut waiting = running.spawn_get("t1");
    let answered = tokio::time::timeout(Duration::from_millis(150), &mut waiting).await;
    assert!(answered.is_err());
    assert!(running.journal().await.is_empty());
    running.set_faults(Faults::default()).await;
    let answer = waiting.await.expect("no panic").expect("answered");
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn drain_lets_running_work_end() {
    let flags = ["--latency", "fixed:300", "--drain-grace-ms", "0"];
    let running = Running::new(&flags).await;
    let request = running.spawn_get("t1");
    running.wait_for_entries(1, EntryState::Started).await;
    running.target.drain();
    let answer = request.await.expect("no panic").expect("answered");
    assert!(WholeAnswer::check(&answer.body, "t1").is_ok());
    running.serving.await.expect("serving ends");
}

/// The node beside the target hears of it, of its load and of its drain, and
/// downstream calls go through the node with the handle.
#[tokio::test]
async fn announcements_and_downstream_calls() {
    let node = Running::new(&["--latency", "fixed:0"]).await;
    let egress = node.address.to_string();
    let calls = "GET /pricing/price,* /cards/x";
    let flags = [
        "--egress",
        &egress,
        "--calls",
        calls,
        "--latency",
        "fixed:0",
    ];
    let running = Running::new(&flags).await;
    let headers = [(TEST_ID, "t1"), (CALL_HANDLE, "h1")];
    let answer = send(running.address, "POST", "/list", &headers, b"b").await;
    let answer = answer.expect("answered");
    let whole = WholeAnswer::check(&answer.body, "t1").expect("whole");
    assert!(
        whole.calls.iter().all(|call| call.whole),
        "{:?}",
        whole.calls
    );
    let calls: Vec<_> = whole.calls.iter().map(|call| call.call.as_str()).collect();
    assert_eq!(calls, ["GET /pricing/price", "POST /cards/x"]);
    wait_until(|| async {
        let entries = node.journal().await;
        let is_told = |entry: &Entry| entry.body.contains("\"draining\":false");
        entries.iter().any(is_told).then_some(())
    })
    .await;
    running.target.drain();
    let entries = wait_until(|| async {
        let entries = node.journal().await;
        let is_told = |text: &str| entries.iter().any(|entry| entry.body.contains(text));
        (is_told("\"draining\":true") && is_told("busy_ratio")).then_some(entries)
    })
    .await;
    let is_call = |entry: &&Entry| entry.call_handle.as_deref() == Some("h1");
    assert_eq!(entries.iter().filter(is_call).count(), 2);
}

#[test]
fn latencies() {
    struct Case {
        text: &'static str,
        latency: Option<Latency>,
    }
    let cases = [
        Case {
            text: "fixed:5",
            latency: Some(Latency::Fixed { latency_ms: 5.0 }),
        },
        Case {
            text: "uniform:2:8",
            latency: Some(Latency::Uniform {
                low_ms: 2.0,
                high_ms: 8.0,
            }),
        },
        Case {
            text: "lognormal:4:0.5",
            latency: Some(Latency::LogNormal {
                median_ms: 4.0,
                sigma: 0.5,
            }),
        },
        Case {
            text: "uniform:8:2",
            latency: None,
        },
        Case {
            text: "fixed:-1",
            latency: None,
        },
        Case {
            text: "fixed:inf",
            latency: None,
        },
        Case {
            text: "fixed",
            latency: None,
        },
    ];
    for case in cases {
        assert_eq!(case.text.parse().ok(), case.latency, "{}", case.text);
    }
}
