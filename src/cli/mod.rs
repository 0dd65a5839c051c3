//! `dogwoodctl`: what operators do from their own machine.

mod args;
mod check;
mod document_change;
mod drain;
mod errors;
mod evacuate;
mod explain;
mod fleet;
mod keys;
mod publication;
mod publish;
mod report;
mod room;
mod room_report;
mod status;
mod zones;

pub use {
    args::{Args, Command, KeyCommand, OutputFormat, Page},
    document_change::{ChangeOutcome, SharedDocument, change_document},
    errors::CliError,
    fleet::{Fleet, FleetView, NodeAnswer, SentAnswer},
    publication::{PublishOutcome, Winner, publish_record},
    report::{Exit, Finished},
    zones::{ZoneReport, zone_reports},
};

use crate::reference;

/// Carries out a command.
pub async fn run(args: &Args) -> Result<Finished, CliError> {
    match &args.command {
        Command::Check { dir } => check::run(dir),
        Command::Publish(publish) => publish::run(args, publish).await,
        Command::Key { command } => keys::run(args, command).await,
        Command::Status => status::run(args).await,
        Command::Room(room) => room::run(args, room).await,
        Command::Evacuate(evacuate) => evacuate::run(args, evacuate).await,
        Command::Drain { node } => drain::run(args, node).await,
        Command::Explain(explain) => explain::run(args, explain).await,
        Command::Reference { page: Page::Events } => Ok(Finished::page(reference::events_page())),
        Command::Reference {
            page: Page::Settings,
        } => Ok(Finished::page(reference::settings_page())),
        Command::Completions { shell } => Ok(Finished::completions(*shell)),
    }
}
