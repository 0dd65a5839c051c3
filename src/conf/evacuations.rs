//! Evacuated availability zones, read from the evacuations document.

use {
    crate::{
        documents::{Document, DocumentKind, DocumentStore},
        event,
        events::Event,
    },
    std::{collections::BTreeSet, sync::Arc},
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

/// Zones whose targets receive no requests until the evacuation is revoked.
#[derives::record]
#[derive(Eq, Default)]
pub struct Evacuations {
    /// Zone names.
    pub zones: BTreeSet<String>,
}

impl Evacuations {
    /// Parses the content of a document; it is empty before the first evacuation.
    pub fn read(content: &[u8]) -> serde_json::Result<Self> {
        if content.is_empty() {
            return Ok(Self::default());
        }
        serde_json::from_slice(content)
    }

    /// Serializes to the content of a document.
    #[must_use]
    pub fn write(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("zone names serialize to JSON")
    }

    /// Whether the zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }
}

/// Starts the task that puts each new evacuations document into force. No zone
/// is evacuated until the first document arrives.
#[must_use]
pub fn spawn_evacuations_task(
    store: &DocumentStore,
    shutdown: CancellationToken,
) -> watch::Receiver<Arc<Evacuations>> {
    let (sender, receiver) = watch::channel(Arc::default());
    let mut documents = store.subscribe(DocumentKind::Evacuations);
    tokio::spawn(async move {
        loop {
            let document = documents.borrow_and_update().clone();
            if let Some(document) = document {
                put_into_force(&sender, &document);
            }
            tokio::select! {
                () = shutdown.cancelled() => return,
                changed = documents.changed() => if changed.is_err() { return },
            }
        }
    });
    receiver
}

fn put_into_force(sender: &watch::Sender<Arc<Evacuations>>, document: &Document) {
    let version = document.version;
    match Evacuations::read(&document.content) {
        Ok(evacuations) => {
            let zones: Vec<&str> = evacuations.zones.iter().map(String::as_str).collect();
            event!(
                Event::EvacuationsInForce,
                "version={version} zones={}",
                zones.join(",")
            );
            sender.send_replace(Arc::new(evacuations));
        }
        Err(error) => event!(
            Event::EvacuationsRejected,
            "version={version} error={error}"
        ),
    }
}
