//! Pending updates about the members of the table.

use super::{
    Record,
    table::{MemberKey, MemberTable},
    update_queue::{Rank, UpdateQueue},
    updates::{Scope, Update, UpdateShare},
};

impl MemberTable {
    /// Number of updates that should be sent at once.
    #[must_use]
    pub fn urgent_update_count(&self, scope: Scope) -> usize {
        match scope {
            Scope::SameZone => self.same_zone_updates.urgent_count(),
            Scope::OtherZone => self.other_zone_updates.urgent_count(),
        }
    }

    /// Takes up to `limit` records to send, those of the highest rank and sent
    /// least often first, and counts the send.
    pub fn take_updates(&mut self, limit: usize, scope: Scope) -> Vec<Record> {
        let queue = match scope {
            Scope::SameZone => &mut self.same_zone_updates,
            Scope::OtherZone => &mut self.other_zone_updates,
        };
        let mut records = Vec::with_capacity(limit);
        let positions: Vec<_> = queue.first(limit).collect();
        for position in positions {
            queue.remove(position);
            let key = position.key;
            let entry = self.entries.get_mut(key).expect("key comes from the table");
            let update = &mut entry.update;
            // The share may have shrunk since the update was queued.
            if update.sends_left(scope, &self.share) == 0 {
                continue;
            }
            update.record_send(scope);
            if update.sends_left(scope, &self.share) > 0 {
                let is_urgent = update.is_urgent(scope, &self.share);
                queue.insert(update.position(key, scope), is_urgent);
            }
            records.push(entry.record.clone());
        }
        records
    }

    /// Drops the updates that are neither urgent nor about availability. Called
    /// when a random member of the zone has an equal table: the news has spread,
    /// and sync repairs the rest. Otherwise the records of a fleet's start would
    /// fill packets for minutes.
    pub fn drop_relaxed_updates(&mut self) {
        self.same_zone_updates.drop_relaxed();
    }

    /// Schedules an update.
    pub(super) fn queue_update(&mut self, key: MemberKey, update: Update) {
        let entry = self.entries.get_mut(key).expect("the member is known");
        entry.update = update;
        for scope in Scope::ALL {
            if update.sends_left(scope, &self.share) > 0 {
                let is_urgent = update.is_urgent(scope, &self.share);
                self.queue(scope)
                    .insert(update.position(key, scope), is_urgent);
            }
        }
    }

    /// Drops the pending update.
    pub(super) fn unqueue_update(&mut self, key: MemberKey) {
        let update = self.entries.get(key).map(|entry| entry.update);
        for scope in Scope::ALL {
            if let Some(update) = update {
                self.queue(scope).remove(update.position(key, scope));
            }
        }
    }

    /// Queues updates that were never sent to another zone: their share was
    /// zero while no other zone was known.
    pub(super) fn requeue_unsent_updates(&mut self) {
        for (key, entry) in self.entries.iter() {
            let update = entry.update;
            let position = update.position(key, Scope::OtherZone);
            let is_due = update.sends_left(Scope::OtherZone, &self.share) > 0;
            if position.sent_count == 0 && is_due {
                self.other_zone_updates.insert(position, true);
            }
        }
    }

    /// Update for a record of this member that just changed.
    pub(super) fn new_update(&self, key: MemberKey, rank: Rank) -> Update {
        let entry = self.entries.get(key).expect("the member is known");
        Update::new(&entry.record, rank, &self.own_id, &self.share)
    }

    const fn queue(&mut self, scope: Scope) -> &mut UpdateQueue {
        match scope {
            Scope::SameZone => &mut self.same_zone_updates,
            Scope::OtherZone => &mut self.other_zone_updates,
        }
    }

    /// Adapts the sends of an update to the present members.
    pub(super) fn update_share(&mut self) {
        let own_zone_member_count = self.zones.members(&self.own_zone).len();
        let other_zones = self.zones.zones().filter(|zone| *zone != self.own_zone);
        self.share = UpdateShare::new(
            self.zones.member_count() + 1,
            own_zone_member_count + 1,
            other_zones.count() + 1,
        );
    }
}
