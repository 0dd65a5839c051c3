//! Reads scenario files and checks them.

use {
    super::Scenario,
    crate::{
        LabError,
        mesh::{ConfFile, InstanceConf, MeshConf},
    },
    std::{fmt::Write, fs, path::Path},
};

/// Most requests a second that a scenario may offer: the load stays on this
/// machine, which others may use too.
const MAX_RATE_PER_S: f64 = 20_000.0;
const MAX_DURATION_S: u64 = 600;

impl Scenario {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Self, LabError> {
        let text = fs::read_to_string(path);
        Self::parse(&text.map_err(LabError::io(path.display().to_string()))?)
    }

    /// Reads a text.
    pub fn parse(text: &str) -> Result<Self, LabError> {
        let scenario: Self = toml::from_str(text).map_err(|error| LabError::Scenario {
            message: error.to_string(),
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), LabError> {
        let fail = |message: String| Err(LabError::Scenario { message });
        if self.duration_s == 0 || self.duration_s > MAX_DURATION_S {
            return fail(format!("duration_s must lie in 1..={MAX_DURATION_S}"));
        }
        if let Some(overload) = &self.overload {
            if overload.possible_per_s <= 0.0 || overload.possible_per_s.is_nan() {
                return fail("overload: possible_per_s must be over 0".to_owned());
            }
            let is_load = |name: &&String| self.loads.iter().any(|load| load.name == **name);
            if let Some(name) = overload.critical_loads.iter().find(|name| !is_load(name)) {
                return fail(format!("overload: no load {name:?}"));
            }
        }
        for load in &self.loads {
            if !self.workspaces.iter().any(|w| w.name == load.workspace) {
                return fail(format!("load {:?}: no such workspace", load.name));
            }
            let factors = load.steps.iter().map(|step| step.factor);
            let largest = factors.fold(1.0, f64::max) * load.rate_per_s;
            if !(load.rate_per_s > 0.0 && largest <= MAX_RATE_PER_S) {
                return fail(format!(
                    "load {:?}: rate_per_s must lie over 0 and up to {MAX_RATE_PER_S} with all steps",
                    load.name
                ));
            }
            if load.caller_count == 0 {
                return fail(format!("load {:?}: caller_count is 0", load.name));
            }
        }
        for fault in &self.faults {
            if fault.until_s.is_some_and(|until_s| until_s < fault.at_s) {
                return fail(format!("fault at {} s ends before it begins", fault.at_s));
            }
        }
        Ok(())
    }

    /// The mesh, with workspaces as a file of the configuration.
    #[must_use]
    pub fn mesh(&self) -> MeshConf {
        let instances = self.groups.iter().flat_map(|group| {
            let instance = InstanceConf {
                zone: group.zone.clone(),
                region: None,
                service: group.service.clone(),
                target_flags: group.target_flags.clone(),
                node_flags: self.node_flags.clone(),
            };
            std::iter::repeat_n(instance, group.count)
        });
        MeshConf {
            instances: instances.collect(),
            files: self.published_files(),
            behind_proxy: self.behind_proxy,
            without_nodes: self.without_nodes,
        }
    }

    fn published_files(&self) -> Vec<ConfFile> {
        if self.without_nodes {
            return Vec::new();
        }
        let mut files = self.files.clone();
        files.push(ConfFile {
            name: "workspaces.toml".to_owned(),
            text: self.workspaces_file(),
        });
        files
    }

    /// When the last cause of trouble ends, since the start of the load:
    /// faults are lifted and surges are over.
    #[must_use]
    pub fn cause_end_s(&self) -> Option<f64> {
        let faults = self.faults.iter().filter_map(|fault| fault.until_s);
        let steps = self.loads.iter().flat_map(|load| {
            let is_normal = |step: &&super::LoadStep| step.factor <= 1.0;
            load.steps.iter().filter(is_normal).map(|step| step.at_s)
        });
        faults.chain(steps).reduce(f64::max)
    }

    /// When the first cause of trouble begins.
    #[must_use]
    pub fn cause_start_s(&self) -> Option<f64> {
        let faults = self.faults.iter().map(|fault| fault.at_s);
        let steps = self.loads.iter().flat_map(|load| &load.steps);
        faults.chain(steps.map(|step| step.at_s)).reduce(f64::min)
    }

    fn workspaces_file(&self) -> String {
        let mut text = String::new();
        for workspace in &self.workspaces {
            let _ = writeln!(
                text,
                "[[workspace]]\nname = {:?}\nrate_per_s = {}\nburst = {}\nkey_lease_s = {}\n",
                workspace.name, workspace.rate_per_s, workspace.burst, workspace.key_lease_s
            );
        }
        text
    }
}
