use std::collections::BTreeMap;

use crate::prelude::*;

/// The location of this process, and the region of each failure domain.
#[value]
#[derive(Default)]
pub struct Topology {
    /// The process's own failure domain.
    pub domain: Arc<str>,
    /// The process's own region.
    pub region: Arc<str>,
    /// The region of each failure domain.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
}

impl Topology {
    /// The region of a failure domain, if it is known.
    pub fn region_of(&self, domain: &str) -> Option<&str> {
        self.regions.get(domain).map(|region| &**region)
    }

    /// Whether any failure domain is in a region other than the process's own.
    pub fn has_other_regions(&self) -> bool {
        self.regions.values().any(|region| *region != self.region)
    }
}
