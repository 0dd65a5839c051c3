//! Serves the RPC interface of a node to the peer of a connection.

use {
    super::{
        Handlers,
        auth::{FleetAuth, NONCE_BYTES, Nonces, Prover, new_nonce},
        codec,
    },
    crate::{
        documents::DocumentKind,
        model::Names,
        schema::rpc_capnp::{gate, node},
    },
    capnp::Error,
    std::{cell::Cell, rc::Rc, sync::Arc},
};

/// State shared by all connections.
pub struct ServerContext<H> {
    pub auth: FleetAuth,
    pub names: Names,
    pub handlers: Arc<H>,
}

/// Gives access to a peer that proves that it holds the fleet secret.
/// Implements the Cap'n Proto interface `Gate`.
pub struct Authenticator<H> {
    context: Rc<ServerContext<H>>,
    nonces: Cell<Option<Nonces>>,
    is_authenticated: Rc<Cell<bool>>,
}

impl<H> Authenticator<H> {
    /// Creates the authenticator of a connection, which sets `is_authenticated`
    /// once the peer is authenticated.
    pub fn new(context: Rc<ServerContext<H>>, is_authenticated: Rc<Cell<bool>>) -> Self {
        Self {
            context,
            nonces: Cell::new(None),
            is_authenticated,
        }
    }
}

impl<H: Handlers> gate::Server for Authenticator<H> {
    async fn challenge(
        self: Rc<Self>,
        params: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), Error> {
        let client = <[u8; NONCE_BYTES]>::try_from(params.get()?.get_client_nonce()?)
            .map_err(|_| Error::failed("nonce is not 16 bytes long".to_owned()))?;
        let nonces = Nonces {
            client,
            server: new_nonce(),
        };
        self.nonces.set(Some(nonces));
        let proof = self.context.auth.proof(Prover::Server, &nonces);
        results.get().set_server_nonce(&nonces.server);
        results.get().set_server_proof(&proof);
        Ok(())
    }

    async fn enter(
        self: Rc<Self>,
        params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), Error> {
        // Nonces are removed, so that a challenge permits only one attempt.
        let nonces = self.nonces.take();
        let proof = params.get()?.get_client_proof()?;
        let is_valid = |nonces| self.context.auth.is_valid(Prover::Client, nonces, proof);
        if !nonces.as_ref().is_some_and(is_valid) {
            return Err(Error::failed("not authentic".to_owned()));
        }
        self.is_authenticated.set(true);
        let node = NodeService {
            context: self.context.clone(),
        };
        results.get().set_node(capnp_rpc::new_client(node));
        Ok(())
    }
}

/// Serves the calls of an authenticated peer.
struct NodeService<H> {
    context: Rc<ServerContext<H>>,
}

impl<H: Handlers> node::Server for NodeService<H> {
    async fn document(
        self: Rc<Self>,
        params: node::DocumentParams,
        mut results: node::DocumentResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let kinds = DocumentKind::ALL;
        let kind = kinds.get(usize::from(params.get_kind()));
        let kind = kind.ok_or_else(|| Error::failed("unknown document kind".to_owned()))?;
        let handlers = &self.context.handlers;
        if let Some(document) = handlers.document(*kind, params.get_above_version()) {
            results.get().set_version(document.version);
            results.get().set_content(&document.content);
        }
        Ok(())
    }

    async fn lease(
        self: Rc<Self>,
        params: node::LeaseParams,
        mut results: node::LeaseResults,
    ) -> Result<(), Error> {
        let request = codec::read_lease_request(&self.context.names, params.get()?.get_ask()?)?;
        let response = self.context.handlers.lease(request);
        codec::write_lease_response(&response, results.get().init_answer());
        Ok(())
    }

    async fn borrow(
        self: Rc<Self>,
        params: node::BorrowParams,
        mut results: node::BorrowResults,
    ) -> Result<(), Error> {
        let request = codec::read_borrow_request(&self.context.names, params.get()?.get_ask()?)?;
        let response = self.context.handlers.borrow(request).await;
        codec::write_borrow_response(response, results.get().init_answer());
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: node::HandOverParams,
        mut results: node::HandOverResults,
    ) -> Result<(), Error> {
        let handover = codec::read_handover(&self.context.names, params.get()?.get_handover()?)?;
        let accepted = self.context.handlers.hand_over(handover);
        results.get().set_accepted(accepted);
        Ok(())
    }

    async fn take_over(
        self: Rc<Self>,
        params: node::TakeOverParams,
        mut results: node::TakeOverResults,
    ) -> Result<(), Error> {
        let workspace = params.get()?.get_workspace()?;
        let workspace = codec::workspace(&self.context.names, workspace)?;
        if let Some(handover) = self.context.handlers.take_over(workspace) {
            results.get().set_retired(true);
            codec::write_pool_handover(&handover, results.get().init_estate());
        }
        Ok(())
    }
}
