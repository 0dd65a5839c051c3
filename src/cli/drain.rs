//! `dogwoodctl drain`.

use {
    super::{Args, CliError, Exit, Finished, fleet::call_context},
    serde::Serialize,
    std::{fmt, net::SocketAddr},
};

#[derive(Debug, Clone, Serialize)]
struct DrainReport {
    node: String,
    address: SocketAddr,
}

impl fmt::Display for DrainReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} ({}) drains: it ends its running work and leaves",
            self.node, self.address
        )
    }
}

pub(super) async fn run(args: &Args, node: &str) -> Result<Finished, CliError> {
    let fleet = args.fleet()?;
    let address = fleet.find(node).await?;
    let drain = async {
        let client = fleet.connect(address).await?;
        Ok(client.drain(call_context()).await?)
    };
    drain
        .await
        .map_err(|source| CliError::Node { address, source })?;
    let report = DrainReport {
        node: node.to_owned(),
        address,
    };
    Ok(Finished::new(Exit::Done, &report))
}
