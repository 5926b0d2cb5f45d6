//! One request, from its arrival at any entry to its answer.

use std::rc::Rc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};

use super::attempt::Job;
use super::forward::{
    Forwarded, NOT_RUN_HEADER, ORDER_HEADER, RELAYED_HEADER, Served, Towards, find_owner, moved,
};
use super::hold::hold;
use super::observe::{self, Seen};
use super::owned_shard::{OwnedShard, Stage};
use super::plain::{end_to_end, serve_plain};
use super::relay::{must_relay, relay};
use super::state::Gateway;
use super::turn::{TurnCall, serve_turn, within};
use super::{AnswerBody, Call, Order, Refusal};
use crate::catalog::{Catalog, Repeat, Route, Workspace};
use crate::mechanisms::{Mechanism, Mechanisms};
use crate::prelude::*;
use crate::quota::Claim;
use crate::turns::{AccountKey, TurnKey};

/// When to return if this entry knows no configuration yet: one that starts reads it within
/// some hundred milliseconds.
const STARTING_RETRY_MS: u64 = 300;

/// When to return if the configuration could not be confirmed for too long: outages last
/// seconds, and callers come back a few times only; a third of the time that they wait is the longest
/// that they heed.
const STALE_RETRY_MS: u64 = 1_000;

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

/// A workspace's name where the configuration has none.
const NO_WORKSPACE: &str = "";

/// The most bytes of a forwarded turn: what a record of the store holds.
const FORWARDED_MOST_BYTES: usize = 4 << 20;

/// Whom a request came from.
#[key]
pub(super) enum Sender {
    /// Its caller.
    Caller,
    /// Another entry, which could not decide on it.
    Entry,
}

/// Serves a caller's request.
pub(super) async fn serve_caller(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    sender: Sender,
) -> Response<AnswerBody> {
    let running = gateway.enter();
    let arrived = gateway.now();
    let (mut head, body) = request.into_parts();
    head.headers.remove(RELAYED_HEADER);
    let Some(call) = gateway.protocol.read(&head) else {
        return refuse(&gateway, None, Refusal::BadCall);
    };
    let mut seen = Seen::default();
    let outcome = match sender == Sender::Caller && must_relay(&gateway) {
        true => relay(&gateway, head, &call, body).await,
        false => admit_and_serve(&gateway, arrived, head, &call, body, &mut seen).await,
    };
    let took_ms = gateway.now().since(arrived);
    match outcome {
        Ok(response) => {
            let status = response.status().as_u16();
            let (program, workspace) = (text(&call.program), text(&seen.workspace));
            let (class, target_ms) = (seen.class.unwrap_or_default(), seen.target_ms);
            log::info!(request:% = call.request, status, took_ms, target_ms, class, program,
                workspace; "answered");
            observe::answered(&seen, status, took_ms);
            response.map(|body| body.counted(running))
        }
        Err(refusal) => {
            let config_age_ms = gateway.in_force.age_ms().unwrap_or(u64::MAX);
            let (program, previous) = (text(&call.program), text(&call.previous));
            let (workspace, refusal_name) = (text(&seen.workspace), refusal.name());
            let wait_ms = call.wait_ms.unwrap_or(u64::MAX);
            let class = seen.class.unwrap_or_default();
            let domain = &gateway.settings.failure_domain;
            log::info!(request:% = call.request, refusal = refusal_name, took_ms, wait_ms,
                config_age_ms, class, program, previous, workspace, domain:%; "refused");
            observe::refused(&seen, refusal);
            refuse(&gateway, Some(&call.request), refusal)
        }
    }
}

fn text(id: &Option<Arc<str>>) -> &str {
    id.as_deref().unwrap_or_default()
}

fn refuse(gateway: &Gateway, request: Option<&str>, refusal: Refusal) -> Response<AnswerBody> {
    gateway.protocol.refuse(request, refusal).map(AnswerBody::whole)
}

async fn admit_and_serve(
    gateway: &Rc<Gateway>,
    arrived: TimeMs,
    head: request::Parts,
    call: &Call,
    body: Incoming,
    seen: &mut Seen,
) -> Result<Response<AnswerBody>, Refusal> {
    let is_fresh = || gateway.is_fresh();
    let left_ms = call.wait_ms.unwrap_or(u64::MAX);
    if !is_fresh() && gateway.waits_for_store() {
        hold(left_ms, &gateway.in_force.confirmed, is_fresh).await;
    }
    let starting = Refusal::Unavailable { retry_after_ms: STARTING_RETRY_MS };
    let catalog = gateway.in_force.catalog().ok_or(starting)?;
    if !gateway.listing.hold_until_read(left_ms).await {
        return Err(starting);
    }
    let not_ready = Refusal::Unavailable { retry_after_ms: STALE_RETRY_MS };
    let limits = catalog.limits();
    let body = match Limited::new(body, limits.body_bytes).collect().await {
        Ok(whole) => whole.to_bytes(),
        Err(fault) if fault.is::<http_body_util::LengthLimitError>() => {
            return Err(Refusal::TooLarge);
        }
        Err(_) => return Err(Refusal::BadCall),
    };
    // The body may have taken its time: what holds now decides, not what held before.
    let catalog = gateway.in_force.catalog().unwrap_or(catalog);
    let fresh = is_fresh();
    let route = catalog.route(&call.host, head.uri.path());
    // What an old configuration denies, a newer one may allow.
    let route = route.cloned().ok_or(if fresh { Refusal::NoRoute } else { not_ready })?;
    seen.class = Some(observe::class(&route));
    seen.target_ms = route.target_ms;
    let workspace = match admit(gateway, &catalog, &route, call, seen).await {
        Err(Refusal::UnknownKey) if !fresh => return Err(not_ready),
        admitted => admitted?,
    };
    if !route.public && catalog.asks_for_keys() && !fresh {
        return Err(not_ready);
    }
    let mechanisms = gateway.settings.mechanisms;
    let order = order(mechanisms, &catalog, &route, workspace.as_deref(), call)?;
    if gateway.is_guilty(suspect(&order.workspace, &head, &body)) {
        return Err(Refusal::CrashesEndpoints);
    }
    let ends_at = arrived.plus(order.left_ms);
    let admitted = Admitted { head, call, order, body, ends_at };
    let charged = admitted.order.workspace.clone();
    let keeps_history = admitted.order.keeps_history;
    let mut served = if admitted.needs_owner() {
        serve_at_owner(gateway, admitted).await
    } else {
        let job = Rc::new(admitted.into_job(gateway));
        within(gateway, ends_at, serve_plain(gateway, &job)).await.and_then(|served| served)
    };
    let not_run = match &mut served {
        Ok(response) => response.headers_mut().remove(NOT_RUN_HEADER).is_some(),
        Err(refusal) => refusal.promises(),
    };
    if not_run {
        let claim = claim(gateway, call, keeps_history);
        gateway.rates.borrow_mut().give_back(gateway.now(), &charged, claim);
    }
    served
}

async fn admit(
    gateway: &Gateway,
    catalog: &Catalog,
    route: &Route,
    call: &Call,
    seen: &mut Seen,
) -> Result<Option<Arc<Workspace>>, Refusal> {
    if route.public || !catalog.asks_for_keys() {
        return Ok(None);
    }
    let key = call.key.ok_or(Refusal::UnknownKey)?;
    let workspace = catalog.holder(key).ok_or(Refusal::UnknownKey)?;
    seen.workspace = Some(workspace.name.clone());
    if let Err(retry_after_ms) = take_rate(gateway, workspace, route, call).await {
        let (used, limit) = gateway.rates.borrow().used(&workspace.name);
        let peering = gateway.peers.borrow().peering(gateway.now());
        let claim = claim(gateway, call, route.keeps_history).name();
        let finish_ms = call.finish_ms.unwrap_or(u64::MAX);
        log::info!(request:% = call.request, workspace:% = workspace.name, claim, finish_ms,
            retry_after_ms, used, limit, entries = peering.entries, heard = peering.heard,
            config = catalog.version(); "over the rate");
        return Err(Refusal::OverRate { retry_after_ms });
    }
    Ok(Some(workspace.clone()))
}

/// Takes a request out of its workspace's rate. If there is room soon, it waits: coming back would
/// take its caller longer, and a program that is refused in its middle has wasted all before.
async fn take_rate(
    gateway: &Gateway,
    workspace: &Workspace,
    route: &Route,
    call: &Call,
) -> Result<(), u64> {
    let arrived = gateway.now();
    let left_ms = call.wait_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let claim = claim(gateway, call, route.keeps_history);
    let wait_most_ms = match claim {
        Claim::Begins { .. } => (route.target_ms as f64 * BEGIN_WAIT_PART) as u64,
        Claim::GoesOn => ((left_ms as f64 * RATE_WAIT_PART) as u64).min(RATE_WAIT_MOST_MS),
    };
    loop {
        let now = gateway.now();
        let peering = gateway.peers.borrow().peering(now);
        let taken = gateway.rates.borrow_mut().take(now, workspace, peering, claim);
        let Err(retry_after_ms) = taken else {
            return Ok(());
        };
        if now.since(arrived) + retry_after_ms > wait_most_ms {
            return Err(retry_after_ms);
        }
        tokio::time::sleep(Duration::from_millis(retry_after_ms)).await;
    }
}

/// What a request means to its program, as far as its rate goes.
fn claim(gateway: &Gateway, call: &Call, keeps_history: bool) -> Claim {
    if call.most_tokens == 0 || !gateway.has(Mechanism::WholePrograms) {
        return Claim::GoesOn;
    }
    match (&call.program, &call.previous, call.finish_ms) {
        (Some(_), None, Some(finish_ms)) if keeps_history => {
            Claim::Begins { length_ms: finish_ms.min(PROGRAM_MOST_MS) }
        }
        _ => Claim::GoesOn,
    }
}

fn order(
    mechanisms: Mechanisms,
    catalog: &Catalog,
    route: &Route,
    workspace: Option<&Workspace>,
    call: &Call,
) -> Result<Order, Refusal> {
    let program = call.program.as_ref().unwrap_or(&call.request);
    let affinity = AccountKey::of(&route.prefix, program).hash();
    let service = route.service(affinity).ok_or(Refusal::NoRoute)?;
    let priority = workspace.and_then(|w| w.priority).unwrap_or(route.priority);
    let repeat = match route.repeat {
        Repeat::ResumableStream if !mechanisms.has(Mechanism::Resumption) => Repeat::Stream,
        repeat => repeat,
    };
    let tokens_per_event = catalog.service(service).map_or(0, |s| s.tokens_per_event);
    Ok(Order {
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
    })
}

/// A request that may be served, with all that is known of it.
struct Admitted<'a> {
    head: request::Parts,
    call: &'a Call,
    order: Order,
    body: Bytes,
    ends_at: TimeMs,
}

impl Admitted<'_> {
    fn suspect(&self) -> u64 {
        suspect(&self.order.workspace, &self.head, &self.body)
    }

    fn program(&self) -> AccountKey {
        program(self.call, &self.order)
    }

    /// Whether it is charged to its program's account, or continues a history: both are with the
    /// owner of the program's shard.
    fn needs_owner(&self) -> bool {
        let charged = self.order.repeat.is_stream() && self.call.budget.is_some();
        self.order.keeps_history || charged
    }

    fn into_job(self, gateway: &Gateway) -> Job {
        let suspect = self.suspect();
        let mut headers = end_to_end(self.head.headers);
        gateway.protocol.strip(&mut headers);
        Job {
            request: self.call.request.clone(),
            method: self.head.method,
            uri: self.head.uri,
            headers,
            body: self.body,
            order: self.order,
            parts: self.call.parts.clone(),
            suspect,
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

/// What a request's crashes are counted under: the same for each attempt of the same caller.
fn suspect(workspace: &str, head: &request::Parts, body: &[u8]) -> u64 {
    Digest::of(&[workspace.as_bytes(), head.uri.path().as_bytes(), body]).prefix()
}

fn program(call: &Call, order: &Order) -> AccountKey {
    AccountKey::of(&order.workspace, call.program.as_ref().unwrap_or(&call.request))
}

async fn serve_at_owner(
    gateway: &Rc<Gateway>,
    admitted: Admitted<'_>,
) -> Result<Response<AnswerBody>, Refusal> {
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
) -> Result<Response<AnswerBody>, Refusal> {
    let (call, workspace) = (admitted.call, admitted.order.workspace.clone());
    let previous = call.previous.as_ref().filter(|_| admitted.order.keeps_history);
    let previous = previous.map(|id| TurnKey::of(&workspace, id));
    let turn = TurnCall {
        turn: TurnKey::of(&workspace, &call.request),
        previous,
        program: admitted.program(),
        budget: call.budget.unwrap_or(u64::MAX),
        most_tokens: call.most_tokens,
        input: admitted.body.clone(),
        job: Rc::new(admitted.into_job(gateway)),
    };
    serve_turn(gateway, shard, turn).await
}

/// Serves a turn that another entry has sent here.
pub(super) async fn serve_forwarded(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let running = gateway.enter();
    let arrived = gateway.now();
    let (mut head, body) = request.into_parts();
    let order = head.headers.remove(ORDER_HEADER).and_then(|value| read_order(value.as_bytes()));
    let call = gateway.protocol.read(&head);
    let (Some(order), Some(call)) = (order, call) else {
        return refuse(gateway, None, Refusal::BadCall);
    };
    let shard = program(&call, &order).shard(gateway.shards.count());
    let Some(shard) = gateway.shards.own(shard).filter(|s| s.stage() == Stage::Serving) else {
        return moved();
    };
    let Ok(body) = Limited::new(body, FORWARDED_MOST_BYTES).collect().await else {
        return refuse(gateway, Some(&call.request), Refusal::BadCall);
    };
    let ends_at = arrived.plus(order.left_ms);
    let admitted = Admitted { head, call: &call, order, body: body.to_bytes(), ends_at };
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

fn read_order(hex_text: &[u8]) -> Option<Order> {
    postcard::from_bytes(&hex::decode(hex_text).ok()?).ok()
}
