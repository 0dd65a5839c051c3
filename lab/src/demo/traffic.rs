//! Requests of the demonstration.

use {
    super::{Summary, conf},
    crate::{
        LabError,
        caller::{CallRequest, Caller},
        mesh::Mesh,
    },
    std::net::SocketAddr,
    uuid::Uuid,
};

const READ_COUNT: usize = 200;
const ORDER_COUNT: usize = 50;
const SHOP_REQUEST_COUNT: usize = 3 * conf::SHOP_BURST;

/// Reads and orders inside the rate, a burst over it, and an unknown key.
pub(super) async fn send_all(mesh: &Mesh) -> Result<Summary, LabError> {
    let mut summary = Summary::default();
    let caller = Caller::new();
    let addresses: Vec<SocketAddr> = mesh
        .instances
        .iter()
        .map(|instance| instance.caller_address())
        .collect();
    let dealers_key = mesh.create_key(conf::DEALERS).await?;
    let shop_key = mesh.create_key(conf::SHOP).await?;
    let reads = (0..READ_COUNT).map(|_| read(&dealers_key));
    let orders = (0..ORDER_COUNT).map(|number| order(&dealers_key, number));
    let burst = (0..SHOP_REQUEST_COUNT).map(|_| read(&shop_key));
    let unknown = [read("a-key-that-nobody-granted")];
    let requests = reads.chain(orders).chain(burst).chain(unknown);
    for (index, request) in requests.enumerate() {
        let address = addresses[index % addresses.len()];
        summary.add(&caller.send(address, &request).await?);
    }
    Ok(summary)
}

fn read(key: &str) -> CallRequest {
    CallRequest::new("GET", "/catalog/prices/7").with_key(key)
}

fn order(key: &str, number: usize) -> CallRequest {
    CallRequest::new("POST", "/catalog/orders")
        .with_key(key)
        .with_idempotency_key(&Uuid::now_v7().to_string())
        .with_body(format!("order {number}"))
}
