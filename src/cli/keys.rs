//! `dogwoodctl key`.

use {
    super::{
        Args, ChangeOutcome, CliError, Exit, Finished, Fleet, KeyCommand, ZoneReport,
        document_change::change_document, fleet::call_context, zone_reports,
    },
    crate::{
        conf::read_configuration,
        control::{KeyVerdict, OperatorsClient},
        documents::{Document, DocumentKind},
        keys::{KeyDigest, KeysRecord, new_key},
        platform::Platform,
        timer::unix_ms,
    },
    serde::Serialize,
    std::fmt,
};

#[derive(Debug, Clone, Serialize)]
struct GrantReport {
    workspace: String,
    digest: KeyDigest,
    /// The key itself, only when it was created here.
    key: Option<String>,
    #[serde(flatten)]
    platform: ChangeOutcome,
}

#[derive(Debug, Clone, Serialize)]
struct RevokeReport {
    digest: KeyDigest,
    /// Absent when no platform was named.
    platform: Option<ChangeOutcome>,
    /// Absent when no nodes were named.
    zones: Option<Vec<ZoneReport>>,
}

pub(super) async fn run(args: &Args, command: &KeyCommand) -> Result<Finished, CliError> {
    match command {
        KeyCommand::Create { workspace } => {
            let key = new_key();
            grant(args, workspace, KeyDigest::of_key(&key), Some(key)).await
        }
        KeyCommand::Grant { workspace, digest } => grant(args, workspace, *digest, None).await,
        KeyCommand::Revoke(choice) => {
            let digest = choice.digest().ok_or(CliError::MissingFlag {
                flag: "--key or --digest".to_owned(),
            })?;
            revoke(args, digest).await
        }
    }
}

async fn grant(
    args: &Args,
    workspace: &str,
    digest: KeyDigest,
    key: Option<String>,
) -> Result<Finished, CliError> {
    let platform = args.platform()?;
    check_workspace(&platform, workspace).await?;
    let now_ms = unix_ms();
    let grant = |keys: &mut KeysRecord| keys.grant(digest, workspace, now_ms);
    let outcome = change_document(&platform, grant).await?;
    let exit = outcome.exit();
    let report = GrantReport {
        workspace: workspace.to_owned(),
        digest,
        // A key that is certainly not granted is of no use to anybody.
        key: key.filter(|_| exit != Exit::Failed),
        platform: outcome,
    };
    Ok(Finished::new(exit, &report))
}

// A key for a workspace that does not exist (a slip of the pen) would be
// granted and refused everywhere; its holder would be the first to notice.
async fn check_workspace(platform: &Platform, workspace: &str) -> Result<(), CliError> {
    let kind = DocumentKind::Configuration;
    let object = match platform.current_version(kind.name()).await {
        Ok(version) => platform.read_at_least(kind.name(), version).await?,
        Err(_) => platform.read(kind.name()).await?,
    };
    let mut known = Vec::new();
    if object.version > 0 {
        let record = read_configuration(&Document {
            kind,
            version: object.version,
            content: object.content.into(),
        })?;
        known.extend(
            record
                .rules
                .workspaces
                .into_iter()
                .map(|workspace| workspace.name),
        );
    }
    if known.iter().any(|name| name == workspace) {
        return Ok(());
    }
    Err(CliError::UnknownWorkspace {
        workspace: workspace.to_owned(),
        known,
    })
}

// The platform may be down when a key has to go, and so may the way to some
// zone. Both ways are therefore taken at once; either one suffices, since the
// nodes that were told directly tell the others.
async fn revoke(args: &Args, digest: KeyDigest) -> Result<Finished, CliError> {
    let platform = match args.platform {
        Some(_) => Some(args.platform()?),
        None => None,
    };
    let fleet = args.fleet_if_named()?;
    if platform.is_none() && fleet.is_none() {
        let flag = "--platform or --nodes".to_owned();
        return Err(CliError::MissingFlag { flag });
    }
    let write = async {
        match &platform {
            Some(platform) => Some(write_revocation(platform, digest).await),
            None => None,
        }
    };
    let tell = async {
        match &fleet {
            Some(fleet) => Some(tell_nodes(fleet, digest).await),
            None => None,
        }
    };
    let (platform, zones) = tokio::join!(write, tell);
    let report = RevokeReport {
        digest,
        platform,
        zones,
    };
    Ok(Finished::new(report.exit(), &report))
}

async fn write_revocation(platform: &Platform, digest: KeyDigest) -> ChangeOutcome {
    let now_ms = unix_ms();
    let revoke = |keys: &mut KeysRecord| Ok(keys.revoke(digest, now_ms));
    let changed = change_document(platform, revoke).await;
    changed.unwrap_or_else(|error| ChangeOutcome::NotWritten {
        reason: error.to_string(),
    })
}

// Finding all nodes takes seconds when one of them is frozen, and the key would
// work meanwhile. The named nodes are therefore told at once; they tell the
// others.
async fn tell_nodes(fleet: &Fleet, digest: KeyDigest) -> Vec<ZoneReport> {
    let tell = |client: OperatorsClient| async move {
        let verdict = client.revoke(call_context(), digest).await?;
        Ok(verdict == KeyVerdict::Revoked)
    };
    let (_, view) = tokio::join!(fleet.call_seeds(tell), fleet.look());
    let answers = fleet.call_all(&view, tell).await;
    zone_reports(
        answers
            .iter()
            .map(|(zone, revoked)| (zone.as_str(), *revoked)),
    )
}

impl RevokeReport {
    fn exit(&self) -> Exit {
        let in_platform = matches!(self.platform, Some(ChangeOutcome::Written { .. }));
        let zones = self.zones.as_deref().unwrap_or_default();
        let in_some = zones.iter().any(|zone| zone.in_force_count > 0);
        let in_all = !zones.is_empty() && zones.iter().all(ZoneReport::is_in_force);
        let may_be = matches!(self.platform, Some(ChangeOutcome::Unknown { .. }));
        match (in_platform || in_all, in_some || may_be) {
            (true, _) => Exit::Done,
            (false, true) => Exit::Unsure,
            (false, false) => Exit::Failed,
        }
    }
}

impl fmt::Display for GrantReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (digest, workspace) = (&self.digest, &self.workspace);
        match &self.platform {
            ChangeOutcome::Written { version } => {
                write!(
                    formatter,
                    "granted to {workspace} in keys version {version}: {digest}"
                )?;
            }
            ChangeOutcome::NotWritten { reason } => {
                write!(formatter, "NOT granted: {reason}")?;
            }
            ChangeOutcome::Unknown { reason } => write!(
                formatter,
                "UNKNOWN whether granted: {reason}. Run: key grant --workspace {workspace} --digest {digest}"
            )?,
        }
        match &self.key {
            Some(key) => write!(formatter, "\nkey, shown this once: {key}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for RevokeReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "revocation of {}", self.digest)?;
        match &self.platform {
            Some(ChangeOutcome::Written { version }) => {
                write!(formatter, "\nplatform: written in keys version {version}")?;
            }
            Some(ChangeOutcome::NotWritten { reason }) => {
                write!(formatter, "\nplatform: NOT written: {reason}")?;
            }
            Some(ChangeOutcome::Unknown { reason }) => {
                write!(formatter, "\nplatform: UNKNOWN whether written: {reason}")?;
            }
            None => formatter.write_str("\nplatform: not named, not written")?,
        }
        match &self.zones {
            Some(zones) => zones
                .iter()
                .try_for_each(|zone| write!(formatter, "\n{zone}")),
            None => formatter.write_str("\nno --nodes given: not told directly"),
        }
    }
}
