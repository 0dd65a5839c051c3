//! A mesh of the Cascade Tally example that stays up for trying things out.

use {
    crate::{
        LabError,
        mesh::{Mesh, MeshConf},
    },
    std::{fs, path::Path},
};

/// Services of the example with the calls that their targets make.
const SERVICES: [(&str, &str); 4] = [
    ("catalog", "GET /pricing/quotes/7"),
    ("orders", "GET /pricing/quotes/7"),
    ("pricing", "GET /cards/7"),
    ("cards", ""),
];

/// Availability zones; every service has a target in each.
const ZONES: [&str; 2] = ["az1", "az2"];

/// Starts the mesh with the configuration of a directory.
pub async fn start(dir: &Path) -> Result<Mesh, LabError> {
    Mesh::start(conf(dir)?).await
}

/// What an operator sets and types first.
#[must_use]
pub fn instructions(mesh: &Mesh) -> String {
    let control: Vec<String> = mesh
        .instances
        .iter()
        .map(|instance| instance.control_address().to_string())
        .collect();
    let entry = mesh.instances[0].entry_address();
    format!(
        "export DOGWOOD_NODES={}\n\
         export DOGWOOD_OPERATOR_SECRET={}\n\
         export DOGWOOD_PLATFORM={}\n\
         export DOGWOOD_ENTRY={entry}\n",
        control.join(","),
        mesh.operator_secret(),
        mesh.platform_address(),
    )
}

fn conf(dir: &Path) -> Result<MeshConf, LabError> {
    let mut conf = MeshConf::new();
    for zone in ZONES {
        for (service, call) in SERVICES {
            let calls: &[&str] = if call.is_empty() {
                &[]
            } else {
                &["--calls", call, "--latency", "uniform:1:5"]
            };
            conf = conf.with_instance(zone, service, calls);
        }
    }
    for entry in read_dir(dir)? {
        conf = conf.with_file(&entry.0, &entry.1);
    }
    Ok(conf)
}

fn read_dir(dir: &Path) -> Result<Vec<(String, String)>, LabError> {
    let failed = |source| LabError::Io {
        what: format!("reading {}", dir.display()),
        source,
    };
    let mut files = Vec::new();
    for entry in fs::read_dir(dir).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            let name = path
                .file_name()
                .unwrap_or_default()
                .to_string_lossy()
                .into_owned();
            files.push((name, fs::read_to_string(&path).map_err(failed)?));
        }
    }
    Ok(files)
}
