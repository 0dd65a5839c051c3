//! Probes the relays of the availability zone while none responds to anything else.

use {
    super::{DocumentOrigin, RelayContact, RelayLossBounds, follower::Shared},
    crate::{event, events::Event, membership::MemberProbes},
    tokio::sync::broadcast::{Receiver, error::RecvError},
};

/// Probes the relays apart from the polls, which wait for the origin.
pub(super) struct RelayProbeTask<O> {
    shared: Shared<O>,
    bounds: RelayLossBounds,
    probes: MemberProbes,
    were_silent: bool,
}

impl<O: DocumentOrigin> RelayProbeTask<O> {
    pub(super) const fn new(
        shared: Shared<O>,
        bounds: RelayLossBounds,
        probes: MemberProbes,
    ) -> Self {
        Self {
            shared,
            bounds,
            probes,
            were_silent: false,
        }
    }

    pub(super) async fn run(mut self) {
        let mut ticks = self.shared.timer.subscribe(self.shared.bounds.period_ms);
        let mut responses = self.probes.subscribe_responses();
        loop {
            tokio::select! {
                tick = ticks.next() => match tick {
                    Some(tick) => self.probe(tick.now_ms()),
                    None => break,
                },
                () = self.receive(&mut responses) => {}
            }
        }
    }

    async fn receive(&self, responses: &mut Receiver<String>) {
        match responses.recv().await {
            Ok(node_id) => {
                let now_ms = self.shared.timer.now_ms();
                self.shared.relay_responses().record(&node_id, now_ms);
            }
            Err(RecvError::Lagged(_)) => {}
            // The ticks end as well.
            Err(RecvError::Closed) => std::future::pending().await,
        }
    }

    fn probe(&mut self, now_ms: u64) {
        if self.shared.rank().is_some() {
            return;
        }
        let relay_ids = self.shared.relay_ids();
        let bounds = self.bounds.for_zone(self.shared.zone_member_count());
        let needs_probe = {
            let mut responses = self.shared.relay_responses();
            responses.track(&relay_ids, now_ms);
            responses.needs_probe(bounds, now_ms)
        };
        if needs_probe {
            for relay_id in &relay_ids {
                self.probes.probe_liveness(relay_id);
            }
        }
        self.report();
    }

    fn report(&mut self) {
        let are_silent = self.shared.relay_contact() == RelayContact::Silent;
        if are_silent && !self.were_silent {
            let relay_ids = self.shared.relay_ids().join(",");
            let zone = &self.shared.zone;
            event!(Event::RelaysSilent, "zone={zone} relays={relay_ids}");
        }
        self.were_silent = are_silent;
    }
}
