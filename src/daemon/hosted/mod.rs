//! A node of a deployment that brings its own interface and object store.

mod configuration;
mod discovery;
mod no_guard;
mod relaying;

use {
    super::DaemonError,
    crate::{
        admission::Adaptive,
        conf::{HostedConfiguration, spawn_evacuations_task},
        dialect::Dialect,
        documents::DocumentStore,
        membership::{Gossip, GossipInputs, OwnState},
        model::Names,
        node::{Node, NodeInputs, PolicySet, start},
        objects::{FollowedObjects, ObjectStore},
        peer::FleetAuth,
        quota::{DividedQuota, SharingInputs, spawn_sharing},
        retry::ChainBudget,
        routing::ZoneRouter,
        settings::Settings,
        shutdown,
        timer::{Timer, unix_ms},
    },
    no_guard::NoGuard,
    relaying::RelayingParts,
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

/// Messages that wait between parts.
const CHANNEL_LENGTH: usize = 256;
/// Time over which nodes of a fleet that never ran spread their first read of
/// the seeds. Nearly all find what another one wrote, and meet before they look
/// for the configuration.
const FIRST_START_SPREAD_MS: u64 = 800;
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
    /// The objects that are followed.
    pub followed: FollowedObjects,
    /// Decodes the configuration.
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
        own_state: own_state.subscribe(),
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
    let documents = DocumentStore::new();
    let evacuations = spawn_evacuations_task(&documents, shutdown.clone());
    let (apply, running) = configuration::in_force(parts.decode, names.clone());
    let relaying = RelayingParts {
        settings: &settings,
        store: parts.store,
        followed: parts.followed,
        documents,
        revocation_limit_ms: parts.revocation_limit_ms,
        start_delay_ms: 2 * start_spread_ms,
        own_state: own_state.clone(),
        gossip: &gossip,
        hints,
        names: names.clone(),
        timer: timer.clone(),
        shutdown: shutdown.clone(),
    };
    let freshness = relaying::spawn(relaying, apply)?;
    let quota = DividedQuota::new(timer.clone());
    let address = SocketAddr::new(settings.ip, settings.rpc_port);
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
        evacuations,
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
