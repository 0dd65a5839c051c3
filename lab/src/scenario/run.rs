//! Runs a scenario.

use {
    super::{LoadConf, Scenario, apply_faults},
    crate::{
        LabError,
        load::{Generator, Original, Stream},
        measure::{Evidence, ScenarioResult, read_journals},
        mesh::{Instance, Mesh},
        usage::NodeCost,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
    tokio_util::sync::CancellationToken,
    uuid::Uuid,
};

/// Time in which work that is still under way ends before journals are read.
const SETTLE: Duration = Duration::from_secs(1);

/// Starts the mesh, offers the load, injects the faults and measures.
pub async fn run(scenario: &Scenario) -> Result<ScenarioResult, LabError> {
    let script = async |mesh: &mut Mesh, started_at| {
        apply_faults(mesh, &scenario.faults, started_at).await?;
        sleep_until(started_at + Duration::from_secs(scenario.duration_s)).await;
        Ok(())
    };
    let evidence = run_script(scenario, script).await?;
    Ok(ScenarioResult::new(scenario, &evidence))
}

/// Starts the mesh and offers the load until the script is over, which may
/// wait for conditions where a timetable would have to guess. The scenario's
/// own timetable of faults is left out.
pub async fn run_script<F>(scenario: &Scenario, script: F) -> Result<Evidence, LabError>
where
    F: AsyncFnOnce(&mut Mesh, Instant) -> Result<(), LabError>,
{
    let mut mesh = Mesh::start(scenario.mesh()).await?;
    let mut keys = BTreeMap::new();
    for workspace in &scenario.workspaces {
        let key = if scenario.without_nodes {
            Uuid::new_v4().to_string()
        } else {
            mesh.create_key(&workspace.name).await?
        };
        keys.insert(workspace.name.clone(), key);
    }
    if !scenario.without_nodes {
        mesh.wait_settled().await?;
    }
    sleep(Duration::from_secs(scenario.settle_s)).await;
    let usage_before = mesh.node_usage();
    let started_at = Instant::now();
    let started_unix_us = unix_us();
    let stop = CancellationToken::new();
    let generators = offer_load(scenario, &mesh, &keys, (started_at, &stop))?;
    script(&mut mesh, started_at).await?;
    stop.cancel();
    let originals = generators.join_all().await.into_iter().flatten().collect();
    sleep(SETTLE).await;
    Ok(Evidence {
        originals,
        executions: read_journals(&mesh)?,
        started_unix_us,
        node_cost: NodeCost::between(&usage_before, &mesh.node_usage()),
        keys: keys.into_values().collect(),
    })
}

fn unix_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| {
        u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
    })
}

fn offer_load(
    scenario: &Scenario,
    mesh: &Mesh,
    keys: &BTreeMap<String, String>,
    (started_at, stop): (Instant, &CancellationToken),
) -> Result<JoinSet<Vec<Original>>, LabError> {
    let mut generators = JoinSet::new();
    for (load_index, load) in scenario.loads.iter().enumerate() {
        let stream = Stream {
            load_index,
            load: load.clone(),
            key: keys.get(&load.workspace).cloned().unwrap_or_default(),
            addresses: addresses(mesh, load)?,
            seed: scenario.seed.wrapping_add(load_index as u64),
        };
        let generator = Generator::new(stream).with_stop(stop.clone());
        generators.spawn(generator.run(started_at, scenario.duration_s));
    }
    Ok(generators)
}

fn addresses(mesh: &Mesh, load: &LoadConf) -> Result<Vec<SocketAddr>, LabError> {
    let chosen = mesh.instances.iter().filter(|instance| {
        let zone_matches = load.zones.is_empty() || load.zones.contains(&instance.zone);
        let services = &load.at_services;
        zone_matches && (services.is_empty() || services.contains(&instance.service))
    });
    let addresses: Vec<SocketAddr> = chosen.map(Instance::entry_address).collect();
    if addresses.is_empty() {
        return Err(LabError::Scenario {
            message: format!("load {:?}: no node matches", load.name),
        });
    }
    Ok(addresses)
}
