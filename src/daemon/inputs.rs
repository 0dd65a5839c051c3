//! Small tasks that carry values from one part to the next.

use {
    crate::{
        conf::CompiledConfiguration,
        documents::{DocumentKind, DocumentStore, Versions},
        freshness::FreshnessObservation,
        membership::{Gossip, OwnState},
        quota::Rates,
    },
    std::sync::Arc,
    tokio::sync::{broadcast::error::RecvError, mpsc, watch},
    tokio_util::sync::CancellationToken,
};

const HEARD_LENGTH: usize = 1024;

/// Replies to own probes and looks at the platform, for freshness.
pub fn heard(
    gossip: &Gossip,
    mut seen: watch::Receiver<Option<u64>>,
) -> mpsc::Receiver<FreshnessObservation> {
    let (sender, receiver) = mpsc::channel(HEARD_LENGTH);
    let mut stamps = gossip.stamps.subscribe();
    tokio::spawn(async move {
        loop {
            let heard = tokio::select! {
                stamp = stamps.recv() => match stamp {
                    Ok(stamp) => FreshnessObservation::Reply(stamp),
                    Err(RecvError::Lagged(_)) => continue,
                    Err(RecvError::Closed) => return,
                },
                changed = seen.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    match *seen.borrow_and_update() {
                        // The follower tells of a look only once this node holds
                        // all that it showed.
                        Some(poll_started_ms) => {
                            FreshnessObservation::Platform { poll_started_ms, versions: Versions::default() }
                        }
                        None => continue,
                    }
                }
            };
            if sender.send(heard).await.is_err() {
                return;
            }
        }
    });
    receiver
}

/// Versions of the documents held; told to gossip as well.
pub fn versions(
    store: &DocumentStore,
    own_state: &watch::Sender<OwnState>,
    shutdown: &CancellationToken,
) -> watch::Receiver<Versions> {
    let (sender, receiver) = watch::channel(store.versions());
    let (store, own_state, shutdown) = (store.clone(), own_state.clone(), shutdown.clone());
    tokio::spawn(async move {
        let [mut configuration, mut keys, mut slices, mut evacuations] =
            DocumentKind::ALL.map(|kind| store.subscribe(kind));
        loop {
            let versions = store.versions();
            sender.send_replace(versions);
            own_state.send_modify(|own| own.versions = versions);
            tokio::select! {
                () = shutdown.cancelled() => return,
                _ = configuration.changed() => {}
                _ = keys.changed() => {}
                _ = slices.changed() => {}
                _ = evacuations.changed() => {}
            }
        }
    });
    receiver
}

/// Tells gossip when this node last knew the platform's content.
pub fn tell_looks(
    mut look: watch::Receiver<Option<u64>>,
    own_state: watch::Sender<OwnState>,
    shutdown: &CancellationToken,
) {
    let shutdown = shutdown.clone();
    tokio::spawn(async move {
        loop {
            let seen_ms = *look.borrow_and_update();
            own_state.send_modify(|own| own.platform_seen_ms = seen_ms);
            tokio::select! {
                () = shutdown.cancelled() => return,
                changed = look.changed() => if changed.is_err() { return },
            }
        }
    });
}

/// Rates of the configuration in force.
pub fn rates(
    mut running: watch::Receiver<Arc<CompiledConfiguration>>,
    shutdown: &CancellationToken,
) -> watch::Receiver<Arc<Rates>> {
    let (sender, receiver) = watch::channel(Arc::default());
    let shutdown = shutdown.clone();
    tokio::spawn(async move {
        loop {
            let rates: Rates = {
                let running = running.borrow_and_update();
                running
                    .workspaces
                    .iter()
                    .map(|(key, rules)| (*key, rules.rate))
                    .collect()
            };
            if **sender.borrow() != rates {
                sender.send_replace(Arc::new(rates));
            }
            tokio::select! {
                () = shutdown.cancelled() => return,
                changed = running.changed() => if changed.is_err() { return },
            }
        }
    });
    receiver
}

/// Copies a value from one channel to another; joins parts that need each
/// other's output.
pub fn forward<T: Clone + Send + Sync + 'static>(
    mut from: watch::Receiver<T>,
    to: watch::Sender<T>,
    shutdown: &CancellationToken,
) {
    let shutdown = shutdown.clone();
    tokio::spawn(async move {
        loop {
            to.send_replace(from.borrow_and_update().clone());
            tokio::select! {
                () = shutdown.cancelled() => return,
                changed = from.changed() => if changed.is_err() { return },
            }
        }
    });
}
