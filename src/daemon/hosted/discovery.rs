//! First contact between nodes through the object store.
//!
//! One object for each availability zone holds a few gossip addresses. A node
//! reads all of them at its start and while it knows nobody; the zone's first
//! relay keeps its zone's object. Zones that gossip has lost meet here again.

use {
    crate::{
        event,
        events::Event,
        membership::{Member, SeedAddresses, SeedsRecord, View, relay_rank},
        objects::{ObjectStore, StoreError, StoredObject, WriteCondition},
        settings::Settings,
        timer::Timer,
    },
    rand::Rng,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

/// Kind of the objects.
const KIND: &str = "dogwood-seeds";
/// Time between two reads by a node that knows nobody of its own zone or of
/// others.
const ALONE_PERIOD_MS: u64 = 500;
/// Time between two looks of the zone's first relay. A zone that was cut off
/// is met again within it.
const RELAY_PERIOD_MS: u64 = 4000;

struct Discovery<S> {
    node_id: String,
    zone: String,
    own_address: SocketAddr,
    store: S,
    view: watch::Receiver<Arc<View>>,
    to_gossip: mpsc::Sender<SeedAddresses>,
    read_ms: Option<u64>,
    expected_count: watch::Sender<Option<usize>>,
}

/// Starts reading and keeping the objects until `shutdown`; tells how many
/// nodes they speak of. The first read waits for a random part of the spread.
pub fn spawn<S: ObjectStore>(
    settings: &Settings,
    start_spread_ms: u64,
    store: S,
    view: watch::Receiver<Arc<View>>,
    to_gossip: mpsc::Sender<SeedAddresses>,
    timer: &Timer,
    shutdown: CancellationToken,
) -> watch::Receiver<Option<usize>> {
    let (expected_count, expected) = watch::channel(None);
    let mut discovery = Discovery {
        node_id: settings.node_id.clone(),
        zone: settings.zone.clone(),
        own_address: SocketAddr::new(settings.reachable_ip(), settings.gossip_port),
        store,
        view,
        to_gossip,
        read_ms: None,
        expected_count,
    };
    let mut ticks = timer.subscribe(ALONE_PERIOD_MS);
    let start_delay_ms = rand::rng().random_range(0..=start_spread_ms);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(start_delay_ms)).await;
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                tick = ticks.next() => match tick {
                    Some(tick) => discovery.turn(tick.now_ms()).await,
                    None => return,
                },
            }
        }
    });
    expected
}

impl<S: ObjectStore> Discovery<S> {
    async fn turn(&mut self, now_ms: u64) {
        let is_alone = self.view.borrow().members.len() < 2;
        let is_first_relay = {
            let view = self.view.borrow();
            relay_rank(&view, &self.zone, &self.node_id) == Some(0)
        };
        let is_due = self
            .read_ms
            .is_none_or(|at_ms| now_ms >= at_ms + RELAY_PERIOD_MS);
        if !(is_alone || (is_first_relay && is_due)) {
            return;
        }
        self.read_ms = Some(now_ms);
        let listing = match self.store.list(KIND).await {
            Ok(listing) => listing,
            Err(error) => {
                log::debug!(target: "dogwood", "seeds cannot be read: {error}");
                return;
            }
        };
        let counts = listing
            .objects
            .iter()
            .map(|object| read(object).member_count);
        let expected_count = counts.sum();
        self.expected_count.send_if_modified(|known| {
            let has_changed = *known != Some(expected_count);
            *known = Some(expected_count);
            has_changed
        });
        let seeds = self.seeds(&listing.objects);
        if seeds != SeedAddresses::default() {
            // Gossip that has ended needs no seeds.
            let _ = self.to_gossip.send(seeds).await;
        }
        let own_object = listing
            .objects
            .iter()
            .find(|object| object.name == self.zone);
        if is_first_relay {
            self.keep(own_object, now_ms).await;
        }
    }

    fn seeds(&self, objects: &[StoredObject]) -> SeedAddresses {
        let mut seeds = SeedAddresses::default();
        for object in objects {
            let known = match object.name == self.zone {
                true => &mut seeds.same_zone,
                false => &mut seeds.other_zones,
            };
            let addresses = read(object).addresses.into_iter();
            known.extend(addresses.filter(|address| *address != self.own_address));
        }
        seeds
    }

    /// Writes the zone's addresses if they have changed.
    async fn keep(&self, object: Option<&StoredObject>, now_ms: u64) {
        let held = object.map(read);
        let present = self.zone_addresses();
        let Some(record) = SeedsRecord::revised(held.as_ref(), &present, now_ms) else {
            return;
        };
        let condition = object.map_or(WriteCondition::Absent, |object| {
            WriteCondition::Revision(object.revision)
        });
        let content = match serde_json::to_vec(&record) {
            Ok(content) => content,
            Err(error) => {
                log::error!(target: "dogwood", "seeds cannot be written: {error}");
                return;
            }
        };
        match self.store.write(KIND, &self.zone, condition, content).await {
            Ok(revision) => event!(
                Event::SeedsWritten,
                "zone={} revision={revision}",
                self.zone
            ),
            // Beaten by another node or lost: the next turn looks again.
            Err(StoreError::Conflict) => {}
            Err(error) => {
                log::debug!(target: "dogwood", "seeds cannot be written: {error}");
            }
        }
    }

    fn zone_addresses(&self) -> BTreeSet<SocketAddr> {
        let view = self.view.borrow();
        let members = view.iter();
        members
            .filter(|member| member.zone == self.zone && member.is_usable())
            .map(Member::gossip_address)
            .collect()
    }
}

/// Addresses of an object; one that cannot be read holds none.
fn read(object: &StoredObject) -> SeedsRecord {
    SeedsRecord::read(&object.content).unwrap_or_else(|error| {
        log::warn!(target: "dogwood", "seeds of {} cannot be read: {error}", object.name);
        SeedsRecord::default()
    })
}
