//! Puts the store's configuration into force.

use {
    crate::{
        conf::{HostedConfiguration, Running, compile_hosted},
        event,
        events::Event,
        model::Names,
        objects::StoredObject,
    },
    std::{fmt::Display, sync::Arc},
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

/// Starts the task that decodes each new content and puts it into force.
///
/// Versions only rise: content that is older than what is in force is left
/// alone, so that no request is decided by rules that were withdrawn.
pub fn spawn<E: Display + Send + 'static>(
    mut object: watch::Receiver<Option<StoredObject>>,
    decode: fn(&[u8]) -> Result<HostedConfiguration, E>,
    names: Names,
    shutdown: &CancellationToken,
) -> watch::Receiver<Arc<Running>> {
    let (sender, receiver) = watch::channel(Arc::new(Running::default()));
    let shutdown = shutdown.clone();
    tokio::spawn(async move {
        loop {
            let content = object.borrow_and_update().clone();
            if let Some(content) = content {
                put_into_force(&sender, &content, decode, &names);
            }
            tokio::select! {
                () = shutdown.cancelled() => return,
                changed = object.changed() => if changed.is_err() { return },
            }
        }
    });
    receiver
}

fn put_into_force<E: Display>(
    sender: &watch::Sender<Arc<Running>>,
    object: &StoredObject,
    decode: fn(&[u8]) -> Result<HostedConfiguration, E>,
    names: &Names,
) {
    let revision = object.revision;
    let configuration = match decode(&object.content) {
        Ok(configuration) => configuration,
        Err(error) => {
            event!(
                Event::ConfigurationRejected,
                "revision={revision} error={error}"
            );
            return;
        }
    };
    let in_force = sender.borrow().revision;
    if configuration.version <= in_force {
        return;
    }
    let running = compile_hosted(&configuration, names);
    event!(
        Event::ConfigurationInForce,
        "version={} from={in_force} revision={revision} routes={} workspaces={} keys={}",
        configuration.version,
        running.hosts.len(),
        running.workspaces.len(),
        running.granted.len()
    );
    sender.send_replace(Arc::new(running));
}
