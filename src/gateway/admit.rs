//! Whose a request is, and whether its workspace's rate has room for it.

use std::time::Duration;

use super::observe::Seen;
use super::state::Gateway;
use super::{Call, Refusal};
use crate::catalog::{Catalog, Route, Workspace};
use crate::mechanisms::Mechanism;
use crate::prelude::*;
use crate::quota::{Claim, Grant};

/// Part of its time that a request waits for its workspace's rate at most: the wait is shorter than its
/// caller's pause, and the rest of the time is enough to come back once.
const RATE_WAIT_PART: f64 = 0.4;

/// The longest wait for a workspace's rate: callers give a stream up that nothing is heard of after
/// two seconds.
const RATE_WAIT_MOST_MS: u64 = 1_500;

/// A request that begins a program waits for this part of the time that its operator aims at: a program
/// that begins late ends late, and the next one can still be in time.
const BEGIN_WAIT_PART: f64 = 0.25;

/// The longest time that a program may book, whatever its caller says.
const PROGRAM_MOST_MS: u64 = 3_600_000;

/// A request that may be served.
pub(super) struct Admission {
    /// Its workspace; none where no key is asked for.
    pub(super) workspace: Option<Arc<Workspace>>,
    grant: Option<Grant>,
}

impl Admission {
    /// The request has not run, and will not.
    pub(super) fn give_back(self, gateway: &Gateway) {
        if let (Some(workspace), Some(grant)) = (self.workspace, self.grant) {
            gateway.rates.borrow_mut().give_back(gateway.now(), &workspace.name, grant);
        }
    }
}

/// Admits a request, or says why not.
pub(super) async fn admit(
    gateway: &Gateway,
    catalog: &Catalog,
    route: &Route,
    call: &Call,
    seen: &mut Seen,
) -> Result<Admission, Refusal> {
    if route.public || !catalog.asks_for_keys() {
        return Ok(Admission { workspace: None, grant: None });
    }
    let key = call.key.ok_or(Refusal::UnknownKey)?;
    let workspace = catalog.holder(key).ok_or(Refusal::UnknownKey)?;
    seen.workspace = Some(workspace.name.clone());
    let claim = claim(gateway, call, route);
    match take_rate(gateway, workspace, route, call, claim).await {
        Ok(grant) => Ok(Admission { workspace: Some(workspace.clone()), grant: Some(grant) }),
        Err(retry_after_ms) => {
            let (used, limit) = gateway.rates.borrow().used(&workspace.name);
            let peering = gateway.peers.borrow().peering(gateway.now());
            let finish_ms = call.finish_ms.unwrap_or(u64::MAX);
            log::info!(request:% = call.request, workspace:% = workspace.name, claim = claim.name(),
                finish_ms, retry_after_ms, used, limit, entries = peering.entries,
                heard = peering.heard, config = catalog.version(); "over the rate");
            Err(Refusal::OverRate { retry_after_ms })
        }
    }
}

/// Takes a request out of its workspace's rate. If there is room soon, it waits: coming back would
/// take its caller longer, and a program that is refused in its middle has wasted all before.
async fn take_rate(
    gateway: &Gateway,
    workspace: &Workspace,
    route: &Route,
    call: &Call,
    claim: Claim,
) -> Result<Grant, u64> {
    let arrived = gateway.now();
    let left_ms = call.wait_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let wait_most_ms = match claim {
        Claim::Begins { .. } => (route.target_ms as f64 * BEGIN_WAIT_PART) as u64,
        Claim::GoesOn => ((left_ms as f64 * RATE_WAIT_PART) as u64).min(RATE_WAIT_MOST_MS),
    };
    loop {
        let now = gateway.now();
        let peering = gateway.peers.borrow().peering(now);
        let taken = gateway.rates.borrow_mut().take(now, workspace, peering, claim);
        match taken {
            Err(retry_after_ms) if now.since(arrived) + retry_after_ms <= wait_most_ms => {
                tokio::time::sleep(Duration::from_millis(retry_after_ms)).await;
            }
            taken => return taken,
        }
    }
}

/// What a request means to its program, as far as its rate goes.
fn claim(gateway: &Gateway, call: &Call, route: &Route) -> Claim {
    if call.most_tokens == 0 || !gateway.has(Mechanism::WholePrograms) {
        return Claim::GoesOn;
    }
    match (&call.program, &call.previous, call.finish_ms) {
        (Some(_), None, Some(finish_ms)) if route.keeps_history => {
            Claim::Begins { length_ms: finish_ms.min(PROGRAM_MOST_MS) }
        }
        _ => Claim::GoesOn,
    }
}
