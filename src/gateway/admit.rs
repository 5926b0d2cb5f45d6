//! Whose a request is, and whether its workspace's rate has room for it.

use std::time::Duration;

use super::observe::RequestSummary;
use super::state::Gateway;
use super::{Refusal, RequestHead};
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
    pub(super) fn refund(self, gateway: &Gateway) {
        if let (Some(workspace), Some(grant)) = (self.workspace, self.grant) {
            gateway.rates.borrow_mut().refund(gateway.now(), &workspace.name, grant);
        }
    }
}

/// Admits a request, or says why not.
pub(super) async fn admit(
    gateway: &Gateway,
    catalog: &Catalog,
    route: &Route,
    call: &RequestHead,
    summary: &mut RequestSummary,
) -> Result<Admission, Refusal> {
    if route.public || !catalog.requires_keys() {
        return Ok(Admission { workspace: None, grant: None });
    }
    let key = call.key.ok_or(Refusal::UnknownKey)?;
    let workspace = catalog.workspace_by_key(key).ok_or(Refusal::UnknownKey)?;
    summary.workspace = Some(workspace.name.clone());
    let claim = claim(gateway, call, route);
    match take_rate(gateway, workspace, route, call, claim).await {
        Ok(grant) => Ok(Admission { workspace: Some(workspace.clone()), grant: Some(grant) }),
        Err(retry_after_ms) => {
            let (used, limit) = gateway.rates.borrow().used(&workspace.name);
            let peer_counts = gateway.peers.borrow().peer_counts(gateway.now());
            let finish_ms = call.finish_ms.unwrap_or(u64::MAX);
            log::info!(request:% = call.request, workspace:% = workspace.name, claim = claim.name(),
                finish_ms, retry_after_ms, used, limit, entries = peer_counts.entries,
                heard = peer_counts.heard, config = catalog.version(); "over the rate");
            Err(Refusal::RateLimited { retry_after_ms })
        }
    }
}

/// Takes a request out of its workspace's rate. If there is room soon, it waits: coming back would
/// take its caller longer, and a program that is refused in its middle has wasted all before.
async fn take_rate(
    gateway: &Gateway,
    workspace: &Workspace,
    route: &Route,
    call: &RequestHead,
    claim: Claim,
) -> Result<Grant, u64> {
    let arrived = gateway.now();
    let left_ms = call.wait_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let wait_most_ms = match claim {
        Claim::StartsProgram { .. } => (route.target_ms as f64 * BEGIN_WAIT_PART) as u64,
        Claim::Continues => ((left_ms as f64 * RATE_WAIT_PART) as u64).min(RATE_WAIT_MOST_MS),
    };
    loop {
        let now = gateway.now();
        let peer_counts = gateway.peers.borrow().peer_counts(now);
        let taken = gateway.rates.borrow_mut().try_admit(now, workspace, peer_counts, claim);
        match taken {
            Err(retry_after_ms) if now.since(arrived) + retry_after_ms <= wait_most_ms => {
                tokio::time::sleep(Duration::from_millis(retry_after_ms)).await;
            }
            taken => return taken,
        }
    }
}

/// What a request means to its program, as far as its rate goes.
fn claim(gateway: &Gateway, call: &RequestHead, route: &Route) -> Claim {
    if call.max_output_tokens == 0 || !gateway.is_enabled(Mechanism::ProgramAdmission) {
        return Claim::Continues;
    }
    match (&call.program, &call.previous, call.finish_ms) {
        (Some(_), None, Some(finish_ms)) if route.keeps_history => {
            Claim::StartsProgram { duration_ms: finish_ms.min(PROGRAM_MOST_MS) }
        }
        _ => Claim::Continues,
    }
}
