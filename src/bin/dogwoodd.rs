//! The overload control process beside one target instance.

use {
    anyhow::Context,
    clap::Parser,
    dogwoodbridge::{
        admission::{Adaptive, AdmissionPolicy, AdmitAll, StaticLimit},
        conf::Running,
        event,
        events::Event,
        freshness::Freshness,
        logging,
        membership::{OwnState, View},
        model::Names,
        node::{LocalGuard, LocalQuota, Node, NodeInputs, PolicySet, start},
        retry::{ChainBudget, NaiveRetry, RetryPolicy},
        routing::ZoneRouter,
        settings::{AdmissionChoice, RetryChoice, Settings},
        shutdown,
        timer::Timer,
    },
    std::{process::ExitCode, sync::Arc},
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

fn main() -> ExitCode {
    match start_up() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dogwoodd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start_up() -> anyhow::Result<()> {
    let settings = Settings::parse();
    logging::init(settings.log_level).context("logging")?;
    if let Err(error) = settings.check() {
        event!(Event::SettingRejected, "{error}");
        return Err(error.into());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads)
        .enable_all()
        .build()
        .context("runtime")?;
    runtime.block_on(choose_admission(Arc::new(settings)))
}

/// The policies are chosen here, once, so that no request pays for a choice.
async fn choose_admission(settings: Arc<Settings>) -> anyhow::Result<()> {
    match settings.admission {
        AdmissionChoice::Adaptive => choose_retry::<Adaptive>(settings).await,
        AdmissionChoice::Static => choose_retry::<StaticLimit>(settings).await,
        AdmissionChoice::AdmitAll => choose_retry::<AdmitAll>(settings).await,
    }
}

async fn choose_retry<A: AdmissionPolicy>(settings: Arc<Settings>) -> anyhow::Result<()> {
    match settings.retry {
        RetryChoice::Budget => run::<A, ChainBudget>(settings).await,
        RetryChoice::Naive => run::<A, NaiveRetry>(settings).await,
    }
}

async fn run<A: AdmissionPolicy, T: RetryPolicy>(settings: Arc<Settings>) -> anyhow::Result<()> {
    let timer_stop = CancellationToken::new();
    let timer = Timer::new(timer_stop.clone());
    let (_running, running) = watch::channel(Arc::new(Running::default()));
    let (_view, view) = watch::channel(Arc::new(View::default()));
    let (_freshness, freshness) = watch::channel(Freshness::Fresh);
    let (own_state, _) = watch::channel(OwnState::default());
    let node = Node::<PolicySet<A, ZoneRouter, T, LocalQuota, LocalGuard>>::new(NodeInputs {
        guard: LocalGuard::new(&settings.node_id, Vec::new()),
        settings,
        names: Names::new(),
        quota: LocalQuota::new(timer.clone()),
        timer,
        running,
        view,
        own_state,
        freshness,
    });
    let tasks = start(&node)?;
    tokio::spawn(shutdown::drain_at_signal(Arc::clone(&node)));
    tasks.wait().await;
    timer_stop.cancel();
    Ok(())
}
