use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::call_store::call_store;
use super::state::Gateway;
use super::{Position, StoreError};
use crate::catalog::{Catalog, Configuration, Instruction};
use crate::prelude::*;
use crate::replicas::ColdLimits;

/// The longest that the store holds a read for something newer.
const WAIT_MOST_MS: u64 = 1_000;

/// It holds a read for one part in so many of the time within which a withdrawn key must end:
/// what is known is up to two waits old, and a slow or lost answer must fit in as well.
const WAIT_PART: u64 = 5;

/// The longest that a read may take beyond its wait before it is given up.
const READ_SLACK_MS: u64 = 600;

/// Pause after a failed read.
const RETRY_MS: u64 = 100;

/// The configuration in force, and when it was last known to be the newest.
#[derive(Default)]
pub(super) struct ActiveConfig {
    catalog: RefCell<Option<Rc<Catalog>>>,
    confirmed_at_ms: Cell<Option<u64>>,
    /// It was confirmed to be the newest.
    pub(super) confirmed: Notify,
}

impl ActiveConfig {
    /// The configuration, if one is known.
    pub(super) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Whether the configuration was the newest `within_ms` ago, counted from the start of the read
    /// that said so. Time while the VM was suspended counts: a key may have been withdrawn then.
    pub(super) fn is_fresh(&self, within_ms: u64) -> bool {
        let age_ms = self.age_ms();
        self.catalog.borrow().is_some() && age_ms.is_some_and(|age_ms| age_ms < within_ms)
    }

    /// Milliseconds since the configuration was known to be the newest.
    pub(super) fn age_ms(&self) -> Option<u64> {
        self.confirmed_at_ms.get().map(|at| boot_ms().saturating_sub(at))
    }
}

/// A clock that goes on while the VM is suspended.
fn boot_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// Follows what the operator writes for as long as the process lives.
pub(super) async fn follow_operator(gateway: Rc<Gateway>) {
    let mut from = None;
    let mut failing = false;
    loop {
        match read_once(&gateway, from, failing).await {
            Ok(next) => {
                gateway.reachability.record_success(gateway.now());
                if std::mem::take(&mut failing) {
                    log::info!("the operator's record can be read again");
                }
                from = Some(next);
            }
            Err(fault) => {
                gateway.reachability.record_failure(gateway.now(), &fault);
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(fault:display; "the operator's record can't be read");
                }
                if fault == StoreError::Expired {
                    from = None;
                }
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

async fn read_once(
    gateway: &Rc<Gateway>,
    from: Option<Position>,
    failing: bool,
) -> Result<Position, StoreError> {
    let started_ms = boot_ms();
    // After an outage, callers wait for the first answer: it must not wait for news.
    let wait_ms = match failing {
        true => 0,
        false => WAIT_MOST_MS.min(gateway.settings.bounds.revoke_ms / WAIT_PART),
    };
    let read = gateway.store.instructions(from, wait_ms);
    let feed = call_store(wait_ms + READ_SLACK_MS, read).await?;
    let mut evacuated = match feed.is_snapshot {
        true => BTreeSet::new(),
        false => gateway.directory.borrow().evacuations().domains().clone(),
    };
    for instruction in feed.items {
        match instruction {
            Instruction::Configuration(declared) => declare(gateway, declared),
            Instruction::Evacuate(domain) => drop(evacuated.insert(domain)),
            Instruction::Restore(domain) => drop(evacuated.remove(&domain)),
        }
    }
    gateway.directory.borrow_mut().update_evacuations(gateway.now(), feed.next.0, evacuated);
    gateway.active_config.confirmed_at_ms.set(Some(started_ms));
    gateway.active_config.confirmed.notify_waiters();
    Ok(feed.next)
}

fn declare(gateway: &Gateway, declared: Configuration) {
    let version = declared.version;
    let active_config = gateway.active_config.catalog();
    match Catalog::build_if_newer(active_config.as_deref(), declared) {
        Ok(catalog) => {
            log::info!(version; "a configuration is in force");
            let mut rates = gateway.rates.borrow_mut();
            catalog.workspaces().for_each(|workspace| {
                rates.declared(gateway.now(), workspace);
            });
            gateway.directory.borrow_mut().set_cold_limits(cold_limits(gateway, &catalog));
            *gateway.active_config.catalog.borrow_mut() = Some(Rc::new(catalog));
        }
        Err(fault) => log::debug!(fault:display; "a configuration was passed over"),
    }
}

fn cold_limits(gateway: &Gateway, catalog: &Catalog) -> HashMap<Arc<str>, ColdLimits> {
    let bounds = &gateway.settings.bounds;
    let bearing = catalog.services().filter(|(_, service)| service.cold_per_s > 0.0);
    let rules = bearing.map(|(name, service)| {
        let rule = ColdLimits {
            duration_ms: service.cold_start_ms,
            requests_per_s: service.cold_per_s,
            max_requests_per_s: service.cold_per_s * bounds.cold_rate_factor
                + bounds.cold_rate_slack,
        };
        (name.clone(), rule)
    });
    rules.collect()
}
