//! The mesh whose cost is measured: 2 regions with 3 availability zones each.

use crate::mesh::{ConfFile, MeshConf};

const ZONES_PER_REGION: usize = 3;
const ZONE_COUNT: usize = 6;
const SERVICE_COUNT: usize = 6;

/// A mesh of this many nodes, each beside a small target.
pub(super) fn mesh(node_count: usize) -> MeshConf {
    let mut conf = MeshConf::new();
    for index in 0..node_count {
        let zone = index % ZONE_COUNT;
        let service = format!("service-{}", index / ZONE_COUNT % SERVICE_COUNT);
        let flags = ["--latency", "fixed:0"];
        conf = conf.with_instance(&format!("zone-{zone}"), &service, &flags);
        if let Some(instance) = conf.instances.last_mut() {
            instance.region = Some(format!("region-{}", zone / ZONES_PER_REGION));
        }
    }
    conf.files = files(0);
    conf
}

/// The configuration after this many changes.
pub(super) fn files(change: u64) -> Vec<ConfFile> {
    let mut files: Vec<ConfFile> = (0..SERVICE_COUNT).map(service_file).collect();
    let rate_per_s = 1_000 + change;
    files.push(ConfFile {
        name: "workspaces.toml".to_owned(),
        text: format!(
            "[[workspace]]\nname = \"dealers\"\nrate_per_s = {rate_per_s}\nburst = 2000\nkey_lease_s = 60\n"
        ),
    });
    files
}

fn service_file(index: usize) -> ConfFile {
    ConfFile {
        name: format!("service-{index}.toml"),
        text: format!(
            "service = \"service-{index}\"\nretries = 2\ndeadline_ms = 5000\n\n\
             [[route]]\nmethods = [\"GET\"]\npath = \"prices/*\"\nclass = \"browse\"\nrepeatable = true\n"
        ),
    }
}
