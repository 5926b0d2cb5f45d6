mod cold_limits;
mod directory;
mod health;
mod learned_choice;
mod placement;
mod topology;

use super::*;
use crate::catalog::Regions;
use crate::load::{Correction, EndpointReport};
use crate::prelude::*;

pub(crate) fn announcement(
    service: &str,
    port: u16,
    started_at_ms: u64,
    sequence: u64,
) -> Announcement {
    Announcement {
        service: service.into(),
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: "d".into(),
        slots: 2,
        draining: false,
        cold_left_ms: 0,
        started_at_ms,
        sequence,
    }
}

fn topology_in(domain: &str) -> Topology {
    let regions = [("d", "r1"), ("e", "r2")].map(|(domain, region)| (domain.into(), region.into()));
    Topology { domain: domain.into(), region: "r1".into(), regions: regions.into() }
}

fn directory_with(endpoints: &[(&str, Announcement)]) -> Directory {
    let mut directory = Directory::default();
    for (id, announcement) in endpoints {
        directory
            .apply(TimeMs(0), EndpointChange::Announcement((*id).into(), announcement.clone()));
    }
    directory
}

fn request(parts: &[(u64, u64)]) -> PlacementRequest {
    PlacementRequest {
        service: "s".into(),
        parts: parts.to_vec(),
        object: None,
        regions: Regions::default(),
        excluded: vec![],
        accepts_ejected: false,
    }
}

fn domains(names: &[&str]) -> std::collections::BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}
