//! Compiles published documents into the form that request handling uses.

use {
    super::{
        CompiledConfiguration, RouteRules, ServiceRules, WorkspaceRules,
        record::{ConfigurationRecord, RouteRecord, ServiceRecord, WorkspaceRecord},
    },
    crate::{
        documents::Document,
        keys::{KeysError, KeysRecord},
        model::{Names, RegionSet, WorkspaceKey},
        quota::Rate,
    },
    std::collections::HashMap,
};

/// A document that cannot be compiled.
#[derive(Debug, thiserror::Error)]
pub enum CompileError {
    /// The configuration document cannot be parsed.
    #[error("configuration document version {version} is invalid: {source}")]
    Configuration {
        /// Version of the document.
        version: u64,
        /// The parse error.
        source: serde_json::Error,
    },
    /// The keys document cannot be parsed.
    #[error("keys document version {version} is invalid: {source}")]
    Keys {
        /// Version of the document.
        version: u64,
        /// The parse error.
        source: KeysError,
    },
}

/// Compiles a configuration and the keys granted under it.
///
/// Keys granted to a workspace that the configuration does not define are
/// ignored.
pub fn compile(
    configuration: &Document,
    keys: Option<&Document>,
    names: &Names,
) -> Result<CompiledConfiguration, CompileError> {
    let record = read_configuration(configuration)?;
    let mut compiled = CompiledConfiguration {
        revision: configuration.version,
        ..CompiledConfiguration::default()
    };
    for service in record.rules.services {
        add_service(service, names, &mut compiled);
    }
    let mut workspaces = HashMap::new();
    for workspace in record.rules.workspaces {
        let key = add_workspace(&workspace, names, &mut compiled);
        workspaces.insert(workspace.name, key);
    }
    if let Some(keys) = keys {
        add_keys(keys, &workspaces, &mut compiled)?;
    }
    Ok(compiled)
}

/// Parses a configuration document.
pub fn read_configuration(document: &Document) -> Result<ConfigurationRecord, CompileError> {
    serde_json::from_slice(&document.content).map_err(|source| CompileError::Configuration {
        version: document.version,
        source,
    })
}

fn add_service(record: ServiceRecord, names: &Names, compiled: &mut CompiledConfiguration) {
    let service = names.service(&record.name);
    let rules = ServiceRules {
        service,
        retry_limit: record.retry_limit,
        routes: record.routes.into_iter().map(RouteRules::from).collect(),
    };
    if record.cold_rate_per_s > 0 {
        let cold_rate_per_s = record.cold_rate_per_s;
        compiled.cold_rates_per_s.insert(service, cold_rate_per_s);
    }
    compiled.service_names.insert(record.name, service);
    compiled.services.insert(service, rules);
}

fn add_workspace(
    record: &WorkspaceRecord,
    names: &Names,
    compiled: &mut CompiledConfiguration,
) -> WorkspaceKey {
    let workspace = names.workspace(&record.name);
    let rules = WorkspaceRules {
        workspace,
        class: None,
        regions: RegionSet::only(record.regions.iter().map(|region| names.region(region))),
        rate: Rate {
            rate_per_s: record.rate_per_s,
            burst_count: record.burst_count,
        },
        key_lease_ms: record.key_lease_ms,
    };
    compiled.restricts_regions |= !record.regions.is_empty();
    compiled.workspaces.insert(workspace, rules);
    workspace
}

fn add_keys(
    document: &Document,
    workspaces: &HashMap<String, WorkspaceKey>,
    compiled: &mut CompiledConfiguration,
) -> Result<(), CompileError> {
    let keys = KeysRecord::read(&document.content).map_err(|source| CompileError::Keys {
        version: document.version,
        source,
    })?;
    for grant in keys.granted {
        if let Some(workspace) = workspaces.get(&grant.workspace) {
            compiled.granted.insert(grant.digest, *workspace);
        }
    }
    let revoked = keys.revoked.iter().map(|revocation| revocation.digest);
    compiled.revoked.extend(revoked);
    Ok(())
}

impl From<RouteRecord> for RouteRules {
    fn from(record: RouteRecord) -> Self {
        Self {
            methods: record.methods,
            path: record.path,
            class: record.class,
            repeatable: record.repeatable,
            deadline_ms: record.deadline_ms,
        }
    }
}
