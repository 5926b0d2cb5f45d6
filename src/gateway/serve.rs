//! One request, from its arrival at any entry to its answer.

use std::rc::Rc;

use http::{HeaderValue, Request, Response, request};
use hyper::body::{Bytes, Incoming};

use super::admit::admit;
use super::attempt::EndpointRequest;
use super::buffered::{end_to_end, serve_plain};
use super::forward::{
    FORWARDED_MOST_BYTES, Forwarded, NOT_RUN_HEADER, ORDER_HEADER, RELAYED_HEADER, Served, Towards,
    find_owner, moved,
};
use super::observe::{self, RequestSummary};
use super::owned_shard::{OwnedShard, Stage};
use super::read_body::read_body;
use super::relay::{deciders, relay};
use super::state::Gateway;
use super::turn::{TurnCall, serve_turn, within};
use super::wait_until::wait_until;
use super::{Refusal, RequestHead, ResponseBody, RoutingDecision};
use crate::catalog::{Catalog, RepeatPolicy, Route, Workspace};
use crate::mechanisms::{Mechanism, Mechanisms};
use crate::prelude::*;
use crate::turns::{ProgramKey, TurnKey};

/// When to return if this entry knows no configuration yet: one that starts reads it within
/// some hundred milliseconds.
const STARTING_RETRY_MS: u64 = 300;

/// When to return if the configuration could not be confirmed for too long: outages last
/// seconds, and callers come back a few times only; a third of the time that they wait is the longest
/// that they heed.
const STALE_RETRY_MS: u64 = 1_000;

/// A workspace's name where the configuration has none.
const NO_WORKSPACE: &str = "";

/// Serves a caller's request: here, or at another entry while this one may not decide.
pub(super) async fn serve_caller(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let deciders = deciders(&gateway);
    match deciders.is_empty() {
        true => serve(gateway, request, None).await,
        false => relay(&gateway, &deciders, request).await,
    }
}

/// Serves a caller's request that another entry could not decide on.
pub(super) async fn serve_relayed(
    gateway: Rc<Gateway>,
    mut request: Request<Incoming>,
) -> Response<ResponseBody> {
    let left = request.headers_mut().remove(RELAYED_HEADER);
    let left_ms = left.and_then(|value| value.to_str().ok()?.parse().ok());
    serve(gateway, request, left_ms).await
}

/// Serves a request here, within `left_ms` if its caller's time has begun to run elsewhere.
async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    left_ms: Option<u64>,
) -> Response<ResponseBody> {
    let running = gateway.begin_request();
    let arrived = gateway.now();
    let (head, body) = request.into_parts();
    let Some(mut call) = gateway.protocol.parse_request(&head) else {
        return refuse(&gateway, None, Refusal::BadRequest);
    };
    call.wait_ms = left_ms.or(call.wait_ms);
    let mut summary = RequestSummary::default();
    match admit_and_serve(&gateway, arrived, head, &call, body, &mut summary).await {
        Ok(response) => {
            let took_ms = gateway.now().since(arrived);
            observe::record_answered(&call, &summary, response.status().as_u16(), took_ms);
            response.map(|body| body.counted(running))
        }
        Err(refusal) => refuse_seen(&gateway, &call, &summary, refusal, arrived),
    }
}

/// Refuses a request, and tells why.
pub(super) fn refuse_seen(
    gateway: &Gateway,
    call: &RequestHead,
    summary: &RequestSummary,
    refusal: Refusal,
    arrived: TimeMs,
) -> Response<ResponseBody> {
    observe::record_refused(gateway, call, summary, refusal, gateway.now().since(arrived));
    refuse(gateway, Some(&call.request), refusal)
}

pub(super) fn refuse(
    gateway: &Gateway,
    request: Option<&str>,
    refusal: Refusal,
) -> Response<ResponseBody> {
    gateway.protocol.refuse(request, refusal).map(ResponseBody::whole)
}

async fn admit_and_serve(
    gateway: &Rc<Gateway>,
    arrived: TimeMs,
    head: request::Parts,
    call: &RequestHead,
    body: Incoming,
    summary: &mut RequestSummary,
) -> Result<Response<ResponseBody>, Refusal> {
    let is_fresh = || gateway.is_fresh();
    let left_ms = call.wait_ms.unwrap_or(u64::MAX);
    if !is_fresh() && gateway.waits_for_store() {
        wait_until(left_ms, &gateway.active_config.confirmed, is_fresh).await;
    }
    let starting = Refusal::Unavailable { retry_after_ms: STARTING_RETRY_MS };
    let catalog = gateway.active_config.catalog().ok_or(starting)?;
    if !gateway.endpoint_list.try_wait_until_read(left_ms).await {
        return Err(starting);
    }
    let not_ready = Refusal::Unavailable { retry_after_ms: STALE_RETRY_MS };
    let limits = catalog.limits();
    let body = read_body(body, limits.max_body_bytes).await?;
    // The body may have taken its time: what holds now decides, not what held before.
    let catalog = gateway.active_config.catalog().unwrap_or(catalog);
    let fresh = is_fresh();
    let route = catalog.route(&call.host, head.uri.path());
    // What an old configuration denies, a newer one may allow.
    let route = route.cloned().ok_or(if fresh { Refusal::NoRoute } else { not_ready })?;
    summary.class = Some(observe::class(&route));
    summary.target_ms = route.target_ms;
    if !route.public && catalog.requires_keys() && !fresh {
        return Err(not_ready);
    }
    let admission = admit(gateway, &catalog, &route, call, summary).await?;
    let workspace = admission.workspace.as_deref();
    let order = order(gateway.settings.mechanisms, &catalog, &route, workspace, call);
    let mut served = match order {
        Ok(order) => {
            let ends_at = arrived.plus(order.left_ms);
            serve_admitted(gateway, Admitted { head, call, order, body, ends_at }).await
        }
        Err(refusal) => Err(refusal),
    };
    let not_run = match &mut served {
        Ok(response) => response.headers_mut().remove(NOT_RUN_HEADER).is_some(),
        Err(refusal) => refusal.promises(),
    };
    if not_run {
        admission.refund(gateway);
    }
    served
}

async fn serve_admitted(
    gateway: &Rc<Gateway>,
    admitted: Admitted<'_>,
) -> Result<Response<ResponseBody>, Refusal> {
    if gateway.is_poison_request(admitted.crash_key()) {
        return Err(Refusal::CrashesEndpoints);
    }
    if admitted.needs_owner() {
        return serve_at_owner(gateway, admitted).await;
    }
    let ends_at = admitted.ends_at;
    let job = Rc::new(admitted.into_job(gateway));
    within(gateway, ends_at, serve_plain(gateway, &job)).await.and_then(|served| served)
}

fn order(
    mechanisms: Mechanisms,
    catalog: &Catalog,
    route: &Route,
    workspace: Option<&Workspace>,
    call: &RequestHead,
) -> Result<RoutingDecision, Refusal> {
    let program = call.program.as_ref().unwrap_or(&call.request);
    let affinity = ProgramKey::of(&route.prefix, program).hash();
    let service = route.service(affinity).ok_or(Refusal::NoRoute)?;
    let priority = workspace.and_then(|w| w.priority).unwrap_or(route.priority);
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
        left_ms: call.wait_ms.unwrap_or(u64::MAX).min(route.timeout_ms),
        attempts: route.attempts,
        target_ms: route.target_ms,
        repeat,
        keeps_history: route.keeps_history,
        retention_ms: route.retention_ms,
        tokens_per_event,
        priority,
        regions: workspace.map_or_else(|| route.regions.clone(), |w| w.regions.and(&route.regions)),
        object: call.object.filter(|_| route.sticky && !repeat.is_stream()),
    })
}

/// A request that may be served, with all that is known of it.
struct Admitted<'a> {
    head: request::Parts,
    call: &'a RequestHead,
    order: RoutingDecision,
    body: Bytes,
    ends_at: TimeMs,
}

impl Admitted<'_> {
    /// What the request's crashes are counted under: the same for each attempt of the same caller.
    fn crash_key(&self) -> u64 {
        let workspace = self.order.workspace.as_bytes();
        Digest::of(&[workspace, self.head.uri.path().as_bytes(), &self.body]).prefix()
    }

    fn program(&self) -> ProgramKey {
        program(self.call, &self.order)
    }

    /// Whether it is charged to its program's account, or continues a history: both are with the
    /// owner of the program's shard.
    fn needs_owner(&self) -> bool {
        let charged = self.order.repeat.is_stream() && self.call.budget.is_some();
        self.order.keeps_history || charged
    }

    fn into_job(self, gateway: &Gateway) -> EndpointRequest {
        let crash_key = self.crash_key();
        let mut headers = end_to_end(self.head.headers);
        gateway.protocol.strip_caller_headers(&mut headers);
        EndpointRequest {
            request: self.call.request.clone(),
            method: self.head.method,
            uri: self.head.uri,
            headers,
            body: self.body,
            order: self.order,
            parts: self.call.parts.clone(),
            crash_key,
            ends_at: self.ends_at,
        }
    }

    fn forwarded(&self) -> Forwarded {
        Forwarded {
            request: self.call.request.clone(),
            method: self.head.method.clone(),
            uri: self.head.uri.clone(),
            headers: self.head.headers.clone(),
            body: self.body.clone(),
            towards: Towards::Owner(self.order.clone()),
            ends_at: self.ends_at,
        }
    }
}

fn program(call: &RequestHead, order: &RoutingDecision) -> ProgramKey {
    ProgramKey::of(&order.workspace, call.program.as_ref().unwrap_or(&call.request))
}

async fn serve_at_owner(
    gateway: &Rc<Gateway>,
    admitted: Admitted<'_>,
) -> Result<Response<ResponseBody>, Refusal> {
    let shard = admitted.program().shard(gateway.shards.count());
    match find_owner(gateway, shard, &admitted.forwarded()).await? {
        Served::There(response) => Ok(response),
        Served::Here(shard) => serve_here(gateway, shard, admitted).await,
    }
}

async fn serve_here(
    gateway: &Rc<Gateway>,
    shard: Rc<OwnedShard>,
    admitted: Admitted<'_>,
) -> Result<Response<ResponseBody>, Refusal> {
    let (call, workspace) = (admitted.call, admitted.order.workspace.clone());
    let previous = call.previous.as_ref().filter(|_| admitted.order.keeps_history);
    let previous = previous.map(|id| TurnKey::of(&workspace, id));
    let turn = TurnCall {
        turn: TurnKey::of(&workspace, &call.request),
        previous,
        program: admitted.program(),
        budget: call.budget.unwrap_or(u64::MAX),
        max_output_tokens: call.max_output_tokens,
        input: admitted.body.clone(),
        job: Rc::new(admitted.into_job(gateway)),
    };
    serve_turn(gateway, shard, turn).await
}

/// Serves a turn that another entry has sent here.
pub(super) async fn serve_forwarded(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let running = gateway.begin_request();
    let arrived = gateway.now();
    let (mut head, body) = request.into_parts();
    let order = head.headers.remove(ORDER_HEADER).and_then(|value| read_order(value.as_bytes()));
    let call = gateway.protocol.parse_request(&head);
    let (Some(order), Some(call)) = (order, call) else {
        return refuse(gateway, None, Refusal::BadRequest);
    };
    let shard = program(&call, &order).shard(gateway.shards.count());
    let Some(shard) = gateway.shards.owned(shard).filter(|s| s.stage() == Stage::Serving) else {
        return moved();
    };
    let body = match read_body(body, FORWARDED_MOST_BYTES).await {
        Ok(whole) => whole,
        Err(refusal) => return refuse(gateway, Some(&call.request), refusal),
    };
    let ends_at = arrived.plus(order.left_ms);
    let admitted = Admitted { head, call: &call, order, body, ends_at };
    let served = serve_here(gateway, shard, admitted).await;
    let served = served.unwrap_or_else(|refusal| {
        let mut refused = refuse(gateway, Some(&call.request), refusal);
        if refusal.promises() {
            refused.headers_mut().insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
        }
        refused
    });
    served.map(|body| body.counted(running))
}

fn read_order(hex_text: &[u8]) -> Option<RoutingDecision> {
    postcard::from_bytes(&hex::decode(hex_text).ok()?).ok()
}
