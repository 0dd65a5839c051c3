//! Documents from other members by calls between nodes.

use {
    crate::{
        documents::{Document, DocumentKind, DocumentStore, Peers},
        membership::{Member, View},
        rpc::{DocumentSource, RpcClient},
    },
    std::sync::Arc,
    tokio::sync::watch,
};

/// Calls members by the addresses that membership knows.
#[derive(Clone)]
pub struct RpcNeighbours {
    client: RpcClient,
    view: watch::Receiver<Arc<View>>,
}

impl RpcNeighbours {
    /// Neighbours in this view.
    pub const fn new(client: RpcClient, view: watch::Receiver<Arc<View>>) -> Self {
        Self { client, view }
    }
}

impl Peers for RpcNeighbours {
    async fn fetch(
        &self,
        node_id: &str,
        kind: DocumentKind,
        above_version: u64,
    ) -> Option<Document> {
        let address = self
            .view
            .borrow()
            .member(node_id)
            .map(Member::rpc_address)?;
        self.client
            .fetch_document(address, kind, above_version)
            .await
            .ok()?
    }
}

impl DocumentSource for DocumentStore {
    fn document(&self, kind: DocumentKind, above_version: u64) -> Option<Document> {
        self.newest(kind)
            .filter(|document| document.version > above_version)
    }
}
