//! Serving of a request, from its arrival at any entry to its response.

use std::rc::Rc;

use http::{Request, Response, request};
use hyper::body::{Bytes, Incoming};

use super::admit::admit;
use super::attempt::EndpointRequest;
use super::buffered::{serve_buffered, strip_hop_by_hop_headers};
use super::forward::{
    ForwardTarget, ForwardedRequest, NOT_RUN_HEADER, OwnerResult, RELAYED_HEADER, forward_to_owner,
};
use super::in_flight::{Progress, Wait};
use super::load_admission::admit_program;
use super::observe::{self, RequestSummary};
use super::owned_shard::OwnedShard;
use super::read_body::{MIN_SILENCE_MS, NO_WORKSPACE, body_time_ms, read_body};
use super::relay::{relay, relay_targets};
use super::shutdown::until_answers_are_due;
use super::state::Gateway;
use super::suspects::CrashKey;
use super::turn::{TurnRequest, serve_turn, until_deadline};
use super::wait_until::wait_until;
use super::{Refusal, RequestHead, ResponseBody, RoutingDecision};
use crate::catalog::{Catalog, RepeatPolicy, Route, Workspace};
use crate::http::{BodyLimits, CallerContext};
use crate::load::Rank;
use crate::mechanisms::{Mechanism, Mechanisms};
use crate::prelude::*;
use crate::turns::{ProgramKey, TurnKey};

/// Retry delay while this entry has no configuration yet. After its start, an entry reads the
/// configuration within a few hundred milliseconds.
const STARTING_RETRY_MS: u64 = 300;

/// Retry delay while the configuration is stale, i.e. was not confirmed for too long. Outages last
/// seconds and callers retry only a few times, so the delay is long; callers accept a retry delay
/// of at most a third of their timeout.
const STALE_RETRY_MS: u64 = 1_000;

/// Serves a caller's request here or, while this entry's configuration is too old to decide on it,
/// at another entry.
pub(super) async fn serve_caller(
    gateway: Rc<Gateway>,
    caller: &CallerContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let relay_targets = relay_targets(&gateway);
    match relay_targets.is_empty() {
        true => serve(gateway, caller, request, None).await,
        false => relay(&gateway, caller, &relay_targets, request).await,
    }
}

/// Serves a caller's request that another entry relayed because its configuration was too old.
pub(super) async fn serve_relayed(
    gateway: Rc<Gateway>,
    caller: &CallerContext,
    mut request: Request<Incoming>,
) -> Response<ResponseBody> {
    let left = request.headers_mut().remove(RELAYED_HEADER);
    let left_ms = left.and_then(|value| value.to_str().ok()?.parse().ok());
    serve(gateway, caller, request, left_ms).await
}

/// Serves a request here. If another entry relayed it, `left_ms` is the time left until its
/// deadline and replaces the caller's timeout.
async fn serve(
    gateway: Rc<Gateway>,
    caller: &CallerContext,
    request: Request<Incoming>,
    left_ms: Option<u64>,
) -> Response<ResponseBody> {
    let (progress, running) = gateway.begin_request();
    let arrived = progress.arrived();
    let (head, body) = request.into_parts();
    let Some(mut request_head) = gateway.protocol.parse_request(&head) else {
        return refusal_response(&gateway, None, Refusal::BadRequest);
    };
    progress.set_request(&request_head.request);
    request_head.wait_ms = left_ms.or(request_head.wait_ms);
    let mut summary = RequestSummary::default();
    let arrival = Arrival { caller, head, body };
    let served = admit_and_serve(&gateway, &progress, arrival, &request_head, &mut summary);
    match until_answers_are_due(&gateway, &progress, served).await {
        Ok(response) => {
            progress.set_wait(Wait::Response);
            let took_ms = gateway.now().since(arrived);
            observe::record_answered(&request_head, &summary, response.status().as_u16(), took_ms);
            response.map(|body| body.with_running_guard(running))
        }
        Err(refusal) => refuse_and_record(&gateway, &request_head, &summary, refusal, arrived),
    }
}

/// Refuses a request, and logs and counts the reason.
pub(super) fn refuse_and_record(
    gateway: &Gateway,
    request_head: &RequestHead,
    summary: &RequestSummary,
    refusal: Refusal,
    arrived: TimeMs,
) -> Response<ResponseBody> {
    observe::record_refused(gateway, request_head, summary, refusal, gateway.now().since(arrived));
    refusal_response(gateway, Some(&request_head.request), refusal)
}

/// Builds the response to a refused request.
pub(super) fn refusal_response(
    gateway: &Gateway,
    request: Option<&str>,
    refusal: Refusal,
) -> Response<ResponseBody> {
    gateway.protocol.refuse(request, refusal).map(ResponseBody::buffered)
}

/// Refuses a new request while what is buffered for callers has reached the entry's limit.
pub(super) fn check_held_bytes(gateway: &Gateway) -> Result<(), Refusal> {
    gateway.reader_limits.as_ref().map_or(Ok(()), |limits| limits.check(gateway.now()))
}

/// The workspace for which a request's body is buffered before the request is admitted.
pub(super) fn workspace_of(catalog: &Catalog, request_head: &RequestHead) -> Arc<str> {
    let workspace = request_head.key.and_then(|key| catalog.workspace_by_key(key));
    workspace.map_or_else(|| NO_WORKSPACE.into(), |workspace| workspace.name.clone())
}

/// A request as it arrived on its connection.
struct Arrival<'a> {
    caller: &'a CallerContext,
    head: request::Parts,
    body: Incoming,
}

async fn admit_and_serve(
    gateway: &Rc<Gateway>,
    progress: &Rc<Progress>,
    arrival: Arrival<'_>,
    request_head: &RequestHead,
    summary: &mut RequestSummary,
) -> Result<Response<ResponseBody>, Refusal> {
    let Arrival { caller, head, body } = arrival;
    check_held_bytes(gateway)?;
    let is_fresh = || gateway.is_fresh();
    let left_ms = request_head.wait_ms.unwrap_or(u64::MAX);
    if !is_fresh() && gateway.waits_for_store() {
        wait_until(left_ms, &gateway.active_config.confirmed, is_fresh).await;
    }
    let starting = Refusal::Unavailable { retry_after_ms: STARTING_RETRY_MS };
    let catalog = gateway.active_config.catalog().ok_or(starting)?;
    if !gateway.endpoint_list.try_wait_until_read(left_ms).await {
        return Err(starting);
    }
    let stale = Refusal::Unavailable { retry_after_ms: STALE_RETRY_MS };
    let limits = catalog.limits();
    let workspace = workspace_of(&catalog, request_head);
    progress.set_wait(Wait::Body);
    let body_limits = BodyLimits {
        max_bytes: limits.max_body_bytes,
        time_ms: body_time_ms(request_head),
        silence_ms: limits.idle_timeout_ms.max(MIN_SILENCE_MS),
    };
    let body = read_body(caller, &workspace, body, body_limits).await?;
    caller.request.begin_service(gateway.now(), &workspace)?;
    // Reading the body may have taken long: decide by the configuration in force now.
    let catalog = gateway.active_config.catalog().unwrap_or(catalog);
    let fresh = is_fresh();
    let route = catalog.route(&request_head.host, head.uri.path());
    // A newer configuration may have a route that a stale one lacks.
    let route = route.cloned().ok_or(if fresh { Refusal::NoRoute } else { stale })?;
    summary.class = Some(observe::class(&route));
    summary.target_ms = route.target_ms;
    if !route.public && catalog.requires_keys() && !fresh {
        return Err(stale);
    }
    progress.set_wait(Wait::Rate);
    let admission = admit(gateway, &catalog, &route, request_head, summary).await?;
    let workspace = admission.workspace.as_deref();
    let routing =
        decide_routing(gateway.settings.mechanisms, &catalog, &route, workspace, request_head);
    let mut served = match routing {
        Ok(routing) => {
            let deadline = progress.arrived().plus(routing.left_ms);
            let admitted = AdmittedRequest {
                head,
                request_head,
                routing,
                body,
                deadline,
                progress: progress.clone(),
            };
            // The request is given up here, too, so that its share of the rate is returned.
            let served = serve_admitted(gateway, admitted);
            until_answers_are_due(gateway, progress, served).await
        }
        Err(refusal) => Err(refusal),
    };
    let not_run = match &mut served {
        Ok(response) => response.headers_mut().remove(NOT_RUN_HEADER).is_some(),
        Err(refusal) => refusal.guarantees_not_run(),
    };
    if not_run {
        admission.refund(gateway);
    }
    served
}

async fn serve_admitted(
    gateway: &Rc<Gateway>,
    admitted: AdmittedRequest<'_>,
) -> Result<Response<ResponseBody>, Refusal> {
    // Only the owner of its shard knows what a turn with a history makes an endpoint run.
    if admitted.previous_turn().is_none() && gateway.is_poison_request(admitted.crash_key()) {
        return Err(Refusal::CrashesEndpoints);
    }
    if admitted.needs_owner() {
        return serve_at_owner(gateway, admitted).await;
    }
    let deadline = admitted.deadline;
    let endpoint_request = Rc::new(admitted.into_endpoint_request(gateway));
    until_deadline(gateway, deadline, serve_buffered(gateway, &endpoint_request))
        .await
        .and_then(|served| served)
}

/// Decides how a request is served, from the configuration and the request's head.
fn decide_routing(
    mechanisms: Mechanisms,
    catalog: &Catalog,
    route: &Route,
    workspace: Option<&Workspace>,
    request_head: &RequestHead,
) -> Result<RoutingDecision, Refusal> {
    let program = request_head.program.as_ref().unwrap_or(&request_head.request);
    // All requests of a program on this route go to the same service.
    let program_hash = ProgramKey::of(&route.prefix, program).hash();
    let service = route.service(program_hash).ok_or(Refusal::NoRoute)?;
    let workspace_priority = workspace.and_then(|w| w.priority);
    let priority = match route.is_load_controlled() {
        true => Rank::of(workspace_priority, route.priority).number(),
        false => workspace_priority.unwrap_or(route.priority),
    };
    let repeat = match route.repeat {
        RepeatPolicy::ResumableStream if !mechanisms.is_enabled(Mechanism::Resumption) => {
            RepeatPolicy::Stream
        }
        repeat => repeat,
    };
    let tokens_per_event = catalog.service(service).map_or(0, |s| s.tokens_per_event);
    Ok(RoutingDecision {
        workspace: workspace.map_or_else(|| NO_WORKSPACE.into(), |w| w.name.clone()),
        service: service.clone(),
        left_ms: request_head.wait_ms.unwrap_or(u64::MAX).min(route.timeout_ms),
        attempts: route.attempts,
        target_ms: route.target_ms,
        repeat,
        keeps_history: route.keeps_history,
        retention_ms: route.retention_ms,
        tokens_per_event,
        priority,
        regions: workspace.map_or_else(|| route.regions.clone(), |w| w.regions.and(&route.regions)),
        object: request_head.object.filter(|_| route.sticky && !repeat.is_stream()),
    })
}

/// An admitted request and the decision how to serve it.
pub(super) struct AdmittedRequest<'a> {
    pub(super) head: request::Parts,
    pub(super) request_head: &'a RequestHead,
    pub(super) routing: RoutingDecision,
    pub(super) body: Bytes,
    pub(super) deadline: TimeMs,
    pub(super) progress: Rc<Progress>,
}

impl AdmittedRequest<'_> {
    /// Key under which endpoint crashes caused by this request are counted, unless it continues a
    /// turn.
    fn crash_key(&self) -> CrashKey {
        CrashKey::of(&self.routing.workspace, self.head.uri.path(), &self.body)
    }

    /// The turn that this one continues, if the history is kept.
    fn previous_turn(&self) -> Option<TurnKey> {
        let previous = self.request_head.previous.as_ref().filter(|_| self.routing.keeps_history);
        previous.map(|id| TurnKey::of(&self.routing.workspace, id))
    }

    fn program_key(&self) -> ProgramKey {
        program_key(self.request_head, &self.routing)
    }

    /// Whether the request is charged to its program's account or its history is kept. Both are
    /// stored by the owner of the program's shard.
    fn needs_owner(&self) -> bool {
        let charged = self.routing.repeat.is_stream() && self.request_head.budget.is_some();
        self.routing.keeps_history || charged
    }

    fn into_endpoint_request(self, gateway: &Gateway) -> EndpointRequest {
        let crash_key = self.crash_key();
        let mut headers = strip_hop_by_hop_headers(self.head.headers);
        gateway.protocol.strip_caller_headers(&mut headers);
        EndpointRequest {
            request: self.request_head.request.clone(),
            method: self.head.method,
            uri: self.head.uri,
            headers,
            body: self.body,
            routing: self.routing,
            parts: self.request_head.parts.clone(),
            crash_key,
            deadline: self.deadline,
            progress: self.progress,
        }
    }

    fn forwarded_request(&self) -> ForwardedRequest {
        ForwardedRequest {
            request: self.request_head.request.clone(),
            workspace: self.routing.workspace.clone(),
            method: self.head.method.clone(),
            uri: self.head.uri.clone(),
            headers: self.head.headers.clone(),
            body: self.body.clone(),
            target: ForwardTarget::Owner(self.routing.clone()),
            deadline: self.deadline,
            progress: self.progress.clone(),
        }
    }
}

/// The key of the request's program. A request without a program is a program of its own.
pub(super) fn program_key(request_head: &RequestHead, routing: &RoutingDecision) -> ProgramKey {
    ProgramKey::of(
        &routing.workspace,
        request_head.program.as_ref().unwrap_or(&request_head.request),
    )
}

/// Serves a request at the owner of its program's shard, here or at another entry.
async fn serve_at_owner(
    gateway: &Rc<Gateway>,
    admitted: AdmittedRequest<'_>,
) -> Result<Response<ResponseBody>, Refusal> {
    let shard = admitted.program_key().shard(gateway.shards.count());
    match forward_to_owner(gateway, shard, &admitted.forwarded_request()).await? {
        OwnerResult::Responded(response) => Ok(response),
        OwnerResult::Local(shard) => {
            let (request_head, routing) = (admitted.request_head, &admitted.routing);
            admit_program(gateway, &shard, admitted.program_key(), request_head, routing).await?;
            serve_owned_turn(gateway, shard, admitted).await
        }
    }
}

/// Serves a turn whose shard this entry owns.
pub(super) async fn serve_owned_turn(
    gateway: &Rc<Gateway>,
    shard: Rc<OwnedShard>,
    admitted: AdmittedRequest<'_>,
) -> Result<Response<ResponseBody>, Refusal> {
    let request_head = admitted.request_head;
    let turn = TurnRequest {
        key: TurnKey::of(&admitted.routing.workspace, &request_head.request),
        previous: admitted.previous_turn(),
        program: admitted.program_key(),
        budget: request_head.budget.unwrap_or(u64::MAX),
        max_output_tokens: request_head.max_output_tokens,
        input: admitted.body.clone(),
        endpoint_request: Rc::new(admitted.into_endpoint_request(gateway)),
    };
    serve_turn(gateway, shard, turn).await
}
