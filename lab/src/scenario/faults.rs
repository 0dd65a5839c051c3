//! Carries out the timetable of faults.

use {
    super::{FaultAction, FaultConf, ProcessKind, Selection},
    crate::{
        LabError,
        mesh::{Instance, Mesh},
        process::Process,
    },
    standins::{platform, target},
    std::time::Duration,
    tokio::time::{Instant, sleep_until},
};

/// A step of the timetable.
#[derive(Debug, Clone, Copy)]
struct Step<'a> {
    at_s: f64,
    action: &'a FaultAction,
    is_lifted: bool,
}

/// Begins and lifts all faults at their times; returns after the last one.
pub async fn apply_faults(
    mesh: &mut Mesh,
    faults: &[FaultConf],
    started_at: Instant,
) -> Result<(), LabError> {
    let begins = faults.iter().map(|fault| Step {
        at_s: fault.at_s,
        action: &fault.action,
        is_lifted: false,
    });
    let ends = faults.iter().filter_map(|fault| {
        Some(Step {
            at_s: fault.until_s?,
            action: &fault.action,
            is_lifted: true,
        })
    });
    let mut steps: Vec<Step<'_>> = begins.chain(ends).collect();
    steps.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    for step in steps {
        sleep_until(started_at + Duration::from_secs_f64(step.at_s)).await;
        apply(mesh, step).await?;
    }
    Ok(())
}

async fn apply(mesh: &mut Mesh, step: Step<'_>) -> Result<(), LabError> {
    let is_lifted = step.is_lifted;
    match step.action {
        FaultAction::Target { select, faults } => {
            let faults = if is_lifted {
                target::Faults::default()
            } else {
                *faults
            };
            for instance in selected(mesh, select) {
                instance.target_admin().set_target_faults(faults).await?;
            }
        }
        FaultAction::Platform(faults) => {
            let faults = if is_lifted {
                platform::Faults::default()
            } else {
                *faults
            };
            mesh.platform_admin().set_platform_faults(faults).await?;
        }
        FaultAction::Rules(rules) => {
            let rules = if is_lifted { Vec::new() } else { rules.clone() };
            mesh.proxy_admin().set_rules(rules).await?;
        }
        FaultAction::Kill { select, process } => {
            for process in processes(mesh, select, *process) {
                if is_lifted {
                    process.restart()?;
                } else {
                    process.kill();
                }
            }
        }
        FaultAction::Pause { select, process } => {
            for process in processes(mesh, select, *process) {
                if is_lifted {
                    process.resume()?;
                } else {
                    process.pause().await?;
                }
            }
        }
        FaultAction::Terminate { select, process } => {
            for process in processes(mesh, select, *process) {
                if is_lifted {
                    process.restart()?;
                } else {
                    process.terminate()?;
                }
            }
        }
    }
    Ok(())
}

fn selected<'a>(
    mesh: &'a mut Mesh,
    selection: &'a Selection,
) -> impl Iterator<Item = &'a mut Instance> {
    let matching = mesh.instances.iter_mut().filter(|instance| {
        let zone_matches = selection.zone.as_ref().is_none_or(|z| *z == instance.zone);
        let service = selection.service.as_ref();
        zone_matches && service.is_none_or(|s| *s == instance.service)
    });
    matching.take(selection.count.unwrap_or(usize::MAX))
}

fn processes<'a>(
    mesh: &'a mut Mesh,
    selection: &'a Selection,
    kind: ProcessKind,
) -> impl Iterator<Item = &'a mut Process> {
    selected(mesh, selection).filter_map(move |instance| match kind {
        ProcessKind::Node => instance.node.as_mut(),
        ProcessKind::Target => Some(&mut instance.target),
    })
}
