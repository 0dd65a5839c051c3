//! The mesh of the demonstration: two availability zones, two services.

use crate::mesh::MeshConf;

/// Workspace whose requests are inside its rate.
pub(super) const DEALERS: &str = "northwind-dealers";
/// Workspace that sends more than its burst.
pub(super) const SHOP: &str = "second-shelf";
/// Burst of [`SHOP`].
pub(super) const SHOP_BURST: usize = 10;

const CATALOG: &str = r#"# Price lists for dealers; asks pricing for each answer.
service = "catalog"
retries = 2
deadline_ms = 5000

[[route]]
methods = ["GET"]
path = "prices/*"
class = "browse"
repeatable = true

[[route]]
methods = ["POST"]
path = "orders"
class = "critical"
repeatable = false
"#;

const PRICING: &str = r#"# Prices that catalog asks for.
service = "pricing"
retries = 2
deadline_ms = 3000

[[route]]
methods = ["GET"]
path = "quotes/*"
class = "standard"
repeatable = true

[[route]]
methods = ["POST"]
path = "quotes/*"
class = "critical"
repeatable = false
"#;

const WORKSPACES: &str = r#"[[workspace]]
name = "northwind-dealers"
rate_per_s = 1000
burst = 2000
key_lease_s = 60

[[workspace]]
name = "second-shelf"
rate_per_s = 1
burst = 10
key_lease_s = 60
"#;

pub(super) fn mesh() -> MeshConf {
    let catalog_flags = ["--latency", "uniform:1:3", "--calls", "* /pricing/quotes/7"];
    let pricing_flags = ["--latency", "fixed:0", "--answer-bytes", "500"];
    MeshConf::new()
        .with_instance("az1", "catalog", &catalog_flags)
        .with_instance("az1", "pricing", &pricing_flags)
        .with_instance("az2", "catalog", &catalog_flags)
        .with_instance("az2", "pricing", &pricing_flags)
        .with_file("catalog.toml", CATALOG)
        .with_file("pricing.toml", PRICING)
        .with_file("workspaces.toml", WORKSPACES)
}
