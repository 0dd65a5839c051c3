//! Plays one case of the review: starts the project's processes and stand-ins, and judges what
//! the clients and endpoints have seen. Exits with 1 if a rule was broken, 0 if it held, 2 if the
//! case could not run.

#![allow(dead_code)]

mod cold_again;
mod crowd;
mod endpoint;
mod held_responses;
mod http;
mod json;
mod lost_machines;
mod mesh;
mod node;
mod record;
mod slow_work;
mod store;

use {record::Record, std::process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::new(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let played = match case.as_str() {
        "lost-machines" => lost_machines::run(&record, has_trouble),
        "held-responses" => held_responses::run(&record, has_trouble),
        "cold-again" => cold_again::run(&record, has_trouble),
        "slow-work" => slow_work::run(&record, has_trouble),
        "crowd" => crowd::run(&record, has_trouble),
        _ => Err(format!("no case is called {case}")),
    };
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            record.line(&error);
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
