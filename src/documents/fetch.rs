//! Fetches newer documents from the members that hold them.

use {
    super::{Document, DocumentKind, DocumentOrigin, Peers, follower::Shared},
    crate::{backoff::Backoff, event, events::Event},
    futures::{StreamExt, stream::FuturesUnordered},
    std::{collections::BTreeMap, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, timeout},
    },
};

/// Time limit of one fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a response after which the next holder is asked too. The first one may have been
/// killed or cut off, or its link may be too narrow for all that fetch from it.
const NEXT_HOLDER_DELAY: Duration = Duration::from_millis(200);
/// Delay before fetching from another availability zone, so that a member of the
/// local zone can provide it first: traffic between zones is slower and billed.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(150);
/// How often all holders are asked before the next announcement is waited for.
const ROUND_COUNT: usize = 4;

/// Highest version that each member announced.
#[derive(Debug, Clone, Default)]
pub(super) struct Holders(BTreeMap<String, u64>);

impl Holders {
    /// Records that a member holds a version above the held one.
    pub(super) fn record(&mut self, node_id: &str, version: u64, held_version: u64) {
        self.0.retain(|_, version| *version > held_version);
        self.0.insert(node_id.to_owned(), version);
    }

    fn newest_version(&self) -> u64 {
        self.0.values().copied().max().unwrap_or(0)
    }

    /// Holder of a version above the held one that was not asked yet; members of the own zone
    /// come first.
    fn next(
        &self,
        asked: &[String],
        held_version: u64,
        is_in_zone: impl Fn(&str) -> bool,
    ) -> Option<Holder> {
        let candidates = self.0.iter().filter(|(node_id, version)| {
            **version > held_version && !asked.iter().any(|asked| asked == *node_id)
        });
        let holders = candidates.map(|(node_id, _)| Holder {
            node_id: node_id.clone(),
            is_in_zone: is_in_zone(node_id),
            draw: rand::random(),
        });
        holders.max_by_key(|holder| (holder.is_in_zone, holder.draw))
    }
}

/// A member to ask.
#[derive(Debug)]
struct Holder {
    node_id: String,
    is_in_zone: bool,
    /// Spreads the fetches of many members over the holders.
    draw: u32,
}

/// Fetches one kind of document whenever a member announces a newer version.
pub(super) struct FetchTask<O, N> {
    shared: Shared<O>,
    peers: N,
    kind: DocumentKind,
    available: watch::Receiver<Holders>,
}

/// The member that was asked, and its response.
type Fetched = (String, Option<Document>);

impl<O: DocumentOrigin, N: Peers> FetchTask<O, N> {
    pub(super) const fn new(
        shared: Shared<O>,
        peers: N,
        kind: DocumentKind,
        available: watch::Receiver<Holders>,
    ) -> Self {
        Self {
            shared,
            peers,
            kind,
            available,
        }
    }

    pub(super) async fn run(mut self) {
        while self.available.changed().await.is_ok() {
            let mut backoff = Backoff::new(50, 500);
            for _ in 0..ROUND_COUNT {
                self.ask_holders().await;
                if !self.is_outdated() {
                    break;
                }
                backoff.wait().await;
            }
        }
    }

    fn held_version(&self) -> u64 {
        self.shared.store.versions().of(self.kind)
    }

    fn is_outdated(&mut self) -> bool {
        let newest_version = self.available.borrow_and_update().newest_version();
        newest_version > self.held_version()
    }

    /// Asks one holder after the other until the newest version is held or all have been asked.
    async fn ask_holders(&mut self) {
        let started_ms = self.shared.timer.now_ms();
        let mut asked = Vec::new();
        let mut fetches = FuturesUnordered::new();
        let mut next_at = Instant::now();
        while self.is_outdated() {
            let next = {
                let held_version = self.held_version();
                let is_in_zone = |node_id: &str| self.shared.is_in_zone(node_id);
                let holders = self.available.borrow();
                holders.next(&asked, held_version, is_in_zone)
            };
            if next.is_none() && fetches.is_empty() {
                return;
            }
            let delay = match &next {
                Some(holder) if !holder.is_in_zone && asked.is_empty() => OTHER_ZONE_DELAY,
                _ => Duration::ZERO,
            };
            tokio::select! {
                () = tokio::time::sleep_until(next_at + delay), if next.is_some() => {
                    if let Some(holder) = next {
                        asked.push(holder.node_id.clone());
                        fetches.push(self.fetch(holder.node_id));
                        next_at = Instant::now() + NEXT_HOLDER_DELAY;
                    }
                }
                Some(fetched) = fetches.next(), if !fetches.is_empty() => {
                    if !self.record(fetched, started_ms) {
                        next_at = Instant::now();
                    }
                }
                changed = self.available.changed() => if changed.is_err() { return },
            }
        }
    }

    fn fetch(&self, node_id: String) -> impl Future<Output = Fetched> + use<O, N> {
        let (peers, kind, held_version) = (self.peers.clone(), self.kind, self.held_version());
        async move {
            let fetch = peers.fetch(&node_id, kind, held_version);
            let document = timeout(FETCH_TIMEOUT, fetch).await.ok().flatten();
            (node_id, document)
        }
    }

    /// Stores a fetched document; returns whether there was one.
    fn record(&self, (node_id, document): Fetched, started_ms: u64) -> bool {
        let took_ms = self.shared.timer.now_ms().saturating_sub(started_ms);
        let (kind, held_version) = (self.kind, self.held_version());
        let Some(document) = document else {
            event!(
                Event::DocumentFetchFailed,
                "kind={} node={node_id} held={held_version} took_ms={took_ms}",
                kind.name()
            );
            return false;
        };
        let version = document.version;
        let is_newer = document.kind == kind && self.shared.store.offer(document);
        if is_newer && kind == DocumentKind::Configuration {
            event!(
                Event::ConfigurationFromNeighbour,
                "node={node_id} revision={version} took_ms={took_ms}"
            );
        }
        true
    }
}
