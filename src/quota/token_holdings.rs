//! Tokens that a node holds for one workspace, and the requests waiting for
//! tokens.

use {
    super::{ClassCounts, ReturnedTokens, TokenGrant, TokenNeed, share_lease::TOKEN_TTL_US},
    crate::model::{CLASS_COUNT, Class},
    std::collections::VecDeque,
    tokio::sync::oneshot,
};

/// Weight of the last period in the mean demand.
const DEMAND_WEIGHT: f64 = 0.3;
/// Period of demand for which tokens are fetched ahead: a little more than the
/// report interval.
const AHEAD_S: f64 = 0.25;
/// Remaining time below which unspent tokens are returned: a report interval and
/// a round trip.
const RETURN_US: u64 = 240_000;
/// Number of grants that a report tells apart in what it returns.
const MAX_RETURNED_GRANTS: usize = 32;
/// Longest time for which no token is expected without another report.
const MAX_EMPTY_MS: u32 = 1000;

/// Where the token of an admitted request came from.
#[derives::key]
pub enum TokenOrigin {
    /// The workspace has no limit, or its tokens cannot be given back.
    Untracked,
    /// A division granted it.
    Division {
        /// Random id of the division.
        division_id: u64,
        /// When it was granted, on the divider's clock in microseconds.
        granted_us: u64,
    },
    /// The node's own share.
    OwnShare {
        /// When it was taken, on this node's clock in microseconds.
        taken_us: u64,
    },
}

/// A token's origin, or the milliseconds until one is expected.
pub type TokenDecision = Result<TokenOrigin, u32>;

/// Reply of a division that granted tokens.
#[derives::key]
pub struct GrantOrigin {
    /// Random id of the division.
    pub division_id: u64,
    /// When it was sent, on the divider's clock in microseconds.
    pub granted_us: u64,
    /// When the report was sent that it replies to, on this node's clock in
    /// microseconds.
    pub reported_us: u64,
}

#[derive(Debug)]
struct Batch {
    origin: GrantOrigin,
    counts: ClassCounts,
}

impl Batch {
    const fn ends_us(&self) -> u64 {
        self.origin.reported_us + TOKEN_TTL_US
    }

    fn token_count(&self) -> u32 {
        self.counts.iter().sum()
    }

    const fn token(&self) -> TokenOrigin {
        TokenOrigin::Division {
            division_id: self.origin.division_id,
            granted_us: self.origin.granted_us,
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    count: u32,
    mean_per_s: f64,
}

/// Tokens by class, demand and waiting requests. Pure state: performs no I/O
/// and reads no clock.
#[derive(Debug, Default)]
pub struct TokenHoldings {
    batches: VecDeque<Batch>,
    demands: [Demand; CLASS_COUNT],
    waiting: [VecDeque<oneshot::Sender<TokenDecision>>; CLASS_COUNT],
    empty_until_us: [u64; CLASS_COUNT],
    /// Tokens to give back, with their division.
    returned: Vec<(u64, ReturnedTokens)>,
}

impl TokenHoldings {
    /// Counts a request as demand, whether or not it is admitted.
    pub const fn record_demand(&mut self, class: Class) {
        self.demands[class.index()].count += 1;
    }

    /// Takes a token of the class or, failing that, of a less important class.
    pub fn take(&mut self, class: Class, now_us: u64) -> Option<TokenOrigin> {
        self.expire(now_us);
        for index in (0..=class.index()).rev() {
            let mut batches = self.batches.iter_mut();
            if let Some(batch) = batches.find(|batch| batch.counts[index] > 0) {
                batch.counts[index] -= 1;
                return Some(batch.token());
            }
        }
        None
    }

    fn expire(&mut self, now_us: u64) {
        self.batches
            .retain(|batch| now_us < batch.ends_us() && batch.token_count() > 0);
    }

    /// Gives the token of a request that did not run back to its division, which
    /// knows whether the bucket has had room for it. Spent again here, it would
    /// come on top of the burst.
    pub fn give_back(&mut self, division_id: u64, granted_us: u64) {
        self.add_returned(division_id, granted_us, 1);
    }

    fn add_returned(&mut self, division_id: u64, granted_us: u64, token_count: u32) {
        let is_full = self.returned.len() >= MAX_RETURNED_GRANTS;
        let mut returned = self.returned.iter_mut();
        let known = returned.find(|(id, tokens)| {
            *id == division_id && (is_full || tokens.granted_us == granted_us)
        });
        match known {
            // Counted from the earlier grant, no more of them have had room.
            Some((_, tokens)) => {
                tokens.granted_us = tokens.granted_us.min(granted_us);
                tokens.token_count += token_count;
            }
            None if is_full => {}
            None => {
                let tokens = ReturnedTokens {
                    granted_us,
                    token_count,
                };
                self.returned.push((division_id, tokens));
            }
        }
    }

    /// Milliseconds for which no token of the class is expected, if any.
    #[must_use]
    pub fn empty_for_ms(&self, class: Class, now_us: u64) -> Option<u32> {
        let left_us = self.empty_until_us[class.index()].checked_sub(now_us)?;
        u32::try_from(left_us.div_ceil(1000))
            .ok()
            .filter(|ms| *ms > 0)
    }

    /// Adds a request that waits for the next grant.
    pub fn add_waiter(&mut self, class: Class) -> oneshot::Receiver<TokenDecision> {
        let (sender, receiver) = oneshot::channel();
        self.waiting[class.index()].push_back(sender);
        receiver
    }

    /// Whether requests wait.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.waiting.iter().any(|waiting| !waiting.is_empty())
    }

    /// Ends a demand period of `period_ms` milliseconds and sets tokens aside
    /// for return that would end before they are spent. Returns their number.
    pub fn end_period(&mut self, period_ms: u64, now_us: u64) -> u32 {
        for demand in &mut self.demands {
            let last_per_s = f64::from(demand.count) * 1000.0 / period_ms.max(1) as f64;
            demand.count = 0;
            demand.mean_per_s += (last_per_s - demand.mean_per_s) * DEMAND_WEIGHT;
        }
        self.expire(now_us);
        let mut returned_count = 0;
        while let Some(batch) = self
            .batches
            .pop_front_if(|batch| now_us + RETURN_US > batch.ends_us())
        {
            let token_count = batch.token_count();
            returned_count += token_count;
            let origin = batch.origin;
            self.add_returned(origin.division_id, origin.granted_us, token_count);
        }
        returned_count
    }

    /// Tokens held that this division granted, of all classes.
    #[must_use]
    pub fn held_count(&self, division_id: u64) -> u32 {
        let batches = self.batches.iter();
        let batches = batches.filter(|batch| batch.origin.division_id == division_id);
        batches.map(Batch::token_count).sum()
    }

    /// Tokens held, of all classes and divisions.
    #[must_use]
    pub fn token_count(&self) -> u32 {
        self.batches.iter().map(Batch::token_count).sum()
    }

    /// Tokens to request from the division that replied last. The returned ones
    /// in it no longer belong to this node; those of earlier divisions are lost.
    pub fn take_need(&mut self, division_id: Option<u64>, now_us: u64) -> TokenNeed {
        self.expire(now_us);
        for waiting in &mut self.waiting {
            waiting.retain(|sender| !sender.is_closed());
        }
        let waiting_counts = std::array::from_fn(|index| self.waiting[index].len() as u32);
        let ahead_counts = std::array::from_fn(|index| {
            let wanted_count = (self.demands[index].mean_per_s * AHEAD_S).round() as u32;
            let held_count = self.batches.iter().map(|batch| batch.counts[index]).sum();
            wanted_count.saturating_sub(held_count)
        });
        let returned = self.returned.drain(..);
        let returned = returned.filter(|(id, _)| Some(*id) == division_id);
        TokenNeed {
            waiting_counts,
            ahead_counts,
            returned: returned.map(|(_, tokens)| tokens).collect(),
            held_count: division_id.map_or(0, |division_id| self.held_count(division_id)),
        }
    }

    /// Adds the granted tokens and serves waiting requests, the most important
    /// class first.
    pub fn apply_grant(&mut self, grant: &TokenGrant, origin: GrantOrigin, now_us: u64) {
        if grant.counts != ClassCounts::default() {
            self.batches.push_back(Batch {
                origin,
                counts: grant.counts,
            });
        }
        for index in 0..CLASS_COUNT {
            let empty_for_us = u64::from(grant.empty_for_ms[index].min(MAX_EMPTY_MS)) * 1000;
            self.empty_until_us[index] = now_us + empty_for_us;
        }
        for class in Class::ALL.into_iter().rev() {
            let empty_for_ms = grant.empty_for_ms[class.index()];
            while let Some(waiter) = self.waiting[class.index()].pop_front() {
                if waiter.is_closed() {
                    continue;
                }
                if let Some(token) = self.take(class, now_us) {
                    if waiter.send(Ok(token)).is_err() {
                        self.return_unused(token);
                    }
                } else if empty_for_ms > 0 {
                    let _ = waiter.send(Err(empty_for_ms));
                } else {
                    self.waiting[class.index()].push_front(waiter);
                    break;
                }
            }
        }
    }

    /// Gives the token of a waiter back that has just left.
    fn return_unused(&mut self, token: TokenOrigin) {
        if let TokenOrigin::Division {
            division_id,
            granted_us,
        } = token
        {
            self.give_back(division_id, granted_us);
        }
    }

    /// Drops all tokens, since the rate they came from is no longer in force.
    pub fn clear(&mut self) {
        self.batches.clear();
        self.returned.clear();
        self.empty_until_us = [0; CLASS_COUNT];
    }
}
