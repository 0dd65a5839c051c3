//! Pages of the documentation that are made from the code.
//!
//! `dogwoodctl reference events|settings` prints them; a test compares them
//! with the files in docs/.

use {
    crate::{events::Event, settings::Settings},
    clap::CommandFactory,
    std::fmt::Write,
};

/// docs/EVENTS.md: the catalogue of numbered log events.
#[must_use]
pub fn events_page() -> String {
    let mut page = String::from(
        "# Log events\n\n\
         Each log line carries the number and name of its event: `E300 MemberJoined node=…`.\n\
         Numbers stay the same across versions. Made by `dogwoodctl reference events`.\n\n\
         | Number | Event | Level | Meaning |\n|---|---|---|---|\n",
    );
    for event in Event::ALL {
        let (number, level, meaning) = (event.number(), event.level(), event.meaning());
        writeln!(page, "| E{number} | {event:?} | {level} | {meaning} |")
            .expect("a String accepts all writes");
    }
    page
}

/// docs/operations/settings.md: flags and environment variables of `dogwoodd`.
#[must_use]
pub fn settings_page() -> String {
    let mut page = String::from(
        "# Settings of dogwoodd\n\n\
         A flag goes before its environment variable. Everything is checked at the start; a\n\
         setting that cannot work is named and the process exits with a code other than 0.\n\
         Made by `dogwoodctl reference settings`.\n\n\
         | Flag | Environment | Default | Meaning |\n|---|---|---|---|\n",
    );
    for argument in Settings::command().get_arguments() {
        let Some(flag) = argument.get_long() else {
            continue;
        };
        let variable = argument
            .get_env()
            .map(|name| name.to_string_lossy().into_owned());
        let defaults: Vec<_> = argument
            .get_default_values()
            .iter()
            .map(|value| value.to_string_lossy())
            .collect();
        let default = if defaults.is_empty() {
            "none".to_owned()
        } else {
            defaults.join(", ")
        };
        let meaning = argument
            .get_help()
            .map(ToString::to_string)
            .unwrap_or_default();
        let variable = variable.unwrap_or_default();
        writeln!(
            page,
            "| `--{flag}` | `{variable}` | {default} | {meaning} |"
        )
        .expect("a String accepts all writes");
    }
    page
}
