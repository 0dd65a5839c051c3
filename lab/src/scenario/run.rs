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
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
    uuid::Uuid,
};

/// Time in which work that is still under way ends before journals are read.
const SETTLE: Duration = Duration::from_secs(1);

/// Starts the mesh, offers the load, injects the faults and measures.
pub async fn run(scenario: &Scenario) -> Result<ScenarioResult, LabError> {
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
    sleep(Duration::from_secs(scenario.settle_s)).await;
    let usage_before = mesh.node_usage();
    let originals = offer_load(scenario, &mut mesh, &keys).await?;
    sleep(SETTLE).await;
    let evidence = Evidence {
        originals,
        executions: read_journals(&mesh)?,
        node_cost: NodeCost::between(&usage_before, &mesh.node_usage()),
        keys: keys.into_values().collect(),
    };
    Ok(ScenarioResult::new(scenario, &evidence))
}

async fn offer_load(
    scenario: &Scenario,
    mesh: &mut Mesh,
    keys: &BTreeMap<String, String>,
) -> Result<Vec<Original>, LabError> {
    let started_at = Instant::now();
    let mut generators = JoinSet::new();
    for (load_index, load) in scenario.loads.iter().enumerate() {
        let stream = Stream {
            load_index,
            load: load.clone(),
            key: keys.get(&load.workspace).cloned().unwrap_or_default(),
            addresses: addresses(mesh, load)?,
            seed: scenario.seed.wrapping_add(load_index as u64),
        };
        generators.spawn(Generator::new(stream).run(started_at, scenario.duration_s));
    }
    apply_faults(mesh, &scenario.faults, started_at).await?;
    Ok(generators.join_all().await.into_iter().flatten().collect())
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
