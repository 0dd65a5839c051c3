//! Which process of a target counts, when its notices are late, doubled or of
//! an earlier process.

use dogwoodbridge::target::{Registration, Standing};

enum Notice {
    Alive(&'static str, u64, u64),
    Leave(&'static str, Option<u64>),
}

struct Case {
    name: &'static str,
    notices: Vec<(Notice, Option<Standing>)>,
}

/// A partition holds a heartbeat up; meanwhile its process crashed and another
/// one registered at the address. Believed, the old one would have all
/// requests sent to a process that is gone, and refused by the new one.
#[test]
fn only_the_present_process_is_believed() {
    use {
        Notice::{Alive, Leave},
        Standing::{New, Next, Outdated},
    };
    let cases = [
        Case {
            name: "in order",
            notices: vec![
                (Alive("i-1", 100, 1), Some(New)),
                (Alive("i-1", 100, 2), Some(Next)),
                (Alive("i-1", 100, 9), Some(Next)),
            ],
        },
        Case {
            name: "overtaken",
            notices: vec![
                (Alive("i-1", 100, 5), Some(New)),
                (Alive("i-1", 100, 4), Some(Outdated)),
                (Alive("i-1", 100, 5), Some(Outdated)),
                (Alive("i-1", 100, 6), Some(Next)),
            ],
        },
        Case {
            name: "an earlier process's heartbeat arrives late",
            notices: vec![
                (Alive("i-1", 100, 5), Some(New)),
                (Alive("i-2", 200, 1), Some(New)),
                (Alive("i-1", 100, 6), Some(Outdated)),
                (Alive("i-2", 200, 2), Some(Next)),
            ],
        },
        Case {
            name: "started again under its own name, counting anew",
            notices: vec![
                (Alive("i-1", 100, 50), Some(New)),
                (Alive("i-1", 300, 1), Some(New)),
                (Alive("i-1", 100, 51), Some(Outdated)),
                (Alive("i-1", 300, 2), Some(Next)),
            ],
        },
        Case {
            name: "a heartbeat after the leave",
            notices: vec![
                (Alive("i-1", 100, 1), Some(New)),
                (Leave("i-1", None), None),
                (Alive("i-1", 100, 2), Some(Outdated)),
                (Alive("i-2", 200, 1), Some(New)),
            ],
        },
    ];
    for case in cases {
        let mut registration = Registration::new();
        for (index, (notice, expected)) in case.notices.into_iter().enumerate() {
            let standing = match notice {
                Alive(id, started, sequence) => {
                    Some(registration.alive(id, started, Some(sequence)))
                }
                Leave(id, started) => {
                    assert!(registration.leave(id, started), "{}: {index}", case.name);
                    None
                }
            };
            assert_eq!(standing, expected, "{}: notice {index}", case.name);
        }
    }
}

/// The leave of an earlier process arrives when another one has taken its
/// place. Obeyed, it would take a healthy target out of service for good.
#[test]
fn a_leave_of_another_process_is_not_obeyed() {
    struct Case {
        name: &'static str,
        leave: (&'static str, Option<u64>),
        is_obeyed: bool,
    }
    let cases = [
        Case {
            name: "other name",
            leave: ("i-1", Some(100)),
            is_obeyed: false,
        },
        Case {
            name: "same name, earlier start",
            leave: ("i-2", Some(100)),
            is_obeyed: false,
        },
        Case {
            name: "same name, no start told",
            leave: ("i-2", None),
            is_obeyed: true,
        },
        Case {
            name: "the present process",
            leave: ("i-2", Some(200)),
            is_obeyed: true,
        },
    ];
    for case in cases {
        let mut registration = Registration::new();
        registration.alive("i-2", 200, Some(1));
        let is_obeyed = registration.leave(case.leave.0, case.leave.1);
        assert_eq!(is_obeyed, case.is_obeyed, "{}", case.name);
    }
}
