//! `dogwoodctl explain`.

use {
    super::{Args, CliError, Exit, Finished, args::ExplainArgs, fleet::call_context},
    crate::{
        control::{ExplainRequest, Explanation},
        keys::KeyDigest,
    },
    serde::Serialize,
    std::fmt,
};

#[derive(Debug, Clone, Serialize)]
#[serde(transparent)]
struct ExplainReport(Explanation);

impl fmt::Display for ExplainReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Explanation {
            node_id,
            reason,
            steps,
            ..
        } = &self.0;
        match reason {
            None => write!(formatter, "{node_id} would admit it")?,
            Some(reason) => write!(formatter, "{node_id} would refuse it: {reason}")?,
        }
        for step in steps {
            let mark = if step.passed { "ok " } else { "NO " };
            write!(
                formatter,
                "\n  {mark} {:<10} {}",
                step.decision, step.detail
            )?;
        }
        Ok(())
    }
}

pub(super) async fn run(args: &Args, explain: &ExplainArgs) -> Result<Finished, CliError> {
    let fleet = args.fleet()?;
    let address = match &explain.node {
        Some(node) => fleet.find(node).await?,
        None => args.nodes[0],
    };
    let digest = explain.key.as_deref().map(KeyDigest::of_key);
    let request = ExplainRequest {
        service: explain.service.clone(),
        method: explain.method.to_uppercase(),
        path: explain.path.clone(),
        digest: explain.digest.or(digest),
        workspace: explain.workspace.clone(),
        class: explain.class,
    };
    let ask = async {
        let client = fleet.connect(address).await?;
        Ok(client.explain(call_context(), request).await?)
    };
    let explanation = ask
        .await
        .map_err(|source| CliError::Node { address, source })?;
    Ok(Finished::new(Exit::Done, &ExplainReport(explanation)))
}
