//! Reports of need and grants of tokens between nodes, by datagrams.
//!
//! A lost datagram is made up for by the next report; a divider that does not
//! answer is passed over for the next one.

use {
    super::{
        DividedQuota, Division, Rates, Reporter, TokenGrant, TokenNeed,
        divider_choice::DividerChoice, outstanding::Outstanding,
    },
    crate::{
        event,
        events::Event,
        membership::{Member, MemberState, View},
        model::Names,
        peer::{FleetAuth, TAG_BYTES},
        timer::Timer,
    },
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::UdpSocket, sync::watch},
    tokio_util::sync::CancellationToken,
    xxhash_rust::xxh3::xxh3_64,
};

/// Time between two reports. A share stays lent for five of them, so that a few
/// lost datagrams cost nothing.
const PERIOD_MS: u64 = 200;
/// Time after which a report that brought no reply is repeated while requests
/// wait: a few ways to another zone and back.
const REPEAT: Duration = Duration::from_millis(12);
/// How long a member that is taken for dead still owns its share, in
/// microseconds. It may live on behind a partition and admit by its share; a
/// partition that lasts longer is noticed by operators.
const DEAD_SHARE_US: u64 = 30_000_000;
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// What nodes tell each other.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// What a node needs.
    Report(Report),
    /// Tokens in reply to a report.
    Grants {
        process_id: u64,
        sent_us: u64,
        grants: Vec<(String, TokenGrant)>,
    },
}

#[derive(Debug, Serialize, Deserialize)]
struct Report {
    node_id: String,
    /// Drawn anew by each process.
    process_id: u64,
    /// Nothing was granted to the process yet.
    is_new: bool,
    /// When it was sent, on the reporter's clock.
    sent_us: u64,
    /// Needs by name of the workspace.
    needs: HashMap<String, TokenNeed>,
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
    choice: DividerChoice,
    outstanding: Outstanding,
    /// Nothing was granted to this process yet.
    is_new: bool,
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
        choice: DividerChoice::new(),
        outstanding: Outstanding::new(rand::random()),
        is_new: true,
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
        let quota = self.quota.clone();
        loop {
            let has_waiting = quota.has_waiting();
            tokio::select! {
                () = tokio::time::sleep(REPEAT), if has_waiting => self.fetch().await,
                tick = ticks.next() => match tick {
                    Some(tick) => self.turn(tick.now_us).await,
                    None => return,
                },
                Ok(()) = self.inputs.expected_count.changed() => {
                    let now_us = self.inputs.timer.now_us();
                    if self.learn_fleet(now_us) {
                        self.report(now_us).await;
                    }
                }
                () = quota.tokens_wanted() => self.fetch().await,
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
        self.quota.end_period(PERIOD_MS);
        self.report(now_us).await;
    }

    /// Asks for those who wait, one report at a time: a second one would ask
    /// for the same requests again.
    async fn fetch(&mut self) {
        let now_us = self.inputs.timer.now_us();
        let last_us = self.outstanding.last_us();
        if last_us.is_none_or(|last_us| now_us >= last_us + REPEAT.as_micros() as u64) {
            self.report(now_us).await;
        }
    }

    /// Tells the divider what this node needs.
    async fn report(&mut self, now_us: u64) {
        let (node_id, address) = self.divider(now_us);
        let report = Report {
            node_id: self.inputs.node_id.clone(),
            process_id: self.outstanding.process_id(),
            is_new: self.is_new,
            sent_us: now_us,
            needs: self.quota.needs(&self.inputs.names),
        };
        if node_id == self.inputs.node_id {
            self.choice.answered(now_us);
            let grants = self.grants(&report, now_us);
            self.take_grants(&grants, now_us);
            return;
        }
        if self.choice.asked(now_us) {
            event!(Event::DividerSilent, "divider={node_id}");
        }
        self.outstanding.sent(now_us);
        self.send(&Message::Report(report), address).await;
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
            Message::Report(report) => {
                let (process_id, sent_us) = (report.process_id, report.sent_us);
                let grants = self.grants(&report, now_us);
                let reply = Message::Grants {
                    process_id,
                    sent_us,
                    grants,
                };
                self.send(&reply, from).await;
            }
            Message::Grants {
                process_id,
                sent_us,
                grants,
            } => {
                if self.outstanding.settle(process_id, sent_us) {
                    self.choice.answered(now_us);
                    self.take_grants(&grants, sent_us);
                }
            }
        }
    }

    fn take_grants(&mut self, grants: &[(String, TokenGrant)], sent_us: u64) {
        self.is_new = false;
        self.quota.lent(sent_us);
        for (workspace, grant) in grants {
            let workspace = self.inputs.names.workspace(workspace);
            self.quota.granted(workspace, grant);
        }
    }

    fn grants(&mut self, report: &Report, now_us: u64) -> Vec<(String, TokenGrant)> {
        let member_count = self.quota.member_count();
        let rates = self.rates();
        let from = Reporter {
            node_id: &report.node_id,
            process_id: report.process_id,
            is_new: report.is_new,
        };
        self.division.report(from, &report.needs, now_us);
        let mut grants = Vec::new();
        for (name, need) in &report.needs {
            let workspace = self.inputs.names.workspace(name);
            let Some(rate) = rates.get(&workspace).filter(|rate| rate.rate_per_s > 0) else {
                continue;
            };
            let grant = self
                .division
                .grant(from, name, *rate, need, member_count, now_us);
            grants.push((name.clone(), grant));
        }
        grants
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
    fn divider(&mut self, now_us: u64) -> (String, SocketAddr) {
        let view = self.inputs.view.borrow();
        let mut candidates: Vec<&Member> = view
            .members
            .iter()
            .filter(|member| member.is_usable())
            .collect();
        candidates.sort_by_cached_key(|member| xxh3_64(member.node_id.as_bytes()));
        let place = self.choice.place(candidates.len(), now_us);
        // The last node of a fleet divides for itself also while it leaves;
        // its callers would be refused until the end of its stop.
        let Some(member) = candidates.get(place) else {
            return (self.inputs.node_id.clone(), self.inputs.address);
        };
        let address = SocketAddr::new(member.ip, self.inputs.port);
        (member.node_id.clone(), address)
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
