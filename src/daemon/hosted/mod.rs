//! A node of a deployment that brings its own interface and object store.

mod configuration;
mod discovery;
mod no_guard;
mod relayed;

use {
    super::{DaemonError, neighbours::RpcNeighbours},
    crate::{
        admission::Adaptive,
        conf::HostedConfiguration,
        dialect::Dialect,
        documents::{DocumentStore, LookBounds, OtherLooks},
        membership::{Gossip, GossipInputs, OwnState},
        model::Names,
        node::{Node, NodeInputs, PolicySet, start},
        objects::{FollowParts, FollowedName, FollowerBounds, ObjectStore, follow},
        peer::FleetAuth,
        quota::{DividedQuota, SharingInputs, spawn_sharing},
        retry::ChainBudget,
        routing::ZoneRouter,
        rpc::{self, RpcConfig},
        settings::Settings,
        shutdown,
        timer::{Timer, unix_ms},
    },
    no_guard::NoGuard,
    relayed::DocumentHandlers,
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

/// Messages that wait between parts.
const CHANNEL_LENGTH: usize = 256;
/// Wait of one watch of the configuration, in milliseconds.
const WATCH_MS: u64 = 10_000;
/// When nodes ask the store. Calls are paid for, and a key has to be refused
/// once no confirmation has come for the time that the platform allows.
const LOOK_BOUNDS: LookBounds = LookBounds {
    period_ms: 200,
    start_delay_ms: 0,
    first_relay_age_ms: 1500,
    second_relay_age_ms: 2000,
    ask_relays_age_ms: Some(2400),
    others: Some(OtherLooks {
        age_ms: 3000,
        rate_per_s: 2.0,
    }),
    first_backoff_ms: 100,
    longest_backoff_ms: 1600,
};
/// Time over which nodes of a fleet that never ran spread their first read of
/// the seeds. Nearly all find what another one wrote, and meet before they look
/// for the configuration.
const FIRST_START_SPREAD_MS: u64 = 800;
/// Taken off the time for which keys may be honoured after their removal:
/// covers the time that a request takes from its caller to this node.
const REVOCATION_MARGIN_MS: u64 = 500;

/// Policies of a hosted node.
type HostedPolicies<D> = PolicySet<Adaptive, ZoneRouter, ChainBudget, DividedQuota, NoGuard, D>;

/// What an adapter brings.
pub struct HostedParts<D, S, E> {
    /// Checked settings.
    pub settings: Arc<Settings>,
    /// What callers and targets speak.
    pub dialect: D,
    /// The deployment's object store.
    pub store: S,
    /// The object that holds the configuration.
    pub configuration: FollowedName,
    /// Decodes its content.
    pub decode: fn(&[u8]) -> Result<HostedConfiguration, E>,
    /// How long after its removal a key may be honoured, in milliseconds.
    pub revocation_limit_ms: u64,
    /// The whole fleet starts for the first time; nothing is served yet.
    pub is_first_start: bool,
}

/// Runs a hosted node until it has drained.
pub async fn run_hosted<D, S, E>(parts: HostedParts<D, S, E>) -> Result<(), DaemonError>
where
    D: Dialect,
    S: ObjectStore,
    E: std::error::Error + Send + 'static,
{
    let settings = parts.settings;
    let shutdown = CancellationToken::new();
    let timer = Timer::new(shutdown.clone());
    let names = Names::new();
    let (own_state, _) = watch::channel(OwnState::default());
    let (seed_sender, seeds) = mpsc::channel(CHANNEL_LENGTH);
    // Keys are part of the configuration; none is revoked apart from it.
    let (_revocation_sender, revocations) = mpsc::channel(1);
    let (hint_sender, hints) = mpsc::channel(CHANNEL_LENGTH);
    let gossip_inputs = GossipInputs {
        own: own_state.subscribe(),
        revocations,
        seeds,
        hints: hint_sender,
        started_unix_ms: unix_ms(),
    };
    let gossip = Gossip::spawn(&settings, timer.clone(), gossip_inputs, shutdown.clone()).await?;
    let start_spread_ms = match parts.is_first_start {
        true => FIRST_START_SPREAD_MS,
        false => 0,
    };
    let expected_count = discovery::spawn(
        &settings,
        start_spread_ms,
        parts.store.clone(),
        gossip.view.clone(),
        seed_sender,
        &timer,
        shutdown.clone(),
    );
    let bounds = FollowerBounds {
        watch_ms: WATCH_MS,
        confirmed_ms: parts
            .revocation_limit_ms
            .saturating_sub(REVOCATION_MARGIN_MS),
        looks: LookBounds {
            start_delay_ms: 2 * start_spread_ms,
            ..LOOK_BOUNDS
        },
    };
    let (apply, running) = configuration::in_force(parts.decode, names.clone());
    let documents = DocumentStore::new();
    let (client, calls) = rpc::channel();
    let freshness = follow(
        FollowParts {
            node_id: settings.node_id.clone(),
            zone: settings.zone.clone(),
            store: parts.store,
            followed: parts.configuration,
            bounds,
            documents: documents.clone(),
            neighbours: RpcNeighbours::new(client, gossip.view.clone()),
            own_state: own_state.clone(),
            view: gossip.view.clone(),
            probes: gossip.probes.clone(),
            stamps: gossip.stamps.subscribe(),
            hints,
            timer: timer.clone(),
            shutdown: shutdown.clone(),
        },
        apply,
    );
    let address = SocketAddr::new(settings.ip, settings.rpc_port);
    let rpc_config = RpcConfig::new(&settings, names.clone());
    let handlers = Arc::new(DocumentHandlers::new(documents));
    rpc::spawn(rpc_config, calls, handlers, shutdown.clone())
        .map_err(|source| DaemonError::Rpc { address, source })?;
    let quota = DividedQuota::new(timer.clone());
    let sharing = SharingInputs {
        node_id: settings.node_id.clone(),
        address,
        port: settings.rpc_port,
        auth: FleetAuth::new(&settings.fleet_secret),
        timer: timer.clone(),
        names: names.clone(),
        view: gossip.view.clone(),
        expected_count,
        rates: super::inputs::rates(running.clone(), &shutdown),
    };
    spawn_sharing(sharing, quota.clone(), shutdown.clone())
        .await
        .map_err(|source| DaemonError::Rpc { address, source })?;
    let node = Node::<HostedPolicies<D>>::new(NodeInputs {
        settings,
        names,
        quota,
        timer,
        running,
        view: gossip.view.clone(),
        probes: gossip.probes.clone(),
        own_state,
        freshness,
        guard: NoGuard,
        dialect: parts.dialect,
    });
    let tasks = start(&node)?;
    tokio::spawn(shutdown::drain_at_signal(Arc::clone(&node)));
    tasks.wait().await;
    shutdown.cancel();
    Ok(())
}
