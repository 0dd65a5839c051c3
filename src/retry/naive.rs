//! Baseline for comparisons: the same number of retries at every hop.

use {
    super::{
        BudgetLimit, CallKey, ChildAllotment, ChildAllotmentKey, RetryPolicy, RetryShareLimits,
    },
    crate::{arena::Arena, model::ServiceKey},
};

/// Retries of each call at each hop.
pub const NAIVE_RETRY_COUNT: u8 = 3;

/// Allows three retries of each call at each hop, regardless of the other hops.
/// Only for comparisons: a chain of depth d may attempt its deepest call 4^d
/// times.
#[derive(Debug)]
pub struct NaiveRetry {
    calls: Arena<CallKey, u8>,
    child_allotments: Arena<ChildAllotmentKey, CallKey>,
}

impl RetryPolicy for NaiveRetry {
    fn new() -> Self {
        Self {
            calls: Arena::new(),
            child_allotments: Arena::new(),
        }
    }

    fn with_retry_share_limits(self, _limits: RetryShareLimits) -> Self {
        self
    }

    fn open(&mut self, _allotment: u8) -> CallKey {
        self.calls.insert(NAIVE_RETRY_COUNT)
    }

    fn allot_to_child(&mut self, call: CallKey) -> ChildAllotment {
        ChildAllotment {
            key: self.child_allotments.insert(call),
            allotment: NAIVE_RETRY_COUNT,
        }
    }

    fn return_unspent(&mut self, key: ChildAllotmentKey, _unspent: u8) {
        self.child_allotments.remove(key);
    }

    fn record_first_attempt(&mut self, _service: ServiceKey, _now_us: u64) {}

    fn check_retry(
        &mut self,
        call: CallKey,
        _service: ServiceKey,
        _now_us: u64,
    ) -> Result<(), BudgetLimit> {
        match self.calls.get(call) {
            Some(available) if *available > 0 => Ok(()),
            _ => Err(BudgetLimit::Allotment),
        }
    }

    fn try_retry(&mut self, call: CallKey, _service: ServiceKey, _now_us: u64) -> bool {
        match self.calls.get_mut(call) {
            Some(available) if *available > 0 => {
                *available -= 1;
                true
            }
            _ => false,
        }
    }

    fn close(&mut self, call: CallKey) -> u8 {
        self.calls.remove(call).unwrap_or(0)
    }
}
