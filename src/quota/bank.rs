//! The bank of a workspace: one bucket made of leased shares.

use {
    super::{
        BorrowRequest, BorrowResponse, Bucket, HandedOverLease, LeaseResponse, PoolHandover,
        PoolRef, Process, Rate, UNITS_PER_TOKEN, capacity,
        ledger::Ledger,
        limits::{
            BANK_IDLE_MS, FIRST_LEASE_MS, LEASE_RENEW_MS, LEASE_RETRY_MS, LEASE_TTL_MS,
            LOAN_TTL_MS, MAX_EMPTY_MS, MIN_EMPTY_MS, QUOTA_MARGIN_MS, us,
        },
    },
    std::collections::HashMap,
};

/// Part of the usual tokens ahead that a borrower gets out of a low bucket.
const SCARCE_PART: u32 = 8;

#[derives::key]
#[derive(Default)]
struct Lease {
    slice_count: u64,
    ends_us: u64,
    ask_again_us: u64,
    /// Until when a borrower waits for the owner's first answer.
    awaited_until_us: u64,
    /// Bank from which the lease was handed over, until it is renewed.
    predecessor_id: u64,
}

/// An owner to be asked.
#[derives::value]
#[derive(Eq)]
pub struct LeaseQuery {
    /// The owner.
    pub owner: String,
    /// Bank from which its lease was handed over, else 0.
    pub predecessor_id: u64,
}

/// Tokens that an earlier bank had lent when it handed over.
#[derives::key]
struct Inherited {
    token_count: u64,
    expires_us: u64,
}

/// Bank of one workspace in one process; no I/O, no clock.
///
/// Its level and what it has lent never exceed the capacity of the leases
/// that outlast a loan.
#[derive(Debug)]
pub struct TokenPool {
    bank_id: u64,
    leases: HashMap<String, Lease>,
    bucket: Bucket,
    ledgers: HashMap<Process, Ledger>,
    next_loan: u64,
    asked_us: Option<u64>,
    inherited: Vec<Inherited>,
    /// Answers to asks from before belong to the successor.
    retired_us: Option<u64>,
    estate_asked_us: Option<u64>,
    estate_awaited_until_us: u64,
}

impl TokenPool {
    /// A bank without leases; `bank_id` is a random number that no other bank
    /// and no other process has.
    #[must_use]
    pub fn new(bank_id: u64, now_us: u64) -> Self {
        Self {
            bank_id,
            leases: HashMap::new(),
            bucket: Bucket::new(now_us),
            ledgers: HashMap::new(),
            next_loan: 1,
            asked_us: None,
            inherited: Vec::new(),
            retired_us: None,
            estate_asked_us: None,
            estate_awaited_until_us: 0,
        }
    }

    /// Somebody wants tokens; the bank keeps its leases for a while.
    pub const fn wake(&mut self, now_us: u64) {
        self.asked_us = Some(now_us);
    }

    /// Whether somebody asked lately.
    #[must_use]
    pub fn is_awake(&self, now_us: u64) -> bool {
        self.asked_us
            .is_some_and(|asked_us| now_us < asked_us + us(BANK_IDLE_MS))
    }

    /// Number of this bank.
    #[must_use]
    pub const fn bank_id(&self) -> u64 {
        self.bank_id
    }

    /// Owners to be asked now, for a lease or its renewal.
    pub fn owners_to_ask<'a>(
        &mut self,
        owners: impl IntoIterator<Item = &'a str>,
        now_us: u64,
    ) -> Vec<LeaseQuery> {
        if !self.is_awake(now_us) {
            return vec![];
        }
        let mut to_ask = Vec::new();
        for owner in owners {
            let lease = self.leases.entry(owner.to_owned()).or_default();
            let renew_us = lease
                .ends_us
                .saturating_sub(us(LEASE_TTL_MS - LEASE_RENEW_MS));
            if now_us >= renew_us.max(lease.ask_again_us) {
                let is_first = now_us >= lease.ask_again_us + us(BANK_IDLE_MS);
                if is_first || lease.ask_again_us == 0 {
                    lease.awaited_until_us = now_us + us(FIRST_LEASE_MS);
                }
                lease.ask_again_us = now_us + us(LEASE_RETRY_MS);
                to_ask.push(LeaseQuery {
                    owner: owner.to_owned(),
                    predecessor_id: lease.predecessor_id,
                });
            }
        }
        to_ask
    }

    /// Whether a borrower should wait a moment: the bank has just begun to ask
    /// its owners and would refuse what they have.
    #[must_use]
    pub fn awaits_owners(&self, now_us: u64) -> bool {
        let mut leases = self.leases.values();
        self.estate_awaited_until_us > now_us || leases.any(|lease| lease.awaited_until_us > now_us)
    }

    /// Takes in an owner's answer to the ask that was sent at `sent_us`.
    ///
    /// Returns the bank that is to be asked to hand its leases over, if there
    /// is one. The lease is counted from when it was asked for: the owner granted it later, so it ends
    /// here before the owner uses the share again, however late the answer.
    pub fn leased(
        &mut self,
        owner: &str,
        sent_us: u64,
        answer: LeaseResponse,
        rate: Rate,
        now_us: u64,
    ) -> Option<PoolRef> {
        if self
            .retired_us
            .is_some_and(|retired_us| sent_us <= retired_us)
        {
            return None;
        }
        self.advance(rate, now_us);
        let lease = self.leases.entry(owner.to_owned()).or_default();
        lease.awaited_until_us = 0;
        if answer.slice_count == 0 {
            lease.ask_again_us = now_us + us(answer.busy_ms.max(LEASE_RETRY_MS));
            return (answer.busy_ms > 0 && self.may_ask_estate(now_us)).then_some(answer.holder);
        }
        let ends_us = sent_us + us(answer.ttl_ms);
        if ends_us <= now_us {
            return None;
        }
        lease.predecessor_id = 0;
        if ends_us > lease.ends_us {
            lease.ends_us = ends_us;
            lease.slice_count = answer.slice_count.into();
        }
        self.bucket.level = self.bucket.level.saturating_add(answer.level);
        self.clamp(rate, now_us);
        None
    }

    fn may_ask_estate(&mut self, now_us: u64) -> bool {
        let asked_us = self.estate_asked_us;
        if asked_us.is_some_and(|asked_us| now_us < asked_us + us(LEASE_RETRY_MS)) {
            return false;
        }
        self.estate_asked_us = Some(now_us);
        self.estate_awaited_until_us = now_us + us(FIRST_LEASE_MS);
        true
    }

    /// Hands everything over to another bank and goes on under a new number.
    ///
    /// With the old number an owner that serves a late ask would lease to both:
    /// the successor names that number as its predecessor's.
    pub fn retire(&mut self, next_bank_id: u64, rate: Rate, now_us: u64) -> PoolHandover {
        self.advance(rate, now_us);
        let mut leases = Vec::new();
        for (owner, lease) in self.leases.drain() {
            let left_us = lease.ends_us.saturating_sub(now_us);
            let holder_id = match lease.predecessor_id {
                0 => self.bank_id,
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
        self.bank_id = next_bank_id;
        self.retired_us = Some(now_us);
        self.asked_us = None;
        PoolHandover {
            level: self.bucket.drain(),
            lent_count: self.lent_count(),
            leases,
        }
    }

    /// Goes on for a bank that handed over when it was asked at `sent_us`.
    pub fn inherit(&mut self, sent_us: u64, estate: PoolHandover, rate: Rate, now_us: u64) {
        self.advance(rate, now_us);
        self.estate_awaited_until_us = 0;
        if self
            .retired_us
            .is_some_and(|retired_us| sent_us <= retired_us)
        {
            return;
        }
        for inherited in estate.leases {
            let lease = self.leases.entry(inherited.owner).or_default();
            let ends_us = sent_us + us(inherited.left_ms);
            if ends_us > lease.ends_us && ends_us > now_us {
                lease.ends_us = ends_us;
                lease.slice_count = inherited.slice_count.into();
                lease.predecessor_id = inherited.holder_id;
                lease.ask_again_us = now_us;
            }
        }
        self.inherited.push(Inherited {
            token_count: estate.lent_count,
            expires_us: now_us + us(LOAN_TTL_MS + QUOTA_MARGIN_MS),
        });
        self.bucket.level = self.bucket.level.saturating_add(estate.level);
        self.clamp(rate, now_us);
    }

    /// Lends tokens and settles earlier loans of the borrower.
    pub fn borrow(&mut self, ask: &BorrowRequest, rate: Rate, now_us: u64) -> BorrowResponse {
        self.advance(rate, now_us);
        self.settle(ask, rate, now_us);
        let ledger = self.ledgers.entry(ask.borrower.clone()).or_default();
        ledger.ask(now_us);
        let extra_count = self.extra_count(ask, rate, now_us);
        let granted_count = self.bucket.take(ask.need_count.saturating_add(extra_count));
        // Nodes that get what waits and little more would ask for each single
        // request while the bucket is low.
        let wanted_count = ask.need_count.saturating_add(ask.extra_count / SCARCE_PART);
        let is_short = granted_count < wanted_count;
        let mut answer = BorrowResponse {
            bank_id: self.bank_id,
            loan: 0,
            granted_count,
            ttl_ms: LOAN_TTL_MS,
            empty_for_ms: 0,
        };
        if granted_count > 0 {
            answer.loan = self.next_loan;
            self.next_loan += 1;
            let expires_us = now_us + us(LOAN_TTL_MS + QUOTA_MARGIN_MS);
            let ledger = self.ledgers.entry(ask.borrower.clone()).or_default();
            ledger.lend(answer.loan, granted_count, expires_us);
        }
        if is_short {
            answer.empty_for_ms = self.empty_for_ms(rate, now_us);
        }
        answer
    }

    /// Slices whose leases outlast a loan made now.
    #[must_use]
    pub fn slice_count(&self, now_us: u64) -> u64 {
        let lasting = self
            .leases
            .values()
            .filter(|lease| lease.ends_us > now_us + us(LOAN_TTL_MS));
        lasting.map(|lease| lease.slice_count).sum()
    }

    /// Brings the bucket up to date.
    ///
    /// A lease that ends within the time since the last call accrues nothing
    /// for it: too little rather than too much after a pause.
    fn advance(&mut self, rate: Rate, now_us: u64) {
        let slice_count = self.slice_count(now_us);
        self.bucket.advance(rate, slice_count, now_us);
        for ledger in self.ledgers.values_mut() {
            ledger.expire(now_us);
        }
        self.inherited.retain(|lent| lent.expires_us > now_us);
        self.ledgers.retain(|_, ledger| !ledger.is_over(now_us));
        self.clamp(rate, now_us);
    }

    fn clamp(&mut self, rate: Rate, now_us: u64) {
        let capacity = capacity(rate, self.slice_count(now_us));
        let room = capacity.saturating_sub(self.lent_count() * UNITS_PER_TOKEN);
        self.bucket.level = self.bucket.level.min(room);
    }

    fn lent_count(&self) -> u64 {
        let lent = self.ledgers.values().map(Ledger::outstanding_count);
        let inherited = self.inherited.iter().map(|lent| lent.token_count);
        lent.map(u64::from).sum::<u64>() + inherited.sum::<u64>()
    }

    fn settle(&mut self, ask: &BorrowRequest, rate: Rate, now_us: u64) {
        if ask.bank_id != self.bank_id {
            return;
        }
        let Some(ledger) = self.ledgers.get_mut(&ask.borrower) else {
            return;
        };
        let returned = u64::from(ledger.settle(ask)) * UNITS_PER_TOKEN;
        self.bucket.level = self.bucket.level.saturating_add(returned);
        self.clamp(rate, now_us);
    }

    /// Tokens ahead of demand. What one node holds unspent is missing to the
    /// others: out of the lower half of the bucket each gets its part at most.
    fn extra_count(&self, ask: &BorrowRequest, rate: Rate, now_us: u64) -> u32 {
        let need = u64::from(ask.need_count) * UNITS_PER_TOKEN;
        let left = self.bucket.level.saturating_sub(need);
        let reserve = capacity(rate, self.slice_count(now_us)) / 2;
        let spare_count = left.saturating_sub(reserve) / UNITS_PER_TOKEN;
        let part_count = left / UNITS_PER_TOKEN / self.borrower_count();
        let scarce = part_count.min(u64::from(ask.extra_count / SCARCE_PART));
        let extra_count = spare_count.min(u64::from(ask.extra_count)).max(scarce);
        u32::try_from(extra_count).unwrap_or(u32::MAX)
    }

    /// Time in which a token for each borrower accrues. Told the time to the
    /// next token, all of them would ask again for that one.
    fn empty_for_ms(&self, rate: Rate, now_us: u64) -> u32 {
        let per_us = u64::from(rate.rate_per_s) * self.slice_count(now_us);
        let wanted = UNITS_PER_TOKEN * self.borrower_count();
        let wait_us = wanted.saturating_sub(self.bucket.level).checked_div(per_us);
        let wait_ms = wait_us.map_or(u64::from(MAX_EMPTY_MS), |wait_us| wait_us.div_ceil(1000));
        let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        wait_ms.clamp(MIN_EMPTY_MS, MAX_EMPTY_MS)
    }

    fn borrower_count(&self) -> u64 {
        self.ledgers.len().max(1) as u64
    }
}
