//! Exchanges reports with the other nodes of the fleet.

use {
    super::ReportPacket,
    crate::{
        membership::{Member, MemberState},
        node::{Node, Policies},
        timer::{IDLE_TICK_MS, Subscription},
    },
    rand::seq::IndexedRandom,
    std::sync::Arc,
    tokio::sync::broadcast::error::RecvError,
};

/// Members that receive a report of this node at once: enough for most nodes of a small fleet.
const FIRST_RECEIVER_COUNT: usize = 16;
/// Members that receive a report in each other round.
const RECEIVER_COUNT: usize = 3;
/// Ticks between two summaries, each to one member. They reach nodes that missed the rounds
/// because they were cut off or started later.
const SUMMARY_PERIOD_TICKS: u32 = 10;
/// Requests for reports that a node sends after its start, one per period.
const START_REQUEST_COUNT: u32 = 4;
const START_REQUEST_PERIOD_TICKS: u32 = 5;
const START_REQUEST_RECEIVER_COUNT: usize = 2;

/// Exchanges reports until the node stops.
pub async fn exchange_reports<P: Policies>(node: Arc<Node<P>>) {
    let mut received = node.probes.subscribe_reports();
    let mut rounds = Rounds::new(node.timer.subscribe(IDLE_TICK_MS));
    loop {
        let has_work = rounds.requests_left > 0 || !node.quarantine.is_empty();
        tokio::select! {
            () = node.stopped.cancelled() => return,
            packet = received.recv() => match packet {
                Ok(packet) => receive(&node, &packet),
                // The next summaries repeat what was missed.
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            },
            () = node.quarantine.wait_for_own_report() => {
                send_round(&node, FIRST_RECEIVER_COUNT);
            }
            tick = rounds.ticks.next(), if has_work => match tick {
                Some(_) => rounds.tick(&node),
                None => return,
            },
        }
    }
}

fn receive<P: Policies>(node: &Node<P>, packet: &ReportPacket) {
    let now_ms = node.timer.now_ms();
    node.quarantine.merge(packet, now_ms);
    if node.quarantine.has_queued() {
        send_round(node, RECEIVER_COUNT);
    }
    if let Some(requester_id) = &packet.requester_id {
        for reply in node.quarantine.summary(now_ms) {
            node.probes.send_reports(requester_id, reply);
        }
    }
}

struct Rounds {
    ticks: Subscription,
    tick_count: u32,
    requests_left: u32,
}

impl Rounds {
    const fn new(ticks: Subscription) -> Self {
        Self {
            ticks,
            tick_count: 0,
            requests_left: START_REQUEST_COUNT,
        }
    }

    fn tick<P: Policies>(&mut self, node: &Node<P>) {
        self.tick_count = self.tick_count.wrapping_add(1);
        if node.quarantine.has_queued() {
            send_round(node, RECEIVER_COUNT);
        }
        if self.requests_left > 0 && self.tick_count.is_multiple_of(START_REQUEST_PERIOD_TICKS) {
            let request = ReportPacket::request(&node.settings.node_id);
            if send_to_some(node, &[request], START_REQUEST_RECEIVER_COUNT) > 0 {
                self.requests_left -= 1;
            }
        }
        if self.tick_count.is_multiple_of(SUMMARY_PERIOD_TICKS) && !node.quarantine.is_empty() {
            let packets = node.quarantine.summary(node.timer.now_ms());
            send_to_some(node, &packets, 1);
        }
    }
}

fn send_round<P: Policies>(node: &Node<P>, receiver_count: usize) {
    let member_count = node.view().members.len().saturating_sub(1);
    let receiver_count = receiver_count.min(member_count);
    if receiver_count == 0 {
        return;
    }
    let packets = node
        .quarantine
        .next_round(receiver_count, node.timer.now_ms());
    send_to_some(node, &packets, receiver_count);
}

/// Sends the packets to random members; returns to how many.
fn send_to_some<P: Policies>(
    node: &Node<P>,
    packets: &[ReportPacket],
    receiver_count: usize,
) -> usize {
    let view = node.view();
    let others: Vec<&Member> = view
        .iter()
        .filter(|member| member.node_id != node.settings.node_id)
        .filter(|member| !matches!(member.state, MemberState::Left | MemberState::Dead))
        .collect();
    let receivers: Vec<&&Member> = others
        .choose_multiple(&mut rand::rng(), receiver_count)
        .collect();
    for receiver in &receivers {
        for packet in packets {
            node.probes.send_reports(&receiver.node_id, packet.clone());
        }
    }
    receivers.len()
}
