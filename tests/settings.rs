//! Invalid settings are rejected with the flag at fault.

use {
    clap::Parser,
    dogwoodbridge::settings::{Settings, SettingsError},
};

const VALID_ARGUMENTS: [&str; 17] = [
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

fn parse_settings(extra_arguments: &[&str]) -> Result<Settings, clap::Error> {
    Settings::try_parse_from(VALID_ARGUMENTS.iter().chain(extra_arguments).copied())
}

#[test]
fn valid_settings_are_accepted() {
    let settings = parse_settings(&["--caller-port", "8000"]).unwrap();
    assert_eq!(settings.check(), Ok(()));
    assert_eq!(settings.caller_port, 8000);
    assert_eq!(settings.reachable_ip(), settings.ip);
}

#[test]
fn invalid_settings_are_rejected_by_flag() {
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
        let mut settings = parse_settings(&[]).unwrap();
        (case.change)(&mut settings);
        assert_eq!(settings.check(), Err(case.expected));
    }
}

#[test]
fn values_of_wrong_type_are_rejected_by_the_parser() {
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
        let error = parse_settings(&[&case.flag, &case.value])
            .unwrap_err()
            .to_string();
        assert!(error.contains(&case.flag), "{error}");
    }
}

/// A deployment whose targets send a heartbeat every five seconds: each target
/// was removed five seconds after its last one, so that a healthy fleet lost and
/// regained all its targets in every period.
#[test]
fn a_target_outlasts_a_lost_and_a_late_heartbeat() {
    /// How late heartbeats of healthy targets arrive.
    const LATEST_ARRIVAL_MS: u64 = 1500;
    for period_ms in [500, 1500, 5000, 30_000] {
        let settings = parse_settings(&["--target-heartbeat-ms", &period_ms.to_string()]).unwrap();
        let next_but_one_ms = 2 * period_ms + LATEST_ARRIVAL_MS;
        assert!(
            settings.target_silence_ms() > next_but_one_ms,
            "{period_ms} ms"
        );
    }
}
