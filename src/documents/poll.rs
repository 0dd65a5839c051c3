//! A member's own calls to the documents' origin: watches, and polls that confirm
//! versions.

use {
    super::{DocumentKind, DocumentOrigin, PollBounds, PollRole, follower::Shared},
    crate::{
        backoff::Backoff,
        membership::{MemberProbes, relays},
    },
    rand::Rng,
    std::time::Duration,
};

/// Pause after a watch that returned nothing newer, so that an origin that responds
/// at once from a stale copy is not called in a tight loop.
const STALE_WATCH_PAUSE: Duration = Duration::from_millis(200);

/// Polls the origin to confirm the versions of all documents.
///
/// The first relay of a zone polls. The second one polls when it has received no
/// confirmed poll for a while, and the other members after a longer while. So calls
/// grow with the number of zones, not of nodes.
pub(super) struct PollTask<O> {
    shared: Shared<O>,
    probes: MemberProbes,
    backoff: Backoff,
    /// Random addition to the age from which this member polls while the relays are silent.
    delay_ms: u64,
}

impl<O: DocumentOrigin> PollTask<O> {
    pub(super) fn new(shared: Shared<O>, probes: MemberProbes) -> Self {
        let backoff = shared.backoff();
        let delay_ms = draw_delay_ms(shared.bounds);
        Self {
            shared,
            probes,
            backoff,
            delay_ms,
        }
    }

    pub(super) async fn run(mut self) {
        let mut ticks = self.shared.timer.subscribe(self.shared.bounds.period_ms);
        loop {
            if self.is_due() {
                self.delay_ms = draw_delay_ms(self.shared.bounds);
                match self.poll().await {
                    Ok(()) => self.backoff.reset(),
                    Err(_) => self.backoff.wait().await,
                }
            }
            if ticks.next().await.is_none() {
                break;
            }
            self.query_relays();
        }
    }

    fn age_ms(&self) -> Option<u64> {
        let last_ms = *self.shared.last_confirmed_ms.borrow();
        last_ms.map(|last_ms| self.shared.timer.now_ms().saturating_sub(last_ms))
    }

    fn is_due(&self) -> bool {
        let role = PollRole {
            rank: self.shared.rank(),
            member_count: self.shared.zone_member_count(),
            relay_contact: self.shared.relay_contact(),
            delay_ms: self.delay_ms,
        };
        let draw = rand::rng().random();
        self.shared.bounds.is_due(role, self.age_ms(), draw)
    }

    async fn poll(&self) -> Result<(), O::Error> {
        let sent_ms = self.shared.timer.now_ms();
        let polled = self.shared.origin.poll(&self.shared.store).await;
        match &polled {
            Ok(_) => self.shared.reachability.record_success(),
            Err(error) => self.shared.record_failure(error),
        }
        self.shared.confirm(polled?, sent_ms);
        Ok(())
    }

    // Gossip delivers a relay's confirmed polls within a second or two, unless
    // datagrams are lost or the zone is large.
    fn query_relays(&self) {
        let Some(limit_ms) = self.shared.bounds.query_relays_age_ms else {
            return;
        };
        if self.age_ms().is_some_and(|age_ms| age_ms < limit_ms) {
            return;
        }
        let view = self.shared.view.borrow();
        for relay in relays(&view, &self.shared.zone) {
            if relay.node_id != self.shared.node_id {
                self.probes.request_stamp(&relay.node_id);
            }
        }
    }
}

fn draw_delay_ms(bounds: PollBounds) -> u64 {
    let spread_ms = bounds.relay_loss.map_or(0, |loss| loss.poll_spread_ms);
    rand::rng().random_range(0..=spread_ms)
}

/// Time for nodes to discover each other after startup. A node that knows no other
/// member considers itself its zone's first relay, so every node of a fleet that
/// starts at once would watch.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Whether a member of this rank watches documents of this kind. Evacuations are
/// rare: one relay watches, and its polls and those of other zones find what it misses.
const fn should_watch(kind: DocumentKind, rank: Option<usize>) -> bool {
    match (kind, rank) {
        (DocumentKind::Evacuations, rank) => matches!(rank, Some(0)),
        (_, rank) => rank.is_some(),
    }
}

/// Keeps a long-poll watch on one document while this member's rank requires it.
pub(super) struct WatchTask<O> {
    shared: Shared<O>,
    kind: DocumentKind,
}

impl<O: DocumentOrigin> WatchTask<O> {
    pub(super) const fn new(shared: Shared<O>, kind: DocumentKind) -> Self {
        Self { shared, kind }
    }

    pub(super) async fn run(self) {
        if self.kind == DocumentKind::Evacuations {
            tokio::time::sleep(MEMBERSHIP_SETTLE_TIME).await;
        }
        let mut view = self.shared.view.clone();
        let mut documents = self.shared.store.subscribe(self.kind);
        let mut backoff = self.shared.backoff();
        loop {
            if !should_watch(self.kind, self.shared.rank()) {
                if view.changed().await.is_err() {
                    break;
                }
                continue;
            }
            let held = documents
                .borrow_and_update()
                .as_ref()
                .map_or(0, |held| held.version);
            let watched = tokio::select! {
                watched = self.shared.origin.watch(self.kind, held) => watched,
                // A newer version arrived from another member: watch above it.
                _ = documents.changed() => continue,
            };
            match watched {
                Ok(Some(document)) => {
                    backoff.reset();
                    if !self.shared.store.offer(document) {
                        tokio::time::sleep(STALE_WATCH_PAUSE).await;
                    }
                }
                Ok(None) => backoff.reset(),
                Err(error) => {
                    self.shared.record_failure(&error);
                    backoff.wait().await;
                }
            }
        }
    }
}
