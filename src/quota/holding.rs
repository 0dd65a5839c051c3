//! A node's tokens of one workspace and the requests that wait for some.

use {
    super::{ClassCounts, TokenGrant, TokenNeed},
    crate::model::{CLASS_COUNT, Class},
    std::collections::VecDeque,
    tokio::sync::oneshot,
};

/// Weight of the last period in the mean demand.
const DEMAND_WEIGHT: f64 = 0.3;
/// Time for which tokens are fetched ahead, in seconds: a little more than the
/// period of reports.
const AHEAD_S: f64 = 0.25;
/// Time of its demand for which a node keeps tokens, in seconds; what it holds
/// beyond goes back.
const KEPT_S: f64 = 1.0;

/// Whether a request got a token, or in how many milliseconds one is expected.
pub type TokenDecision = Result<(), u32>;

#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    count: u32,
    mean_per_s: f64,
}

/// Tokens by class, demand and waiters; no I/O, no clock.
#[derive(Debug, Default)]
pub struct TokenHoldings {
    counts: ClassCounts,
    demands: [Demand; CLASS_COUNT],
    waiting: [VecDeque<oneshot::Sender<TokenDecision>>; CLASS_COUNT],
    empty_until_us: [u64; CLASS_COUNT],
    returned_count: u32,
}

impl TokenHoldings {
    /// Counts a request, admitted or not.
    pub const fn count_demand(&mut self, class: Class) {
        self.demands[class.index()].count += 1;
    }

    /// Takes a token of the class, or one that was meant for a lesser one.
    pub fn take(&mut self, class: Class) -> bool {
        let mut places = (0..=class.index()).rev();
        let Some(place) = places.find(|place| self.counts[*place] > 0) else {
            return false;
        };
        self.counts[place] -= 1;
        true
    }

    /// A token that was not used after all.
    pub const fn put_back(&mut self, class: Class) {
        self.counts[class.index()] += 1;
    }

    /// Milliseconds for which the class need not ask.
    #[must_use]
    pub fn empty_for_ms(&self, class: Class, now_us: u64) -> Option<u32> {
        let left_us = self.empty_until_us[class.index()].checked_sub(now_us)?;
        u32::try_from(left_us.div_ceil(1000))
            .ok()
            .filter(|ms| *ms > 0)
    }

    /// Lets a request wait for the next grant.
    pub fn wait(&mut self, class: Class) -> oneshot::Receiver<TokenDecision> {
        let (sender, receiver) = oneshot::channel();
        self.waiting[class.index()].push_back(sender);
        receiver
    }

    /// Whether requests wait.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.waiting.iter().any(|waiting| !waiting.is_empty())
    }

    /// Ends a period of demand; what the node holds beyond its need goes back.
    pub fn end_period(&mut self, period_ms: u64) {
        for place in 0..CLASS_COUNT {
            let demand = &mut self.demands[place];
            let last_per_s = f64::from(demand.count) * 1000.0 / period_ms.max(1) as f64;
            demand.count = 0;
            demand.mean_per_s += (last_per_s - demand.mean_per_s) * DEMAND_WEIGHT;
            let kept = (demand.mean_per_s * KEPT_S).ceil() as u32;
            let surplus = self.counts[place].saturating_sub(kept);
            self.counts[place] -= surplus;
            self.returned_count += surplus;
        }
    }

    /// What to ask for; given back tokens are out of this node's hands then.
    pub fn need(&mut self) -> TokenNeed {
        for waiting in &mut self.waiting {
            waiting.retain(|sender| !sender.is_closed());
        }
        let waiting_counts = std::array::from_fn(|place| self.waiting[place].len() as u32);
        let ahead_counts = std::array::from_fn(|place| {
            let wanted = (self.demands[place].mean_per_s * AHEAD_S).round() as u32;
            wanted.saturating_sub(self.counts[place])
        });
        TokenNeed {
            waiting_counts,
            ahead_counts,
            returned_count: std::mem::take(&mut self.returned_count),
        }
    }

    /// Takes in a grant and serves those who wait, the most important first.
    pub fn granted(&mut self, grant: &TokenGrant, now_us: u64) {
        for place in 0..CLASS_COUNT {
            self.counts[place] += grant.counts[place];
            let empty_us = u64::from(grant.empty_for_ms[place]) * 1000;
            self.empty_until_us[place] = now_us + empty_us;
        }
        for class in Class::ALL.into_iter().rev() {
            let empty_for_ms = grant.empty_for_ms[class.index()];
            while let Some(waiter) = self.waiting[class.index()].pop_front() {
                if waiter.is_closed() {
                    continue;
                }
                if self.take(class) {
                    // A waiter that has just left does not use its token.
                    if waiter.send(Ok(())).is_err() {
                        self.put_back(class);
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

    /// Gives up all tokens: what they were taken from counts them no more.
    pub fn clear(&mut self) {
        self.counts = [0; CLASS_COUNT];
        self.returned_count = 0;
        self.empty_until_us = [0; CLASS_COUNT];
    }
}
