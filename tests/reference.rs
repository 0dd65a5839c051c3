//! The pages that are made from the code agree with it.

use {
    dogwoodbridge::{events::Event, reference, settings::Settings},
    std::{collections::HashSet, fs, path::Path},
};

#[test]
fn pages_agree_with_the_code() {
    struct Case {
        file: String,
        expected: String,
    }
    let cases = [
        Case {
            file: "docs/EVENTS.md".to_owned(),
            expected: reference::events_page(),
        },
        Case {
            file: "docs/operations/settings.md".to_owned(),
            expected: reference::settings_page(),
        },
    ];
    for case in cases {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(&case.file);
        let found = fs::read_to_string(&path).unwrap_or_default();
        let remedy = "write it anew with dogwoodctl reference";
        assert!(
            found == case.expected,
            "{} is out of date: {remedy}",
            case.file
        );
    }
}

#[test]
fn event_numbers_are_unique_and_ascending() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert!(
        numbers.windows(2).all(|pair| pair[0] < pair[1]),
        "{numbers:?}"
    );
    assert_eq!(numbers.iter().collect::<HashSet<_>>().len(), numbers.len());
}

#[test]
fn every_setting_has_a_variable_and_help() {
    use clap::CommandFactory;
    for argument in Settings::command().get_arguments() {
        let id = argument.get_id().as_str();
        if matches!(id, "help" | "version") {
            continue;
        }
        let variable = argument
            .get_env()
            .map(|name| name.to_string_lossy().into_owned());
        assert!(
            variable.is_some_and(|name| name.starts_with("DOGWOOD_")),
            "--{id}"
        );
        assert!(argument.get_help().is_some(), "--{id}");
    }
}
