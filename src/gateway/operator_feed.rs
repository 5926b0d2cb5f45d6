use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::call_store::{NEXT_PART_PAUSE_MS, call_store};
use super::leaf_feed::configuration_comes_from_hub;
use super::state::Gateway;
use super::{Position, StoreError};
use crate::catalog::{Catalog, Configuration, Instruction};
use crate::prelude::*;
use crate::replicas::ColdLimits;

/// Maximum time that the store holds a read (long poll) while there is nothing new.
const MAX_LONG_POLL_MS: u64 = 1_000;

/// At least this many long polls fit into `revoke_ms`, the time within which a withdrawn key must
/// stop being served. What is known is up to two long polls old, and a slow or lost answer must fit
/// in as well.
const MIN_LONG_POLLS_PER_REVOCATION: u64 = 5;

/// A read times out when it takes this much longer than its long poll.
const READ_TIMEOUT_SLACK_MS: u64 = 600;

/// Pause after a failed read.
const RETRY_MS: u64 = 100;

/// The configuration in force, and when it was last confirmed to be the newest.
#[derive(Default)]
pub(super) struct ActiveConfig {
    catalog: RefCell<Option<Rc<Catalog>>>,
    /// The same as the operator has written it, for the leaves.
    configuration: RefCell<Option<Rc<Configuration>>>,
    confirmed_at_ms: Cell<Option<u64>>,
    /// Notified each time a read confirms that the configuration is the newest.
    pub(super) confirmed: Notify,
}

impl ActiveConfig {
    /// The configuration in force, if one has been read yet.
    pub(super) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// The configuration in force as the operator has written it.
    pub(super) fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Records that a read that began at `started_ms`, in time since the VM booted, and reached the
    /// end of the operator's record has confirmed the configuration to be the newest.
    pub(super) fn confirm(&self, started_ms: u64) {
        let latest = self.confirmed_at_ms.get().map_or(started_ms, |at| at.max(started_ms));
        self.confirmed_at_ms.set(Some(latest));
        self.confirmed.notify_waiters();
    }

    /// Whether the configuration was confirmed to be the newest less than `within_ms` ago, counted
    /// from the start of the read that confirmed it. Time during which the VM was suspended counts
    /// too: a key may have been withdrawn meanwhile.
    pub(super) fn is_fresh(&self, within_ms: u64) -> bool {
        let age_ms = self.age_ms();
        self.catalog.borrow().is_some() && age_ms.is_some_and(|age_ms| age_ms < within_ms)
    }

    /// Milliseconds since the start of the last read that confirmed the configuration to be the
    /// newest; `None` before the first one.
    pub(super) fn age_ms(&self) -> Option<u64> {
        self.confirmed_at_ms.get().map(|at| boot_time_ms().saturating_sub(at))
    }
}

/// Time since the VM booted, including the time during which it was suspended.
pub(super) fn boot_time_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// Follows the operator's record, which holds configurations and evacuations, until the process
/// exits.
pub(super) async fn follow_operator_record(gateway: Rc<Gateway>) {
    let mut from = None;
    let mut failing = false;
    let mut reads_itself = false;
    loop {
        if configuration_comes_from_hub(&gateway) {
            from = None;
            reads_itself = false;
            tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            continue;
        }
        if gateway.is_leaf() && !std::mem::replace(&mut reads_itself, true) {
            log::info!("no hub confirms the configuration; reading the store");
        }
        match read_once(&gateway, from, failing).await {
            Ok(next) => {
                gateway.reachability.record_success(gateway.now());
                if std::mem::take(&mut failing) {
                    log::info!("operator's record readable again");
                }
                from = Some(next);
            }
            Err(StoreError::Expired) if from.take().is_some() => {
                gateway.reachability.record_success(gateway.now());
                log::info!("instructions of the operator were dropped unread; reading all of them");
            }
            Err(fault) => {
                gateway.reachability.record_failure(gateway.now(), &fault);
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(fault:display;
                        "cannot read the operator's record; keeping what is known and retrying");
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
    let started_ms = boot_time_ms();
    // Callers that arrived during an outage wait for the first successful read, so the store must
    // not hold it until there is something new.
    let wait_ms = match failing {
        true => 0,
        false => {
            MAX_LONG_POLL_MS.min(gateway.settings.bounds.revoke_ms / MIN_LONG_POLLS_PER_REVOCATION)
        }
    };
    let read = gateway.store.instructions(from, wait_ms);
    let feed = call_store(wait_ms + READ_TIMEOUT_SLACK_MS, read).await?;
    let mut evacuated = match feed.is_snapshot {
        true => BTreeSet::new(),
        false => gateway.directory.borrow().evacuations().domains().clone(),
    };
    let reaches_end = feed.reaches_end();
    for instruction in feed.items {
        match instruction {
            Instruction::Configuration(configuration) => {
                apply_configuration(gateway, configuration)
            }
            Instruction::Evacuate(domain) => drop(evacuated.insert(domain)),
            Instruction::Restore(domain) => drop(evacuated.remove(&domain)),
        }
    }
    gateway.directory.borrow_mut().update_evacuations(gateway.now(), feed.next.0, evacuated);
    match reaches_end {
        true => gateway.active_config.confirm(started_ms),
        false => tokio::time::sleep(Duration::from_millis(NEXT_PART_PAUSE_MS)).await,
    }
    Ok(feed.next)
}

pub(super) fn apply_configuration(gateway: &Gateway, configuration: Configuration) {
    let version = configuration.version;
    let current = gateway.active_config.catalog();
    match Catalog::build_if_newer(current.as_deref(), configuration.clone()) {
        Ok(catalog) => {
            log::info!(version; "new configuration in force");
            let mut rates = gateway.rates.borrow_mut();
            catalog.workspaces().for_each(|workspace| {
                rates.open_window(gateway.now(), workspace);
            });
            gateway.directory.borrow_mut().set_cold_limits(cold_limits(gateway, &catalog));
            gateway
                .program_admissions
                .borrow_mut()
                .retain(|service, _| catalog.load_controlled().contains(service));
            gateway.placement.borrow_mut().set_load_controlled(catalog.load_controlled());
            *gateway.active_config.catalog.borrow_mut() = Some(Rc::new(catalog));
            gateway.active_config.configuration.replace(Some(Rc::new(configuration)));
        }
        Err(fault) => log::debug!(fault:display; "configuration ignored"),
    }
}

/// The limits of cold endpoints, for each service that sets a rate for them.
fn cold_limits(gateway: &Gateway, catalog: &Catalog) -> HashMap<Arc<str>, ColdLimits> {
    let bounds = &gateway.settings.bounds;
    let with_cold_rate = catalog.services().filter(|(_, service)| service.cold_per_s > 0.0);
    let limits = with_cold_rate.map(|(name, service)| {
        let service_limits = ColdLimits {
            duration_ms: service.cold_start_ms,
            requests_per_s: service.cold_per_s,
            max_requests_per_s: service.cold_per_s * bounds.cold_rate_factor
                + bounds.cold_rate_slack,
        };
        (name.clone(), service_limits)
    });
    limits.collect()
}
