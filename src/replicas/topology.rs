use std::collections::BTreeMap;

use crate::prelude::*;

/// Where this process is, and which region each failure domain lies in.
#[value]
#[derive(Default)]
pub struct Topology {
    /// The process's own failure domain.
    pub domain: Arc<str>,
    /// Its own region.
    pub region: Arc<str>,
    /// The region of each failure domain.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
}

impl Topology {
    /// The region of a failure domain, if it is known.
    pub fn region_of(&self, domain: &str) -> Option<&str> {
        self.regions.get(domain).map(|region| &**region)
    }

    /// Whether there is another region than the process's own.
    pub fn has_other_regions(&self) -> bool {
        self.regions.values().any(|region| *region != self.region)
    }
}
