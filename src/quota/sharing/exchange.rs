//! Part of a node in the sharing of rates: what it sends when time passes, when
//! a message arrives and when the fleet changes. Pure state: performs no I/O and
//! reads no clock.

use {
    super::{
        PERIOD_MS, REPEAT_INTERVAL,
        datagrams::{DivisionRef, Grants, HandoverPart, Message, Report},
        handover::ReceivedHandovers,
        members::MemberCount,
    },
    crate::{
        event,
        events::Event,
        membership::{Member, MemberState, View},
        model::Names,
        quota::{
            DividerChoice, DividerRole, Division, DivisionReply, GrantOrigin, NodeQuota,
            OutstandingReports, Rates, ReplyRef, ReportAction, TOKEN_TTL_US,
        },
    },
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// Periods between two log lines on tokens.
const LOG_PERIODS: u64 = 5;

/// What identifies a process that shares rates.
#[derive(Debug)]
pub struct ExchangeInputs {
    /// Id of this node.
    pub node_id: String,
    /// Address at which this node receives messages.
    pub address: SocketAddr,
    /// Port on which other nodes receive messages.
    pub port: u16,
    /// Random id of this process.
    pub process_id: u64,
    /// Names of workspaces.
    pub names: Names,
}

/// Latest reply that a process has accepted.
#[derive(Debug)]
struct LastReply {
    /// When the report was sent that it replies to.
    reported_us: u64,
    /// Node id of the divider.
    node_id: String,
    division_id: u64,
    /// When it was sent, on the divider's clock.
    replied_us: u64,
}

/// State of one process. Its messages are collected by
/// [`take_outgoing`](Self::take_outgoing).
#[derive(Debug)]
pub struct Exchange {
    pub(super) inputs: ExchangeInputs,
    pub(super) division: Division,
    choice: DividerChoice,
    pub(super) role: DividerRole,
    pub(super) view: Arc<View>,
    expected_count: Option<usize>,
    pub(super) rates: Arc<Rates>,
    /// Members that may divide in the last view, the preferred one first.
    pub(super) candidates: Vec<Arc<Member>>,
    /// Parts of the handover of this node, sent again if one is lost.
    pub(super) handover: Vec<HandoverPart>,
    /// Process that the handover is for: node id and start, in milliseconds
    /// since the Unix epoch.
    pub(super) handover_to: Option<(String, u64)>,
    /// Divisions that have handed over to this one, the latest last.
    pub(super) predecessor_ids: Vec<u64>,
    /// When the tokens of another divider were requested last, by node id.
    pub(super) requested_us: HashMap<String, u64>,
    /// Divisions of this process so far.
    pub(super) division_count: u64,
    pub(super) received_handovers: ReceivedHandovers,
    pub(super) outstanding: OutstandingReports,
    last_reply: Option<LastReply>,
    /// Node id of the divider that got the last report.
    divider_id: Option<String>,
    member_count: MemberCount,
    outgoing: Vec<(Message, SocketAddr)>,
}

impl Exchange {
    /// Starts a process that knows no other node.
    #[must_use]
    pub fn new(inputs: ExchangeInputs, now_us: u64) -> Self {
        Self {
            division: Division::new(inputs.process_id, now_us),
            choice: DividerChoice::new(),
            role: DividerRole::new(),
            view: Arc::default(),
            expected_count: None,
            rates: Arc::default(),
            candidates: Vec::new(),
            handover: Vec::new(),
            handover_to: None,
            predecessor_ids: Vec::new(),
            requested_us: HashMap::new(),
            division_count: 1,
            received_handovers: ReceivedHandovers::default(),
            outstanding: OutstandingReports::new(inputs.process_id),
            last_reply: None,
            divider_id: None,
            member_count: MemberCount::default(),
            outgoing: Vec::new(),
            inputs,
        }
    }

    /// Returns the messages to send, with their receivers.
    #[must_use]
    pub fn take_outgoing(&mut self) -> Vec<(Message, SocketAddr)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Applies the membership view.
    pub fn set_view(&mut self, view: Arc<View>, now_us: u64) {
        if !Arc::ptr_eq(&view, &self.view) {
            self.follow_candidates(view, now_us);
        }
    }

    /// Applies the rates in force.
    pub fn set_rates(&mut self, rates: &Arc<Rates>, quota: &mut NodeQuota, now_us: u64) {
        if !Arc::ptr_eq(rates, &self.rates) {
            self.rates = Arc::clone(rates);
            self.division.set_rates(rates, now_us);
            quota.set_rates(rates, now_us);
        }
    }

    /// Applies the number of nodes that the platform knows.
    pub fn set_expected_count(
        &mut self,
        expected_count: Option<usize>,
        quota: &mut NodeQuota,
        now_us: u64,
    ) {
        if expected_count != self.expected_count {
            self.expected_count = expected_count;
            if self.update_member_count(quota, now_us) {
                self.report(quota, now_us);
            }
        }
    }

    /// Ends a period and reports.
    pub fn on_tick(&mut self, quota: &mut NodeQuota, now_us: u64) {
        self.request_handover(now_us);
        if !self.update_member_count(quota, now_us) {
            return;
        }
        quota.end_period(PERIOD_MS, now_us);
        if (now_us / 1000 / PERIOD_MS).is_multiple_of(LOG_PERIODS) {
            self.log_counts(quota);
        }
        self.report(quota, now_us);
    }

    /// Reports on behalf of waiting requests, one report at a time: a second
    /// report would request tokens for the same requests again.
    pub fn request_tokens(&mut self, quota: &mut NodeQuota, now_us: u64) {
        let last_sent_us = self.outstanding.last_sent_us();
        if last_sent_us
            .is_none_or(|last_sent_us| now_us >= last_sent_us + REPEAT_INTERVAL.as_micros() as u64)
        {
            self.report(quota, now_us);
        }
    }

    /// Handles a message of another node.
    pub fn receive(
        &mut self,
        message: Message,
        sender: SocketAddr,
        quota: &mut NodeQuota,
        now_us: u64,
    ) {
        match message {
            Message::Report(report) => {
                self.request_handover(now_us);
                match self.role.report_action(now_us) {
                    ReportAction::Grant => self.reply(&report, sender, now_us),
                    ReportAction::Relay(node_id) => {
                        let relayed = Message::Relayed {
                            report,
                            reporter: sender,
                        };
                        self.send_to_member(relayed, &node_id);
                    }
                }
            }
            // The reporter repeats a report that arrives before the handover.
            Message::Relayed { report, reporter } => {
                if self.role.is_granting() {
                    self.reply(&report, reporter, now_us);
                }
            }
            Message::TakeOver {
                node_id,
                started_unix_ms,
            } => self.hand_over((node_id, started_unix_ms), sender, now_us),
            Message::Handover(part) => self.receive_handover(&part, quota, now_us),
            Message::TakenOver(division) => self.follow_takeover(&division, quota, now_us),
            Message::Grants(grants) => {
                if self
                    .outstanding
                    .accept_reply(grants.process_id, grants.reported_us)
                {
                    self.choice.record_reply(now_us);
                    self.apply_grants(&grants, quota, now_us);
                }
            }
        }
    }

    /// Reports this node's needs to the divider.
    fn report(&mut self, quota: &mut NodeQuota, now_us: u64) {
        let (node_id, address) = self.select_divider(now_us);
        if self.divider_id.as_ref() != Some(&node_id) {
            event!(Event::DividerChanged, "divider={node_id}");
            self.divider_id = Some(node_id.clone());
        }
        let last_reply = self.last_reply.as_ref().map(|reply| ReplyRef {
            division_id: reply.division_id,
            replied_us: reply.replied_us,
            is_share_lent: quota.is_share_lent_to(reply.division_id, now_us),
        });
        let division_id = last_reply.map(|reply| reply.division_id);
        let is_share_lent = last_reply.is_some_and(|reply| reply.is_share_lent);
        let lent_to = self.last_reply.as_ref().filter(|_| is_share_lent);
        let lent_to = lent_to.map(|reply| reply.node_id.clone());
        let (sent_us, settled_us) = self.outstanding.begin_report(now_us);
        let report = Report {
            node_id: self.inputs.node_id.clone(),
            process_id: self.outstanding.process_id(),
            sent_us,
            settled_us,
            last_reply,
            lent_to: lent_to.filter(|lent_to| *lent_to != node_id),
            needs: quota.needs(division_id, &self.inputs.names, now_us),
        };
        if node_id == self.inputs.node_id {
            self.choice.record_reply(now_us);
            self.report_to_itself(report, quota, now_us);
            return;
        }
        if self.choice.record_report(now_us) {
            event!(Event::DividerSilent, "divider={node_id}");
        }
        self.outstanding.record_sent(sent_us);
        self.send(Message::Report(report), address);
    }

    /// Reports this node's own needs to itself, or to the previous divider while
    /// this node takes over.
    fn report_to_itself(&mut self, report: Report, quota: &mut NodeQuota, now_us: u64) {
        match self.role.report_action(now_us) {
            ReportAction::Grant => {
                if let Some(grants) = self.grants(&report, now_us) {
                    self.apply_grants(&grants, quota, now_us);
                }
            }
            ReportAction::Relay(node_id) => {
                self.outstanding.record_sent(report.sent_us);
                self.send_to_member(Message::Report(report), &node_id);
            }
        }
    }

    /// Applies a reply to a report of this process.
    fn apply_grants(&mut self, reply: &Grants, quota: &mut NodeQuota, now_us: u64) {
        let division = &reply.division;
        let division_reply = DivisionReply {
            division_id: division.division_id,
            predecessor_ids: &division.predecessor_ids,
            has_share: reply.has_share,
        };
        quota.record_reply(division_reply, now_us);
        let reported_us = reply.reported_us;
        let last_reply = self.last_reply.as_ref();
        if last_reply.is_none_or(|last| last.reported_us <= reported_us) {
            self.last_reply = Some(LastReply {
                reported_us,
                node_id: division.node_id.clone(),
                division_id: division.division_id,
                replied_us: division.sent_us,
            });
        }
        // The divider no longer counts the tokens of a reply that is too late.
        if now_us >= reported_us + TOKEN_TTL_US {
            return;
        }
        let origin = GrantOrigin {
            division_id: division.division_id,
            granted_us: division.sent_us,
            reported_us,
        };
        for (workspace, grant) in &reply.grants {
            let workspace = self.inputs.names.workspace(workspace);
            quota.apply_grant(workspace, grant, origin, now_us);
        }
    }

    /// Follows a divider that has taken over from the one that this node's share
    /// is lent to.
    pub(super) fn follow_takeover(
        &mut self,
        division: &DivisionRef,
        quota: &mut NodeQuota,
        now_us: u64,
    ) {
        let reply = DivisionReply {
            division_id: division.division_id,
            predecessor_ids: &division.predecessor_ids,
            has_share: false,
        };
        quota.record_reply(reply, now_us);
        if quota.is_share_lent_to(division.division_id, now_us) {
            let last_reply = self.last_reply.as_ref();
            self.last_reply = Some(LastReply {
                reported_us: last_reply.map_or(0, |last| last.reported_us),
                node_id: division.node_id.clone(),
                division_id: division.division_id,
                replied_us: division.sent_us,
            });
            self.report(quota, now_us);
        }
    }

    /// Updates the number of nodes that share each rate. Returns whether it is
    /// known.
    fn update_member_count(&mut self, quota: &mut NodeQuota, now_us: u64) -> bool {
        let member_count = self
            .member_count
            .count(&self.view, self.expected_count, now_us);
        if let Some(member_count) = member_count {
            quota.set_member_count(member_count, now_us);
            self.division.set_member_count(member_count, now_us);
        }
        member_count.is_some()
    }

    /// Node id and address of the divider to report to.
    fn select_divider(&mut self, now_us: u64) -> (String, SocketAddr) {
        let index = self.choice.select_index(self.candidates.len(), now_us);
        // The last node of a fleet divides for itself even while it leaves;
        // otherwise its callers would be refused until it has stopped.
        let Some(member) = self.candidates.get(index) else {
            return (self.inputs.node_id.clone(), self.inputs.address);
        };
        let address = SocketAddr::new(member.ip, self.inputs.port);
        (member.node_id.clone(), address)
    }

    pub(super) fn send(&mut self, message: Message, to: SocketAddr) {
        self.outgoing.push((message, to));
    }

    pub(super) fn send_to_member(&mut self, message: Message, node_id: &str) {
        if let Some(address) = self.member_address(node_id) {
            self.send(message, address);
        }
    }

    /// Address of a member that may still run.
    pub(super) fn member_address(&self, node_id: &str) -> Option<SocketAddr> {
        let member = self.view.member(node_id)?;
        match member.state {
            MemberState::Alive | MemberState::Suspect | MemberState::Draining => {
                Some(SocketAddr::new(member.ip, self.inputs.port))
            }
            MemberState::Left | MemberState::Dead => None,
        }
    }
}
