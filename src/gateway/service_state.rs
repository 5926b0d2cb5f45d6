use super::state::Gateway;
use crate::load::{Rank, ServiceLoad, ServiceTimes};
use crate::mechanisms::Mechanism;
use crate::prelude::*;

/// The state of load control for one service, as this entry knows it.
pub(super) struct ServiceState {
    pub(super) service: Arc<str>,
    pub(super) load: ServiceLoad,
    /// The requests that the service may have in flight. None if admission control is switched off.
    pub(super) limit_slots: Option<f64>,
    /// The number of programs in this entry's waiting list, by rank.
    pub(super) waiting: [usize; Rank::COUNT],
    /// The learned times and paces. None before the first measured turn.
    pub(super) learned: Option<LearnedState>,
}

/// What this entry has measured of a service, or was told by other entries.
pub(super) struct LearnedState {
    pub(super) times: ServiceTimes,
    /// The lowest and the highest pace of the service's measured endpoints.
    pub(super) pace_range: (f64, f64),
}

impl ServiceState {
    /// The number of programs in this entry's waiting list.
    pub(super) fn total_waiting(&self) -> usize {
        self.waiting.iter().sum()
    }
}

impl Gateway {
    /// The state of each service under load control, by name.
    pub(super) fn service_states(&self) -> Vec<ServiceState> {
        let Some(catalog) = self.active_config.catalog() else {
            return Vec::new();
        };
        let mut services: Vec<_> = catalog.load_controlled().iter().collect();
        services.sort();
        services.into_iter().map(|service| self.service_state(service)).collect()
    }

    fn service_state(&self, service: &Arc<str>) -> ServiceState {
        let now = self.now();
        let load = self.service_load(service);
        let admissions = self.program_admissions.borrow();
        let admission = admissions.get(service);
        let limit_fraction = admission.map_or(1.0, |admission| admission.limit_fraction(now));
        let is_limited = self.is_enabled(Mechanism::LoadAdmission);
        ServiceState {
            service: service.clone(),
            load,
            limit_slots: is_limited.then(|| f64::from(load.slots) * limit_fraction),
            waiting: admission
                .map(|admission| admission.waiting_list().waiting_by_rank(now))
                .unwrap_or_default(),
            learned: self.learned_state(now, service),
        }
    }

    fn learned_state(&self, now: TimeMs, service: &Arc<str>) -> Option<LearnedState> {
        let placement = self.placement.borrow();
        let paces = placement.paces();
        let times = paces.service_times().find(|times| times.service == *service)?;
        // Endpoints of which nothing is known have pace 1.
        let pace_range = paces.pace_range(now, service).unwrap_or((1.0, 1.0));
        Some(LearnedState { times, pace_range })
    }
}
