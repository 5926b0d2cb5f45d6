//! Turns of load-controlled routes that wait for the store at this entry. None of them is in flight
//! at an endpoint, but all of them, or the next turns of their programs, are as soon as the store
//! answers.

use std::rc::Rc;

use super::RoutingDecision;
use super::state::Gateway;
use crate::prelude::*;

/// A turn that waits for the store until this is dropped.
pub(super) struct StoreWait {
    gateway: Rc<Gateway>,
    service: Arc<str>,
}

impl Gateway {
    /// Counts a turn that starts to wait for the store, if its route is under load control.
    pub(super) fn begin_store_wait(
        self: &Rc<Gateway>,
        routing: &RoutingDecision,
    ) -> Option<StoreWait> {
        routing.is_load_controlled().then(|| {
            let service = routing.service.clone();
            *self.store_waits.borrow_mut().entry(service.clone()).or_default() += 1;
            StoreWait { gateway: self.clone(), service }
        })
    }

    /// The number of turns to a service that wait for the store at this entry.
    pub(super) fn store_waits(&self, service: &str) -> u32 {
        self.store_waits.borrow().get(service).copied().unwrap_or(0)
    }
}

impl Drop for StoreWait {
    fn drop(&mut self) {
        if let Some(count) = self.gateway.store_waits.borrow_mut().get_mut(&self.service) {
            *count = count.saturating_sub(1);
        }
    }
}
