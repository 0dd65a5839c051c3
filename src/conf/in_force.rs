//! Keeps the running configuration in step with the held documents.

use {
    super::{Running, compile},
    crate::{
        documents::{Document, DocumentKind, DocumentStore},
        event,
        events::Event,
        keys::{KeyDigest, Revocations},
        model::Names,
    },
    std::{collections::HashSet, sync::Arc},
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

/// Starts the task that puts documents and revocations into force.
///
/// The receiver holds the default, revision 0, until there is a configuration.
#[must_use]
pub fn spawn_in_force(
    store: &DocumentStore,
    revocations: &Revocations,
    names: Names,
    shutdown: CancellationToken,
) -> watch::Receiver<Arc<Running>> {
    let (sender, receiver) = watch::channel(Arc::new(Running::default()));
    let mut sources = Sources {
        configuration: store.subscribe(DocumentKind::Configuration),
        keys: store.subscribe(DocumentKind::Keys),
        told: revocations.subscribe(),
    };
    let revocations = revocations.clone();
    tokio::spawn(async move {
        loop {
            sources.put_into_force(&sender, &names, &revocations);
            tokio::select! {
                () = shutdown.cancelled() => break,
                changed = sources.changed() => if !changed { break },
            }
        }
    });
    receiver
}

struct Sources {
    configuration: watch::Receiver<Option<Document>>,
    keys: watch::Receiver<Option<Document>>,
    told: watch::Receiver<Arc<HashSet<KeyDigest>>>,
}

impl Sources {
    async fn changed(&mut self) -> bool {
        let changed = tokio::select! {
            changed = self.configuration.changed() => changed,
            changed = self.keys.changed() => changed,
            changed = self.told.changed() => changed,
        };
        changed.is_ok()
    }

    fn put_into_force(
        &mut self,
        sender: &watch::Sender<Arc<Running>>,
        names: &Names,
        revocations: &Revocations,
    ) {
        let configuration = self.configuration.borrow_and_update().clone();
        let keys = self.keys.borrow_and_update().clone();
        let told = self.told.borrow_and_update().clone();
        let Some(configuration) = configuration else {
            return;
        };
        let earlier = sender.borrow().clone();
        let mut running = match compile(&configuration, keys.as_ref(), names) {
            Ok(running) => {
                revocations.confirm(&running.revoked);
                running
            }
            Err(error) => {
                event!(Event::ConfigurationRejected, "error={error}");
                Running::clone(&earlier)
            }
        };
        // A document that lacks an earlier revocation (an operator's tool that
        // wrote from an old copy) would bring a revoked key back to life; its
        // holder would be served again. What this process has seen revoked
        // stays so.
        running.revoked.extend(earlier.revoked.iter().copied());
        running.revoked.extend(told.iter().copied());
        send_if_changed(sender, &earlier, running);
    }
}

fn send_if_changed(sender: &watch::Sender<Arc<Running>>, earlier: &Running, running: Running) {
    if running == *earlier {
        return;
    }
    if running.revision != earlier.revision {
        event!(Event::ConfigurationInForce, "revision={}", running.revision);
    }
    for digest in running.revoked.difference(&earlier.revoked) {
        event!(Event::KeyRevoked, "digest={digest}");
    }
    sender.send_replace(Arc::new(running));
}
