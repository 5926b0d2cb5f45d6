use std::rc::Rc;
use std::time::Duration;

use http::{Response, response};
use hyper::body::Bytes;
use tokio::sync::oneshot;

use super::attempt::{EndpointRequest, EndpointResponse};
use super::buffered::strip_hop_by_hop_headers;
use super::chunk_channel::{ChunkSender, chunk_channel};
use super::collect_response::{MAX_RESPONSE_BYTES, collect_response};
use super::event_stream::{CompletedResponse, EventStream, ResponseStart};
use super::find_turn::find_chain;
use super::handoff::{TurnHandoff, hand_off};
use super::held_for_callers::History;
use super::in_flight::Wait;
use super::owned_shard::{ACCOUNT_BYTES, OwnedShard, TURN_OVERHEAD_BYTES};
use super::read_body::hold_prompt;
use super::reader_limits::{Counted, ReaderGone};
use super::reservation::{Charge, Reservation};
use super::state::Gateway;
use super::{Refusal, ResponseBody};
use crate::load::NoRoom;
use crate::mechanisms::Mechanism;
use crate::prelude::*;
use crate::replicas::ReplicaKey;
use crate::turns::{EventReader, ProgramKey, Turn, TurnKey};

/// Retry delay while the shard's records cannot be written. Callers accept a retry delay of at most
/// a third of their timeout.
const STORE_UNREACHABLE_RETRY_MS: u64 = 1_000;

/// Retry delay while there is no room for more history: room comes only as kept turns expire.
const HISTORY_RETRY_MS: u64 = 1_000;

/// Bytes of output for which room is needed per token that a turn may generate.
const BYTES_PER_TOKEN: usize = 8;

/// A turn to be served by this entry, the owner of its program's shard.
pub(super) struct TurnRequest {
    pub(super) endpoint_request: Rc<EndpointRequest>,
    /// The body that the caller sent, without the history.
    pub(super) input: Bytes,
    /// The key of this turn.
    pub(super) key: TurnKey,
    /// The turn that this one continues.
    pub(super) previous: Option<TurnKey>,
    pub(super) program: ProgramKey,
    pub(super) budget: u64,
    pub(super) max_output_tokens: u64,
}

impl TurnRequest {
    /// Prepends the inputs and outputs of the preceding turns to the request body.
    fn prepend_history(
        &mut self,
        gateway: &Gateway,
        chain: &[(TurnKey, Turn)],
    ) -> Result<(), NoRoom> {
        let earlier = chain.iter().map(|(_, turn)| turn.bytes()).sum::<usize>();
        let bytes = earlier + self.input.len();
        let hold = hold_prompt(gateway, &self.endpoint_request.routing.workspace, bytes)?;
        let mut prompt = Vec::with_capacity(bytes);
        for (_, turn) in chain {
            prompt.extend_from_slice(&turn.input);
            prompt.extend_from_slice(&turn.output);
        }
        prompt.extend_from_slice(&self.input);
        let prompt = Bytes::from_owner(Counted { bytes: prompt, _hold: hold });
        Rc::make_mut(&mut self.endpoint_request).set_body(prompt);
        Ok(())
    }

    /// Records that the endpoint now has the prompt in its cache.
    fn record_cached_prompt(&self, gateway: &Gateway, endpoint: ReplicaKey) {
        gateway.placement.borrow_mut().record_prefill(
            gateway.now(),
            endpoint,
            &self.endpoint_request.parts,
        );
    }
}

/// The head of the response to the caller, or the refusal.
type HeadOrRefusal = Result<response::Parts, Refusal>;

/// Serves a turn. The caller receives tokens only after they are charged to the turn's program.
///
/// If the history is kept, the endpoint receives all of it, and the caller receives the end of the
/// stream only after the turn is durable. A turn that the caller saw complete can therefore not be
/// lost, whatever happens next.
pub(super) async fn serve_turn(
    gateway: &Rc<Gateway>,
    shard: Rc<OwnedShard>,
    turn_request: TurnRequest,
) -> Result<Response<ResponseBody>, Refusal> {
    let (head_sender, head_receiver) = oneshot::channel();
    let endpoint_request = &turn_request.endpoint_request;
    let (chunk_sender, body) = chunk_channel(
        gateway.reader_limits.as_ref(),
        &endpoint_request.request,
        &endpoint_request.routing.workspace,
    );
    let caller = Caller { head_sender: Some(head_sender), chunk_sender };
    let run = TurnRun { gateway: gateway.clone(), shard, turn_request };
    tokio::task::spawn_local(run.run_until_disconnect(caller));
    match head_receiver.await {
        Ok(Ok(head)) => {
            let mut response = Response::new(body);
            *response.status_mut() = head.status;
            *response.headers_mut() = strip_hop_by_hop_headers(head.headers);
            Ok(response)
        }
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::OutcomeUnknown),
    }
}

/// The receiver of the response: the caller, or the entry that forwarded the turn.
struct Caller {
    /// None after the head or a refusal was sent.
    head_sender: Option<oneshot::Sender<HeadOrRefusal>>,
    chunk_sender: ChunkSender,
}

impl Caller {
    /// Sends the head or the refusal, unless one was sent before.
    fn send_head(&mut self, head: HeadOrRefusal) {
        if let Some(sender) = self.head_sender.take() {
            drop(sender.send(head));
        }
    }

    /// Counts a chunk that has arrived. If the caller is disconnected instead, the turn ends.
    fn hold(&self, gateway: &Gateway, chunk: Bytes) -> Result<Bytes, Refusal> {
        let held = self.chunk_sender.hold(gateway.now(), chunk);
        held.map_err(|ReaderGone| Refusal::OutcomeUnknown)
    }

    /// Passes a chunk on; [`None`] marks the end of the response. A caller that has disconnected
    /// misses it.
    async fn send_chunk(&self, chunk: Option<Bytes>) {
        drop(self.chunk_sender.send(chunk).await);
    }
}

/// A turn being served.
struct TurnRun {
    gateway: Rc<Gateway>,
    shard: Rc<OwnedShard>,
    turn_request: TurnRequest,
}

impl TurnRun {
    /// Runs the turn until it ends or its caller disconnects.
    async fn run_until_disconnect(mut self, mut caller: Caller) {
        let _turn_guard = self.shard.begin_turn();
        let request = self.turn_request.endpoint_request.request.clone();
        let chunk_sender = caller.chunk_sender.clone();
        let outcome = tokio::select! {
            outcome = self.run(&mut caller) => outcome,
            () = chunk_sender.closed() => {
                let progress = &self.turn_request.endpoint_request.progress;
                if !progress.is_given_up() {
                    log::info!(request:%; "caller disconnected during a turn; turn cancelled");
                }
                return;
            }
        };
        if let Err(refusal) = outcome {
            log::info!(request:%, refusal = refusal.name(), shard = self.shard.number,
                epoch = self.shard.epoch; "turn failed; refusing it unless its response has begun");
            caller.send_head(Err(refusal));
        }
    }

    async fn run(&mut self, caller: &mut Caller) -> Result<(), Refusal> {
        let gateway = self.gateway.clone();
        let deadline = self.turn_request.endpoint_request.deadline;
        let progress = self.turn_request.endpoint_request.progress.clone();
        progress.set_wait(Wait::Store);
        let kept = self.hold_history()?;
        let mut charge = self.reserve().await?;
        let reader = match self.turn_request.endpoint_request.routing.keeps_history {
            true => EventReader::collecting_output(),
            false => EventReader::default(),
        };
        let (head, start) =
            EventStream::open(&gateway, &self.turn_request.endpoint_request, reader).await?;
        let mut events = match start {
            ResponseStart::Events(events) => events,
            ResponseStart::Failure(response) => {
                return self.pass_error_response(*response, caller).await;
            }
        };
        let mut next = events.next_chunk().await?;
        progress.set_wait(Wait::Store);
        // The caller may receive tokens only after they are charged durably, or the shard's next
        // owner would grant the same budget again. If this owner can no longer record the charge,
        // the tokens are withheld until the next owner has.
        let durable = until_deadline(&gateway, deadline, charge.wait_until_durable()).await?;
        let mut withheld = Vec::new();
        progress.set_wait(Wait::Endpoint);
        if durable {
            caller.send_head(Ok(head.clone()));
        }
        while let Some(chunk) = next {
            let chunk = caller.hold(&gateway, chunk)?;
            charge.reservation.used =
                events.events_begun() * self.turn_request.endpoint_request.routing.tokens_per_event;
            match durable {
                true => caller.send_chunk(Some(chunk)).await,
                false => withheld.push(chunk),
            }
            next = events.next_chunk().await?;
        }
        let completed_response = events.finish().ok_or(Refusal::OutcomeUnknown)?;
        self.turn_request.record_cached_prompt(&gateway, completed_response.endpoint);
        gateway.record_ended_turn(
            &self.turn_request.endpoint_request.routing,
            self.turn_request.program,
            completed_response.first_event_ms,
        );
        progress.set_wait(Wait::Store);
        drop(kept);
        self.settle(charge, completed_response, durable).await?;
        caller.send_head(Ok(head));
        for chunk in withheld {
            caller.send_chunk(Some(chunk)).await;
        }
        caller.send_chunk(None).await;
        Ok(())
    }

    /// Counts what will be kept of the turn. Once it has run, it has to be kept.
    fn hold_history(&self) -> Result<History, Refusal> {
        let TurnRequest { endpoint_request, input, max_output_tokens, program, .. } =
            &self.turn_request;
        let mut bytes = 0;
        if !self.shard.ledger().has_account(*program) {
            bytes += ACCOUNT_BYTES;
        }
        if endpoint_request.routing.keeps_history {
            let max_output_bytes = usize::try_from(*max_output_tokens)
                .map_or(MAX_RESPONSE_BYTES, |tokens| tokens.saturating_mul(BYTES_PER_TOKEN));
            bytes += input.len() + max_output_bytes.min(MAX_RESPONSE_BYTES) + TURN_OVERHEAD_BYTES;
        }
        let workspace = &endpoint_request.routing.workspace;
        let held = self.gateway.caller_memory.hold_history(workspace, bytes);
        held.map_err(|NoRoom| Refusal::NoRoom { retry_after_ms: HISTORY_RETRY_MS })
    }

    /// Prepends the history to the request, and reserves the turn's tokens from its program's
    /// budget.
    async fn reserve(&mut self) -> Result<Charge, Refusal> {
        let (gateway, shard) = (&self.gateway, &self.shard);
        let mut chain = Vec::new();
        if let Some(previous) = self.turn_request.previous {
            chain = find_chain(gateway, shard, previous).await?;
            self.turn_request.prepend_history(gateway, &chain)?;
            let workspace = &self.turn_request.endpoint_request.routing.workspace;
            for (key, turn) in &chain {
                shard.count_history(&gateway.caller_memory, workspace, *key, turn.bytes());
            }
        }
        let turn_request = &self.turn_request;
        if gateway.is_poison_request(turn_request.endpoint_request.crash_key) {
            return Err(Refusal::CrashesEndpoints);
        }
        let kept_until = self.kept_until();
        let tokens = (turn_request.budget, turn_request.max_output_tokens);
        let charge = Reservation::open(shard, turn_request.program, tokens, kept_until, chain)?;
        let workspace = &turn_request.endpoint_request.routing.workspace;
        shard.count_account(&gateway.caller_memory, workspace, turn_request.program);
        let needs_store =
            turn_request.endpoint_request.routing.keeps_history || charge.is_recorded_first();
        let left_ms = turn_request.endpoint_request.deadline.since(gateway.now());
        let waits = needs_store && gateway.waits_for_store();
        if waits && !shard.writer.wait_until_writable(left_ms).await {
            log::info!(request:% = turn_request.endpoint_request.request, shard = shard.number;
                "store unreachable for longer than the turn may wait; turn refused as unavailable");
            return Err(Refusal::Unavailable { retry_after_ms: STORE_UNREACHABLE_RETRY_MS });
        }
        Ok(charge)
    }

    /// Until when the turn is kept: it counts from its end, which is its deadline at the latest.
    fn kept_until(&self) -> UnixMs {
        let request = &self.turn_request.endpoint_request;
        let left_ms = request.deadline.since(self.gateway.now());
        let kept_ms = left_ms.saturating_add(request.routing.retention_ms);
        UnixMs(self.gateway.unix().0.saturating_add(kept_ms))
    }

    /// Makes the tokens used by a completed turn durable and, if its history is kept, the turn
    /// itself. If this entry has lost the shard meanwhile, its next owner is asked to record them.
    async fn settle(
        &self,
        charge: Charge,
        completed_response: CompletedResponse,
        durable: bool,
    ) -> Result<(), Refusal> {
        let Charge { mut reservation, kept_until, .. } = charge;
        let keeps_history = self.turn_request.endpoint_request.routing.keeps_history;
        if !keeps_history && durable {
            // The durable reservation covers the tokens used, so there is no need to wait for the
            // settlement. It is recorded when the reservation is dropped.
            return Ok(());
        }
        let (gateway, shard, deadline) =
            (&self.gateway, &self.shard, self.turn_request.endpoint_request.deadline);
        let turn = Turn {
            parent: self.turn_request.previous,
            // The input counts as a part of the request, which ends.
            input: Bytes::copy_from_slice(&self.turn_request.input),
            output: completed_response.output.into(),
            kept_until,
            ran_at: completed_response.endpoint_id.to_string(),
        };
        let handoff = TurnHandoff {
            turn: keeps_history.then(|| (self.turn_request.key, turn.clone())),
            program: self.turn_request.program,
            budget: self.turn_request.budget,
            unreserved: if durable { 0 } else { reservation.used },
            kept_until,
        };
        // A shard that was lost before the reservation was durable accepts no records.
        let completed = durable.then_some((self.turn_request.key, turn));
        if let Some((key, turn)) = completed.as_ref().filter(|_| keeps_history) {
            let workspace = &self.turn_request.endpoint_request.routing.workspace;
            shard.count_history(&gateway.caller_memory, workspace, *key, turn.bytes());
        }
        let (version, recorded) = reservation.settle(completed);
        if let Some(recorded) = recorded.filter(|_| durable)
            && until_deadline(gateway, deadline, recorded).await?.is_ok()
        {
            reservation.mark_durable(version);
            return Ok(());
        }
        let request = &self.turn_request.endpoint_request.request;
        let recorded = gateway.is_enabled(Mechanism::Handoffs)
            && hand_off(
                gateway,
                &handoff,
                &self.turn_request.endpoint_request.routing.regions,
                deadline,
            )
            .await;
        log::info!(request:%, shard = shard.number, epoch = shard.epoch, recorded;
            "turn completed after this entry had lost its shard");
        recorded.then_some(()).ok_or(Refusal::OutcomeUnknown)
    }

    /// Passes on an endpoint's error response.
    async fn pass_error_response(
        &self,
        response: EndpointResponse,
        caller: &mut Caller,
    ) -> Result<(), Refusal> {
        let deadline = self.turn_request.endpoint_request.deadline;
        let reader = caller.chunk_sender.reader();
        let body = collect_response(response.body, || self.gateway.now(), reader);
        let body = until_deadline(&self.gateway, deadline, body).await?;
        let body = body.map_err(|_| Refusal::OutcomeUnknown)?;
        response.in_flight.finish(response.head.status);
        let body = caller.hold(&self.gateway, body)?;
        caller.send_head(Ok(response.head));
        caller.send_chunk(Some(body)).await;
        caller.send_chunk(None).await;
        Ok(())
    }
}

/// Waits for a future until the request's deadline.
pub(super) async fn until_deadline<T>(
    gateway: &Gateway,
    deadline: TimeMs,
    future: impl Future<Output = T>,
) -> Result<T, Refusal> {
    let left = Duration::from_millis(deadline.since(gateway.now()));
    tokio::time::timeout(left, future).await.map_err(|_| Refusal::TimedOut)
}
