//! Hands the tokens of a divider over to the next one.

use {
    super::{
        datagrams::{HandoverPart, Message, NamedTokens},
        exchange::Exchange,
        handover::split,
        members::{affects_candidates, divider_candidates},
    },
    crate::{
        event,
        events::Event,
        membership::{Member, MemberState, View},
        model::WorkspaceKey,
        quota::{HandedOverTokens, NodeQuota},
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Ended divisions that a new one names. Reporters that have missed more changes
/// wait until their leases are over.
const MAX_PREDECESSOR_COUNT: usize = 8;

/// Interval between two requests to a divider that reporters still use. It may
/// serve others that this node cannot reach.
const REQUEST_INTERVAL_US: u64 = 3_000_000;

impl Exchange {
    /// Follows a change of the candidates. A divider that drains hands over
    /// before any other node learns of it; a new divider requests the tokens of
    /// the previous one.
    pub(super) fn follow_candidates(&mut self, view: Arc<View>, now_us: u64) {
        if affects_candidates(&view.changes_since(&self.view), &self.candidates) {
            self.candidates = divider_candidates(&view);
        }
        let own = view.member(&self.inputs.node_id);
        let is_draining = own.is_some_and(|own| !own.is_usable());
        self.view = view;
        let candidates = self.candidates.iter();
        let candidate_ids: Vec<String> = candidates.map(|member| member.node_id.clone()).collect();
        let was_first = self.role.is_first(&self.inputs.node_id);
        self.role
            .set_candidates(&self.inputs.node_id, &candidate_ids, now_us);
        if let Some(successor_id) = candidate_ids.first().filter(|_| was_first && is_draining)
            && let Some(address) = self.member_address(successor_id)
        {
            let successor = (successor_id.clone(), self.started_unix_ms(successor_id));
            self.hand_over(successor, address, now_us);
        }
        self.request_handover(now_us);
    }

    /// Requests the tokens of the previous divider if this node takes over.
    pub(super) fn request_handover(&mut self, now_us: u64) {
        let is_ready = !self.rates.is_empty();
        let Some(previous_id) = self.role.due_request(is_ready, now_us) else {
            return;
        };
        match self.member_address(&previous_id) {
            Some(address) => self.send_take_over(address),
            None => self.role.end_takeover(),
        }
    }

    /// Requests the tokens of a less preferred divider that reporters have used
    /// until now. Their shares would else be idle until its leases are over.
    pub(super) fn request_division(&mut self, other_id: &str, now_us: u64) {
        let rank = |node_id: &str| {
            let mut candidates = self.candidates.iter();
            candidates.position(|member| member.node_id == node_id)
        };
        let is_preferred = rank(&self.inputs.node_id)
            .is_some_and(|own_rank| rank(other_id).is_none_or(|other_rank| own_rank < other_rank));
        let requested_us = self.requested_us.get(other_id);
        let is_due =
            requested_us.is_none_or(|requested_us| now_us >= requested_us + REQUEST_INTERVAL_US);
        if let Some(address) = self
            .member_address(other_id)
            .filter(|_| is_preferred && is_due)
        {
            self.requested_us.insert(other_id.to_owned(), now_us);
            self.send_take_over(address);
        }
    }

    fn send_take_over(&mut self, address: SocketAddr) {
        let node_id = self.inputs.node_id.clone();
        let started_unix_ms = self.started_unix_ms(&node_id);
        let request = Message::TakeOver {
            node_id,
            started_unix_ms,
        };
        self.send(request, address);
    }

    /// Start of a member's process, in milliseconds since the Unix epoch.
    fn started_unix_ms(&self, node_id: &str) -> u64 {
        let member = self.view.member(node_id);
        member.map_or(0, |member| member.started_unix_ms)
    }

    /// Hands all tokens over to the new divider's process, or sends the same
    /// handover again. A later process at that node gets nothing: the earlier one
    /// has spent the tokens.
    pub(super) fn hand_over(&mut self, successor: (String, u64), address: SocketAddr, now_us: u64) {
        if self.role.is_granting() {
            let mut division_ids = std::mem::take(&mut self.predecessor_ids);
            division_ids.push(self.division.division_id());
            let division_id = self.next_division_id();
            let tokens = self.division.hand_over(division_id, now_us);
            let tokens = tokens.into_iter().map(|(workspace, tokens)| NamedTokens {
                workspace: self.inputs.names.workspace_name(workspace),
                token_count: tokens.token_count,
                granted_count: tokens.granted_count,
            });
            let tokens: Vec<NamedTokens> = tokens.collect();
            self.handover = split(&self.inputs.node_id, &division_ids, &tokens);
            self.role.record_handover(&successor.0, now_us);
            event!(
                Event::QuotaHandedOver,
                "divider={} workspaces={}",
                successor.0,
                tokens.len()
            );
            self.handover_to = Some(successor.clone());
        }
        let is_same = self.role.successor_id().is_some() && self.handover_to == Some(successor);
        let parts = match is_same {
            true => self.handover.clone(),
            false => split(&self.inputs.node_id, &[], &[]),
        };
        for part in parts {
            self.send(Message::Handover(part), address);
        }
    }

    pub(super) fn receive_handover(
        &mut self,
        part: &HandoverPart,
        quota: &mut NodeQuota,
        now_us: u64,
    ) {
        // Without rates the tokens would be lost, and those that the previous
        // divider has granted would not count. This node requests them later.
        if self.rates.is_empty() {
            return;
        }
        let is_new = self.received_handovers.record(part);
        if is_new {
            let tokens = part.tokens.iter().map(|tokens| {
                let handed_over = HandedOverTokens {
                    token_count: tokens.token_count,
                    granted_count: tokens.granted_count,
                };
                (self.inputs.names.workspace(&tokens.workspace), handed_over)
            });
            let tokens: Vec<(WorkspaceKey, HandedOverTokens)> = tokens.collect();
            self.division.accept_handover(&tokens, now_us);
        }
        if self.received_handovers.is_complete(part) {
            self.role.record_received(&part.node_id, now_us);
            if is_new && !part.division_ids.is_empty() {
                self.succeed(&part.division_ids, quota, now_us);
            }
        }
    }

    /// Tells all members that the shares of ended divisions are lent to this one.
    fn succeed(&mut self, division_ids: &[u64], quota: &mut NodeQuota, now_us: u64) {
        self.predecessor_ids.extend(division_ids);
        let surplus_count = self
            .predecessor_ids
            .len()
            .saturating_sub(MAX_PREDECESSOR_COUNT);
        self.predecessor_ids.drain(..surplus_count);
        let division = self.division_ref(now_us);
        let view = Arc::clone(&self.view);
        let is_running = |member: &&Member| {
            !matches!(member.state, MemberState::Left | MemberState::Dead)
                && member.node_id != self.inputs.node_id
        };
        let members: Vec<&Member> = view.iter().filter(is_running).collect();
        for member in members {
            let address = SocketAddr::new(member.ip, self.inputs.port);
            self.send(Message::TakenOver(division.clone()), address);
        }
        self.follow_takeover(&division, quota, now_us);
    }
}
