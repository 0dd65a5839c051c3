//! Reports of demand and grants of shares between nodes, by datagrams.
//!
//! A lost datagram is repeated by the next period; a divider that does not
//! answer is passed over for the next one.

use {
    super::{DividedQuota, Division, Rate, Rates, Share},
    crate::{
        event,
        events::Event,
        membership::{Member, MemberState, View},
        model::Names,
        peer::FleetAuth,
        timer::Timer,
    },
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
    tokio::{net::UdpSocket, sync::watch},
    tokio_util::sync::CancellationToken,
    xxhash_rust::xxh3::xxh3_64,
};

/// Time between two reports. Grants last for five of them, so that a few lost
/// datagrams cost nothing.
const PERIOD_MS: u64 = 200;
/// Reports without a reply after which the next divider is asked.
const UNANSWERED_LIMIT: u32 = 3;
/// Dividers that may be asked, by rank.
const DIVIDER_COUNT: usize = 3;
/// How long a member that is taken for dead still owns its share, in
/// microseconds. It may live on behind a partition and admit by its share; a
/// partition that lasts longer is noticed by operators.
const DEAD_SHARE_US: u64 = 30_000_000;
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
const TAG_BYTES: usize = 32;

/// What nodes tell each other.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// Demand of a node.
    Report {
        node_id: String,
        /// When it was sent, on the reporter's clock.
        sent_us: u64,
        demand_per_s: HashMap<String, f64>,
    },
    /// Shares in reply to a report.
    Grants {
        sent_us: u64,
        shares: Vec<GrantRecord>,
    },
}

#[derive(Debug, Serialize, Deserialize)]
struct GrantRecord {
    workspace: String,
    rate_per_s: f64,
    burst_count: f64,
}

/// What sharing reads of its node.
pub struct SharingInputs {
    /// Name of this node.
    pub node_id: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Port of other nodes for these messages.
    pub port: u16,
    /// Proves messages.
    pub auth: FleetAuth,
    /// Clock.
    pub timer: Timer,
    /// Names of workspaces.
    pub names: Names,
    /// Members.
    pub view: watch::Receiver<Arc<View>>,
    /// Nodes of the fleet as the platform was told; gossip may not have met
    /// all of them yet; `None` until it was asked.
    pub expected_count: watch::Receiver<Option<usize>>,
    /// Rates in force.
    pub rates: watch::Receiver<Arc<Rates>>,
}

struct Sharing {
    inputs: SharingInputs,
    socket: UdpSocket,
    quota: DividedQuota,
    division: Division,
    unanswered_count: u32,
    rank: usize,
    /// Since when members are seen dead.
    dead_since_us: HashMap<String, u64>,
}

/// Binds the socket and shares rates with other nodes until `shutdown`.
pub async fn spawn_sharing(
    inputs: SharingInputs,
    quota: DividedQuota,
    shutdown: CancellationToken,
) -> std::io::Result<()> {
    let socket = UdpSocket::bind(inputs.address).await?;
    let sharing = Sharing {
        inputs,
        socket,
        quota,
        division: Division::new(),
        unanswered_count: 0,
        rank: 0,
        dead_since_us: HashMap::new(),
    };
    tokio::spawn(async move {
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = sharing.run() => {}
        }
    });
    Ok(())
}

impl Sharing {
    async fn run(mut self) {
        let mut ticks = self.inputs.timer.subscribe(PERIOD_MS);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                tick = ticks.next() => match tick {
                    Some(tick) => self.turn(tick.now_us).await,
                    None => return,
                },
                Ok(()) = self.inputs.expected_count.changed() => {
                    self.learn_fleet(self.inputs.timer.now_us());
                }
                received = self.socket.recv_from(&mut buffer) => {
                    // A send to a closed port comes back as an error of a
                    // later receive; it says nothing about this socket.
                    if let Ok((length, from)) = received {
                        self.receive(&buffer[..length], from).await;
                    }
                }
            }
        }
    }

    async fn turn(&mut self, now_us: u64) {
        if !self.learn_fleet(now_us) {
            return;
        }
        let rates = self.rates();
        self.quota.set_rates(&rates);
        let demand_per_s = self.quota.end_period(PERIOD_MS, &self.inputs.names);
        let Some((node_id, address)) = self.divider() else {
            return;
        };
        if node_id == self.inputs.node_id {
            self.unanswered_count = 0;
            let own_id = self.inputs.node_id.clone();
            self.division.report(&own_id, demand_per_s, now_us);
            for grant in self.grants(&own_id, now_us) {
                self.take_grant(&grant, now_us);
            }
            return;
        }
        self.unanswered_count += 1;
        if self.unanswered_count > UNANSWERED_LIMIT {
            self.unanswered_count = 0;
            self.rank = (self.rank + 1) % DIVIDER_COUNT;
            event!(Event::DividerSilent, "divider={node_id} rank={}", self.rank);
        }
        let report = Message::Report {
            node_id: self.inputs.node_id.clone(),
            sent_us: now_us,
            demand_per_s,
        };
        self.send(&report, address).await;
    }

    /// Tells quota how many nodes share each rate; whether that is known.
    fn learn_fleet(&mut self, now_us: u64) -> bool {
        let member_count = self.count_members(now_us);
        if let Some(member_count) = member_count {
            self.quota.set_member_count(member_count);
        }
        member_count.is_some()
    }

    async fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        let Some(message) = self.decoded(datagram) else {
            event!(Event::ContextForged, "quota datagram from {from} rejected");
            return;
        };
        let now_us = self.inputs.timer.now_us();
        match message {
            Message::Report {
                node_id,
                sent_us,
                demand_per_s,
            } => {
                self.division.report(&node_id, demand_per_s, now_us);
                let shares = self.grants(&node_id, now_us);
                self.send(&Message::Grants { sent_us, shares }, from).await;
            }
            Message::Grants { sent_us, shares } => {
                self.unanswered_count = 0;
                for grant in &shares {
                    self.take_grant(grant, sent_us);
                }
            }
        }
    }

    fn take_grant(&self, grant: &GrantRecord, sent_us: u64) {
        let workspace = self.inputs.names.workspace(&grant.workspace);
        let share = Share {
            rate_per_s: grant.rate_per_s,
            burst_count: grant.burst_count,
        };
        self.quota.granted(workspace, share, sent_us);
    }

    fn grants(&self, node_id: &str, now_us: u64) -> Vec<GrantRecord> {
        let member_count = self.quota.member_count();
        let rates = self.rates();
        let limited = rates.iter().filter(|(_, rate)| rate.rate_per_s > 0);
        limited
            .map(|(workspace, rate): (_, &Rate)| {
                let name = self.inputs.names.workspace_name(*workspace);
                let share = self
                    .division
                    .grant(node_id, &name, *rate, member_count, now_us);
                GrantRecord {
                    workspace: name,
                    rate_per_s: share.rate_per_s,
                    burst_count: share.burst_count,
                }
            })
            .collect()
    }

    fn rates(&self) -> Arc<Rates> {
        self.inputs.rates.borrow().clone()
    }

    /// Nodes that share each rate: all that may be admitting, seen or not.
    /// `None` while nothing is known of them.
    fn count_members(&mut self, now_us: u64) -> Option<usize> {
        let view = self.inputs.view.borrow().clone();
        let dead = |member: &&Member| member.state == MemberState::Dead;
        let present = view
            .members
            .iter()
            .filter(|member| !matches!(member.state, MemberState::Left | MemberState::Dead))
            .count();
        self.dead_since_us
            .retain(|node_id, _| view.member(node_id).as_ref().is_some_and(dead));
        for member in view.members.iter().filter(dead) {
            let node_id = member.node_id.clone();
            self.dead_since_us.entry(node_id).or_insert(now_us);
        }
        let lately_dead = self.dead_since_us.values();
        let lately_dead = lately_dead.filter(|since_us| now_us < **since_us + DEAD_SHARE_US);
        let seen_count = present + lately_dead.count();
        // Only until gossip has met the fleet: a node that starts alone would
        // take the whole rate for its own.
        let expected_count = *self.inputs.expected_count.borrow();
        match expected_count {
            Some(expected_count) if now_us < DEAD_SHARE_US => Some(seen_count.max(expected_count)),
            None if seen_count < 2 => None,
            Some(_) | None => Some(seen_count),
        }
    }

    /// The node to report to.
    fn divider(&self) -> Option<(String, SocketAddr)> {
        let view = self.inputs.view.borrow();
        let mut candidates: Vec<&Member> = view
            .members
            .iter()
            .filter(|member| member.is_usable())
            .collect();
        candidates.sort_by_cached_key(|member| xxh3_64(member.node_id.as_bytes()));
        let member = candidates.get(self.rank % candidates.len().max(1))?;
        let address = SocketAddr::new(member.ip, self.inputs.port);
        Some((member.node_id.clone(), address))
    }

    async fn send(&self, message: &Message, to: SocketAddr) {
        let mut datagram = match postcard::to_stdvec(message) {
            Ok(datagram) => datagram,
            Err(error) => {
                log::error!(target: "dogwood", "quota message cannot be encoded: {error}");
                return;
            }
        };
        let tag = self.inputs.auth.tag(&datagram);
        datagram.extend_from_slice(&tag);
        // A lost datagram is what the periods are made for.
        let _ = self.socket.send_to(&datagram, to).await;
    }

    fn decoded(&self, datagram: &[u8]) -> Option<Message> {
        let length = datagram.len().checked_sub(TAG_BYTES)?;
        let (content, tag) = datagram.split_at(length);
        if !self.inputs.auth.is_tagged(content, tag) {
            return None;
        }
        postcard::from_bytes(content).ok()
    }
}
