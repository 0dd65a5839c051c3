//! Which process of the target is the present one, from what it tells.

/// How a notice of the target stands to what was heard before.
#[derives::key]
pub enum Standing {
    /// The first notice of a process.
    New,
    /// The next notice of the present process.
    Next,
    /// From an earlier process, or overtaken by a later notice: it tells
    /// nothing any more.
    Outdated,
}

#[derive(Debug)]
struct Process {
    instance_id: String,
    started_unix_ms: u64,
    sequence: Option<u64>,
    has_left: bool,
}

/// The target's processes as they told of themselves; no I/O, no clock.
///
/// A notice that a partition delayed may arrive after its process is gone and
/// another one stands in its place. Taken at its word, it would point requests
/// to a process that does not exist, and take the present one's connections
/// away.
#[derive(Debug, Default)]
pub struct Registration {
    present: Option<Process>,
}

impl Registration {
    /// No process is known.
    #[must_use]
    pub const fn new() -> Self {
        Self { present: None }
    }

    /// A process tells that it lives.
    pub fn alive(
        &mut self,
        instance_id: &str,
        started_unix_ms: u64,
        sequence: Option<u64>,
    ) -> Standing {
        let standing = self.standing(instance_id, started_unix_ms, sequence);
        match (standing, &mut self.present) {
            (Standing::New, present) => {
                *present = Some(Process {
                    instance_id: instance_id.to_owned(),
                    started_unix_ms,
                    sequence,
                    has_left: false,
                });
            }
            (Standing::Next, Some(process)) => process.sequence = sequence,
            (Standing::Next, None) | (Standing::Outdated, _) => {}
        }
        standing
    }

    /// A process tells that it leaves for good; returns whether it is the
    /// present one.
    pub fn leave(&mut self, instance_id: &str, started_unix_ms: Option<u64>) -> bool {
        let Some(process) = &mut self.present else {
            return false;
        };
        let is_same_start = started_unix_ms.is_none_or(|started| {
            started == process.started_unix_ms || started == 0 || process.started_unix_ms == 0
        });
        if process.instance_id != instance_id || !is_same_start {
            return false;
        }
        process.has_left = true;
        true
    }

    fn standing(&self, instance_id: &str, started_unix_ms: u64, sequence: Option<u64>) -> Standing {
        let Some(process) = &self.present else {
            return Standing::New;
        };
        let is_same =
            process.instance_id == instance_id && process.started_unix_ms == started_unix_ms;
        if !is_same {
            return match started_unix_ms < process.started_unix_ms {
                true => Standing::Outdated,
                false => Standing::New,
            };
        }
        let is_overtaken = match (sequence, process.sequence) {
            (Some(sequence), Some(known)) => sequence <= known,
            _ => false,
        };
        match is_overtaken || process.has_left {
            true => Standing::Outdated,
            false => Standing::Next,
        }
    }
}
