//! What a bank has lent to one process of a borrower.

use super::BorrowRequest;

/// Tokens of one loan that the borrower has not spoken about yet.
#[derives::key]
struct OpenLoan {
    loan: u64,
    token_count: u32,
    expires_us: u64,
}

/// Loans to one process of a borrower.
///
/// A statement "of loans up to L, h tokens are unspent" stays an upper bound
/// for ever, since spending only lowers it. Late and doubled statements are
/// therefore harmless.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ledger {
    settled_loan: u64,
    settled_count: u32,
    settled_expires_us: u64,
    open: Vec<OpenLoan>,
    asked_us: u64,
}

/// A borrower that asked no longer ago counts as one that wants tokens.
const ACTIVE_US: u64 = 1_000_000;

impl Ledger {
    /// Drops what nobody can spend any more.
    pub fn expire(&mut self, now_us: u64) {
        self.open.retain(|loan| loan.expires_us > now_us);
        if self.settled_expires_us <= now_us {
            self.settled_count = 0;
        }
    }

    /// Tokens that the borrower may still spend.
    pub fn outstanding_count(&self) -> u32 {
        let open = self.open.iter().map(|loan| loan.token_count);
        self.settled_count + open.sum::<u32>()
    }

    /// Whether there is nothing to remember.
    pub fn is_over(&self, now_us: u64) -> bool {
        let is_settled = self.settled_count == 0 && self.open.is_empty();
        is_settled && now_us >= self.asked_us + ACTIVE_US
    }

    /// The borrower asks now.
    pub const fn ask(&mut self, now_us: u64) {
        self.asked_us = now_us;
    }

    /// Remembers a new loan.
    pub fn lend(&mut self, loan: u64, token_count: u32, expires_us: u64) {
        self.open.push(OpenLoan {
            loan,
            token_count,
            expires_us,
        });
    }

    /// Takes in what the borrower states; returns tokens that came back.
    pub fn settle(&mut self, ask: &BorrowRequest) -> u32 {
        if ask.last_loan < self.settled_loan {
            return 0;
        }
        for loan in self.open.extract_if(.., |loan| loan.loan <= ask.last_loan) {
            self.settled_count += loan.token_count;
            self.settled_expires_us = self.settled_expires_us.max(loan.expires_us);
        }
        self.settled_loan = ask.last_loan;
        let freed_count = self.settled_count.saturating_sub(ask.held_count);
        self.settled_count -= freed_count;
        freed_count.min(ask.returned_count)
    }
}
