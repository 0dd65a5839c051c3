//! Scenario files, arrivals and reports.

use {
    lab::{
        caller::Judgement,
        load::{Arrivals, Attempt, Original},
        measure::{Evidence, ScenarioResult},
        report,
        scenario::{FaultAction, Scenario},
    },
    std::{env, fs, path::Path},
};

fn small() -> Scenario {
    Scenario::parse(SMALL).expect("a scenario")
}

const SMALL: &str = r#"
name = "small"
duration_s = 20

[[group]]
zone = "a"
service = "pricing"
count = 2

[[workspace]]
name = "shop"
rate_per_s = 10
burst = 10

[[load]]
name = "reads"
workspace = "shop"
method = "GET"
path = "/pricing/quotes/7"
rate_per_s = 100
deadline_ms = 1000

[[load.step]]
at_s = 5
factor = 3.0

[[load.step]]
at_s = 10
factor = 0.0

[[fault]]
at_s = 4
until_s = 8
action = { target = { faults = { slow_factor = 5.0 } } }
"#;

#[test]
fn scenarios_of_the_repository_are_right() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut names = Vec::new();
    for entry in fs::read_dir(dir).expect("a directory") {
        let path = entry.expect("an entry").path();
        let scenario = Scenario::read(&path);
        let scenario = scenario.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        assert!(scenario.cause_start_s().is_some(), "{}", scenario.name);
        assert!(scenario.cause_end_s().is_some(), "{}", scenario.name);
        names.push(scenario.name);
    }
    assert_eq!(names.len(), 6, "{names:?}");
}

#[test]
fn wrong_scenarios_name_what_is_wrong() {
    struct Case {
        replace: (&'static str, &'static str),
        message: &'static str,
    }
    let cases = [
        Case {
            replace: ("workspace = \"shop\"", "workspace = \"shoe\""),
            message: "no such workspace",
        },
        Case {
            replace: ("duration_s = 20", "duration_s = 0"),
            message: "duration_s",
        },
        Case {
            replace: ("rate_per_s = 100", "rate_per_s = 1000000"),
            message: "rate_per_s",
        },
        Case {
            replace: ("until_s = 8", "until_s = 3"),
            message: "ends before",
        },
        Case {
            replace: ("slow_factor", "slow_fctor"),
            message: "slow_fctor",
        },
        Case {
            replace: ("deadline_ms", "deadlin_ms"),
            message: "deadlin_ms",
        },
    ];
    for case in cases {
        let text = SMALL.replacen(case.replace.0, case.replace.1, 1);
        let error = Scenario::parse(&text).expect_err(case.message).to_string();
        assert!(error.contains(case.message), "{error}");
    }
}

#[test]
fn times_of_causes_and_mesh() {
    let scenario = small();
    assert_eq!(scenario.cause_start_s(), Some(4.0));
    assert_eq!(scenario.cause_end_s(), Some(10.0));
    assert!(matches!(
        scenario.faults[0].action,
        FaultAction::Target { .. }
    ));
    let mesh = scenario.mesh();
    assert_eq!(mesh.instances.len(), 2);
    assert!(mesh.files[0].text.contains("rate_per_s = 10\n"));
}

#[test]
fn arrivals_follow_the_rate_and_repeat_with_the_seed() {
    let scenario = small();
    let arrivals = |seed| Arrivals::new(&scenario.loads[0], seed, 20).collect::<Vec<u64>>();
    let times_us = arrivals(7);
    assert_eq!(times_us, arrivals(7));
    assert_ne!(times_us, arrivals(8));
    assert!(times_us.is_sorted());
    let count = |from_s: u64, to_s: u64| {
        let range = from_s * 1_000_000..to_s * 1_000_000;
        times_us.iter().filter(|time| range.contains(time)).count()
    };
    // Five standard deviations around 500 and 1500.
    assert!((388..=612).contains(&count(0, 5)), "{}", count(0, 5));
    assert!((1306..=1694).contains(&count(5, 10)), "{}", count(5, 10));
    assert_eq!(count(10, 20), 0);
}

#[test]
fn report_is_written_and_read_back() {
    let originals = (0..1000).map(|number| Original {
        test_id: number.to_string(),
        load_index: 0,
        intended_us: number * 10_000,
        latency_us: 5000,
        attempts: vec![Attempt {
            sent_us: number * 10_000,
            judgement: Judgement::Whole,
            reason: None,
        }],
    });
    let evidence = Evidence {
        originals: originals.collect(),
        ..Evidence::default()
    };
    let result = ScenarioResult::new(&small(), &evidence);
    assert!((result.normal_per_s - 100.0).abs() < 1.0);
    assert!(report::compare_text(&result, &result).contains("1.000"));
    // Another run of this test at the same time must not write there too.
    let name = format!("report-{}", std::process::id());
    let dir = env::current_exe().expect("a path").with_extension(name);
    report::write(&result, &dir).expect("written");
    let json = fs::read_to_string(dir.join("result.json")).expect("a file");
    let read: ScenarioResult = serde_json::from_str(&json).expect("a result");
    assert_eq!(read.name, "small");
    let html = fs::read_to_string(dir.join("report.html")).expect("a file");
    assert_eq!(html.matches("<svg").count(), 4);
    fs::remove_dir_all(dir).expect("removed");
}
