//! `dogwood-lab`: demonstration, scenarios and reports.

use {
    anyhow::{bail, ensure},
    clap::{Parser, Subcommand},
    lab::demo,
    tokio::signal::unix::{SignalKind, signal},
};

/// Starts real processes on loopback, sends requests and reports
#[derive(Debug, Parser)]
#[command(name = "dogwood-lab", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Bring up a small mesh, send requests, print what became of them, clean up
    Demo,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    // The processes of a mesh are killed when it is dropped; a signal that
    // ended this process at once would leave them behind.
    tokio::select! {
        result = run(Args::parse().command) => result,
        _ = tokio::signal::ctrl_c() => bail!("interrupted"),
        _ = terminate.recv() => bail!("terminated"),
    }
}

async fn run(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Demo => run_demo().await,
    }
}

async fn run_demo() -> anyhow::Result<()> {
    println!("Starting a platform, 2 availability zones, 2 services, 4 nodes …");
    let (summary, overhead) = demo::run().await?;
    println!("{summary}\n{overhead}");
    ensure!(summary.wrong_count == 0, "answers were cut or crossed");
    ensure!(summary.whole_count > 0, "no request was answered");
    ensure!(!overhead.direct_us.is_empty(), "no latency was measured");
    Ok(())
}
