//! The overload control process beside one target instance.

use {
    anyhow::Context,
    clap::Parser,
    dogwoodbridge::{
        admission::{Adaptive, AdmissionPolicy, AdmitAll, StaticLimit},
        daemon, event,
        events::Event,
        logging,
        retry::{ChainBudget, NaiveRetry},
        settings::{AdmissionChoice, RetryChoice, Settings},
    },
    std::{process::ExitCode, sync::Arc},
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
        RetryChoice::Budget => Ok(daemon::run::<A, ChainBudget>(settings).await?),
        RetryChoice::Naive => Ok(daemon::run::<A, NaiveRetry>(settings).await?),
    }
}
