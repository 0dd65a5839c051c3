//! A scenario's load with one fault that is made by code instead of a timetable.

use {
    super::{Scenario, run_script},
    crate::{
        LabError,
        caller::Judgement,
        load::Original,
        measure::{Evidence, ScenarioResult},
        mesh::Mesh,
        wait::wait_until,
    },
    dogwoodbridge::slices::{Section, SliceTable},
    std::{cell::Cell, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Limit of waits for a takeover, which takes many seconds by design.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(120);

/// Time of load after a fault, in which the fleet has to serve again.
const AFTER_FAULT: Duration = Duration::from_secs(6);

/// How long the fleet is loaded before the fault.
const BEFORE_FAULT: Duration = Duration::from_secs(3);

/// What a run with one fault left.
pub struct FaultRun {
    /// Records of callers and journals.
    pub evidence: Evidence,
    /// Measures and checks.
    pub result: ScenarioResult,
    /// Begin of the fault, since the start of the load.
    pub from_us: u64,
    /// Its end.
    pub until_us: u64,
}

impl FaultRun {
    /// Requests sent in this time that got a whole answer in the end.
    #[must_use]
    pub fn whole_count(&self, load_index: usize, from_us: u64, until_us: u64) -> usize {
        let is_in = |original: &&Original| {
            original.load_index == load_index && (from_us..until_us).contains(&original.intended_us)
        };
        let originals = self.evidence.originals.iter().filter(is_in);
        let whole = originals.filter(|original| original.judgement() == Judgement::Whole);
        whole.count()
    }

    /// Requests of a load served after the fault.
    #[must_use]
    pub fn whole_after_count(&self, load_index: usize) -> usize {
        self.whole_count(load_index, self.until_us, u64::MAX)
    }
}

/// Loads a mesh, waits until all its nodes own quota and keys, makes the fault
/// and lets the load go on for a while.
pub async fn run_with_fault<F>(scenario: &Scenario, fault: F) -> Result<FaultRun, LabError>
where
    F: AsyncFnOnce(&mut Mesh) -> Result<(), LabError>,
{
    let (from_us, until_us) = (Cell::new(0), Cell::new(0));
    let script = async |mesh: &mut Mesh, started_at: Instant| {
        let node_count = mesh.instances.len();
        wait_for_table(mesh, "all nodes own slices", |table| {
            let counts = Section::ALL.map(|section| table.counts(section));
            let owns = |counts: &Vec<usize>| counts.iter().filter(|count| **count > 0).count();
            counts.iter().all(|counts| owns(counts) == node_count)
        })
        .await?;
        sleep(BEFORE_FAULT).await;
        from_us.set(micros(started_at));
        fault(mesh).await?;
        until_us.set(micros(started_at));
        sleep(AFTER_FAULT).await;
        Ok(())
    };
    let evidence = run_script(scenario, script).await?;
    Ok(FaultRun {
        result: ScenarioResult::new(scenario, &evidence),
        evidence,
        from_us: from_us.get(),
        until_us: until_us.get(),
    })
}

/// Waits until the slice table in the platform is like this.
pub async fn wait_for_table(
    mesh: &Mesh,
    what: &str,
    is_right: impl Fn(&SliceTable) -> bool,
) -> Result<(), LabError> {
    wait_until(what, TAKEOVER_LIMIT, || async {
        let table = mesh.slice_table().await?;
        is_right(&table).then_some(())
    })
    .await
}

fn micros(started_at: Instant) -> u64 {
    u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
}
