//! `dogwoodctl publish`.

use {
    super::{
        Args, CliError, Exit, Finished, Fleet, FleetView, NodeAnswer, PublishOutcome, Winner,
        ZoneReport, args::PublishArgs, check::checked, fleet::call_context,
        publication::publish_record, zone_reports,
    },
    crate::{
        conf::{ConfigurationRecord, Publication},
        control::OperatorsClient,
        timer::unix_ms,
    },
    serde::Serialize,
    std::{
        fmt,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

const POLL_PERIOD: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Serialize)]
struct PublishReport {
    publication: Publication,
    #[serde(flatten)]
    outcome: PublishOutcome,
    /// Absent when no nodes were asked.
    zones: Option<Vec<ZoneReport>>,
}

pub(super) async fn run(args: &Args, publish: &PublishArgs) -> Result<Finished, CliError> {
    let rules = match checked(&publish.dir)? {
        Ok(rules) => rules,
        Err(failed) => return Ok(failed),
    };
    let platform = args.platform()?;
    let fleet = args.fleet_if_named()?;
    let publication = Publication {
        publish_id: Uuid::new_v4(),
        publisher: publish.publisher.clone(),
        published_unix_ms: unix_ms(),
    };
    let record = ConfigurationRecord {
        publication: publication.clone(),
        rules,
    };
    let outcome = publish_record(&platform, &record, publish.if_version).await;
    let zones = match (&outcome, &fleet) {
        (PublishOutcome::Published { version }, Some(fleet)) => {
            Some(wait_in_force(fleet, *version, publish.wait_ms).await)
        }
        _ => None,
    };
    let report = PublishReport {
        publication,
        outcome,
        zones,
    };
    Ok(Finished::new(report.exit(), &report))
}

/// Waits until all nodes that answer have the version in force, or the time is
/// up. Nodes that have it are not asked again, and one that does not answer is
/// not waited for.
async fn wait_in_force(fleet: &Fleet, version: u64, wait_ms: u64) -> Vec<ZoneReport> {
    let started = Instant::now();
    let view = fleet.look().await;
    let (mut reached, mut pending) = split(view.nodes, version);
    let mut answers = Vec::new();
    while !pending.nodes.is_empty() {
        let ask = |client: OperatorsClient| async move {
            Ok(client.revision(call_context()).await? >= version)
        };
        answers = fleet.call_all(&pending, ask).await;
        let is_late = started.elapsed() >= Duration::from_millis(wait_ms);
        if is_late || answers.iter().all(|(_, in_force)| *in_force != Some(false)) {
            break;
        }
        let mut in_force = answers
            .drain(..)
            .map(|(_, in_force)| in_force == Some(true));
        pending.nodes.retain(|node| {
            let is_reached = in_force.next() == Some(true);
            if is_reached {
                reached.push(node.zone().to_owned());
            }
            !is_reached
        });
        tokio::time::sleep(POLL_PERIOD).await;
    }
    let reached = reached.iter().map(|zone| (zone.as_str(), Some(true)));
    let pending = answers
        .iter()
        .map(|(zone, in_force)| (zone.as_str(), *in_force));
    zone_reports(reached.chain(pending))
}

/// Zones of the nodes that have the version in force, and the other nodes.
fn split(nodes: Vec<NodeAnswer>, version: u64) -> (Vec<String>, FleetView) {
    let has_it = |node: &NodeAnswer| {
        let status = node.status.as_ref();
        status.is_ok_and(|status| status.revision >= version)
    };
    let (reached, nodes): (Vec<NodeAnswer>, Vec<NodeAnswer>) = nodes.into_iter().partition(has_it);
    let reached = reached.iter().map(|node| node.zone().to_owned()).collect();
    (reached, FleetView { nodes })
}

impl PublishReport {
    fn exit(&self) -> Exit {
        match &self.outcome {
            PublishOutcome::Published { .. } => {
                let zones = self.zones.as_deref().unwrap_or_default();
                if zones.iter().all(ZoneReport::is_in_force) {
                    Exit::Done
                } else {
                    Exit::Unsure
                }
            }
            PublishOutcome::Conflict { .. }
            | PublishOutcome::Overtaken { .. }
            | PublishOutcome::NotPublished { .. } => Exit::Failed,
            PublishOutcome::Unknown { .. } => Exit::Unsure,
        }
    }
}

impl fmt::Display for PublishReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let publish_id = self.publication.publish_id;
        match &self.outcome {
            PublishOutcome::Published { version } => {
                write!(
                    formatter,
                    "published as version {version} (publish id {publish_id})"
                )?;
            }
            PublishOutcome::Conflict { winner } => {
                write!(
                    formatter,
                    "NOT published: conflict with {winner}. Look at it, then publish again"
                )?;
            }
            PublishOutcome::Overtaken { winner } => write!(
                formatter,
                "NOT in force: the answer was lost, and now {winner} is in force. Publication \
                 {publish_id} may have been in force before it"
            )?,
            PublishOutcome::NotPublished { reason } => {
                write!(formatter, "NOT published: {reason}")?;
            }
            PublishOutcome::Unknown {
                attempt_count,
                reason,
            } => write!(
                formatter,
                "UNKNOWN whether published after {attempt_count} tries: {reason}. Look for publish \
                 id {publish_id} in the platform before publishing again"
            )?,
        }
        match &self.zones {
            Some(zones) => zones
                .iter()
                .try_for_each(|zone| write!(formatter, "\n{zone}")),
            None if matches!(self.outcome, PublishOutcome::Published { .. }) => {
                formatter.write_str("\nno --nodes given: not known where it is in force")
            }
            None => Ok(()),
        }
    }
}

impl fmt::Display for Winner {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "version {}", self.version)?;
        match &self.publication {
            Some(publication) => write!(
                formatter,
                " by {} (publish id {}, at {} ms Unix time)",
                publication.publisher, publication.publish_id, publication.published_unix_ms
            ),
            None => formatter.write_str(" (who published it could not be read)"),
        }
    }
}
