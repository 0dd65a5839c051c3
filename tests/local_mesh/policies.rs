//! Plain policies, so that tests of the data path see exactly what it does.

use dogwoodbridge::{
    arena::Arena,
    model::{AdmissionLevel, Class, Reason, Refusal, ServiceKey},
    retry::{CallKey, Loan, LoanKey, RetryPolicy},
    routing::{AttemptResult, RoutePolicy, TargetInfo, TargetKey},
};

/// Picks the nearest target with the fewest outstanding attempts.
#[derive(Debug)]
pub struct LeastOutstanding {
    targets: Arena<TargetKey, (TargetInfo, u32)>,
}

impl RoutePolicy for LeastOutstanding {
    fn new() -> Self {
        Self {
            targets: Arena::new(),
        }
    }

    fn add(&mut self, info: TargetInfo, _now_us: u64) -> TargetKey {
        self.targets.insert((info, 0))
    }

    fn update(&mut self, target: TargetKey, info: TargetInfo) {
        if let Some(row) = self.targets.get_mut(target) {
            row.0 = info;
        }
    }

    fn remove(&mut self, target: TargetKey) {
        self.targets.remove(target);
    }

    fn pick<R: rand::Rng>(
        &mut self,
        service: ServiceKey,
        _class: Class,
        tried: &[TargetKey],
        _now_us: u64,
        rng: &mut R,
    ) -> Result<TargetKey, Refusal> {
        let usable = self
            .targets
            .iter_mut()
            .filter(|(_, (info, _))| info.service == service && !info.draining);
        let best = usable.min_by_key(|(key, (info, outstanding))| {
            (
                tried.contains(key),
                *outstanding >= info.slot_count,
                info.distance,
                *outstanding,
                rng.random::<u32>(),
            )
        });
        let (key, row) = best.ok_or(Refusal::not_run(Reason::NoTarget))?;
        row.1 += 1;
        Ok(key)
    }

    fn end(
        &mut self,
        target: TargetKey,
        _result: AttemptResult,
        _latency_us: u64,
        _level: Option<AdmissionLevel>,
        _now_us: u64,
    ) {
        if let Some(row) = self.targets.get_mut(target) {
            row.1 = row.1.saturating_sub(1);
        }
    }

    fn tick(&mut self, _now_us: u64) -> Vec<(TargetKey, bool)> {
        Vec::new()
    }
}

/// Half of the allotment goes to each child; what is left is spent here.
#[derive(Debug)]
pub struct SimpleBudget {
    calls: Arena<CallKey, u8>,
    loans: Arena<LoanKey, CallKey>,
}

impl RetryPolicy for SimpleBudget {
    fn new() -> Self {
        Self {
            calls: Arena::new(),
            loans: Arena::new(),
        }
    }

    fn open(&mut self, allotment: u8) -> CallKey {
        self.calls.insert(allotment)
    }

    fn lend(&mut self, call: CallKey) -> Loan {
        let left = self.calls.get_mut(call);
        let allotment = left.map_or(0, |left| {
            let lent = *left / 2;
            *left -= lent;
            lent
        });
        let key = self.loans.insert(call);
        Loan { key, allotment }
    }

    fn give_back(&mut self, loan: LoanKey, unspent: u8) {
        let Some(call) = self.loans.remove(loan) else {
            return;
        };
        if let Some(left) = self.calls.get_mut(call) {
            *left = left.saturating_add(unspent);
        }
    }

    fn first_attempt(&mut self, _service: ServiceKey, _now_us: u64) {}

    fn try_retry(&mut self, call: CallKey, _service: ServiceKey, _now_us: u64) -> bool {
        match self.calls.get_mut(call) {
            Some(left) if *left > 0 => {
                *left -= 1;
                true
            }
            _ => false,
        }
    }

    fn close(&mut self, call: CallKey) -> u8 {
        self.calls.remove(call).unwrap_or(0)
    }
}
