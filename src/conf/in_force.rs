//! Compiles the stored documents and publishes the configuration in force.

use {
    super::{CompiledConfiguration, compile},
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

/// Starts the task that puts new documents and revocations into force.
///
/// The receiver holds an empty configuration of revision 0 until the first
/// configuration document arrives.
#[must_use]
pub fn spawn_configuration_task(
    store: &DocumentStore,
    revocations: &Revocations,
    names: Names,
    shutdown: CancellationToken,
) -> watch::Receiver<Arc<CompiledConfiguration>> {
    let (sender, receiver) = watch::channel(Arc::new(CompiledConfiguration::default()));
    let mut sources = ConfigurationSources {
        configuration: store.subscribe(DocumentKind::Configuration),
        keys: store.subscribe(DocumentKind::Keys),
        pending_revocations: revocations.subscribe(),
    };
    let revocations = revocations.clone();
    tokio::spawn(async move {
        loop {
            sources.put_into_force(&sender, &names, &revocations);
            tokio::select! {
                () = shutdown.cancelled() => break,
                has_changed = sources.wait_for_change() => if !has_changed { break },
            }
        }
    });
    receiver
}

struct ConfigurationSources {
    configuration: watch::Receiver<Option<Document>>,
    keys: watch::Receiver<Option<Document>>,
    pending_revocations: watch::Receiver<Arc<HashSet<KeyDigest>>>,
}

impl ConfigurationSources {
    async fn wait_for_change(&mut self) -> bool {
        let changed = tokio::select! {
            changed = self.configuration.changed() => changed,
            changed = self.keys.changed() => changed,
            changed = self.pending_revocations.changed() => changed,
        };
        changed.is_ok()
    }

    fn put_into_force(
        &mut self,
        sender: &watch::Sender<Arc<CompiledConfiguration>>,
        names: &Names,
        revocations: &Revocations,
    ) {
        let configuration = self.configuration.borrow_and_update().clone();
        let keys = self.keys.borrow_and_update().clone();
        let pending_revocations = self.pending_revocations.borrow_and_update().clone();
        let Some(configuration) = configuration else {
            return;
        };
        let previous = sender.borrow().clone();
        let mut compiled = match compile(&configuration, keys.as_ref(), names) {
            Ok(compiled) => {
                revocations.remove_in_document(&compiled.revoked);
                compiled
            }
            Err(error) => {
                event!(Event::ConfigurationRejected, "error={error}");
                CompiledConfiguration::clone(&previous)
            }
        };
        // A keys document written from an old copy may lack an earlier revocation,
        // and the revoked key would be accepted again. A key that this process
        // has seen revoked stays revoked.
        compiled.revoked.extend(previous.revoked.iter().copied());
        compiled.revoked.extend(pending_revocations.iter().copied());
        publish_if_changed(sender, &previous, compiled);
    }
}

fn publish_if_changed(
    sender: &watch::Sender<Arc<CompiledConfiguration>>,
    previous: &CompiledConfiguration,
    compiled: CompiledConfiguration,
) {
    if compiled == *previous {
        return;
    }
    if compiled.revision != previous.revision {
        event!(
            Event::ConfigurationInForce,
            "revision={}",
            compiled.revision
        );
    }
    for digest in compiled.revoked.difference(&previous.revoked) {
        event!(Event::KeyRevoked, "digest={digest}");
    }
    sender.send_replace(Arc::new(compiled));
}
