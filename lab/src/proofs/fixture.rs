//! Small meshes with two availability zones and a granted key.

use {
    super::{Execution, Sent, Violation, violations},
    crate::{
        LabError,
        caller::{CallRecord, CallRequest, Caller},
        measure::read_journals,
        mesh::{ConfFile, Mesh, MeshConf},
        wait::{GENEROUS_LIMIT, wait_until},
    },
    std::net::SocketAddr,
};

/// Workspace that is never over its rate.
pub const MAIN: &str = "main";
/// Workspace with a small rate and burst.
pub const SMALL: &str = "small";
/// Burst of [`SMALL`].
pub const SMALL_BURST: usize = 10;
/// Rate of [`SMALL`].
pub const SMALL_RATE_PER_S: usize = 5;

const ZONES: [&str; 2] = ["az1", "az2"];

const WORKSPACES: &str = r#"[[workspace]]
name = "main"
rate_per_s = 2000
burst = 4000
key_lease_s = 6

[[workspace]]
name = "small"
rate_per_s = 5
burst = 10
key_lease_s = 6
"#;

/// A mesh whose callers hold one key of [`MAIN`].
#[derive(Debug)]
pub struct Fixture {
    /// The processes.
    pub mesh: Mesh,
    /// A caller with kept connections.
    pub caller: Caller,
    /// Key of [`MAIN`].
    pub key: String,
}

/// Two availability zones behind the fault proxy, each with `catalog`, which
/// calls `pricing`.
#[must_use]
pub fn pair() -> MeshConf {
    chain(&["catalog", "pricing"], 2)
}

/// Two availability zones behind the fault proxy with a chain of services;
/// each service calls the next one once for each request.
#[must_use]
pub fn chain(services: &[&str], retry_count: u32) -> MeshConf {
    let mut conf = MeshConf::new().with_proxy();
    for zone in ZONES {
        for (index, service) in services.iter().enumerate() {
            let call = services.get(index + 1).map(|next| format!("* /{next}/x"));
            let mut flags = vec!["--latency", "fixed:1"];
            if let Some(call) = &call {
                flags.extend(["--calls", call]);
            }
            conf = conf.with_instance(zone, service, &flags);
        }
    }
    for service in services {
        let name = format!("{service}.toml");
        conf = conf.with_file(&name, &service_file(service, retry_count));
    }
    conf.with_file("workspaces.toml", WORKSPACES)
}

fn service_file(service: &str, retry_count: u32) -> String {
    format!(
        r#"service = "{service}"
retries = {retry_count}
deadline_ms = 5000

[[route]]
methods = ["GET"]
path = "*"
class = "standard"
repeatable = true

[[route]]
methods = ["POST"]
path = "*"
class = "critical"
repeatable = false
"#
    )
}

impl Fixture {
    /// Starts the mesh, grants a key and waits until all nodes know it and
    /// reach every service.
    pub async fn start(conf: MeshConf) -> Result<Self, LabError> {
        let mesh = Mesh::start(conf).await?;
        let key = mesh.create_key(MAIN).await?;
        let fixture = Self {
            mesh,
            caller: Caller::new(),
            key,
        };
        fixture.wait_slices().await?;
        fixture.wait_served(&fixture.key).await?;
        Ok(fixture)
    }

    /// Waits until each node owns a part of the quota.
    async fn wait_slices(&self) -> Result<(), LabError> {
        for index in 0..self.mesh.instances.len() {
            let what = format!("{} owns slices", self.mesh.instances[index].node_id);
            wait_until(&what, GENEROUS_LIMIT, || async {
                let status = self.status(index).await?;
                (status.get("owned_slice_count")?.as_u64()? > 0).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Entries for callers, one of each node.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let instances = self.mesh.instances.iter();
        instances
            .map(|instance| instance.caller_address())
            .collect()
    }

    /// Path at the first service.
    #[must_use]
    pub fn path(&self) -> String {
        format!("/{}/x", self.mesh.instances[0].service)
    }

    /// A repeatable request with the key.
    #[must_use]
    pub fn read(&self) -> CallRequest {
        CallRequest::new("GET", &self.path()).with_key(&self.key)
    }

    /// A request with the key that may run once.
    #[must_use]
    pub fn order(&self) -> CallRequest {
        let request = CallRequest::new("POST", &self.path()).with_key(&self.key);
        request.with_body("order")
    }

    /// Sends to the node of the instance at this place.
    pub async fn send(
        &self,
        instance_index: usize,
        request: &CallRequest,
    ) -> Result<CallRecord, LabError> {
        let entry = self.entries()[instance_index];
        self.caller.send(entry, request).await
    }

    /// Like [`Fixture::send`], but sends again when the quota refuses. A node
    /// that has just started or lost a workspace's bank has no tokens for a
    /// moment; tests of other properties must not depend on it.
    pub async fn send_admitted(
        &self,
        instance_index: usize,
        request: &CallRequest,
    ) -> Result<CallRecord, LabError> {
        wait_until("the quota admits", GENEROUS_LIMIT, || async {
            let record = self.send(instance_index, request).await;
            let is_refused = record
                .as_ref()
                .is_ok_and(|record| record.reason.as_deref() == Some("over-quota"));
            (!is_refused).then_some(record)
        })
        .await?
    }

    /// Waits until each node answers a read with this key by a whole answer.
    pub async fn wait_served(&self, key: &str) -> Result<(), LabError> {
        for index in 0..self.mesh.instances.len() {
            self.wait_status(index, key, 200).await?;
        }
        Ok(())
    }

    /// Waits until a node answers reads with this key by this status.
    pub async fn wait_status(
        &self,
        instance_index: usize,
        key: &str,
        status: u16,
    ) -> Result<(), LabError> {
        let node_id = &self.mesh.instances[instance_index].node_id;
        let what = format!("{node_id} answers with status {status}");
        wait_until(&what, GENEROUS_LIMIT, || async {
            let request = CallRequest::new("GET", &self.path()).with_key(key);
            let record = self.send(instance_index, &request).await.ok()?;
            (record.status == Some(status)).then_some(())
        })
        .await
    }

    /// Revision in force on a node, as operators see it; none if the node does
    /// not answer.
    pub async fn revision(&self, instance_index: usize) -> Option<u64> {
        let status = self.status(instance_index).await?;
        status.get("revision")?.as_u64()
    }

    /// Status of a node, as operators see it; none if it does not answer.
    pub async fn status(&self, instance_index: usize) -> Option<serde_json::Value> {
        let address = self.mesh.instances[instance_index].control_address();
        let arguments = [
            "--output",
            "json",
            "status",
            "--nodes",
            &address.to_string(),
        ];
        let output = self.mesh.ctl_bare(&arguments).await.ok()?;
        let report: serde_json::Value = serde_json::from_str(&output.stdout).ok()?;
        let node_id = &self.mesh.instances[instance_index].node_id;
        let nodes = report.get("nodes")?.as_array()?;
        let of_node = |node: &&serde_json::Value| node["node_id"] == node_id.as_str();
        let status = &nodes.iter().find(of_node)?["status"];
        (!status.is_null()).then(|| status.clone())
    }

    /// Files of the configuration with a different retry limit, and so with
    /// different content, for a further publication.
    #[must_use]
    pub fn changed_files(&self, retry_count: u32) -> Vec<ConfFile> {
        let mut services: Vec<&str> = Vec::new();
        for instance in &self.mesh.instances {
            if !services.contains(&instance.service.as_str()) {
                services.push(&instance.service);
            }
        }
        let files = services.into_iter().map(|service| ConfFile {
            name: format!("{service}.toml"),
            text: service_file(service, retry_count),
        });
        let workspaces = ConfFile {
            name: "workspaces.toml".to_owned(),
            text: WORKSPACES.to_owned(),
        };
        files.chain([workspaces]).collect()
    }

    /// Requests that the targets saw, also those of targets that were killed.
    pub fn executions(&self) -> Result<Vec<Execution>, LabError> {
        read_journals(&self.mesh)
    }

    /// What the callers' records and the targets' journals show together that
    /// must never be.
    pub fn violations(&self, sent: &[Sent]) -> Result<Vec<Violation>, LabError> {
        let keys = [self.key.clone()];
        Ok(violations(sent, &self.executions()?, &keys))
    }
}
