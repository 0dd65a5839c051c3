//! Targets of the fleet: the routing policy and the ways to them.

use {
    crate::{
        conf::Evacuations,
        event,
        events::Event,
        membership::{Announcement, Member, MemberState, OwnState, View},
        model::{Names, Refusal, RegionKey, ServiceKey, ZoneKey},
        peer::PeerLink,
        routing::{Distance, RoutePolicy, RouteRequest, TargetInfo, TargetKey},
        settings::Settings,
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// Way to a target.
#[derive(Debug, Clone)]
pub enum TargetLocation {
    /// Beside this node.
    Own,
    /// Beside another node.
    Peer(Arc<PeerLink>),
}

/// What a node knows of where work may go.
#[derive(Debug, Clone, Copy)]
pub struct FleetState<'a> {
    /// All members.
    pub view: &'a View,
    /// What this node tells of itself.
    pub own: &'a OwnState,
    /// Availability zones that get no work.
    pub evacuations: &'a Evacuations,
}

/// Tells a restart in place from the same process.
#[derives::key]
struct Identity {
    address: SocketAddr,
    started_unix_ms: u64,
}

#[derive(Debug)]
struct Row {
    target: TargetKey,
    info: TargetInfo,
    identity: Identity,
    place: TargetLocation,
}

/// The routing policy with the nodes of its targets.
#[derive(Debug)]
pub struct RouteTable<R> {
    policy: R,
    rows: BTreeMap<String, Row>,
    links: HashMap<String, (Identity, Arc<PeerLink>)>,
    nodes: HashMap<TargetKey, String>,
}

impl<R: RoutePolicy> Default for RouteTable<R> {
    fn default() -> Self {
        Self::new()
    }
}

impl<R: RoutePolicy> RouteTable<R> {
    /// A table without targets.
    #[must_use]
    pub fn new() -> Self {
        Self {
            policy: R::new(),
            rows: BTreeMap::new(),
            links: HashMap::new(),
            nodes: HashMap::new(),
        }
    }

    /// The policy, to tell it how attempts ended.
    pub const fn policy(&mut self) -> &mut R {
        &mut self.policy
    }

    /// Picks a target and the way to it.
    pub fn pick(
        &mut self,
        wanted: RouteRequest,
        tried: &[TargetKey],
        now_us: u64,
    ) -> Result<(TargetKey, TargetLocation), Refusal> {
        let target = self.policy.pick(wanted, tried, now_us, &mut rand::rng())?;
        let row = self.nodes.get(&target).and_then(|node| self.rows.get(node));
        let place = row.map(|row| row.place.clone());
        if let Some(TargetLocation::Peer(link)) = &place {
            link.set_silent(false);
        }
        place
            .map(|place| (target, place))
            .ok_or(Refusal::not_run(crate::model::Reason::NoTarget))
    }

    /// Way to a node, whether or not it has a target.
    #[must_use]
    pub fn link(&self, node: &str) -> Option<Arc<PeerLink>> {
        self.links.get(node).map(|(_, link)| Arc::clone(link))
    }

    /// Targets of a service that may get work.
    #[must_use]
    pub fn target_count(&self, service: ServiceKey) -> usize {
        self.rows
            .values()
            .filter(|row| row.info.service == service && !row.info.draining)
            .count()
    }

    /// Name of the node beside a target.
    #[must_use]
    pub fn node_of(&self, target: TargetKey) -> &str {
        self.nodes.get(&target).map_or("", String::as_str)
    }

    /// The node of this name was heard.
    pub fn heard(&mut self, node: &str, now_us: u64) {
        let Some(row) = self.rows.get(node) else {
            return;
        };
        if self.policy.record_response(row.target, now_us) {
            event!(Event::NodeHeard, "node={node}");
        }
    }

    /// Regular look at nodes that do not answer; returns those to ask whether
    /// they live.
    pub fn unheard(&mut self, now_us: u64) -> Vec<String> {
        let unheard = self.policy.check_silence(now_us);
        let mut asked = Vec::new();
        for target in unheard.to_probe {
            let node = self.node_of(target).to_owned();
            match self.rows.get(&node).map(|row| &row.place) {
                Some(TargetLocation::Peer(_)) => asked.push(node),
                Some(TargetLocation::Own) | None => {
                    self.policy.record_response(target, now_us);
                }
            }
        }
        for target in unheard.newly_silent {
            let node = self.node_of(target).to_owned();
            event!(Event::NodeSilent, "node={node}");
            if let Some(TargetLocation::Peer(link)) = self.rows.get(&node).map(|row| &row.place) {
                link.set_silent(true);
            }
        }
        asked
    }

    /// Regular look at ejected targets.
    pub fn tick(&mut self, now_us: u64) {
        for (target, is_ejected) in self.policy.tick(now_us) {
            let node = self.node_of(target);
            if is_ejected {
                event!(Event::TargetEjected, "node={node}");
            } else {
                event!(Event::TargetRestored, "node={node}");
            }
        }
    }

    /// Takes over what membership knows; targets of evacuated zones get nothing.
    pub fn sync(
        &mut self,
        known: FleetState<'_>,
        settings: &Settings,
        names: &Names,
        starts_slowly: bool,
        now_us: u64,
    ) {
        let FleetState {
            view,
            own,
            evacuations,
        } = known;
        self.sync_links(view, settings);
        let mut gone: Vec<String> = self.rows.keys().cloned().collect();
        for member in &view.members {
            if member.node_id == settings.node_id {
                continue;
            }
            let Some(target) = member.target.as_ref().filter(|_| takes_part(member.state)) else {
                continue;
            };
            let info = TargetInfo {
                draining: target.draining
                    || member.state == MemberState::Draining
                    || evacuations.contains(&member.zone),
                ..info_of(
                    target,
                    (names.zone(&member.zone), names.region(&member.region)),
                    distance(settings, member),
                    starts_slowly,
                    names,
                )
            };
            let identity = identity_of(member);
            gone.retain(|node| *node != member.node_id);
            self.put(&member.node_id, info, identity, now_us);
        }
        if let Some(target) = &own.target {
            let info = TargetInfo {
                draining: target.draining || own.draining || evacuations.contains(&settings.zone),
                ..info_of(
                    target,
                    (names.zone(&settings.zone), names.region(&settings.region)),
                    Distance::SameZone,
                    starts_slowly,
                    names,
                )
            };
            let identity = Identity {
                address: SocketAddr::new(settings.reachable_ip(), settings.peer_port),
                started_unix_ms: 0,
            };
            gone.retain(|node| *node != settings.node_id);
            self.put(&settings.node_id, info, identity, now_us);
        }
        for node in gone {
            self.remove(&node);
        }
    }

    /// Links to all other members, so that no row of another node lacks one.
    fn sync_links(&mut self, view: &View, settings: &Settings) {
        let others = view
            .members
            .iter()
            .filter(|member| member.node_id != settings.node_id && takes_part(member.state));
        let mut links = HashMap::new();
        for member in others {
            let identity = identity_of(member);
            let link = match self.links.remove(&member.node_id) {
                Some((known, link)) if known == identity => link,
                _ => PeerLink::new(settings.ip, identity.address),
            };
            links.insert(member.node_id.clone(), (identity, link));
        }
        self.links = links;
    }

    fn put(&mut self, node: &str, info: TargetInfo, identity: Identity, now_us: u64) {
        if let Some(row) = self.rows.get_mut(node) {
            if row.identity == identity && row.info.service == info.service {
                if row.info != info {
                    row.info = info;
                    self.policy.update(row.target, info);
                }
                return;
            }
            self.remove(node);
        }
        let place = match self.links.get(node) {
            Some((_, link)) => TargetLocation::Peer(Arc::clone(link)),
            None => TargetLocation::Own,
        };
        let target = self.policy.add(info, now_us);
        self.nodes.insert(target, node.to_owned());
        let row = Row {
            target,
            info,
            identity,
            place,
        };
        self.rows.insert(node.to_owned(), row);
    }

    fn remove(&mut self, node: &str) {
        if let Some(row) = self.rows.remove(node) {
            self.policy.remove(row.target);
            self.nodes.remove(&row.target);
        }
    }
}

const fn identity_of(member: &Member) -> Identity {
    Identity {
        address: member.peer_address(),
        started_unix_ms: member.started_unix_ms,
    }
}

const fn takes_part(state: MemberState) -> bool {
    !matches!(state, MemberState::Left | MemberState::Dead)
}

fn info_of(
    target: &Announcement,
    (zone, region): (ZoneKey, RegionKey),
    distance: Distance,
    starts_slowly: bool,
    names: &Names,
) -> TargetInfo {
    TargetInfo {
        service: names.service(&target.service),
        zone,
        region,
        distance,
        slot_count: target.slot_count,
        draining: target.draining,
        starts_slowly,
    }
}

fn distance(settings: &Settings, member: &Member) -> Distance {
    if member.region != settings.region {
        Distance::OtherRegion
    } else if member.zone != settings.zone {
        Distance::SameRegion
    } else {
        Distance::SameZone
    }
}
