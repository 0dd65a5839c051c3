//! The admission level that a node propagates upstream.

use {
    super::{Node, Policies},
    crate::model::{AdmissionLevel, Class},
};

impl<P: Policies> Node<P> {
    /// Admission level propagated upstream in responses to requests of this class.
    #[must_use]
    pub fn level(&self, class: Class) -> AdmissionLevel {
        let now_us = self.timer.now_us();
        let level = self.admission().level(class, now_us);
        let cold_percent = self.target.gate().load_percent(now_us);
        let lag_percent = self.loop_lag().load_percent();
        let (below_percent, below_supply_percent) = {
            let downstream = self.downstream();
            (downstream.load_percent(), downstream.supply_percent(now_us))
        };
        AdmissionLevel {
            load_percent: level.load_percent.max(lag_percent).max(cold_percent),
            below_percent,
            below_supply_percent,
            draining: level.draining || self.is_draining(),
            ..level
        }
    }
}
