//! One budget of retries for the whole chain of an original request.

use {
    super::{
        CallKey, ChildAllotment, ChildAllotmentKey, RetryPolicy, ShareLimits, share::RetryShare,
    },
    crate::{arena::Arena, model::ServiceKey},
};

/// Allotment of a call and what of it is with children.
#[derive(Debug, Clone, Copy)]
struct Call {
    held: u8,
}

impl Call {
    const fn lend(&mut self) -> u8 {
        let lent = self.held.div_ceil(2);
        self.held -= lent;
        lent
    }
}

#[derive(Debug, Clone, Copy)]
struct OpenLoan {
    call: CallKey,
    lent: u8,
}

/// Moves the allotment along the chain and never copies it.
///
/// A child gets half of what its parent holds, rounded up: the hop directly
/// above a failure still has a retry at any depth, and a child whose answer
/// is lost doesn't take along all that its parent could retry it with.
#[derive(Debug)]
pub struct ChainBudget {
    calls: Arena<CallKey, Call>,
    loans: Arena<ChildAllotmentKey, OpenLoan>,
    shares: Vec<RetryShare>,
    limits: ShareLimits,
}

impl RetryPolicy for ChainBudget {
    fn new() -> Self {
        Self {
            calls: Arena::new(),
            loans: Arena::new(),
            shares: Vec::new(),
            limits: ShareLimits::default(),
        }
    }

    fn with_share_limits(mut self, limits: ShareLimits) -> Self {
        self.limits = limits;
        self
    }

    fn open(&mut self, allotment: u8) -> CallKey {
        self.calls.insert(Call { held: allotment })
    }

    fn allot_to_child(&mut self, call: CallKey) -> ChildAllotment {
        let allotment = self.calls.get_mut(call).map_or(0, Call::lend);
        let key = self.loans.insert(OpenLoan {
            call,
            lent: allotment,
        });
        ChildAllotment { key, allotment }
    }

    fn return_unspent(&mut self, loan: ChildAllotmentKey, unspent: u8) {
        // Taken out first: an answer that comes twice would otherwise give
        // back twice, and a chain would retry more often than its budget.
        let Some(loan) = self.loans.remove(loan) else {
            return;
        };
        // A child that claims more than it was lent would make the sum grow.
        let unspent = unspent.min(loan.lent);
        if let Some(call) = self.calls.get_mut(loan.call) {
            call.held = call.held.saturating_add(unspent);
        }
    }

    fn first_attempt(&mut self, service: ServiceKey, now_us: u64) {
        self.share(service).first_attempt(now_us);
    }

    fn try_retry(&mut self, call: CallKey, service: ServiceKey, now_us: u64) -> bool {
        let has_allotment = self.calls.get(call).is_some_and(|call| call.held > 0);
        if !has_allotment || !self.share(service).try_retry(now_us) {
            return false;
        }
        if let Some(call) = self.calls.get_mut(call) {
            call.held -= 1;
        }
        true
    }

    fn close(&mut self, call: CallKey) -> u8 {
        self.calls.remove(call).map_or(0, |call| call.held)
    }
}

impl ChainBudget {
    /// Calls that are open.
    #[must_use]
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Loans that were not ended by `give_back`.
    #[must_use]
    pub fn loan_count(&self) -> usize {
        self.loans.len()
    }

    fn share(&mut self, service: ServiceKey) -> &mut RetryShare {
        let index = service.index();
        if index >= self.shares.len() {
            let limits = self.limits;
            self.shares
                .resize_with(index + 1, || RetryShare::new(limits));
        }
        &mut self.shares[index]
    }
}
