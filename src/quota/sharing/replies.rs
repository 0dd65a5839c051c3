//! Part of a node that divides rates: replies to reports.

use {
    super::{
        datagrams::{DivisionRef, Grants, Message, Report},
        exchange::Exchange,
    },
    crate::{
        event,
        events::Event,
        model::WorkspaceKey,
        quota::{NodeQuota, Reporter, TokenNeed},
    },
    std::{collections::HashMap, net::SocketAddr},
};

impl Exchange {
    pub(super) fn reply(&mut self, report: &Report, reporter: SocketAddr, now_us: u64) {
        if let Some(grants) = self.grants(report, now_us) {
            self.send(Message::Grants(grants), reporter);
        }
    }

    /// Grants what a report needs. `None` if the report is not new.
    pub(super) fn grants(&mut self, report: &Report, now_us: u64) -> Option<Grants> {
        let reporter = Reporter {
            node_id: &report.node_id,
            process_id: report.process_id,
            sent_us: report.sent_us,
            settled_us: report.settled_us,
            last_reply: report.last_reply,
        };
        let needs = report.needs.iter();
        let needs: HashMap<WorkspaceKey, TokenNeed> = needs
            .map(|(name, need)| (self.inputs.names.workspace(name), need.clone()))
            .collect();
        if !self.division.record_report(reporter, &needs, now_us) {
            return None;
        }
        if let Some(other_id) = &report.lent_to {
            self.request_division(other_id, now_us);
        }
        let mut grants = Vec::new();
        for (workspace, need) in &needs {
            let rate = self.rates.get(workspace);
            if rate.is_none_or(|rate| rate.rate_per_s == 0) {
                continue;
            }
            let grant = self.division.grant(reporter, *workspace, need, now_us);
            if let Some(grant) = grant.filter(|_| need.wants_tokens()) {
                grants.push((self.inputs.names.workspace_name(*workspace), grant));
            }
        }
        Some(Grants {
            process_id: report.process_id,
            reported_us: report.sent_us,
            division: self.division_ref(now_us),
            has_share: self.division.has_share(&report.node_id, now_us),
            grants,
        })
    }

    pub(super) fn division_ref(&self, now_us: u64) -> DivisionRef {
        DivisionRef {
            node_id: self.inputs.node_id.clone(),
            division_id: self.division.division_id(),
            predecessor_ids: self.predecessor_ids.clone(),
            sent_us: now_us,
        }
    }

    /// Id for the next division of this process.
    pub(super) const fn next_division_id(&mut self) -> u64 {
        let division_id = self.inputs.process_id.wrapping_add(self.division_count);
        self.division_count += 1;
        division_id
    }

    /// Logs what became of the tokens since the last call.
    pub(super) fn log_counts(&mut self, quota: &mut NodeQuota) {
        quota.log_counts(&self.inputs.names);
        let lent_count = self.division.lent_count();
        let member_count = quota.member_count();
        for (workspace, counts, level) in self.division.take_counts() {
            event!(
                Event::QuotaDivided,
                "workspace={} lent={lent_count}/{member_count} granted={} returned={} \
                 handed_over={:.1} refused={} level={level:.1}",
                self.inputs.names.workspace_name(workspace),
                counts.granted_count,
                counts.returned_count,
                counts.handed_over_tokens,
                counts.refused_count
            );
        }
    }
}
