//! What a node offers to the peer at the other end of a connection.

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

/// What all connections share.
pub struct Shared<H> {
    pub auth: FleetAuth,
    pub names: Names,
    pub handlers: Arc<H>,
}

/// Lets a peer in that proves to hold the fleet secret.
pub struct Gate<H> {
    shared: Rc<Shared<H>>,
    nonces: Cell<Option<Nonces>>,
    entered: Rc<Cell<bool>>,
}

impl<H> Gate<H> {
    /// A gate for one connection; `entered` tells whether the peer got in.
    pub fn new(shared: Rc<Shared<H>>, entered: Rc<Cell<bool>>) -> Self {
        Self {
            shared,
            nonces: Cell::new(None),
            entered,
        }
    }
}

impl<H: Handlers> gate::Server for Gate<H> {
    async fn challenge(
        self: Rc<Self>,
        params: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), Error> {
        let client = <[u8; NONCE_BYTES]>::try_from(params.get()?.get_client_nonce()?)
            .map_err(|_| Error::failed("a nonce has 16 bytes".to_owned()))?;
        let nonces = Nonces {
            client,
            server: new_nonce(),
        };
        self.nonces.set(Some(nonces));
        let proof = self.shared.auth.proof(Prover::Server, &nonces);
        results.get().set_server_nonce(&nonces.server);
        results.get().set_server_proof(&proof);
        Ok(())
    }

    async fn enter(
        self: Rc<Self>,
        params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), Error> {
        // Nonces are taken out: one guess for each challenge.
        let nonces = self.nonces.take();
        let proof = params.get()?.get_client_proof()?;
        let is_valid = |nonces| self.shared.auth.is_valid(Prover::Client, nonces, proof);
        if !nonces.as_ref().is_some_and(is_valid) {
            return Err(Error::failed("not authentic".to_owned()));
        }
        self.entered.set(true);
        let node = Node {
            shared: self.shared.clone(),
        };
        results.get().set_node(capnp_rpc::new_client(node));
        Ok(())
    }
}

/// Serves the calls of an authentic peer.
struct Node<H> {
    shared: Rc<Shared<H>>,
}

impl<H: Handlers> node::Server for Node<H> {
    async fn document(
        self: Rc<Self>,
        params: node::DocumentParams,
        mut results: node::DocumentResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let kinds = DocumentKind::ALL;
        let kind = kinds.get(usize::from(params.get_kind()));
        let kind = kind.ok_or_else(|| Error::failed("unknown kind of document".to_owned()))?;
        let handlers = &self.shared.handlers;
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
        let ask = codec::read_lease_ask(&self.shared.names, params.get()?.get_ask()?)?;
        let answer = self.shared.handlers.lease(ask);
        codec::write_lease_answer(&answer, results.get().init_answer());
        Ok(())
    }

    async fn borrow(
        self: Rc<Self>,
        params: node::BorrowParams,
        mut results: node::BorrowResults,
    ) -> Result<(), Error> {
        let ask = codec::read_borrow_ask(&self.shared.names, params.get()?.get_ask()?)?;
        let answer = self.shared.handlers.borrow(ask).await;
        codec::write_borrow_answer(answer, results.get().init_answer());
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: node::HandOverParams,
        mut results: node::HandOverResults,
    ) -> Result<(), Error> {
        let handover = codec::read_handover(&self.shared.names, params.get()?.get_handover()?)?;
        let accepted = self.shared.handlers.hand_over(handover);
        results.get().set_accepted(accepted);
        Ok(())
    }

    async fn take_over(
        self: Rc<Self>,
        params: node::TakeOverParams,
        mut results: node::TakeOverResults,
    ) -> Result<(), Error> {
        let workspace = params.get()?.get_workspace()?;
        let workspace = codec::workspace(&self.shared.names, workspace)?;
        if let Some(estate) = self.shared.handlers.take_over(workspace) {
            results.get().set_retired(true);
            codec::write_estate(&estate, results.get().init_estate());
        }
        Ok(())
    }
}
