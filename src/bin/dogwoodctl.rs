//! Operators' tool.

use {
    clap::Parser,
    dogwoodbridge::cli::{Args, Exit, run},
    std::{io::Write, process::ExitCode},
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<ExitCode> {
    let args = Args::parse();
    match run(&args).await {
        Ok(finished) => {
            // Not println!: a reader that closes its end early (`| head`) is
            // no reason to panic.
            let _ = writeln!(std::io::stdout(), "{}", finished.output(args.output));
            Ok(ExitCode::from(finished.exit.code()))
        }
        Err(error) => {
            eprintln!("dogwoodctl: {error}");
            Ok(ExitCode::from(Exit::Failed.code()))
        }
    }
}
