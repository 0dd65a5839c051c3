//! Follows the configuration, with other nodes: two of a zone ask the store, the
//! others take from them.

use {
    crate::{
        daemon::{DaemonError, neighbours::RpcNeighbours},
        documents::{Document, DocumentKind, DocumentStore, FollowerInputs, Hint, PollBounds},
        freshness::Snapshot,
        guard::Handover,
        membership::{Gossip, OwnState},
        model::{Names, WorkspaceKey},
        objects::{FollowedObjects, ObjectFollowerInputs, ObjectOrigin, ObjectStore, follow},
        quota::{BorrowRequest, BorrowResponse, LeaseRequest, LeaseResponse, PoolHandover},
        rpc::{self, DocumentSource, Handlers, RpcConfig},
        settings::Settings,
        timer::Timer,
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

/// Wait of one watch of the configuration, in milliseconds.
const WATCH_MS: u64 = 10_000;
/// Taken off the time for which keys may be honoured after their removal:
/// covers the time that a request takes from its caller to this node.
const REVOCATION_MARGIN_MS: u64 = 500;

/// What relaying works with.
pub struct RelayingParts<'a, S> {
    /// Checked settings.
    pub settings: &'a Settings,
    /// The deployment's object store.
    pub store: S,
    /// The objects that are followed.
    pub followed: FollowedObjects,
    /// Where documents go.
    pub documents: DocumentStore,
    /// How long after its removal a key may be honoured, in milliseconds.
    pub revocation_limit_ms: u64,
    /// Longest wait before the first look, in milliseconds.
    pub start_delay_ms: u64,
    /// What this node tells other members.
    pub own_state: watch::Sender<OwnState>,
    /// Members and their replies.
    pub gossip: &'a Gossip,
    /// Members that hold newer versions.
    pub hints: mpsc::Receiver<Hint>,
    /// Names of services and workspaces.
    pub names: Names,
    /// Time.
    pub timer: Timer,
    /// Ends it.
    pub shutdown: CancellationToken,
}

/// Starts it; tells how far what `apply` was given may be relied on.
pub fn spawn<S, A>(
    parts: RelayingParts<'_, S>,
    apply: A,
) -> Result<watch::Receiver<Snapshot>, DaemonError>
where
    S: ObjectStore,
    A: FnMut(&Document) + Send + 'static,
{
    let (settings, gossip) = (parts.settings, parts.gossip);
    let documents = parts.documents;
    let (client, calls) = rpc::channel();
    let timer = parts.timer.clone();
    let origin = ObjectOrigin::new(
        parts.store,
        parts.followed,
        documents.clone(),
        WATCH_MS,
        timer,
    )
    .with_evacuation_limit_ms(settings.evacuation_apply_ms);
    let follower = FollowerInputs {
        node_id: settings.node_id.clone(),
        zone: settings.zone.clone(),
        store: documents.clone(),
        origin,
        bounds: PollBounds::METERED_API
            .with_start_delay_ms(parts.start_delay_ms)
            .with_apply_limit_ms(settings.configuration_apply_ms),
        peers: RpcNeighbours::new(client, gossip.view.clone()),
        view: gossip.view.clone(),
        probes: gossip.probes.clone(),
        stamps: gossip.stamps.subscribe(),
        hints: parts.hints,
        timer: parts.timer,
        shutdown: parts.shutdown.clone(),
    };
    let confirmation_ttl_ms = parts
        .revocation_limit_ms
        .saturating_sub(REVOCATION_MARGIN_MS);
    let follow_parts = ObjectFollowerInputs {
        follower,
        confirmation_ttl_ms,
        own_state: parts.own_state,
    };
    let freshness = follow(follow_parts, apply);
    let config = RpcConfig::new(settings, parts.names);
    let handlers = Arc::new(DocumentHandlers { documents });
    rpc::spawn(config, calls, handlers, parts.shutdown).map_err(|source| {
        let address = SocketAddr::new(settings.ip, settings.rpc_port);
        DaemonError::Rpc { address, source }
    })?;
    Ok(freshness)
}

/// Gives documents; holds neither slices of quota nor of idempotency keys.
struct DocumentHandlers {
    documents: DocumentStore,
}

impl Handlers for DocumentHandlers {
    fn document(&self, kind: DocumentKind, above_version: u64) -> Option<Document> {
        DocumentSource::document(&self.documents, kind, above_version)
    }

    fn lease(&self, _ask: LeaseRequest) -> LeaseResponse {
        LeaseResponse::default()
    }

    async fn borrow(&self, _ask: BorrowRequest) -> BorrowResponse {
        BorrowResponse::default()
    }

    fn take_over(&self, _workspace: WorkspaceKey) -> Option<PoolHandover> {
        None
    }

    fn hand_over(&self, _handover: Handover) -> bool {
        false
    }
}
