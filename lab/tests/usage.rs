//! Memory and processor time, and common rules.

use {
    lab::{
        rules::{cut_from_platform, isolate},
        usage::{NodeCost, Usage},
    },
    standins::faultproxy::{CutMode, Host, Rules},
};

#[test]
fn usage_of_this_process() {
    let usage = Usage::of(std::process::id()).expect("usage");
    assert!(usage.resident_bytes > 100_000, "{usage:?}");
}

#[test]
fn malformed_usage() {
    for text in [
        "",
        "1 (x)",
        "1 (a b) c) S 1",
        "1 (x) S a b c d e f g h i j k l m",
    ] {
        assert_eq!(Usage::parse(text), None, "{text:?}");
    }
}

#[test]
fn cost_leaves_out_nodes_that_were_replaced() {
    let usage = |cpu_ms, resident_bytes| {
        Some(Usage {
            cpu_ms,
            resident_bytes,
        })
    };
    let before = [usage(100, 10), usage(500, 10), None, usage(7, 10)];
    let after = [usage(130, 50), usage(20, 90), usage(40, 70), None];
    let expected = NodeCost {
        node_count: 1,
        cpu_ms: 30,
        max_resident_bytes: 50,
    };
    assert_eq!(NodeCost::between(&before, &after), expected);
}

#[test]
fn rules_cut_what_they_name() {
    struct Case {
        from: &'static str,
        to: &'static str,
        isolated: bool,
        platform_cut: bool,
    }
    let cases = [
        Case {
            from: "a",
            to: "b",
            isolated: true,
            platform_cut: false,
        },
        Case {
            from: "b",
            to: "a",
            isolated: true,
            platform_cut: false,
        },
        Case {
            from: "a",
            to: "platform",
            isolated: true,
            platform_cut: true,
        },
        Case {
            from: "platform",
            to: "a",
            isolated: true,
            platform_cut: true,
        },
        Case {
            from: "a",
            to: "a",
            isolated: false,
            platform_cut: false,
        },
        Case {
            from: "b",
            to: "c",
            isolated: false,
            platform_cut: false,
        },
        Case {
            from: "b",
            to: "platform",
            isolated: false,
            platform_cut: false,
        },
    ];
    let host = |zone: &str| Host {
        virtual_ip: [127, 0, 0, 2].into(),
        real_ip: [127, 0, 0, 1].into(),
        zone: zone.to_owned(),
    };
    let mode = CutMode::BlackHole;
    let isolated = Rules(isolate("a", &["a", "b", "c"], mode));
    let platform_cut = Rules(cut_from_platform("a", mode));
    for case in cases {
        let is_cut = |rules: &Rules| {
            let effect = rules.effect(&host(case.from), &host(case.to), 1);
            effect.cut.is_some()
        };
        let name = format!("{} to {}", case.from, case.to);
        assert_eq!(is_cut(&isolated), case.isolated, "{name}");
        assert_eq!(is_cut(&platform_cut), case.platform_cut, "{name}");
    }
}
