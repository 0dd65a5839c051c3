//! Waiting requests of one workspace by slack and in order of arrival.

use {
    crate::admission::TicketKey,
    std::collections::{BTreeMap, VecDeque},
};

/// Withdrawn tickets that a list may hold, beyond as many as it has live ones, before it is
/// compacted.
const STALE_SLACK_COUNT: usize = 16;
/// Latest start of a workspace without requests that can meet an objective: behind all others of
/// the round.
const NO_START_US: u64 = u64::MAX;

/// Latest start and position in the order of arrival; unique within a class.
pub(super) type StartKey = (u64, u64);

/// A waiting request in order of arrival.
#[derive(Debug, Clone, Copy)]
pub(super) struct Entry {
    pub(super) ticket: TicketKey,
    pub(super) sequence: u64,
    pub(super) terms: StartTerms,
}

/// Waiting requests of one workspace, without those that missed their objective.
#[derive(Debug, Default)]
pub(super) struct WorkspaceQueue {
    /// Latest start of the request with the least slack; [`NO_START_US`] if there is none.
    pub(super) first_start_us: u64,
    /// Requests that can meet their objective, the least slack first.
    pub(super) by_slack: BTreeMap<StartKey, TicketKey>,
    /// The same requests in order of arrival; those that started or were late stay until they
    /// reach the front or the list is compacted.
    pub(super) by_arrival: VecDeque<Entry>,
    /// Requests without an objective in order of arrival.
    pub(super) without_latest: VecDeque<Entry>,
    pub(super) live_count: usize,
    /// Credit of this and earlier rounds, in mean requests; negative after an expensive request.
    pub(super) deficit: f64,
    /// Latest round whose credit `deficit` includes.
    pub(super) credit_round: u64,
    pub(super) was_last_by_slack: bool,
    /// Whether the workspace takes part in rounds.
    pub(super) is_active: bool,
    /// Whether it is in `ready` of the [`ObjectiveQueue`].
    pub(super) is_ready: bool,
}

/// When a waiting request should start.
#[derive(Debug, Clone, Copy)]
pub struct StartTerms {
    /// Latest start that is expected to meet the objective; `None` without an objective, or if no
    /// start could meet it when the request arrived.
    pub latest_start_us: Option<u64>,
    /// Time from which the request may no longer be overtaken by all others.
    pub overdue_from_us: u64,
}

impl WorkspaceQueue {
    pub(super) fn credit(&self, round: u64) -> f64 {
        self.deficit + f64::from(self.credit_round < round)
    }

    pub(super) fn charge(&mut self, round: u64, cost_ratio: f64) {
        self.deficit = self.credit(round) - cost_ratio;
        self.credit_round = round;
    }

    /// Without waiting requests a workspace keeps no credit.
    pub(super) fn deactivate(&mut self) {
        self.by_arrival.clear();
        self.without_latest.clear();
        self.deficit = self.deficit.min(0.0);
        self.is_active = false;
    }

    pub(super) fn update_first_start(&mut self) {
        let first = self.by_slack.first_key_value();
        self.first_start_us = first.map_or(NO_START_US, |((start_us, _), _)| *start_us);
    }

    pub(super) fn take_next(
        &mut self,
        newest_first: bool,
        now_us: u64,
        is_live: &impl Fn(TicketKey) -> bool,
    ) -> Option<TicketKey> {
        self.drop_stale(is_live);
        let oldest_with = self.by_arrival.front();
        let oldest_without = self.without_latest.front();
        let oldest = oldest_with
            .into_iter()
            .chain(oldest_without)
            .min_by_key(|entry| entry.sequence)
            .copied()?;
        let is_overdue = oldest.terms.overdue_from_us <= now_us;
        let starts_oldest = self.by_slack.is_empty() || (self.was_last_by_slack && is_overdue);
        self.was_last_by_slack = !starts_oldest;
        if !starts_oldest {
            return self.by_slack.pop_first().map(|(_, ticket)| ticket);
        }
        if let Some(key) = oldest.key() {
            self.by_arrival.pop_front();
            return self.by_slack.remove(&key);
        }
        let entry = match newest_first {
            true => self.without_latest.pop_back(),
            false => self.without_latest.pop_front(),
        };
        entry.map(|entry| entry.ticket)
    }

    pub(super) fn take_to_shed(
        &mut self,
        newest_first: bool,
        is_live: &impl Fn(TicketKey) -> bool,
    ) -> Option<TicketKey> {
        self.drop_stale(is_live);
        let newest_with = self.by_arrival.back().copied();
        let newest_without = self.without_latest.back().copied();
        if newest_first && newest_without.is_some() {
            return self.without_latest.pop_front().map(|entry| entry.ticket);
        }
        let newest = newest_with
            .into_iter()
            .chain(newest_without)
            .max_by_key(|entry| entry.sequence)?;
        if let Some(key) = newest.key() {
            self.by_arrival.pop_back();
            return self.by_slack.remove(&key);
        }
        self.without_latest.pop_back().map(|entry| entry.ticket)
    }

    /// Drops entries of requests that no longer wait here from both ends of the lists.
    fn drop_stale(&mut self, is_live: &impl Fn(TicketKey) -> bool) {
        let Self {
            by_slack,
            by_arrival,
            without_latest,
            ..
        } = self;
        trim(by_arrival, |entry| entry.is_in(by_slack));
        trim(without_latest, |entry| is_live(entry.ticket));
    }

    pub(super) fn compact(&mut self, is_live: impl Fn(TicketKey) -> bool) {
        let Self {
            by_slack,
            by_arrival,
            without_latest,
            live_count,
            ..
        } = self;
        let without_count = *live_count - by_slack.len();
        if by_arrival.len() > 2 * by_slack.len() + STALE_SLACK_COUNT {
            by_arrival.retain(|entry| entry.is_in(by_slack));
        }
        if without_latest.len() > 2 * without_count + STALE_SLACK_COUNT {
            without_latest.retain(|entry| is_live(entry.ticket));
        }
    }
}

impl Entry {
    pub(super) fn key(&self) -> Option<StartKey> {
        let start_us = self.terms.latest_start_us?;
        Some((start_us, self.sequence))
    }

    fn is_in(&self, by_slack: &BTreeMap<StartKey, TicketKey>) -> bool {
        self.key().is_some_and(|key| by_slack.contains_key(&key))
    }
}

fn trim(entries: &mut VecDeque<Entry>, is_waiting: impl Fn(&Entry) -> bool) {
    while entries.front().is_some_and(|entry| !is_waiting(entry)) {
        entries.pop_front();
    }
    while entries.back().is_some_and(|entry| !is_waiting(entry)) {
        entries.pop_back();
    }
}
