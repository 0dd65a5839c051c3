//! Puts the store's configuration into force.

use {
    crate::{
        conf::{CompiledConfiguration, HostedConfiguration, compile_hosted},
        documents::Document,
        event,
        events::Event,
        model::Names,
    },
    std::{fmt::Display, sync::Arc},
    tokio::sync::watch,
};

/// Gives the function that decodes each new content and puts it into force,
/// and what is in force.
pub fn in_force<E: Display + Send + 'static>(
    decode: fn(&[u8]) -> Result<HostedConfiguration, E>,
    names: Names,
) -> (
    impl FnMut(&Document) + Send + 'static,
    watch::Receiver<Arc<CompiledConfiguration>>,
) {
    let (sender, receiver) = watch::channel(Arc::new(CompiledConfiguration::default()));
    let apply = move |document: &Document| put_into_force(&sender, document, decode, &names);
    (apply, receiver)
}

/// Versions only rise: content that is older than what is in force is left
/// alone, so that no request is decided by rules that were withdrawn.
fn put_into_force<E: Display>(
    sender: &watch::Sender<Arc<CompiledConfiguration>>,
    document: &Document,
    decode: fn(&[u8]) -> Result<HostedConfiguration, E>,
    names: &Names,
) {
    let revision = document.version;
    let configuration = match decode(&document.content) {
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
