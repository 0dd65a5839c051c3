//! The nodes that operators reach.

use {
    super::CliError,
    crate::control::{ControlError, NodeStatus, OperatorsClient, connect},
    futures::{StreamExt, stream},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tarpc::context::{self, Context},
};

const CONNECT_LIMIT_MS: u64 = 2_000;
const CALL_LIMIT: Duration = Duration::from_millis(4_000);
const CALLS_AT_ONCE: usize = 64;
const MEMBER_LISTS_PER_ZONE: usize = 2;

/// The nodes of a fleet, found through some of them.
#[derive(Debug, Clone)]
pub struct Fleet {
    seeds: Vec<SocketAddr>,
    secret: String,
}

/// A node and what it answered.
#[derive(Debug)]
pub struct NodeAnswer {
    /// Its control address.
    pub address: SocketAddr,
    /// Name and zone as other nodes tell them; absent for a seed that nobody
    /// knows.
    pub known_as: Option<(String, String)>,
    /// Its own answer.
    pub status: Result<NodeStatus, ControlError>,
}

impl NodeAnswer {
    /// Its availability zone, as far as it is known.
    #[must_use]
    pub fn zone(&self) -> &str {
        match (&self.status, &self.known_as) {
            (Ok(status), _) => &status.zone,
            (Err(_), Some((_, zone))) => zone,
            (Err(_), None) => "?",
        }
    }

    /// Its name, as far as it is known.
    #[must_use]
    pub fn name(&self) -> &str {
        match (&self.status, &self.known_as) {
            (Ok(status), _) => &status.node_id,
            (Err(_), Some((name, _))) => name,
            (Err(_), None) => "?",
        }
    }
}

/// A node's answer to one call.
#[derive(Debug, Clone, Copy)]
pub struct SentAnswer<T> {
    /// The answer.
    pub answer: T,
    /// Time at which the call was sent; what the node measured for its answer is not older.
    pub sent_at: Instant,
}

/// All nodes that were found, sorted by zone and name.
#[derive(Debug)]
pub struct FleetView {
    /// Nodes, those that did not answer included.
    pub nodes: Vec<NodeAnswer>,
}

impl Fleet {
    /// A fleet that is found through these control addresses.
    #[must_use]
    pub const fn new(seeds: Vec<SocketAddr>, secret: String) -> Self {
        Self { seeds, secret }
    }

    /// Asks the seeds, then all members that the answers name.
    pub async fn look(&self) -> FleetView {
        let mut known = BTreeMap::new();
        let mut nodes: Vec<NodeAnswer> = Vec::new();
        let mut next: Vec<Ask> = self.seeds.iter().copied().map(Ask::with_members).collect();
        while !next.is_empty() {
            let answers = self.ask_status(next).await;
            for status in answers
                .iter()
                .filter_map(|answer| answer.status.as_ref().ok())
            {
                let members = status.members.iter().filter(|member| member.may_answer());
                for member in members {
                    let name = (member.node_id.clone(), member.zone.clone());
                    known.insert(member.control_address(), name);
                }
            }
            nodes.extend(answers);
            let asked: BTreeSet<SocketAddr> = nodes.iter().map(|node| node.address).collect();
            next = asks(known.iter().filter(|(address, _)| !asked.contains(address)));
        }
        for node in &mut nodes {
            node.known_as = known.get(&node.address).cloned();
        }
        nodes.sort_by(|a, b| (a.zone(), a.name()).cmp(&(b.zone(), b.name())));
        FleetView { nodes }
    }

    async fn ask_status(&self, asks: Vec<Ask>) -> Vec<NodeAnswer> {
        let ask = |ask: Ask| async move {
            let status = self.status(ask).await;
            NodeAnswer {
                address: ask.address,
                known_as: None,
                status,
            }
        };
        stream::iter(asks)
            .map(ask)
            .buffer_unordered(CALLS_AT_ONCE)
            .collect()
            .await
    }

    async fn status(&self, ask: Ask) -> Result<NodeStatus, ControlError> {
        let client = self.connect(ask.address).await?;
        Ok(client.status(call_context(), ask.wants_members).await?)
    }

    /// Connects to one node.
    pub async fn connect(&self, address: SocketAddr) -> Result<OperatorsClient, ControlError> {
        connect(address, &self.secret, CONNECT_LIMIT_MS).await
    }

    /// Control address of a node, given by name or address.
    pub async fn find(&self, node: &str) -> Result<SocketAddr, CliError> {
        if let Ok(address) = node.parse() {
            return Ok(address);
        }
        let view = self.look().await;
        let found = view.nodes.iter().find(|answer| answer.name() == node);
        found
            .map(|answer| answer.address)
            .ok_or_else(|| CliError::UnknownNode {
                node: node.to_owned(),
                known: view
                    .nodes
                    .iter()
                    .map(|answer| answer.name().to_owned())
                    .collect(),
            })
    }

    /// Calls all nodes of a view at once.
    ///
    /// Gives each node's zone and answer, in the order of the view.
    pub async fn call_all<T, F, C>(&self, view: &FleetView, call: C) -> Vec<(String, Option<T>)>
    where
        C: Fn(OperatorsClient) -> F,
        F: Future<Output = Result<T, ControlError>>,
    {
        let addresses = view.nodes.iter().map(|node| node.address).collect();
        let answers = self.call_each(addresses, call).await;
        let zones = view.nodes.iter().map(|node| node.zone().to_owned());
        zones.zip(answers).collect()
    }

    /// Calls the named nodes at once, without looking for others.
    pub async fn call_seeds<T, F, C>(&self, call: C) -> Vec<Option<T>>
    where
        C: Fn(OperatorsClient) -> F,
        F: Future<Output = Result<T, ControlError>>,
    {
        self.call_each(self.seeds.clone(), call).await
    }

    async fn call_each<T, F, C>(&self, addresses: Vec<SocketAddr>, call: C) -> Vec<Option<T>>
    where
        C: Fn(OperatorsClient) -> F,
        F: Future<Output = Result<T, ControlError>>,
    {
        let answers = self.ask_each(addresses, call).await;
        let answers = answers.into_iter();
        answers
            .map(|answer| answer.ok().map(|sent| sent.answer))
            .collect()
    }

    /// Calls nodes at once; answers are in the order of the addresses.
    pub async fn ask_each<T, F, C>(
        &self,
        addresses: Vec<SocketAddr>,
        call: C,
    ) -> Vec<Result<SentAnswer<T>, ControlError>>
    where
        C: Fn(OperatorsClient) -> F,
        F: Future<Output = Result<T, ControlError>>,
    {
        let call = &call;
        let call_one = |address| async move {
            let client = self.connect(address).await?;
            let sent_at = Instant::now();
            let answer = call(client).await?;
            Ok(SentAnswer { answer, sent_at })
        };
        stream::iter(addresses)
            .map(call_one)
            .buffered(CALLS_AT_ONCE)
            .collect()
            .await
    }
}

/// A node to be asked for its status.
#[derive(Debug, Clone, Copy)]
struct Ask {
    address: SocketAddr,
    wants_members: bool,
}

impl Ask {
    const fn with_members(address: SocketAddr) -> Self {
        Self {
            address,
            wants_members: true,
        }
    }
}

/// Asks some nodes of each zone for their members: a zone that is cut off
/// from the seeds knows better who is in it. All nodes would send each the
/// whole list.
fn asks<'a>(nodes: impl Iterator<Item = (&'a SocketAddr, &'a (String, String))>) -> Vec<Ask> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let ask = |(address, (_, zone)): (&SocketAddr, &'a (String, String))| {
        let count = counts.entry(zone.as_str()).or_default();
        *count += 1;
        Ask {
            address: *address,
            wants_members: *count <= MEMBER_LISTS_PER_ZONE,
        }
    };
    nodes.map(ask).collect()
}

/// Context of a call with this tool's time limit.
pub(super) fn call_context() -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_LIMIT;
    context
}
