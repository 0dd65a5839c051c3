//! Hands the tokens of a divider over to the next one.

use {
    super::{HandoverPart, Message, Report, ReportAction, Sharing, split},
    crate::{
        event,
        events::Event,
        membership::{Member, MemberState, View, ViewChanges},
        quota::{DIVIDER_COUNT, Rate},
    },
    std::{net::SocketAddr, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Members that may divide, the preferred one first.
fn divider_candidates(view: &View) -> Vec<Arc<Member>> {
    let usable = view.members.iter().filter(|member| member.is_usable());
    let mut preferred: Vec<(u64, &Arc<Member>)> = Vec::with_capacity(DIVIDER_COUNT + 1);
    for member in usable {
        let weight = xxh3_64(member.node_id.as_bytes());
        let index = preferred.partition_point(|(other, _)| *other < weight);
        preferred.insert(index, (weight, member));
        preferred.truncate(DIVIDER_COUNT);
    }
    let members = preferred.into_iter().map(|(_, member)| Arc::clone(member));
    members.collect()
}

/// Whether a change of the view may change the candidates: one of them changed
/// or is gone, or another member would precede the last of them.
fn affects_candidates(changes: &ViewChanges<'_>, candidates: &[Arc<Member>]) -> bool {
    let Some(last) = candidates.get(DIVIDER_COUNT - 1) else {
        return true;
    };
    let last_weight = xxh3_64(last.node_id.as_bytes());
    let mut members = changes.changed.iter().chain(&changes.removed);
    members.any(|member| xxh3_64(member.node_id.as_bytes()) <= last_weight)
}

impl Sharing {
    /// Follows a change of the candidates that has not been handled yet.
    pub(super) async fn follow_changed_candidates(&mut self) {
        if self.inputs.view.has_changed().unwrap_or(false) {
            self.follow_candidates().await;
        }
    }

    /// Follows a change of the candidates. A divider that drains hands over
    /// before any other node learns of it; a new divider requests the tokens of
    /// the previous one.
    pub(super) async fn follow_candidates(&mut self) {
        let now_us = self.inputs.timer.now_us();
        let is_draining = {
            let view = Arc::clone(&self.inputs.view.borrow_and_update());
            let earlier_view = std::mem::replace(&mut self.view, Arc::clone(&view));
            if affects_candidates(&view.changes_since(&earlier_view), &self.candidates) {
                self.candidates = divider_candidates(&view);
            }
            let own = view.member(&self.inputs.node_id);
            own.is_some_and(|own| !own.is_usable())
        };
        let candidates = self.candidates.iter();
        let candidate_ids: Vec<String> = candidates.map(|member| member.node_id.clone()).collect();
        let was_first = self.role.is_first(&self.inputs.node_id);
        self.role
            .set_candidates(&self.inputs.node_id, &candidate_ids, now_us);
        if let Some(successor_id) = candidate_ids.first().filter(|_| was_first && is_draining)
            && let Some(address) = self.member_address(successor_id)
        {
            self.hand_over(successor_id, address, now_us).await;
        }
        self.request_handover(now_us).await;
    }

    /// Requests the tokens of the previous divider if this node takes over.
    pub(super) async fn request_handover(&mut self, now_us: u64) {
        let is_ready = !self.inputs.rates.borrow().is_empty();
        let Some(previous_id) = self.role.due_request(is_ready, now_us) else {
            return;
        };
        match self.member_address(&previous_id) {
            Some(address) => {
                let node_id = self.inputs.node_id.clone();
                self.send(&Message::TakeOver { node_id }, address).await;
            }
            None => self.role.end_takeover(),
        }
    }

    /// Hands all tokens over to the new divider, or sends the same handover
    /// again.
    pub(super) async fn hand_over(&mut self, successor_id: &str, address: SocketAddr, now_us: u64) {
        if self.role.is_granting() {
            let rates = self.rates();
            let named_rates: Vec<(String, Rate)> = rates
                .iter()
                .filter(|(_, rate)| rate.rate_per_s > 0)
                .map(|(workspace, rate)| (self.inputs.names.workspace_name(*workspace), *rate))
                .collect();
            let named_rates = named_rates
                .iter()
                .map(|(name, rate)| (name.as_str(), *rate));
            let member_count = self.quota.member_count();
            let tokens = self.division.hand_over(named_rates, member_count, now_us);
            // This node's own share is now the successor's to divide.
            self.quota.record_share_lent(now_us);
            self.handover = split(&self.inputs.node_id, &tokens);
            self.role.record_handover(successor_id, now_us);
            event!(
                Event::QuotaHandedOver,
                "divider={successor_id} workspaces={}",
                tokens.len()
            );
        }
        let parts = match self.role.successor_id() == Some(successor_id) {
            true => self.handover.clone(),
            false => split(&self.inputs.node_id, &[]),
        };
        for part in parts {
            self.send(&Message::Handover(part), address).await;
        }
    }

    pub(super) fn receive_handover(&mut self, part: &HandoverPart, now_us: u64) {
        if self.received_handovers.record(part) {
            self.division.accept_handover(&part.tokens, now_us);
        }
        if self.received_handovers.is_complete(part) {
            self.role.record_received(&part.node_id, now_us);
        }
    }

    /// Reports this node's own needs to itself, or to the previous divider while
    /// this node takes over.
    pub(super) async fn report_to_itself(&mut self, report: Report, now_us: u64) {
        match self.role.report_action(now_us) {
            ReportAction::Grant => {
                let grants = self.grants(&report, now_us);
                self.apply_grants(&grants, now_us);
            }
            ReportAction::Relay(node_id) => {
                self.outstanding.record_sent(now_us);
                self.send_to_member(&Message::Report(report), &node_id)
                    .await;
            }
        }
    }

    pub(super) async fn reply(&mut self, report: &Report, reporter: SocketAddr, now_us: u64) {
        let reply = Message::Grants {
            process_id: report.process_id,
            sent_us: report.sent_us,
            grants: self.grants(report, now_us),
        };
        self.send(&reply, reporter).await;
    }

    pub(super) async fn send_to_member(&self, message: &Message, node_id: &str) {
        if let Some(address) = self.member_address(node_id) {
            self.send(message, address).await;
        }
    }

    /// Address of a member that may still run.
    fn member_address(&self, node_id: &str) -> Option<SocketAddr> {
        let view = self.inputs.view.borrow();
        let member = view.member(node_id)?;
        match member.state {
            MemberState::Alive | MemberState::Suspect | MemberState::Draining => {
                Some(SocketAddr::new(member.ip, self.inputs.port))
            }
            MemberState::Left | MemberState::Dead => None,
        }
    }
}
