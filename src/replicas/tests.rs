mod cold;
mod directory;
mod health;
mod placement;
mod places;

use super::*;
use crate::catalog::Regions;
use crate::prelude::*;

fn announced(service: &str, port: u16, born_ms: u64, sequence: u64) -> Announced {
    Announced {
        service: service.into(),
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: "d".into(),
        slots: 2,
        leaving: false,
        cold_left_ms: 0,
        born_ms,
        sequence,
    }
}

fn at(domain: &str) -> Places {
    let regions = [("d", "r1"), ("e", "r2")].map(|(domain, region)| (domain.into(), region.into()));
    Places { domain: domain.into(), region: "r1".into(), regions: regions.into() }
}

fn with(entries: &[(&str, Announced)]) -> Directory {
    let mut directory = Directory::default();
    for (id, entry) in entries {
        directory.apply(TimeMs(0), Change::Announced((*id).into(), entry.clone()));
    }
    directory
}

fn want(parts: &[(u64, u64)]) -> Want {
    Want {
        service: "s".into(),
        parts: parts.to_vec(),
        object: None,
        regions: Regions::default(),
        not: vec![],
        accepts_ejected: false,
    }
}

fn domains(names: &[&str]) -> std::collections::BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}
