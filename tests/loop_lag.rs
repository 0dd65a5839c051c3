//! A node whose thread falls behind tells so.

use dogwoodbridge::{node::LoopLag, timer::TICK_MS};

/// One node is left beside the last target of a service, and its part of a core
/// is used up. Requests wait in its sockets, where no queue counts them. Told as
/// idle, it gets ever more, and users wait until they give up.
#[test]
fn a_late_thread_is_told_as_load() {
    struct Case {
        name: &'static str,
        /// Lateness of each tick of a repeating row, in milliseconds.
        late_ms: &'static [u64],
        expected: std::ops::RangeInclusive<u16>,
    }
    let cases = [
        Case {
            name: "in time",
            late_ms: &[0],
            expected: 0..=0,
        },
        Case {
            name: "as late as timers are",
            late_ms: &[3, 0, 5],
            expected: 0..=0,
        },
        Case {
            name: "late by its turn on a shared core",
            late_ms: &[20],
            expected: 150..=200,
        },
        Case {
            name: "without its core for most of a tenth of a second",
            late_ms: &[0, 0, 0, 65],
            expected: 130..=250,
        },
    ];
    for case in cases {
        let mut lag = LoopLag::new();
        let mut now_us = 1_000_000;
        for step in 0..200 {
            let late_ms = case.late_ms[step % case.late_ms.len()];
            now_us += (TICK_MS + late_ms) * 1000;
            lag.note(now_us);
        }
        let percent = lag.load_percent();
        assert!(case.expected.contains(&percent), "{}: {percent}", case.name);
    }
}

/// A node that had nothing to do is not late: nobody waited for it.
#[test]
fn a_pause_is_no_lag() {
    let mut lag = LoopLag::new();
    lag.note(1_000_000);
    lag.pause();
    lag.note(9_000_000);
    lag.note(9_000_000 + TICK_MS * 1000);
    assert_eq!(lag.load_percent(), 0);
}
