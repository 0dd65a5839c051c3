//! Records of callers and journals of targets.

use {
    crate::{LabError, load::Original, mesh::Mesh, usage::NodeCost},
    standins::target::Entry,
    std::{collections::BTreeMap, fs},
};

/// A request in a target's journal.
#[derives::value]
#[derive(Eq)]
pub struct Execution {
    /// Service of the target.
    pub service: String,
    /// Name of the node beside it.
    pub node_id: String,
    /// The last state of the entry.
    pub entry: Entry,
}

/// All that a run left.
#[derives::value]
#[derive(Default, Eq)]
pub struct Evidence {
    /// Requests as their callers saw them.
    pub originals: Vec<Original>,
    /// Requests as the targets saw them.
    pub executions: Vec<Execution>,
    /// Tenant keys, which no target may have seen.
    pub keys: Vec<String>,
    /// Start of the load since the Unix epoch, which ties the times of callers
    /// to those of journals.
    pub started_unix_us: u64,
    /// What the nodes cost during the load.
    pub node_cost: NodeCost,
}

/// Entries of a journal file in their last state. A sequence number that
/// begins anew belongs to a restarted target.
#[must_use]
pub fn parse_journal(text: &str) -> Vec<Entry> {
    let mut ended = Vec::new();
    let mut entries: BTreeMap<u64, Entry> = BTreeMap::new();
    // The last line may be cut where the target was killed.
    let lines = text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    for entry in lines {
        let entry: Entry = entry;
        let earlier = entries.get(&entry.sequence);
        let is_restart = earlier.is_some_and(|e| e.ended_unix_ms.is_some())
            || earlier.is_some_and(|e| e.started_unix_ms != entry.started_unix_ms);
        if is_restart {
            ended.extend(std::mem::take(&mut entries).into_values());
        }
        entries.insert(entry.sequence, entry);
    }
    ended.extend(entries.into_values());
    ended
}

/// Journals of all targets, also of those that were killed.
pub fn read_journals(mesh: &Mesh) -> Result<Vec<Execution>, LabError> {
    let mut executions = Vec::new();
    for instance in &mesh.instances {
        let path = mesh.journal_path(&instance.node_id);
        let text = fs::read_to_string(&path);
        let text = text.map_err(LabError::io(path.display().to_string()))?;
        let entries = parse_journal(&text).into_iter();
        executions.extend(entries.map(|entry| Execution {
            service: instance.service.clone(),
            node_id: instance.node_id.clone(),
            entry,
        }));
    }
    Ok(executions)
}
