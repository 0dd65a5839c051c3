//! `dogwoodctl evacuate`.

use {
    super::{
        Args, ChangeOutcome, CliError, Finished, args::EvacuateArgs,
        document_change::change_document,
    },
    crate::conf::Evacuations,
    serde::Serialize,
    std::{collections::BTreeSet, fmt},
};

#[derive(Debug, Clone, Serialize)]
struct EvacuateReport {
    zone: String,
    /// All zones that are evacuated with this change.
    evacuated: BTreeSet<String>,
    #[serde(flatten)]
    platform: ChangeOutcome,
}

pub(super) async fn run(args: &Args, evacuate: &EvacuateArgs) -> Result<Finished, CliError> {
    let platform = args.platform()?;
    let zone = &evacuate.zone;
    let mut evacuated = BTreeSet::new();
    let change = |evacuations: &mut Evacuations| {
        let is_changed = match evacuate.take_back {
            true => evacuations.zones.remove(zone),
            false => evacuations.zones.insert(zone.clone()),
        };
        evacuated.clone_from(&evacuations.zones);
        Ok(is_changed)
    };
    let outcome = change_document(&platform, change).await?;
    let report = EvacuateReport {
        zone: zone.clone(),
        evacuated,
        platform: outcome,
    };
    Ok(Finished::new(report.platform.exit(), &report))
}

impl fmt::Display for EvacuateReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.platform {
            ChangeOutcome::Written { version } => {
                let zones: Vec<&str> = self.evacuated.iter().map(String::as_str).collect();
                let zones = match zones.is_empty() {
                    true => "none".to_owned(),
                    false => zones.join(", "),
                };
                write!(formatter, "evacuated zones: {zones} (version {version})")
            }
            ChangeOutcome::NotWritten { reason } => write!(formatter, "NOT changed: {reason}"),
            ChangeOutcome::Unknown { reason } => write!(
                formatter,
                "UNKNOWN whether changed: {reason}. Run the command again"
            ),
        }
    }
}
