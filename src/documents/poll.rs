//! A member's own look at the documents' origin: watches and confirmed
//! versions.

use {
    super::{DocumentKind, DocumentOrigin, PollRole, follower::Shared},
    crate::{
        backoff::Backoff,
        membership::{MemberProbes, relays},
    },
    rand::Rng,
    std::time::Duration,
};

/// Pause after a watch that told nothing new, so that an origin that answers
/// at once from a stale copy is not called in a tight loop.
const STALE_PAUSE: Duration = Duration::from_millis(200);

/// Confirms the versions of all documents.
///
/// The first relay of a zone looks; the second one does when the first one's
/// look has not reached it for a while, and the others when neither's has. So
/// calls grow with zones, not with nodes.
pub(super) struct LookTask<O> {
    shared: Shared<O>,
    probes: MemberProbes,
    backoff: Backoff,
}

impl<O: DocumentOrigin> LookTask<O> {
    pub(super) const fn new(shared: Shared<O>, probes: MemberProbes) -> Self {
        let backoff = shared.backoff();
        Self {
            shared,
            probes,
            backoff,
        }
    }

    pub(super) async fn run(mut self) {
        let mut ticks = self.shared.timer.subscribe(self.shared.bounds.period_ms);
        loop {
            if self.is_due() {
                match self.look().await {
                    Ok(()) => self.backoff.reset(),
                    Err(_) => self.backoff.wait().await,
                }
            }
            if ticks.next().await.is_none() {
                break;
            }
            self.ask_relays();
        }
    }

    fn age_ms(&self) -> Option<u64> {
        let seen_ms = *self.shared.seen.borrow();
        seen_ms.map(|seen_ms| self.shared.timer.now_ms().saturating_sub(seen_ms))
    }

    fn is_due(&self) -> bool {
        let role = PollRole {
            rank: self.shared.rank(),
            member_count: self.shared.zone_member_count(),
            has_relays: self.shared.has_relays(),
        };
        let draw = rand::rng().random();
        self.shared.bounds.is_due(role, self.age_ms(), draw)
    }

    async fn look(&self) -> Result<(), O::Error> {
        let sent_ms = self.shared.timer.now_ms();
        let looked = self.shared.origin.look(&self.shared.store).await;
        match &looked {
            Ok(_) => self.shared.reach.succeeded(),
            Err(error) => self.shared.note_failure(error),
        }
        self.shared.confirm(looked?, sent_ms);
        Ok(())
    }

    // Gossip's rounds bring a relay's word within a second or two, unless
    // datagrams are lost or the zone is large.
    fn ask_relays(&self) {
        let Some(limit_ms) = self.shared.bounds.ask_relays_age_ms else {
            return;
        };
        if self.age_ms().is_some_and(|age_ms| age_ms < limit_ms) {
            return;
        }
        let view = self.shared.view.borrow();
        for relay in relays(&view, &self.shared.zone) {
            if relay.node_id != self.shared.node_id {
                self.probes.ask_stamp(&relay.node_id);
            }
        }
    }
}

/// Time after the start in which nodes meet. One that knows nobody takes itself
/// for its zone's first relay, and each node of a fleet that starts as a whole
/// would watch.
const MEETING_TIME: Duration = Duration::from_millis(1_000);

/// Whether a member of this rank watches documents of this kind. Evacuations are
/// rare, and what one relay misses its looks and those of other zones find.
const fn watches(kind: DocumentKind, rank: Option<usize>) -> bool {
    match (kind, rank) {
        (DocumentKind::Evacuations, rank) => matches!(rank, Some(0)),
        (_, rank) => rank.is_some(),
    }
}

/// Holds a long-poll watch on one document while this member's rank asks for it.
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
            tokio::time::sleep(MEETING_TIME).await;
        }
        let mut view = self.shared.view.clone();
        let mut documents = self.shared.store.subscribe(self.kind);
        let mut backoff = self.shared.backoff();
        loop {
            if !watches(self.kind, self.shared.rank()) {
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
                // The version came another way: watch above that one.
                _ = documents.changed() => continue,
            };
            match watched {
                Ok(Some(document)) => {
                    backoff.reset();
                    if !self.shared.store.offer(document) {
                        tokio::time::sleep(STALE_PAUSE).await;
                    }
                }
                Ok(None) => backoff.reset(),
                Err(error) => {
                    self.shared.note_failure(&error);
                    backoff.wait().await;
                }
            }
        }
    }
}
