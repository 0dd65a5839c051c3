//! Known targets of the fleet: the routing policy and how each target is reached.

use {
    super::row_builder::RowBuilder,
    crate::{
        conf::Evacuations,
        event,
        events::Event,
        membership::{Announcement, Member, MemberState, OwnState, View},
        model::{Names, Refusal, ServiceKey},
        peer::PeerLink,
        routing::{RoutePolicy, RouteRequest, TargetInfo, TargetKey},
        settings::{Settings, TargetChoice},
        target::{ReportedLimit, ReportedLimits, UNKNOWN_PROCESS_ID},
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// How a target is reached.
#[derive(Debug, Clone)]
pub enum TargetLocation {
    /// The local target of this node.
    Local,
    /// Through another node.
    Peer(Arc<PeerLink>),
}

/// Inputs from which a node builds its route table.
#[derive(Debug, Clone, Copy)]
pub struct FleetState<'a> {
    /// All members.
    pub view: &'a Arc<View>,
    /// State that this node announces.
    pub own: &'a OwnState,
    /// Availability zones that get no work.
    pub evacuations: &'a Evacuations,
}

/// Distinguishes a restarted process at the same address from the earlier one.
#[derives::key]
struct NodeIdentity {
    address: SocketAddr,
    started_unix_ms: u64,
}

#[derive(Debug)]
struct Row {
    target: TargetKey,
    info: TargetInfo,
    identity: NodeIdentity,
    location: TargetLocation,
    process_id: u64,
}

/// Time for which a process that leaves is remembered, in milliseconds.
const LEAVING_RETENTION_MS: u64 = 600_000;
/// Maximum number of processes that are remembered; the oldest are dropped.
const MAX_LEAVING_COUNT: usize = 1024;

/// The routing policy and the nodes of its targets.
#[derive(Debug)]
pub struct RouteTable<R> {
    policy: R,
    /// The view and evacuations that the rows and links reflect.
    view: Arc<View>,
    evacuations: Evacuations,
    rows: BTreeMap<String, Row>,
    links: HashMap<String, (NodeIdentity, Arc<PeerLink>)>,
    node_names: HashMap<TargetKey, String>,
    /// Processes of targets that leave, with the time at which that was last reported. The
    /// nodes beside them may forget it when they restart.
    leaving: BTreeMap<u64, u64>,
    /// Limits that other nodes reported; they forget them when they restart.
    limits: ReportedLimits,
}

impl<R: RoutePolicy> RouteTable<R> {
    /// Creates a table without targets.
    #[must_use]
    pub fn new(choice: TargetChoice) -> Self {
        Self {
            policy: R::new().with_target_choice(choice),
            view: Arc::default(),
            evacuations: Evacuations::default(),
            rows: BTreeMap::new(),
            links: HashMap::new(),
            node_names: HashMap::new(),
            leaving: BTreeMap::new(),
            limits: ReportedLimits::default(),
        }
    }

    /// Records that a process of this target said that it leaves: it gets no new requests, even
    /// if the node beside it restarts and announces it again.
    pub fn record_leaving(&mut self, target: TargetKey, process_id: u64, now_ms: u64) {
        if !self.remember_leaving(process_id, now_ms) {
            return;
        }
        let node = self.node_names.get(&target);
        let Some(row) = node.and_then(|node| self.rows.get_mut(node)) else {
            return;
        };
        if row.process_id == process_id {
            row.info.draining = true;
            self.policy.update(target, row.info);
        }
    }

    /// Records the limit that the node beside a target reports.
    pub fn record_limit(&mut self, limit: ReportedLimit, now_ms: u64) {
        self.limits.record(limit, now_ms);
    }

    /// The limit last reported for the current process of a target.
    pub fn remembered_limit(&self, target: TargetKey, now_ms: u64) -> Option<ReportedLimit> {
        let row = self.rows.get(self.node_names.get(&target)?)?;
        self.limits.remembered(row.process_id, now_ms)
    }

    /// The policy, to record results of attempts.
    pub const fn policy(&mut self) -> &mut R {
        &mut self.policy
    }

    /// Returns whether it was not known.
    fn remember_leaving(&mut self, process_id: u64, now_ms: u64) -> bool {
        if process_id == UNKNOWN_PROCESS_ID || self.leaving.insert(process_id, now_ms).is_some() {
            return false;
        }
        self.leaving
            .retain(|_, last_ms| now_ms.saturating_sub(*last_ms) < LEAVING_RETENTION_MS);
        if self.leaving.len() > MAX_LEAVING_COUNT {
            let oldest = self.leaving.iter().min_by_key(|(_, last_ms)| **last_ms);
            let oldest_id = oldest.map(|(process_id, _)| *process_id);
            oldest_id.map(|process_id| self.leaving.remove(&process_id));
        }
        true
    }

    /// Picks a target and returns how it is reached.
    pub fn pick(
        &mut self,
        request: RouteRequest,
        tried: &[TargetKey],
        now_us: u64,
    ) -> Result<(TargetKey, TargetLocation), Refusal> {
        let target = self.policy.pick(request, tried, now_us, &mut rand::rng())?;
        let row = self
            .node_names
            .get(&target)
            .and_then(|node| self.rows.get(node));
        let location = row.map(|row| row.location.clone());
        if let Some(TargetLocation::Peer(link)) = &location {
            link.set_silent(false);
        }
        location
            .map(|location| (target, location))
            .ok_or(Refusal::not_run(crate::model::Reason::NoTarget))
    }

    /// Link to a node, whether or not it has a target.
    #[must_use]
    pub fn link(&self, node: &str) -> Option<Arc<PeerLink>> {
        self.links.get(node).map(|(_, link)| Arc::clone(link))
    }

    /// Number of targets of a service that accept work.
    #[must_use]
    pub fn target_count(&self, service: ServiceKey) -> usize {
        self.rows
            .values()
            .filter(|row| row.info.service == service && !row.info.draining)
            .count()
    }

    /// Name of the target's node.
    #[must_use]
    pub fn node_name(&self, target: TargetKey) -> &str {
        self.node_names.get(&target).map_or("", String::as_str)
    }

    /// Records a response of the node with this name.
    pub fn record_response(&mut self, node: &str, now_us: u64) {
        let Some(row) = self.rows.get(node) else {
            return;
        };
        if self.policy.record_response(row.target, now_us) {
            event!(Event::NodeHeard, "node={node}");
        }
    }

    /// Whether the target's node does not respond, or the target was removed.
    pub fn is_silent(&self, target: TargetKey) -> bool {
        self.policy.is_silent(target)
    }

    /// Checks for nodes that do not respond and returns those to probe; called on
    /// every tick.
    pub fn check_silence(&mut self, now_us: u64) -> Vec<String> {
        let silence = self.policy.check_silence(now_us);
        let mut to_probe = Vec::new();
        for target in silence.to_probe {
            let node = self.node_name(target).to_owned();
            match self.rows.get(&node).map(|row| &row.location) {
                Some(TargetLocation::Peer(_)) => to_probe.push(node),
                Some(TargetLocation::Local) | None => {
                    self.policy.record_response(target, now_us);
                }
            }
        }
        for target in silence.newly_silent {
            let node = self.node_name(target).to_owned();
            event!(Event::NodeSilent, "node={node}");
            if let Some(TargetLocation::Peer(link)) = self.rows.get(&node).map(|row| &row.location)
            {
                link.set_silent(true);
            }
        }
        to_probe
    }

    /// Updates ejected targets; called on every tick.
    pub fn tick(&mut self, now_us: u64) {
        for (target, is_ejected) in self.policy.tick(now_us) {
            let node = self.node_name(target);
            if is_ejected {
                event!(Event::TargetEjected, "node={node}");
            } else {
                event!(Event::TargetRestored, "node={node}");
            }
        }
    }

    /// Updates the targets from membership; targets of evacuated zones get no work.
    pub fn sync(
        &mut self,
        fleet: FleetState<'_>,
        settings: &Settings,
        names: &Names,
        starts_slowly: bool,
        now_us: u64,
    ) {
        let build = RowBuilder {
            settings,
            names,
            evacuations: fleet.evacuations,
            starts_slowly,
            now_us,
        };
        let earlier_view = std::mem::replace(&mut self.view, Arc::clone(fleet.view));
        let changes = fleet.view.changes_since(&earlier_view);
        for member in changes.removed {
            self.remove_member(&member.node_id);
        }
        if self.evacuations == *fleet.evacuations {
            for member in changes.changed {
                self.sync_member(member, &build);
            }
        } else {
            self.evacuations.clone_from(fleet.evacuations);
            for member in fleet.view.iter() {
                self.sync_member(member, &build);
            }
        }
        self.sync_local_target(fleet.own, &build);
    }

    /// Updates the link to another member and the row of its target.
    fn sync_member(&mut self, member: &Member, build: &RowBuilder<'_>) {
        let node = &member.node_id;
        if *node == build.settings.node_id {
            return;
        }
        if !is_in_fleet(member.state) {
            self.remove_member(node);
            return;
        }
        let identity = member_identity(member);
        let has_link = self.links.get(node).is_some_and(|link| link.0 == identity);
        if !has_link {
            let link = PeerLink::new(build.settings.ip, identity.address);
            self.links.insert(node.clone(), (identity, link));
        }
        let Some(target) = &member.target else {
            self.remove(node);
            return;
        };
        let info = TargetInfo {
            draining: self.is_leaving(target, build.now_us)
                || member.state == MemberState::Draining
                || build.evacuations.contains(&member.zone),
            ..build.info(target, (&member.zone, &member.region))
        };
        self.upsert(node, info, identity, target.process_id, build.now_us);
    }

    fn sync_local_target(&mut self, own: &OwnState, build: &RowBuilder<'_>) {
        let settings = build.settings;
        let Some(target) = &own.target else {
            self.remove(&settings.node_id);
            return;
        };
        let info = TargetInfo {
            draining: self.is_leaving(target, build.now_us)
                || own.draining
                || build.evacuations.contains(&settings.zone),
            ..build.info(target, (&settings.zone, &settings.region))
        };
        let identity = NodeIdentity {
            address: SocketAddr::new(settings.reachable_ip(), settings.peer_port),
            started_unix_ms: 0,
        };
        self.upsert(
            &settings.node_id,
            info,
            identity,
            target.process_id,
            build.now_us,
        );
    }

    fn remove_member(&mut self, node: &str) {
        self.links.remove(node);
        self.remove(node);
    }

    /// Whether the process said that it leaves, now or earlier.
    fn is_leaving(&mut self, target: &Announcement, now_us: u64) -> bool {
        if target.draining {
            self.remember_leaving(target.process_id, now_us / 1000);
        }
        target.draining || self.leaving.contains_key(&target.process_id)
    }

    fn upsert(
        &mut self,
        node: &str,
        info: TargetInfo,
        identity: NodeIdentity,
        process_id: u64,
        now_us: u64,
    ) {
        if let Some(row) = self.rows.get_mut(node) {
            row.process_id = process_id;
            if row.identity == identity && row.info.service == info.service {
                if row.info != info {
                    row.info = info;
                    self.policy.update(row.target, info);
                }
                return;
            }
            self.remove(node);
        }
        let location = match self.links.get(node) {
            Some((_, link)) => TargetLocation::Peer(Arc::clone(link)),
            None => TargetLocation::Local,
        };
        let target = self.policy.add(info, now_us);
        if matches!(location, TargetLocation::Local) {
            self.policy.set_local(target);
        }
        self.node_names.insert(target, node.to_owned());
        let row = Row {
            target,
            info,
            identity,
            location,
            process_id,
        };
        self.rows.insert(node.to_owned(), row);
    }

    fn remove(&mut self, node: &str) {
        if let Some(row) = self.rows.remove(node) {
            self.policy.remove(row.target);
            self.node_names.remove(&row.target);
        }
    }
}

const fn member_identity(member: &Member) -> NodeIdentity {
    NodeIdentity {
        address: member.peer_address(),
        started_unix_ms: member.started_unix_ms,
    }
}

const fn is_in_fleet(state: MemberState) -> bool {
    !matches!(state, MemberState::Left | MemberState::Dead)
}
