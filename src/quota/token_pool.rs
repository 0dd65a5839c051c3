//! Token pool of a workspace: one bucket backed by leases of the owners'
//! shares.

use {
    super::{
        BorrowRequest, BorrowResponse, Bucket, HandedOverLease, LeaseResponse, PoolHandover,
        PoolRef, Process, Rate, UNITS_PER_TOKEN, capacity,
        ledger::Ledger,
        limits::{
            BATCH_TTL_MS, CLOCK_MARGIN_MS, FIRST_LEASE_WAIT_MS, LEASE_RENEW_MS, LEASE_RETRY_MS,
            LEASE_TTL_MS, MAX_EMPTY_WAIT_MS, MIN_EMPTY_WAIT_MS, POOL_IDLE_MS, ms_to_us,
        },
    },
    std::collections::HashMap,
};

/// Divisor of `extra_count` while the bucket is less than half full: a borrower
/// gets at most this fraction of it.
const LOW_BUCKET_DIVISOR: u32 = 8;

#[derives::key]
#[derive(Default)]
struct Lease {
    slice_count: u64,
    ends_us: u64,
    next_query_us: u64,
    /// Borrowers wait until then for the owner's first response.
    wait_until_us: u64,
    /// Pool that handed the lease over; 0 after the first renewal.
    predecessor_id: u64,
}

/// Lease query to send to an owner.
#[derives::value]
#[derive(Eq)]
pub struct LeaseQuery {
    /// Node id of the owner.
    pub owner: String,
    /// Pool that handed this owner's lease over; 0 if none did.
    pub predecessor_id: u64,
}

/// Tokens that a previous pool had lent before it handed over.
#[derives::key]
struct HandedOverTokens {
    token_count: u64,
    expires_us: u64,
}

/// Token pool of one workspace in one process. Pure state: performs no I/O and
/// reads no clock.
///
/// Its level plus the lent tokens never exceed the capacity of the leases that
/// outlast a token batch.
///
/// The event `BankChosen`, the log key `bank` and the RPC schema call a pool a
/// bank.
#[derive(Debug)]
pub struct TokenPool {
    pool_id: u64,
    leases: HashMap<String, Lease>,
    bucket: Bucket,
    ledgers: HashMap<Process, Ledger>,
    next_batch_number: u64,
    last_active_us: Option<u64>,
    handed_over: Vec<HandedOverTokens>,
    /// Time of the last handover; responses to earlier requests belong to the
    /// successor.
    handed_over_us: Option<u64>,
    handover_requested_us: Option<u64>,
    handover_wait_until_us: u64,
}

impl TokenPool {
    /// Creates a pool without leases. `pool_id` is random and unique among all
    /// pools and processes.
    #[must_use]
    pub fn new(pool_id: u64, now_us: u64) -> Self {
        Self {
            pool_id,
            leases: HashMap::new(),
            bucket: Bucket::new(now_us),
            ledgers: HashMap::new(),
            next_batch_number: 1,
            last_active_us: None,
            handed_over: Vec::new(),
            handed_over_us: None,
            handover_requested_us: None,
            handover_wait_until_us: 0,
        }
    }

    /// Records a demand for tokens, which keeps the leases renewed for
    /// [`POOL_IDLE_MS`].
    pub const fn mark_active(&mut self, now_us: u64) {
        self.last_active_us = Some(now_us);
    }

    /// Whether tokens were requested within [`POOL_IDLE_MS`].
    #[must_use]
    pub fn is_active(&self, now_us: u64) -> bool {
        self.last_active_us
            .is_some_and(|last_active_us| now_us < last_active_us + ms_to_us(POOL_IDLE_MS))
    }

    /// Current id of this pool.
    #[must_use]
    pub const fn pool_id(&self) -> u64 {
        self.pool_id
    }

    /// Owners to query now for a lease or its renewal.
    pub fn owners_to_query<'a>(
        &mut self,
        owners: impl IntoIterator<Item = &'a str>,
        now_us: u64,
    ) -> Vec<LeaseQuery> {
        if !self.is_active(now_us) {
            return vec![];
        }
        let mut to_query = Vec::new();
        for owner in owners {
            let lease = self.leases.entry(owner.to_owned()).or_default();
            let renew_us = lease
                .ends_us
                .saturating_sub(ms_to_us(LEASE_TTL_MS - LEASE_RENEW_MS));
            if now_us >= renew_us.max(lease.next_query_us) {
                let is_first = now_us >= lease.next_query_us + ms_to_us(POOL_IDLE_MS);
                if is_first || lease.next_query_us == 0 {
                    lease.wait_until_us = now_us + ms_to_us(FIRST_LEASE_WAIT_MS);
                }
                lease.next_query_us = now_us + ms_to_us(LEASE_RETRY_MS);
                to_query.push(LeaseQuery {
                    owner: owner.to_owned(),
                    predecessor_id: lease.predecessor_id,
                });
            }
        }
        to_query
    }

    /// Whether a borrower should wait: the pool has just queried its owners and
    /// would otherwise refuse tokens that they still have.
    #[must_use]
    pub fn is_waiting_for_owners(&self, now_us: u64) -> bool {
        let mut leases = self.leases.values();
        self.handover_wait_until_us > now_us || leases.any(|lease| lease.wait_until_us > now_us)
    }

    /// Applies an owner's response to the request sent at `sent_us`.
    ///
    /// Returns the pool to request a handover from, if any. The lease counts
    /// from `sent_us`: the owner granted it later, so it ends here before the
    /// owner uses the share again, however late the response arrives.
    pub fn apply_lease(
        &mut self,
        owner: &str,
        sent_us: u64,
        response: LeaseResponse,
        rate: Rate,
        now_us: u64,
    ) -> Option<PoolRef> {
        if self
            .handed_over_us
            .is_some_and(|handed_over_us| sent_us <= handed_over_us)
        {
            return None;
        }
        self.advance(rate, now_us);
        let lease = self.leases.entry(owner.to_owned()).or_default();
        lease.wait_until_us = 0;
        if response.slice_count == 0 {
            lease.next_query_us = now_us + ms_to_us(response.busy_ms.max(LEASE_RETRY_MS));
            return (response.busy_ms > 0 && self.may_request_handover(now_us))
                .then_some(response.holder);
        }
        let ends_us = sent_us + ms_to_us(response.ttl_ms);
        if ends_us <= now_us {
            return None;
        }
        lease.predecessor_id = 0;
        if ends_us > lease.ends_us {
            lease.ends_us = ends_us;
            lease.slice_count = response.slice_count.into();
        }
        self.bucket.level = self.bucket.level.saturating_add(response.level);
        self.clamp(rate, now_us);
        None
    }

    fn may_request_handover(&mut self, now_us: u64) -> bool {
        let requested_us = self.handover_requested_us;
        if requested_us.is_some_and(|requested_us| now_us < requested_us + ms_to_us(LEASE_RETRY_MS))
        {
            return false;
        }
        self.handover_requested_us = Some(now_us);
        self.handover_wait_until_us = now_us + ms_to_us(FIRST_LEASE_WAIT_MS);
        true
    }

    /// Hands level, lent tokens and leases over to another pool and continues
    /// under a new id.
    ///
    /// Under the old id, an owner that handles a delayed request would lease to
    /// both pools, since the successor names that id as its predecessor.
    pub fn hand_over(&mut self, next_pool_id: u64, rate: Rate, now_us: u64) -> PoolHandover {
        self.advance(rate, now_us);
        let mut leases = Vec::new();
        for (owner, lease) in self.leases.drain() {
            let left_us = lease.ends_us.saturating_sub(now_us);
            let holder_id = match lease.predecessor_id {
                0 => self.pool_id,
                predecessor_id => predecessor_id,
            };
            if left_us > 0 {
                leases.push(HandedOverLease {
                    owner,
                    holder_id,
                    slice_count: u16::try_from(lease.slice_count).unwrap_or(u16::MAX),
                    left_ms: u32::try_from(left_us / 1000).unwrap_or(0),
                });
            }
        }
        self.pool_id = next_pool_id;
        self.handed_over_us = Some(now_us);
        self.last_active_us = None;
        PoolHandover {
            level: self.bucket.drain(),
            lent_count: self.lent_count(),
            leases,
        }
    }

    /// Takes over from a pool that handed over on the request sent at
    /// `sent_us`.
    pub fn accept_handover(
        &mut self,
        sent_us: u64,
        handover: PoolHandover,
        rate: Rate,
        now_us: u64,
    ) {
        self.advance(rate, now_us);
        self.handover_wait_until_us = 0;
        if self
            .handed_over_us
            .is_some_and(|handed_over_us| sent_us <= handed_over_us)
        {
            return;
        }
        for handed_over in handover.leases {
            let lease = self.leases.entry(handed_over.owner).or_default();
            let ends_us = sent_us + ms_to_us(handed_over.left_ms);
            if ends_us > lease.ends_us && ends_us > now_us {
                lease.ends_us = ends_us;
                lease.slice_count = handed_over.slice_count.into();
                lease.predecessor_id = handed_over.holder_id;
                lease.next_query_us = now_us;
            }
        }
        self.handed_over.push(HandedOverTokens {
            token_count: handover.lent_count,
            expires_us: now_us + ms_to_us(BATCH_TTL_MS + CLOCK_MARGIN_MS),
        });
        self.bucket.level = self.bucket.level.saturating_add(handover.level);
        self.clamp(rate, now_us);
    }

    /// Lends tokens and settles earlier batches of the borrower.
    pub fn borrow(&mut self, request: &BorrowRequest, rate: Rate, now_us: u64) -> BorrowResponse {
        self.advance(rate, now_us);
        self.settle(request, rate, now_us);
        let ledger = self.ledgers.entry(request.borrower.clone()).or_default();
        ledger.record_request(now_us);
        let extra_count = self.extra_count(request, rate, now_us);
        let granted_count = self
            .bucket
            .take(request.need_count.saturating_add(extra_count));
        // Nodes that get little more than their waiting requests need would
        // send one borrow request per admission while the bucket is low.
        let wanted_count = request
            .need_count
            .saturating_add(request.extra_count / LOW_BUCKET_DIVISOR);
        let is_short = granted_count < wanted_count;
        let mut response = BorrowResponse {
            pool_id: self.pool_id,
            batch_number: 0,
            granted_count,
            ttl_ms: BATCH_TTL_MS,
            empty_for_ms: 0,
        };
        if granted_count > 0 {
            response.batch_number = self.next_batch_number;
            self.next_batch_number += 1;
            let expires_us = now_us + ms_to_us(BATCH_TTL_MS + CLOCK_MARGIN_MS);
            let ledger = self.ledgers.entry(request.borrower.clone()).or_default();
            ledger.record_batch(response.batch_number, granted_count, expires_us);
        }
        if is_short {
            response.empty_for_ms = self.empty_for_ms(rate, now_us);
        }
        response
    }

    /// Slices whose leases outlast a batch lent now.
    #[must_use]
    pub fn slice_count(&self, now_us: u64) -> u64 {
        let lasting = self
            .leases
            .values()
            .filter(|lease| lease.ends_us > now_us + ms_to_us(BATCH_TTL_MS));
        lasting.map(|lease| lease.slice_count).sum()
    }

    /// Brings the bucket up to date.
    ///
    /// A lease that ended since the last call accrues nothing for that period:
    /// after a pause this gives too few tokens rather than too many.
    fn advance(&mut self, rate: Rate, now_us: u64) {
        let slice_count = self.slice_count(now_us);
        self.bucket.advance(rate, slice_count, now_us);
        for ledger in self.ledgers.values_mut() {
            ledger.expire(now_us);
        }
        self.handed_over.retain(|tokens| tokens.expires_us > now_us);
        self.ledgers.retain(|_, ledger| !ledger.is_finished(now_us));
        self.clamp(rate, now_us);
    }

    fn clamp(&mut self, rate: Rate, now_us: u64) {
        let capacity = capacity(rate, self.slice_count(now_us));
        let room = capacity.saturating_sub(self.lent_count() * UNITS_PER_TOKEN);
        self.bucket.level = self.bucket.level.min(room);
    }

    fn lent_count(&self) -> u64 {
        let lent = self.ledgers.values().map(Ledger::outstanding_count);
        let handed_over = self.handed_over.iter().map(|tokens| tokens.token_count);
        lent.map(u64::from).sum::<u64>() + handed_over.sum::<u64>()
    }

    fn settle(&mut self, request: &BorrowRequest, rate: Rate, now_us: u64) {
        if request.pool_id != self.pool_id {
            return;
        }
        let Some(ledger) = self.ledgers.get_mut(&request.borrower) else {
            return;
        };
        let freed_count = ledger.settle(request.last_batch_number, request.held_count);
        let returned = u64::from(freed_count.min(request.returned_count)) * UNITS_PER_TOKEN;
        self.bucket.level = self.bucket.level.saturating_add(returned);
        self.clamp(rate, now_us);
    }

    /// Tokens to lend ahead of demand. Unspent tokens at one node are not
    /// available to the others, so each borrower gets only its part of the
    /// lower half of the bucket.
    fn extra_count(&self, request: &BorrowRequest, rate: Rate, now_us: u64) -> u32 {
        let needed_level = u64::from(request.need_count) * UNITS_PER_TOKEN;
        let left_level = self.bucket.level.saturating_sub(needed_level);
        let reserve_level = capacity(rate, self.slice_count(now_us)) / 2;
        let spare_count = left_level.saturating_sub(reserve_level) / UNITS_PER_TOKEN;
        let share_count = left_level / UNITS_PER_TOKEN / self.borrower_count();
        let low_bucket_count = share_count.min(u64::from(request.extra_count / LOW_BUCKET_DIVISOR));
        let extra_count = spare_count
            .min(u64::from(request.extra_count))
            .max(low_bucket_count);
        u32::try_from(extra_count).unwrap_or(u32::MAX)
    }

    /// Milliseconds until one token per borrower has accrued. With the time to
    /// the next token alone, all borrowers would retry at once for that token.
    fn empty_for_ms(&self, rate: Rate, now_us: u64) -> u32 {
        let per_us = u64::from(rate.rate_per_s) * self.slice_count(now_us);
        let wanted_level = UNITS_PER_TOKEN * self.borrower_count();
        let wait_us = wanted_level
            .saturating_sub(self.bucket.level)
            .checked_div(per_us);
        let wait_ms = wait_us.map_or(u64::from(MAX_EMPTY_WAIT_MS), |wait_us| {
            wait_us.div_ceil(1000)
        });
        let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        wait_ms.clamp(MIN_EMPTY_WAIT_MS, MAX_EMPTY_WAIT_MS)
    }

    fn borrower_count(&self) -> u64 {
        self.ledgers.len().max(1) as u64
    }
}
