use std::collections::{HashMap, HashSet};
use std::fmt;

use super::{Limits, Route, Service, Workspace};
use crate::prelude::*;

/// A configuration as the operator has written it.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Configuration {
    /// Version; a higher one is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services, by name.
    pub services: Vec<(Arc<str>, Service)>,
    /// All workspaces, each with the digests of its API keys.
    pub workspaces: Vec<(Workspace, Vec<Digest>)>,
    /// Limits on what callers may send.
    pub limits: Limits,
}

/// Why a configuration was rejected.
#[value]
#[derive(Copy)]
pub enum CatalogError {
    /// Its version is not higher than that of the configuration in force.
    NotNewer {
        /// The version in force.
        in_force: u64,
        /// The version offered.
        offered: u64,
    },
}

impl fmt::Display for CatalogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CatalogError::NotNewer { in_force, offered } => {
                write!(
                    f,
                    "configuration version {offered} rejected: it must be higher than {in_force}, \
                     the version in force"
                )
            }
        }
    }
}

impl std::error::Error for CatalogError {}

/// A configuration indexed for lookups.
#[derive(Debug)]
pub struct Catalog {
    version: u64,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Service>,
    workspaces: Vec<Arc<Workspace>>,
    keys: HashMap<Digest, Arc<Workspace>>,
    limits: Limits,
    /// The services that a route under load control leads to.
    load_controlled: HashSet<Arc<str>>,
}

impl Catalog {
    /// Indexes `configuration`, whose version must be higher than that of `in_force`: a process
    /// instance never returns to an earlier configuration.
    pub fn build_if_newer(
        in_force: Option<&Catalog>,
        configuration: Configuration,
    ) -> Result<Catalog, CatalogError> {
        let offered = configuration.version;
        match in_force.map(|catalog| catalog.version) {
            Some(in_force) if offered <= in_force => {
                Err(CatalogError::NotNewer { in_force, offered })
            }
            _ => Ok(Catalog::index(configuration)),
        }
    }

    fn index(configuration: Configuration) -> Catalog {
        let load_controlled = configuration
            .routes
            .iter()
            .filter(|route| route.is_load_controlled())
            .flat_map(|route| route.backends.iter().map(|backend| backend.service.clone()))
            .collect();
        let mut routes: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in configuration.routes {
            routes.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = HashMap::new();
        let mut workspaces = Vec::new();
        for (workspace, digests) in configuration.workspaces {
            let workspace = Arc::new(workspace);
            keys.extend(digests.into_iter().map(|digest| (digest, workspace.clone())));
            workspaces.push(workspace);
        }
        let services = configuration.services.into_iter().collect();
        let (version, limits) = (configuration.version, configuration.limits);
        Catalog { version, routes, services, workspaces, keys, limits, load_controlled }
    }

    /// The version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on what callers may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Among the routes of `host` whose prefix `path` starts with, the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_routes = self.routes.get(host)?;
        host_routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// All services, by name.
    pub fn services(&self) -> impl Iterator<Item = (&Arc<str>, &Service)> {
        self.services.iter()
    }

    /// The service with this name, if it is configured.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The services under load control: those that a route under load control leads to.
    pub fn load_controlled(&self) -> &HashSet<Arc<str>> {
        &self.load_controlled
    }

    /// Whether a service with this name is configured.
    pub fn has_service(&self, name: &str) -> bool {
        self.services.contains_key(name)
    }

    /// The workspace that the API key with this digest belongs to.
    pub fn workspace_by_key(&self, key: Digest) -> Option<&Arc<Workspace>> {
        self.keys.get(&key)
    }

    /// All workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.iter()
    }

    /// Whether callers must present an API key: only if the configuration has workspaces.
    pub fn requires_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }
}
