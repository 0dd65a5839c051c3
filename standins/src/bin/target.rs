//! Stand-in for a back-end instance beside a node.

use {
    anyhow::Context,
    clap::Parser,
    standins::target::{Journal, Target, TargetConf},
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
    },
};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let conf = TargetConf::parse();
    let listener = TcpListener::bind(conf.listen)
        .await
        .with_context(|| format!("--listen {}", conf.listen))?;
    let admin_listener = TcpListener::bind(conf.admin)
        .await
        .with_context(|| format!("--admin {}", conf.admin))?;
    let journal = match &conf.journal_file {
        Some(path) => Journal::new().with_file(path)?,
        None => Journal::new(),
    };
    let target = Target::new(conf, journal);
    let mut terminate = signal(SignalKind::terminate())?;
    let draining = target.clone();
    tokio::spawn(async move {
        terminate.recv().await;
        draining.drain();
    });
    target.serve(listener, admin_listener).await;
    Ok(())
}
