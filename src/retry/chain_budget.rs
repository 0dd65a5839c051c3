//! Retry policy with one budget for the whole call chain of an original request.

use {
    super::{
        BudgetLimit, CallKey, ChildAllotment, ChildAllotmentKey, RetryPolicy, RetryShareLimits,
        share::RetryShare,
    },
    crate::{arena::Arena, model::ServiceKey},
};

/// Call of this node with the retries that it may still spend or pass on.
#[derive(Debug, Clone, Copy)]
struct Call {
    available: u8,
}

impl Call {
    /// Takes half of the available retries, rounded up, for a child.
    const fn split_for_child(&mut self) -> u8 {
        let allotted = self.available.div_ceil(2);
        self.available -= allotted;
        allotted
    }
}

/// Allotment of a child whose response has not been recorded.
#[derive(Debug, Clone, Copy)]
struct OpenChildAllotment {
    call: CallKey,
    allotted: u8,
}

/// Moves the retry allotment along the call chain and never copies it.
///
/// A child gets half of the parent's available retries, rounded up. At any depth
/// the hop directly above a failure still has a retry, and a child whose response
/// is lost does not take away all retries that the parent could use for it.
#[derive(Debug)]
pub struct ChainBudget {
    calls: Arena<CallKey, Call>,
    child_allotments: Arena<ChildAllotmentKey, OpenChildAllotment>,
    shares: Vec<RetryShare>,
    limits: RetryShareLimits,
}

impl RetryPolicy for ChainBudget {
    fn new() -> Self {
        Self {
            calls: Arena::new(),
            child_allotments: Arena::new(),
            shares: Vec::new(),
            limits: RetryShareLimits::default(),
        }
    }

    fn with_retry_share_limits(mut self, limits: RetryShareLimits) -> Self {
        self.limits = limits;
        self
    }

    fn open(&mut self, allotment: u8) -> CallKey {
        self.calls.insert(Call {
            available: allotment,
        })
    }

    fn allot_to_child(&mut self, call: CallKey) -> ChildAllotment {
        let allotment = self.calls.get_mut(call).map_or(0, Call::split_for_child);
        let key = self.child_allotments.insert(OpenChildAllotment {
            call,
            allotted: allotment,
        });
        ChildAllotment { key, allotment }
    }

    fn return_unspent(&mut self, key: ChildAllotmentKey, unspent: u8) {
        // Removed first: a duplicate response would otherwise return the unspent
        // retries twice, and the chain would exceed its budget.
        let Some(child) = self.child_allotments.remove(key) else {
            return;
        };
        // A child that returns more than it got would increase the chain's budget.
        let unspent = unspent.min(child.allotted);
        if let Some(call) = self.calls.get_mut(child.call) {
            call.available = call.available.saturating_add(unspent);
        }
    }

    fn record_first_attempt(&mut self, service: ServiceKey, now_us: u64) {
        self.share(service).record_first_attempt(now_us);
    }

    fn check_retry(
        &mut self,
        call: CallKey,
        service: ServiceKey,
        now_us: u64,
    ) -> Result<(), BudgetLimit> {
        if self.calls.get(call).is_none_or(|call| call.available == 0) {
            return Err(BudgetLimit::Allotment);
        }
        if !self.share(service).may_retry(now_us) {
            return Err(BudgetLimit::Share);
        }
        Ok(())
    }

    fn try_retry(&mut self, call: CallKey, service: ServiceKey, now_us: u64) -> bool {
        if self.check_retry(call, service, now_us).is_err() {
            return false;
        }
        self.share(service).record_retry(now_us);
        if let Some(call) = self.calls.get_mut(call) {
            call.available -= 1;
        }
        true
    }

    fn close(&mut self, call: CallKey) -> u8 {
        self.calls.remove(call).map_or(0, |call| call.available)
    }
}

impl ChainBudget {
    /// Number of open calls.
    #[must_use]
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Number of child allotments without a `return_unspent`.
    #[must_use]
    pub fn child_allotment_count(&self) -> usize {
        self.child_allotments.len()
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
