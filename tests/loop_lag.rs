//! A node whose thread falls behind reports it as load.

use dogwoodbridge::{node::LoopLag, timer::TICK_MS};

/// The node of the last target of a service uses up its share of a core. Requests
/// wait in its sockets, where no queue counts them. If it were reported as idle, it
/// would receive more and more requests, and callers would time out.
#[test]
fn late_thread_is_reported_as_load() {
    struct Case {
        name: &'static str,
        /// Lateness of successive ticks in milliseconds; repeated.
        late_ms: &'static [u64],
        expected: std::ops::RangeInclusive<u16>,
    }
    let cases = [
        Case {
            name: "on time",
            late_ms: &[0],
            expected: 0..=0,
        },
        Case {
            name: "usual timer lateness",
            late_ms: &[3, 0, 5],
            expected: 0..=0,
        },
        Case {
            name: "waits for its turn on a shared core",
            late_ms: &[20],
            expected: 150..=200,
        },
        Case {
            name: "without its core for 65 ms in every fourth tick",
            late_ms: &[0, 0, 0, 65],
            expected: 130..=250,
        },
    ];
    for case in cases {
        let mut lag = LoopLag::new();
        let mut now_us = 1_000_000;
        for tick in 0..200 {
            let late_ms = case.late_ms[tick % case.late_ms.len()];
            now_us += (TICK_MS + late_ms) * 1000;
            lag.record_tick(now_us);
        }
        let percent = lag.load_percent();
        assert!(case.expected.contains(&percent), "{}: {percent}", case.name);
    }
}

/// Ticks are rare while a node is idle. The long interval must not count as lag: no
/// request waited.
#[test]
fn pause_does_not_count_as_lag() {
    let mut lag = LoopLag::new();
    lag.record_tick(1_000_000);
    lag.pause();
    lag.record_tick(9_000_000);
    lag.record_tick(9_000_000 + TICK_MS * 1000);
    assert_eq!(lag.load_percent(), 0);
}
