//! Expected response times of requests that arrive during a stop.

use dogwoodbridge::{
    model::{Class, Names},
    node::{RequestKind, ResponseTimes},
};

const SECOND_US: u64 = 1_000_000;

/// A request that has ended, in seconds.
struct Ended {
    began_s: u64,
    ended_s: u64,
}

struct Case {
    name: &'static str,
    ended: &'static [Ended],
    /// When requests that have not ended began, in seconds.
    in_flight_s: &'static [u64],
    asked_s: u64,
    expected_s: Option<u64>,
}

const CASES: [Case; 6] = [
    Case {
        name: "nothing is known",
        ended: &[],
        in_flight_s: &[],
        asked_s: 100,
        expected_s: None,
    },
    Case {
        name: "the longest of recent requests",
        ended: &[
            Ended {
                began_s: 90,
                ended_s: 94,
            },
            Ended {
                began_s: 95,
                ended_s: 96,
            },
        ],
        in_flight_s: &[],
        asked_s: 100,
        expected_s: Some(4),
    },
    Case {
        name: "of the window before as well",
        ended: &[
            Ended {
                began_s: 86,
                ended_s: 91,
            },
            Ended {
                began_s: 101,
                ended_s: 102,
            },
        ],
        in_flight_s: &[],
        asked_s: 104,
        expected_s: Some(5),
    },
    Case {
        name: "long ago",
        ended: &[Ended {
            began_s: 50,
            ended_s: 59,
        }],
        in_flight_s: &[],
        asked_s: 100,
        expected_s: None,
    },
    Case {
        name: "in flight for longer than any has taken",
        ended: &[Ended {
            began_s: 98,
            ended_s: 99,
        }],
        in_flight_s: &[97, 99],
        asked_s: 100,
        expected_s: Some(3),
    },
    Case {
        name: "in flight for less time",
        ended: &[Ended {
            began_s: 92,
            ended_s: 99,
        }],
        in_flight_s: &[97],
        asked_s: 100,
        expected_s: Some(7),
    },
];

/// Guards against a request that is taken during a stop although similar ones take longer than
/// the stop.
#[test]
fn the_longest_recent_time_is_expected() {
    let names = Names::new();
    let kind = |service, class| RequestKind {
        service: names.service(service),
        class,
    };
    let asked = kind("a", Class::Standard);
    let others = [kind("b", Class::Standard), kind("a", Class::Critical)];
    for case in CASES {
        let mut times = ResponseTimes::new();
        for ended in case.ended {
            let key = times.begin(asked, ended.began_s * SECOND_US);
            times.end(key, ended.ended_s * SECOND_US);
        }
        for other in others {
            times.begin(other, 0);
        }
        for began_s in case.in_flight_s {
            times.begin(asked, began_s * SECOND_US);
        }
        let longest_us = times.longest_us(asked, case.asked_s * SECOND_US);
        let expected_us = case.expected_s.map(|seconds| seconds * SECOND_US);
        assert_eq!(longest_us, expected_us, "{}", case.name);
    }
}
