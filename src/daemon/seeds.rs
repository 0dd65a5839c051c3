//! First contact through the platform.
//!
//! Each zone's first relay keeps a few gossip addresses of its zone in one
//! object, so that a new node needs nothing but the platform's address. The
//! object is written when the addresses change; relays read it by the clock,
//! once every few seconds for each zone.

use {
    crate::{
        entries::{Entries, NamedEntries, to_text},
        membership::{Gossip, Member, SeedAddresses, View, relay_rank},
        platform::{Object, Platform, WriteOutcome},
        settings::Settings,
        timer::Timer,
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

/// Name of the object.
const OBJECT: &str = "seeds";

/// Addresses kept for each zone.
const ADDRESSES_PER_ZONE: usize = 4;

/// Time between two looks at whether the addresses are right.
const PERIOD_MS: u64 = 5000;

/// Time between two reads of the object by a node that knows nobody.
const ALONE_PERIOD_MS: u64 = 1000;

/// Gossip addresses by availability zone.
type Seeds = BTreeMap<String, Vec<SocketAddr>>;

struct Keeper {
    node_id: String,
    zone: String,
    platform: Platform,
    view: watch::Receiver<Arc<View>>,
    to_gossip: mpsc::Sender<SeedAddresses>,
    written: Vec<SocketAddr>,
}

/// Reads the object while this node knows nobody and keeps it while this node
/// is the first relay of its zone.
pub fn spawn(
    settings: &Settings,
    platform: Platform,
    gossip: &Gossip,
    to_gossip: mpsc::Sender<SeedAddresses>,
    timer: &Timer,
    shutdown: &CancellationToken,
) {
    let mut keeper = Keeper {
        node_id: settings.node_id.clone(),
        zone: settings.zone.clone(),
        platform,
        view: gossip.view.clone(),
        to_gossip,
        written: Vec::new(),
    };
    let mut alone_ticks = timer.subscribe(ALONE_PERIOD_MS);
    let mut ticks = timer.subscribe(PERIOD_MS);
    let shutdown = shutdown.clone();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                tick = alone_ticks.next() => {
                    if tick.is_none() {
                        return;
                    }
                    keeper.find_others().await;
                }
                Some(_) = ticks.next() => keeper.keep().await,
            }
        }
    });
}

impl Keeper {
    async fn find_others(&self) {
        if self.view.borrow().members.len() > 1 {
            return;
        }
        let Ok(object) = self.platform.read(OBJECT).await else {
            return;
        };
        let addresses = self.addresses(&parse(&object));
        if addresses != SeedAddresses::default() {
            // Gossip that has ended needs no seeds.
            let _ = self.to_gossip.send(addresses).await;
        }
    }

    async fn keep(&mut self) {
        let addresses = self.zone_addresses();
        if addresses.is_empty() {
            return;
        }
        let Ok(object) = self.platform.read(OBJECT).await else {
            return;
        };
        let mut seeds = parse(&object);
        // Zones, or groups within one, that started apart meet through here.
        let _ = self.to_gossip.send(self.addresses(&seeds)).await;
        if addresses == self.written {
            return;
        }
        if seeds.get(&self.zone) != Some(&addresses) {
            seeds.insert(self.zone.clone(), addresses.clone());
            let content = serde_json::to_vec(&seeds).expect("addresses are valid JSON");
            // Lost or beaten by another zone's relay: the next look repeats it.
            let write = self.platform.write(OBJECT, object.version, content).await;
            if !matches!(write, WriteOutcome::Written(_)) {
                return;
            }
        }
        self.written = addresses;
    }

    fn addresses(&self, seeds: &Seeds) -> SeedAddresses {
        let others = seeds.iter().filter(|(zone, _)| **zone != self.zone);
        SeedAddresses {
            same_zone: seeds.get(&self.zone).cloned().unwrap_or_default(),
            other_zones: others
                .flat_map(|(_, addresses)| addresses)
                .copied()
                .collect(),
        }
    }

    /// Addresses of the zone, if this node is the one to keep them.
    fn zone_addresses(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        if relay_rank(&view, &self.zone, &self.node_id) != Some(0) {
            return Vec::new();
        }
        let members = view.iter().filter(|member| member.zone == self.zone);
        members
            .filter(|member| member.is_usable())
            .take(ADDRESSES_PER_ZONE)
            .map(Member::gossip_address)
            .collect()
    }
}

/// Addresses of each zone; one that cannot be read or has no port is left out.
fn parse(object: &Object) -> Seeds {
    let zones: NamedEntries = serde_json::from_str(&to_text(&object.content)).unwrap_or_default();
    let zones = zones.readable::<Entries>(OBJECT);
    zones
        .map(|(zone, addresses)| {
            let addresses = addresses.readable::<SocketAddr>(OBJECT).into_iter();
            let usable = addresses.filter(|address| address.port() != 0);
            (zone, usable.collect())
        })
        .collect()
}
