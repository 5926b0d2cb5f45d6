use std::collections::HashMap;
use std::fmt;

use super::{Limits, Route, Service, Workspace};
use crate::prelude::*;

/// A configuration as its author declared it.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Its version; higher is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services, by name.
    pub services: Vec<(Arc<str>, Service)>,
    /// All workspaces with their keys.
    pub workspaces: Vec<(Workspace, Vec<Digest>)>,
    /// What callers may send.
    pub limits: Limits,
}

/// Why a configuration was not taken.
#[value]
#[derive(Copy)]
pub enum CatalogFault {
    /// It is not newer than the one in force.
    NotNewer {
        /// The version in force.
        in_force: u64,
        /// The version offered.
        offered: u64,
    },
}

impl fmt::Display for CatalogFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CatalogFault::NotNewer { in_force, offered } => {
                write!(f, "version {offered} is not newer than {in_force}, which is in force")
            }
        }
    }
}

impl std::error::Error for CatalogFault {}

/// A configuration, indexed for look-ups.
#[derive(Debug)]
pub struct Catalog {
    version: u64,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Service>,
    workspaces: Vec<Arc<Workspace>>,
    keys: HashMap<Digest, Arc<Workspace>>,
    limits: Limits,
}

impl Catalog {
    /// Indexes `declared`, which must be newer than `in_force`: a configuration never goes back
    /// within the life of a process.
    pub fn build_if_newer(
        in_force: Option<&Catalog>,
        declared: Configuration,
    ) -> Result<Catalog, CatalogFault> {
        let offered = declared.version;
        match in_force.map(|catalog| catalog.version) {
            Some(in_force) if offered <= in_force => {
                Err(CatalogFault::NotNewer { in_force, offered })
            }
            _ => Ok(Catalog::index(declared)),
        }
    }

    fn index(declared: Configuration) -> Catalog {
        let mut routes: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in declared.routes {
            routes.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = HashMap::new();
        let mut workspaces = Vec::new();
        for (workspace, digests) in declared.workspaces {
            let workspace = Arc::new(workspace);
            keys.extend(digests.into_iter().map(|digest| (digest, workspace.clone())));
            workspaces.push(workspace);
        }
        let services = declared.services.into_iter().collect();
        let (version, limits) = (declared.version, declared.limits);
        Catalog { version, routes, services, workspaces, keys, limits }
    }

    /// Its version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What callers may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.routes.get(host)?;
        of_host.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// All services as declared, by name.
    pub fn services(&self) -> impl Iterator<Item = (&Arc<str>, &Service)> {
        self.services.iter()
    }

    /// A service as declared.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Whether a service is declared at all.
    pub fn has_service(&self, name: &str) -> bool {
        self.services.contains_key(name)
    }

    /// The workspace that holds a key.
    pub fn workspace_by_key(&self, key: Digest) -> Option<&Arc<Workspace>> {
        self.keys.get(&key)
    }

    /// All workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.iter()
    }

    /// Whether the configuration has workspaces; without any, no key is asked for.
    pub fn requires_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }
}
