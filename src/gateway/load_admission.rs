//! Admission of programs by capacity, at the owner of the program's shard.

use std::rc::Rc;
use std::time::Duration;

use metrics::counter;

use super::owned_shard::OwnedShard;
use super::state::Gateway;
use super::{Refusal, RequestHead, RoutingDecision};
use crate::load::{Candidate, Decision, Place, ProgramAdmission, Rank, ServiceLoad};
use crate::mechanisms::Mechanism;
use crate::prelude::*;
use crate::turns::ProgramKey;

/// How long a first turn may be held until there is capacity, as a fraction of the route's target
/// for the time to the first byte. A program that starts later than that is better refused, as its
/// caller then knows when to come back.
const HOLD_FRACTION: f64 = 0.2;

/// The longest retry delay that callers accept, as a fraction of the time that they have left.
const MAX_RETRY_FRACTION: f64 = 0.33;

/// Admits the program of a turn to its service, or refuses the turn if the service has no capacity
/// for a further program. Turns of programs that have begun, and routes that are not under load
/// control, always pass.
pub(super) async fn admit_program(
    gateway: &Gateway,
    shard: &Rc<OwnedShard>,
    program: ProgramKey,
    request_head: &RequestHead,
    routing: &RoutingDecision,
) -> Result<(), Refusal> {
    if !routing.is_load_controlled() || !gateway.is_enabled(Mechanism::LoadAdmission) {
        return Ok(());
    }
    let arrived = gateway.now();
    let max_hold_ms = (routing.target_ms as f64 * HOLD_FRACTION) as u64;
    loop {
        if shard.ledger().has_account(program) {
            return Ok(());
        }
        let now = gateway.now();
        let held_ms = now.since(arrived);
        let left_ms = routing.left_ms.saturating_sub(held_ms);
        let candidate = Candidate {
            program: program.hash(),
            rank: Rank::from_number(routing.priority),
            use_level: gateway.rates.borrow_mut().use_level(now, &routing.workspace),
            finish_ms: request_head.finish_ms,
            max_wait_ms: max_hold_ms.saturating_sub(held_ms),
            max_retry_ms: (left_ms as f64 * MAX_RETRY_FRACTION) as u64,
        };
        let load = gateway.service_load(&routing.service);
        let decision = decide(gateway, &routing.service, &candidate, &load);
        record(gateway, request_head, routing, &candidate, &load, decision);
        match decision {
            Decision::Admitted { .. } => return Ok(()),
            Decision::Held { wait_ms } => {
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            }
            Decision::Refused { retry_after_ms, .. } => {
                return Err(Refusal::Unavailable { retry_after_ms });
            }
        }
    }
}

fn decide(
    gateway: &Gateway,
    service: &Arc<str>,
    candidate: &Candidate,
    load: &ServiceLoad,
) -> Decision {
    let now = gateway.now();
    let mut admissions = gateway.program_admissions.borrow_mut();
    let admission =
        admissions.entry(service.clone()).or_insert_with(|| ProgramAdmission::open(now));
    admission.decide(now, candidate, load)
}

impl Gateway {
    /// Records for the admission of programs that a turn has ended, and when its first event came.
    /// Turns on other routes to the same service have targets of their own and are left out.
    pub(super) fn record_ended_turn(
        &self,
        routing: &RoutingDecision,
        program: ProgramKey,
        first_event_ms: Option<u64>,
    ) {
        if !routing.is_load_controlled() {
            return;
        }
        if let Some(admission) = self.program_admissions.borrow_mut().get_mut(&routing.service) {
            let now = self.now();
            admission.record_turn(now, program.hash());
            if let Some(first_event_ms) = first_event_ms {
                admission.record_first_event(now, first_event_ms, routing.target_ms);
            }
        }
    }
}

/// Logs and counts a decision. A program that starts without having been refused is only counted.
fn record(
    gateway: &Gateway,
    request_head: &RequestHead,
    routing: &RoutingDecision,
    candidate: &Candidate,
    load: &ServiceLoad,
    decision: Decision,
) {
    let (request, service, rank) =
        (&request_head.request, &routing.service, candidate.rank.number());
    let program = request_head.program.as_deref().unwrap_or_default();
    let (slots, in_flight, share) = (load.slots, load.in_flight, load.share);
    let (use_level, hears_half) = (candidate.use_level.number(), load.hears_half);
    let over_share = candidate.use_level.is_over_share();
    let outcome = match decision {
        Decision::Admitted { place: None } => "admitted",
        Decision::Admitted { place: Some(place) } => {
            let (waited_ms, refusals) = waiting(gateway, &place);
            log::info!(request:%, program, service:%, rank, waited_ms, refusals, slots, in_flight;
                "program admitted from the waiting list");
            "admitted_from_list"
        }
        Decision::Held { wait_ms } => {
            log::info!(request:%, program, service:%, rank, wait_ms, slots, in_flight;
                "program held until its service has capacity");
            "held"
        }
        Decision::Refused { retry_after_ms, place } => {
            log::info!(request:%, program, service:%, workspace:% = routing.workspace, rank, place,
                retry_after_ms, slots, in_flight, share, over_share, use_level, hears_half;
                "service has no capacity for a further program; first turn refused");
            "refused"
        }
    };
    counter!("trefoil_program_admissions_total", "service" => service.to_string(),
        "rank" => rank.to_string(), "outcome" => outcome)
    .increment(1);
}

fn waiting(gateway: &Gateway, place: &Place) -> (u64, u32) {
    (place.waited_ms(gateway.now()), place.refusals())
}
