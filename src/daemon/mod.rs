//! Assembles the parts of `dogwoodd`.

mod guard;
mod hosted;
mod inputs;
mod neighbours;
mod operated;
mod seeds;

pub use hosted::{HostedParts, run_hosted};

use {
    crate::{
        admission::AdmissionPolicy,
        conf::{spawn_configuration_task, spawn_evacuations_task},
        control::{ControlError, ControlSources, Operated, spawn_operators},
        dialect::Native,
        documents::{DocumentStore, FollowerInputs, spawn_follower},
        freshness::{self, FreshnessInputs, FreshnessTracker},
        guard::GuardHome,
        keys::{Revocations, spawn_revocation_exchange},
        membership::{Gossip, GossipError, GossipInputs, OwnState},
        model::Names,
        node::{Node, NodeInputs, PolicySet, StartError, start},
        platform::Platform,
        quota::{self, LeasedQuota, QuotaInputs},
        retry::RetryPolicy,
        routing::ZoneRouter,
        rpc::{self, NodeHandlers, RpcConfig},
        settings::Settings,
        shutdown,
        slices::{self, SliceInputs, Slot},
        timer::{Timer, unix_ms},
    },
    guard::FleetGuard,
    neighbours::RpcNeighbours,
    operated::OperatedNode,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

/// Messages that wait between parts; senders drop what finds no room and what
/// is repeated anyway.
const CHANNEL_LENGTH: usize = 256;

/// Longest wait at a shutdown for the slices to find other owners. Without it
/// they would lie idle until they are taken over.
const SLICES_LIMIT: Duration = Duration::from_secs(3);

/// Why the process could not start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// Gossip did not start.
    #[error(transparent)]
    Gossip(#[from] GossipError),
    /// A port for HTTP could not be listened on.
    #[error(transparent)]
    Http(#[from] StartError),
    /// The port for operators could not be listened on.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The port for calls between nodes could not be listened on.
    #[error("cannot listen on {address} for calls between nodes: {source}")]
    Rpc {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

/// Runs a node until it has drained.
pub async fn run<A: AdmissionPolicy, T: RetryPolicy>(
    settings: Arc<Settings>,
) -> Result<(), DaemonError> {
    let shutdown = CancellationToken::new();
    let timer_stop = CancellationToken::new();
    let timer = Timer::new(timer_stop.clone());
    let names = Names::new();
    let started_unix_ms = unix_ms();
    let own = Slot {
        node_id: settings.node_id.clone(),
        zone: settings.zone.clone(),
        ip: settings.reachable_ip(),
        suspected_epoch: None,
    };

    let (own_state, _) = watch::channel(OwnState::default());
    let (revocation_sender, revocations_to_gossip) = mpsc::channel(CHANNEL_LENGTH);
    let (seed_sender, seeds_to_gossip) = mpsc::channel(CHANNEL_LENGTH);
    let (hint_sender, hints) = mpsc::channel(CHANNEL_LENGTH);
    let gossip_inputs = GossipInputs {
        own_state: own_state.subscribe(),
        revocations: revocations_to_gossip,
        seeds: seeds_to_gossip,
        hints: hint_sender,
        started_unix_ms,
    };
    let gossip = Gossip::spawn(&settings, timer.clone(), gossip_inputs, shutdown.clone()).await?;

    let platform = Platform::new(settings.platform).with_local_ip(settings.ip);
    let store = DocumentStore::new();
    let revocations = Revocations::new();
    spawn_revocation_exchange(
        revocations.clone(),
        revocation_sender,
        gossip.revoked.subscribe(),
        shutdown.clone(),
    );
    let running = spawn_configuration_task(&store, &revocations, names.clone(), shutdown.clone());
    let (client, calls) = rpc::channel();
    let followed = spawn_follower(FollowerInputs {
        node_id: settings.node_id.clone(),
        zone: settings.zone.clone(),
        store: store.clone(),
        origin: platform.clone(),
        bounds: Platform::POLL_BOUNDS,
        peers: RpcNeighbours::new(client.clone(), gossip.view.clone()),
        view: gossip.view.clone(),
        probes: gossip.probes.clone(),
        stamps: gossip.stamps.subscribe(),
        hints,
        timer: timer.clone(),
        shutdown: shutdown.clone(),
    });
    seeds::spawn(
        &settings,
        platform.clone(),
        &gossip,
        seed_sender,
        &timer,
        &shutdown,
    );

    let (table_sender, table) = watch::channel(None);
    let (freshness, look) = freshness::spawn(
        FreshnessTracker::new(&settings.node_id, &settings.zone),
        FreshnessInputs {
            timer: timer.clone(),
            observations: inputs::heard(&gossip, followed.last_confirmed_ms),
            view: gossip.view.clone(),
            versions: inputs::versions(&store, &own_state, &shutdown),
            table,
        },
    );
    inputs::tell_looks(look, own_state.clone(), &shutdown);

    let quota = quota::spawn(QuotaInputs {
        own: own.clone(),
        region: settings.region.clone(),
        started_unix_ms,
        timer: timer.clone(),
        names: names.clone(),
        view: gossip.view.clone(),
        freshness: freshness.clone(),
        rates: inputs::rates(running.clone(), &shutdown),
        client: client.clone(),
    });
    let guard = Arc::new(GuardHome::new(
        own.clone(),
        started_unix_ms,
        timer.clone(),
        freshness.clone(),
    ));
    let (draining_sender, draining) = watch::channel(false);
    let tables = slices::spawn(SliceInputs {
        own_slot: own.clone(),
        timer: timer.clone(),
        view: gossip.view.clone(),
        freshness: freshness.clone(),
        document: store.subscribe(crate::documents::DocumentKind::Slices),
        draining,
        writer: platform.clone(),
        guard: guard.clone(),
        quota: quota.clone(),
        client: client.clone(),
    });
    inputs::forward(tables.clone(), table_sender, &shutdown);
    let handlers = NodeHandlers::new(store.clone(), quota.clone(), guard.clone());
    let rpc_config = RpcConfig::new(&settings, names.clone());
    rpc::spawn(rpc_config, calls, Arc::new(handlers), shutdown.clone()).map_err(|source| {
        let address = SocketAddr::new(settings.ip, settings.rpc_port);
        DaemonError::Rpc { address, source }
    })?;

    let node = Node::<PolicySet<A, ZoneRouter, T, LeasedQuota, FleetGuard>>::new(NodeInputs {
        settings: settings.clone(),
        names,
        timer: timer.clone(),
        running,
        evacuations: spawn_evacuations_task(&store, shutdown.clone()),
        view: gossip.view.clone(),
        probes: gossip.probes.clone(),
        own_state: own_state.clone(),
        freshness,
        quota,
        guard: FleetGuard::new(settings.node_id.clone(), guard.clone(), tables.clone()),
        dialect: Native,
    });
    let tasks = start(&node)?;
    let operated = OperatedNode::new(node.clone(), store.clone(), revocations, tables.clone());
    node.metrics.show_control(ControlSources {
        node_id: settings.node_id.clone(),
        gossip: gossip.traffic.clone(),
        client,
        platform,
        operators: operated.traffic(),
        store,
        tables: tables.clone(),
        guard,
    });
    let control_address = SocketAddr::new(settings.ip, settings.control_port);
    let operator_secret = settings.operator_secret.clone();
    spawn_operators(control_address, operator_secret, operated, shutdown.clone()).await?;
    tokio::spawn(shutdown::drain_at_signal(Arc::clone(&node)));
    node.wait_until_draining().await;
    draining_sender.send_replace(true);
    tasks.wait().await;
    wait_for_slices(&own.node_id, tables).await;
    shutdown.cancel();
    timer_stop.cancel();
    Ok(())
}

async fn wait_for_slices(
    node_id: &str,
    mut tables: watch::Receiver<Option<Arc<slices::VersionedSliceTable>>>,
) {
    let owns_nothing = |held: &Option<Arc<slices::VersionedSliceTable>>| {
        held.as_ref().is_none_or(|held| {
            let table = &held.table;
            table.find(node_id).is_none_or(|slot| {
                slices::Section::ALL
                    .into_iter()
                    .all(|section| table.owned(section, slot).next().is_none())
            })
        })
    };
    let _ = tokio::time::timeout(SLICES_LIMIT, tables.wait_for(owns_nothing)).await;
}
