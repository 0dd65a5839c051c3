//! Tokens that a node has borrowed for one workspace.

use {
    super::{
        BorrowRequest, BorrowResponse, Process,
        limits::{EXTRA_MS, LOAN_RETURN_MS, LOAN_TTL_MS, us},
    },
    crate::model::WorkspaceKey,
    std::collections::VecDeque,
};

/// Length of the time over which demand is counted.
const DEMAND_WINDOW_US: u64 = 1_000_000;

/// Doublings of the time for which an empty bank is not asked again.
const MAX_DOUBLINGS: u32 = 4;

/// Longest time for which an empty bank is not asked again.
const MAX_BACK_OFF_MS: u32 = 200;

#[derives::value]
struct Loan {
    /// Process of the bank that lent it.
    bank_id: u64,
    token_count: u32,
    ends_us: u64,
}

/// A bank that this node borrowed from before.
///
/// Forgotten at once, it could answer a call from long ago, and the node would
/// take in a loan of which it has told that bank that nothing is left.
#[derives::key]
struct EarlierBank {
    bank_id: u64,
    last_loan: u64,
    forget_us: u64,
}

/// Borrowed tokens of one workspace; no I/O, no clock.
#[derive(Debug)]
pub struct BorrowedTokens {
    workspace: WorkspaceKey,
    owner: Process,
    loans: VecDeque<Loan>,
    bank_id: u64,
    last_loan: u64,
    /// Last loans of earlier banks, with the end of each.
    earlier_banks: Vec<EarlierBank>,
    returned_count: u32,
    empty_until_us: u64,
    /// Asks in a row that the bank could not serve in full.
    short_count: u32,
    window_us: u64,
    window_count: u32,
    last_window_count: u32,
}

impl BorrowedTokens {
    /// An empty purse of a process.
    #[must_use]
    pub const fn new(workspace: WorkspaceKey, owner: Process) -> Self {
        Self {
            workspace,
            owner,
            loans: VecDeque::new(),
            bank_id: 0,
            last_loan: 0,
            earlier_banks: Vec::new(),
            returned_count: 0,
            empty_until_us: 0,
            short_count: 0,
            window_us: 0,
            window_count: 0,
            last_window_count: 0,
        }
    }

    /// Counts a request as demand, whether or not it gets a token.
    pub const fn demand(&mut self, now_us: u64) {
        if now_us >= self.window_us + DEMAND_WINDOW_US {
            let is_next = now_us < self.window_us + 2 * DEMAND_WINDOW_US;
            self.last_window_count = if is_next { self.window_count } else { 0 };
            self.window_us = now_us;
            self.window_count = 0;
        }
        self.window_count = self.window_count.saturating_add(1);
    }

    /// Spends a token, if one is at hand that has not expired.
    pub fn take(&mut self, now_us: u64) -> bool {
        self.expire(now_us);
        let Some(loan) = self.loans.front_mut() else {
            return false;
        };
        loan.token_count -= 1;
        if loan.token_count == 0 {
            self.loans.pop_front();
        }
        true
    }

    /// Until when the bank is known to be empty.
    #[must_use]
    pub const fn empty_until_us(&self) -> u64 {
        self.empty_until_us
    }

    /// Tokens at hand.
    #[must_use]
    pub fn token_count(&self) -> u32 {
        self.loans.iter().map(|loan| loan.token_count).sum()
    }

    /// What to ask the bank while so many requests wait.
    pub fn ask(&mut self, need_count: u32, now_us: u64) -> BorrowRequest {
        self.expire(now_us);
        let returned_count = std::mem::take(&mut self.returned_count);
        let held = self.loans.iter().filter(|loan| self.is_of_bank(loan));
        let held_count = held.map(|loan| loan.token_count).sum();
        let demand = u64::from(self.window_count.max(self.last_window_count));
        let ahead = demand * us(EXTRA_MS) / DEMAND_WINDOW_US;
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let extra_count = if need_count == 0 { 0 } else { ahead };
        BorrowRequest {
            workspace: self.workspace,
            borrower: self.owner.clone(),
            bank_id: self.bank_id,
            last_loan: self.last_loan,
            held_count,
            // Never sent again: tokens that were returned twice would be spent twice.
            returned_count,
            need_count,
            extra_count,
        }
    }

    /// Takes in the answer to the ask that was sent at `sent_us`.
    pub fn lent(&mut self, sent_us: u64, answer: BorrowResponse, now_us: u64) {
        if answer.bank_id != self.bank_id {
            self.change_bank(answer.bank_id, now_us);
        }
        self.back_off(answer.empty_for_ms, now_us);
        // A late or doubled answer: the bank has been told already that this
        // loan is spent, and may have lent its tokens to others.
        if answer.granted_count == 0 || answer.loan <= self.last_loan {
            return;
        }
        self.last_loan = answer.loan;
        let ends_us = sent_us + us(answer.ttl_ms.min(LOAN_TTL_MS));
        self.loans.push_back(Loan {
            bank_id: answer.bank_id,
            token_count: answer.granted_count,
            ends_us,
        });
        self.expire(now_us);
    }

    /// Puts tokens that will hardly be spent in time aside for return; whether
    /// there are any to return.
    pub fn collect_returns(&mut self, now_us: u64) -> bool {
        self.expire(now_us + us(LOAN_RETURN_MS));
        self.returned_count > 0
    }

    /// A workspace far above its rate would ask on and on for tokens that go
    /// to others; the longer it lasts, the rarer the asks.
    fn back_off(&mut self, empty_for_ms: u32, now_us: u64) {
        if empty_for_ms == 0 {
            self.short_count = 0;
            return;
        }
        let wait_ms = empty_for_ms << self.short_count.min(MAX_DOUBLINGS);
        self.empty_until_us = now_us + us(wait_ms.min(MAX_BACK_OFF_MS));
        self.short_count += 1;
    }

    fn change_bank(&mut self, bank_id: u64, now_us: u64) {
        self.earlier_banks.retain(|bank| bank.forget_us > now_us);
        self.earlier_banks.push(EarlierBank {
            bank_id: self.bank_id,
            last_loan: self.last_loan,
            // Loans of calls from before are over by then.
            forget_us: now_us + 2 * us(LOAN_TTL_MS),
        });
        let mut earlier = self.earlier_banks.iter().rev();
        let known = earlier.find(|bank| bank.bank_id == bank_id);
        self.last_loan = known.map_or(0, |bank| bank.last_loan);
        self.bank_id = bank_id;
        self.returned_count = 0;
    }

    fn expire(&mut self, now_us: u64) {
        let bank = self.bank_id;
        let mut returned_count = 0;
        self.loans.retain(|loan| {
            let is_alive = loan.ends_us > now_us;
            if !is_alive && loan.bank_id == bank {
                returned_count += loan.token_count;
            }
            is_alive
        });
        self.returned_count += returned_count;
    }

    const fn is_of_bank(&self, loan: &Loan) -> bool {
        loan.bank_id == self.bank_id
    }
}
