//! Settings that cannot work are named at the start.

use {
    clap::Parser,
    dogwoodbridge::settings::{Settings, SettingsError},
};

const GOOD: [&str; 17] = [
    "dogwoodd",
    "--node-id",
    "n1",
    "--ip",
    "127.0.0.1",
    "--region",
    "r1",
    "--zone",
    "z1",
    "--platform",
    "127.0.0.9:7100",
    "--fleet-secret",
    "sixteen bytes or more",
    "--operator-secret",
    "another long enough secret",
    "--log-level",
    "warn",
];

fn parse(changes: &[&str]) -> Result<Settings, clap::Error> {
    Settings::try_parse_from(GOOD.iter().chain(changes).copied())
}

#[test]
fn good_settings_pass() {
    let settings = parse(&["--caller-port", "8000"]).unwrap();
    assert_eq!(settings.check(), Ok(()));
    assert_eq!(settings.caller_port, 8000);
    assert_eq!(settings.reachable_ip(), settings.ip);
}

#[test]
fn settings_that_cannot_work_are_named() {
    struct Case {
        change: fn(&mut Settings),
        expected: SettingsError,
    }
    let cases = [
        Case {
            change: |settings| settings.node_id.clear(),
            expected: SettingsError::Empty {
                flag: "node-id".to_owned(),
            },
        },
        Case {
            change: |settings| settings.zone = "z 1".to_owned(),
            expected: SettingsError::BadName {
                flag: "zone".to_owned(),
                value: "z 1".to_owned(),
            },
        },
        Case {
            change: |settings| settings.fleet_secret = "short".to_owned(),
            expected: SettingsError::ShortSecret {
                flag: "fleet-secret".to_owned(),
                byte_count: 5,
            },
        },
        Case {
            change: |settings| settings.worker_threads = 0,
            expected: SettingsError::Zero {
                flag: "worker-threads".to_owned(),
            },
        },
        Case {
            change: |settings| settings.peer_port = settings.caller_port,
            expected: SettingsError::SamePort {
                first: "caller-port".to_owned(),
                second: "peer-port".to_owned(),
                port: 7000,
            },
        },
    ];
    for case in cases {
        let mut settings = parse(&[]).unwrap();
        (case.change)(&mut settings);
        assert_eq!(settings.check(), Err(case.expected));
    }
}

#[test]
fn values_of_the_wrong_kind_are_rejected_by_the_parser() {
    struct Case {
        flag: String,
        value: String,
    }
    let cases = [
        ("--admission", "best"),
        ("--caller-port", "70000"),
        ("--seeds", "nowhere"),
    ]
    .map(|(flag, value)| Case {
        flag: flag.to_owned(),
        value: value.to_owned(),
    });
    for case in cases {
        let error = parse(&[&case.flag, &case.value]).unwrap_err().to_string();
        assert!(error.contains(&case.flag), "{error}");
    }
}
