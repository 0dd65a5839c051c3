//! Checks of the targets whose nodes may have stopped responding.

use {
    super::{SilenceCheck, TargetKey, zone_router::ZoneRouter},
    crate::model::ZoneKey,
    std::collections::BTreeSet,
};

impl ZoneRouter {
    /// Checks the watched targets, then the zones that they belong to.
    pub(super) fn check_watched(&mut self, now_us: u64) -> SilenceCheck {
        self.suspect_zones(now_us);
        let mut check = SilenceCheck::default();
        self.watched.retain(|key| {
            let Some(target) = self.targets.get_mut(*key) else {
                return false;
            };
            let is_waiting =
                target.outstanding_count > 0 || self.zone_watches.samples(target.info.zone, *key);
            let step = target.silence.check(is_waiting, now_us);
            if step.should_probe {
                check.to_probe.push(*key);
            }
            if step.became_silent {
                check.newly_silent.push(*key);
            }
            is_waiting || target.silence.is_silent()
        });
        self.update_silent_zones(now_us);
        check
    }

    /// Samples the zones of which a node has just begun not to respond.
    fn suspect_zones(&mut self, now_us: u64) {
        let targets = self.watched.iter().filter_map(|key| self.targets.get(*key));
        let zones: BTreeSet<ZoneKey> = targets
            .filter(|target| target.silence.is_suspected())
            .map(|target| target.info.zone)
            .filter(|zone| !self.zone_watches.contains(*zone))
            .collect();
        for zone in zones {
            let members = self.targets.iter();
            let members = members.filter(|(_, target)| target.info.zone == zone);
            let members = members.map(|(key, _)| key);
            let members: Vec<TargetKey> = members.filter(|key| self.local != Some(*key)).collect();
            self.zone_watches.suspect(zone, &members, now_us);
        }
        self.watched.extend(self.zone_watches.sampled());
    }

    fn update_silent_zones(&mut self, now_us: u64) {
        let targets = &self.targets;
        let is_silent = |key| {
            targets
                .get(key)
                .is_some_and(|target| target.silence.is_silent())
        };
        for change in self.zone_watches.update(now_us, is_silent) {
            let members = self.targets.iter_mut();
            let members = members.filter(|(_, target)| target.info.zone == change.zone);
            for (key, target) in members {
                target.is_zone_silent = change.is_silent && self.local != Some(key);
            }
        }
    }
}
