//! Admission: authenticates a request and charges it to its workspace's request rate.

use std::time::Duration;

use super::ask_hub::{Admitted, refund, request_admission};
use super::hubs::NotAdmitted;
use super::observe::{self, RequestSummary};
use super::rates::workspace_hash;
use super::state::Gateway;
use super::{Refusal, RequestHead};
use crate::catalog::{Catalog, Route, Workspace};
use crate::mechanisms::Mechanism;
use crate::prelude::*;
use crate::quota::Claim;

/// Maximum fraction of a request's time that is spent waiting for its workspace's rate. The wait is
/// shorter than the caller's own pause before a retry, and the rest of the time is enough for one
/// retry.
const RATE_WAIT_FRACTION: f64 = 0.4;

/// Upper bound of the wait for a workspace's rate. Callers give up on a stream that has sent
/// nothing for two seconds.
const MAX_RATE_WAIT_MS: u64 = 1_500;

/// Maximum wait of a request that begins a program, as a fraction of the route's target latency. A
/// program that begins late also ends late; refusing it leaves the rate to the next program, which
/// can still finish in time.
const PROGRAM_START_WAIT_FRACTION: f64 = 0.25;

/// Upper bound of the program length for which rate is reserved, whatever the caller states.
const MAX_PROGRAM_MS: u64 = 3_600_000;

/// The admission of a request, which can be refunded.
pub(super) struct Admission {
    /// The request's workspace; none if no key is required.
    pub(super) workspace: Option<Arc<Workspace>>,
    grant: Option<Admitted>,
}

impl Admission {
    /// Returns the request's share of the rate, as the request has not run and never will.
    pub(super) fn refund(self, gateway: &Gateway) {
        match (self.workspace, self.grant) {
            (Some(workspace), Some(Admitted::Here(grant))) => {
                let now = gateway.now();
                observe::record_rate_refund(grant.age_ms(now));
                let workspace = workspace_hash(&workspace.name);
                gateway.rates.borrow_mut().refund(now, workspace, grant);
            }
            (_, Some(Admitted::ByHub(grant))) => refund(gateway, grant),
            _ => {}
        }
    }
}

/// Admits or refuses a request.
pub(super) async fn admit(
    gateway: &Gateway,
    catalog: &Catalog,
    route: &Route,
    request_head: &RequestHead,
    summary: &mut RequestSummary,
) -> Result<Admission, Refusal> {
    if route.public || !catalog.requires_keys() {
        return Ok(Admission { workspace: None, grant: None });
    }
    let key = request_head.key.ok_or(Refusal::UnknownKey)?;
    let workspace = catalog.workspace_by_key(key).ok_or(Refusal::UnknownKey)?;
    summary.workspace = Some(workspace.name.clone());
    let claim = claim_of(gateway, request_head, route);
    match acquire_rate(gateway, workspace, route, request_head, claim).await {
        Ok(grant) => Ok(Admission { workspace: Some(workspace.clone()), grant: Some(grant) }),
        Err(NotAdmitted::Undecided { retry_after_ms }) => {
            log::info!(request:% = request_head.request, retry_after_ms;
                "no hub has decided on the admission of a request in time; request refused");
            Err(Refusal::Unavailable { retry_after_ms })
        }
        Err(NotAdmitted::NoRoom { retry_after_ms }) => {
            let now = gateway.now();
            let usage = gateway.rates.borrow_mut().usage(now, workspace_hash(&workspace.name));
            let peer_counts = gateway.peers.borrow().peer_counts(now);
            let finish_ms = request_head.finish_ms.unwrap_or(u64::MAX);
            log::info!(request:% = request_head.request, workspace:% = workspace.name,
                claim = claim.name(), finish_ms, retry_after_ms, used = usage.used(),
                limit = usage.limit, own = usage.own, others = usage.others,
                assumed = usage.assumed, known = usage.is_known,
                entries = peer_counts.entries, heard = peer_counts.heard,
                config = catalog.version();
                "workspace over its request rate; request refused");
            Err(Refusal::RateLimited { retry_after_ms })
        }
    }
}

/// Charges a request to its workspace's rate; if refused, returns why. If there will be room soon, it waits: a retry by the caller would take longer, and a program that is refused
/// midway has wasted all its earlier turns.
async fn acquire_rate(
    gateway: &Gateway,
    workspace: &Workspace,
    route: &Route,
    request_head: &RequestHead,
    claim: Claim,
) -> Result<Admitted, NotAdmitted> {
    let arrived = gateway.now();
    let left_ms = request_head.wait_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let max_wait_ms = match claim {
        Claim::StartsProgram { .. } => {
            (route.target_ms as f64 * PROGRAM_START_WAIT_FRACTION) as u64
        }
        Claim::ContinuesProgram | Claim::Call => {
            ((left_ms as f64 * RATE_WAIT_FRACTION) as u64).min(MAX_RATE_WAIT_MS)
        }
    };
    loop {
        let acquired = request_admission(gateway, workspace, claim).await;
        let waited_ms = gateway.now().since(arrived);
        match acquired {
            Err(NotAdmitted::NoRoom { retry_after_ms })
                if waited_ms.saturating_add(retry_after_ms) <= max_wait_ms =>
            {
                tokio::time::sleep(Duration::from_millis(retry_after_ms)).await;
            }
            acquired => return acquired,
        }
    }
}

/// Whether a request begins a program, and so reserves rate for the program's whole length, or is
/// charged alone. The first turn of a program reserves only if it states when the program should be
/// finished.
fn claim_of(gateway: &Gateway, request_head: &RequestHead, route: &Route) -> Claim {
    if request_head.max_output_tokens == 0 || !gateway.is_enabled(Mechanism::ProgramAdmission) {
        return Claim::Call;
    }
    match (&request_head.program, &request_head.previous, request_head.finish_ms) {
        (Some(_), None, Some(finish_ms)) if route.keeps_history => {
            Claim::StartsProgram { duration_ms: finish_ms.min(MAX_PROGRAM_MS) }
        }
        (Some(_), _, _) => Claim::ContinuesProgram,
        _ => Claim::Call,
    }
}
