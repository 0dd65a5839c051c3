//! Bucket of one workspace at a divider.

use {
    super::{DividerCounts, Rate, RefillBucket, ReturnedTokens, TokenGrant, TokenNeed},
    crate::model::{CLASS_COUNT, Class},
};

/// Bucket level reserved for more important classes, as a ratio of the burst,
/// from the class shed first to the one shed last. Without it a workspace's
/// browse requests would use up the rate that its critical requests need.
const RESERVED_RATIOS: [f64; CLASS_COUNT] = [0.2, 0.1, 0.0];
/// Ratio of the free level that is granted ahead of need.
const AHEAD_RATIO: f64 = 0.5;
/// How long tokens of the previous divider wait for room: until all reporters
/// have switched and the tokens that they held have ended.
const HANDED_OVER_US: u64 = 1_000_000;

/// Tokens that the previous divider had granted.
#[derive(Debug, Clone)]
struct InheritedGrants {
    token_count: u32,
    until_us: u64,
}

/// Tokens of a workspace and what became of them. Pure state: performs no I/O and
/// reads no clock.
#[derive(Debug, Clone)]
pub(super) struct Account {
    rate: Rate,
    bucket: RefillBucket,
    /// Tokens of the previous divider that the bucket has no room for yet: its
    /// size grows as the reporters switch to this divider.
    handed_over_tokens: f64,
    handed_over_until_us: u64,
    inherited: Vec<InheritedGrants>,
    /// Since the last log line.
    pub(super) counts: DividerCounts,
}

impl Account {
    /// Account of a workspace that has used nothing of the shares lent for
    /// `lent_s` seconds of the whole rate.
    pub(super) fn new(rate: Rate, share_ratio: f64, lent_s: f64, now_us: u64) -> Self {
        let mut bucket = RefillBucket::new(rate, share_ratio, now_us);
        bucket.add(lent_s * f64::from(rate.rate_per_s));
        Self {
            rate,
            bucket,
            handed_over_tokens: 0.0,
            handed_over_until_us: 0,
            inherited: Vec::new(),
            counts: DividerCounts::default(),
        }
    }

    pub(super) const fn rate(&self) -> Rate {
        self.rate
    }

    pub(super) const fn level(&self) -> f64 {
        self.bucket.level()
    }

    pub(super) const fn granted_count(&self) -> u32 {
        self.bucket.granted_count()
    }

    /// Brings the bucket up to date.
    pub(super) fn advance(&mut self, now_us: u64) {
        self.bucket.advance(now_us);
        self.inherited.retain(|inherited| {
            let is_over = now_us >= inherited.until_us;
            if is_over {
                self.bucket.record_settled(inherited.token_count);
            }
            !is_over
        });
        self.add_handed_over(now_us);
    }

    /// Refills with another rate or ratio of it from `now_us` on.
    pub(super) fn set_rate(&mut self, rate: Rate, share_ratio: f64, now_us: u64) {
        self.advance(now_us);
        self.rate = rate;
        self.bucket.set_rate(rate, share_ratio, now_us);
        self.add_handed_over(now_us);
    }

    /// Moves tokens of the previous divider into the bucket.
    fn add_handed_over(&mut self, now_us: u64) {
        if now_us >= self.handed_over_until_us {
            self.handed_over_tokens = 0.0;
            return;
        }
        let left = self.handed_over_tokens - self.bucket.add(self.handed_over_tokens);
        let whole_room = f64::from(self.rate.burst_count) - self.bucket.level();
        self.handed_over_tokens = left.min(whole_room).max(0.0);
    }

    /// Accepts what the previous divider had in its bucket and had granted.
    pub(super) fn accept_handover(
        &mut self,
        tokens: f64,
        granted_count: u32,
        until_us: u64,
        now_us: u64,
    ) {
        self.advance(now_us);
        self.bucket.record_granted(granted_count);
        self.inherited.push(InheritedGrants {
            token_count: granted_count,
            until_us,
        });
        self.handed_over_tokens += tokens.max(0.0);
        self.handed_over_until_us = now_us + HANDED_OVER_US;
        self.counts.handed_over_tokens += tokens;
        self.add_handed_over(now_us);
    }

    /// Tokens for the next divider.
    pub(super) fn handed_over_tokens(&self) -> f64 {
        self.bucket.level() + self.handed_over_tokens
    }

    /// Counts granted tokens that were spent, returned or have ended.
    pub(super) const fn record_settled(&mut self, token_count: u32) {
        self.bucket.record_settled(token_count);
    }

    /// Adds tokens that were granted and not spent.
    pub(super) fn give_back(&mut self, returned: &[ReturnedTokens]) {
        for tokens in returned {
            self.counts.returned_count += tokens.token_count;
            self.bucket.give_back(tokens.token_count, tokens.granted_us);
        }
    }

    /// Grants what a reporter needs, as far as the bucket has it. `ahead_total`
    /// is what all reporters request ahead of need.
    pub(super) fn grant(&mut self, need: &TokenNeed, ahead_total: u32) -> TokenGrant {
        let (bucket, counts) = (&mut self.bucket, &mut self.counts);
        let mut grant = TokenGrant::default();
        for class in Class::ALL.into_iter().rev() {
            let index = class.index();
            let wanted_count = need.waiting_counts[index];
            let granted_count = bucket.take(wanted_count, RESERVED_RATIOS[index]);
            grant.counts[index] = granted_count;
            if granted_count < wanted_count {
                grant.empty_for_ms[index] = bucket.empty_for_ms(RESERVED_RATIOS[index]);
                counts.refused_count += wanted_count - granted_count;
            }
        }
        for class in Class::ALL.into_iter().rev() {
            let index = class.index();
            let wanted_count = need.ahead_counts[index];
            let demand_ratio =
                f64::from(wanted_count) / f64::from(ahead_total.max(wanted_count).max(1));
            let free_level = bucket.free(RESERVED_RATIOS[index]) * AHEAD_RATIO * demand_ratio;
            let granted_count =
                bucket.take(wanted_count.min(free_level as u32), RESERVED_RATIOS[index]);
            grant.counts[index] += granted_count;
        }
        let granted_count = grant.token_count();
        bucket.record_granted(granted_count);
        counts.granted_count += granted_count;
        grant
    }
}
