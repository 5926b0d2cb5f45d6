use std::rc::Rc;
use std::time::Duration;

use http::{Response, response};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use tokio::sync::{mpsc, oneshot};

use super::attempt::{Answer, EndpointRequest};
use super::buffered::end_to_end;
use super::event_stream::{Ended, EventStream, Opened};
use super::find_turn::find_chain;
use super::handoff::{TurnHandoff, hand_off};
use super::owned_shard::OwnedShard;
use super::reservation::Reservation;
use super::state::Gateway;
use super::writer::AppendAck;
use super::{Refusal, ResponseBody};
use crate::mechanisms::Mechanism;
use crate::prelude::*;
use crate::replicas::ReplicaKey;
use crate::turns::{AccountVersion, EventReader, ProgramKey, Turn, TurnKey};

/// Pieces of a stream that wait for a slow reader.
const PIECES_WAITING_MOST: usize = 32;

/// When to return if the shard's records can't be written: callers heed at most a third of their time.
const STORE_AWAY_RETRY_MS: u64 = 1_000;

/// A turn at the owner of its program's shard.
pub(super) struct TurnCall {
    pub(super) job: Rc<EndpointRequest>,
    /// What the caller sent, without the history.
    pub(super) input: Bytes,
    pub(super) turn: TurnKey,
    pub(super) previous: Option<TurnKey>,
    pub(super) program: ProgramKey,
    pub(super) budget: u64,
    pub(super) max_output_tokens: u64,
}

impl TurnCall {
    /// Puts the history before the turn's own input.
    fn continue_from(&mut self, chain: &[(TurnKey, Turn)]) {
        let mut prompt = Vec::new();
        for (_, turn) in chain {
            prompt.extend_from_slice(&turn.input);
            prompt.extend_from_slice(&turn.output);
        }
        prompt.extend_from_slice(&self.input);
        Rc::make_mut(&mut self.job).body = prompt.into();
    }

    /// The endpoint holds the prompt now.
    fn remember_prompt(&self, gateway: &Gateway, endpoint: ReplicaKey) {
        gateway.placement.borrow_mut().read(gateway.now(), endpoint, &self.job.parts);
    }
}

/// The first that is known of an answer.
type Opening = Result<response::Parts, Refusal>;

/// Serves a turn. Its tokens reach the caller once they are charged to its program. Where its history
/// is kept, the endpoint gets the whole of it, and the turn's end reaches the caller only once the
/// turn is recorded: so no turn that a caller saw end can be lost, whatever happens next.
pub(super) async fn serve_turn(
    gateway: &Rc<Gateway>,
    shard: Rc<OwnedShard>,
    call: TurnCall,
) -> Result<Response<ResponseBody>, Refusal> {
    let (opening, opened) = oneshot::channel();
    let (pieces, passing) = mpsc::channel(PIECES_WAITING_MOST);
    let caller = Caller { opening: Some(opening), pieces };
    let run = Run { gateway: gateway.clone(), shard, call };
    tokio::task::spawn_local(run.until_over(caller));
    match opened.await {
        Ok(Ok(head)) => {
            let mut response = Response::new(ResponseBody::passing(passing));
            *response.status_mut() = head.status;
            *response.headers_mut() = end_to_end(head.headers);
            Ok(response)
        }
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::OutcomeUnknown),
    }
}

/// Whoever waits for the answer: the caller, or the entry that it came through.
struct Caller {
    opening: Option<oneshot::Sender<Opening>>,
    pieces: mpsc::Sender<Option<Bytes>>,
}

impl Caller {
    /// The answer begins to reach it, unless it has before.
    fn open(&mut self, opening: Opening) {
        if let Some(waiting) = self.opening.take() {
            drop(waiting.send(opening));
        }
    }

    /// Passes bytes on; nothing is the answer's end. One that has left misses them.
    async fn pass(&self, piece: Option<Bytes>) {
        drop(self.pieces.send(piece).await);
    }
}

struct Run {
    gateway: Rc<Gateway>,
    shard: Rc<OwnedShard>,
    call: TurnCall,
}

impl Run {
    /// Runs the turn until it ends or its caller has left.
    async fn until_over(mut self, mut caller: Caller) {
        let _under_way = self.shard.begin_turn();
        let request = self.call.job.request.clone();
        let pieces = caller.pieces.clone();
        let outcome = tokio::select! {
            outcome = self.run(&mut caller) => outcome,
            () = pieces.closed() => {
                log::info!(request:%; "the caller left a turn");
                return;
            }
        };
        if let Err(refusal) = outcome {
            log::info!(request:%, refusal = refusal.name(), shard = self.shard.number,
                epoch = self.shard.epoch; "a turn did not end");
            caller.open(Err(refusal));
        }
    }

    async fn run(&mut self, caller: &mut Caller) -> Result<(), Refusal> {
        let gateway = self.gateway.clone();
        let ends_at = self.call.job.ends_at;
        let mut charge = self.charge().await?;
        let reader = match self.call.job.order.keeps_history {
            true => EventReader::collecting_output(),
            false => EventReader::default(),
        };
        let (head, opened) = EventStream::open(&gateway, &self.call.job, reader).await?;
        let mut events = match opened {
            Opened::Events(events) => events,
            Opened::Failure(answer) => return self.pass_failure(*answer, caller).await,
        };
        let mut next = events.next().await?;
        // Tokens may reach the caller only once they are accounted for, or a successor would hand
        // out the same budget again. If this owner can't record that any more, they are withheld
        // until its successor has.
        let durable = within(&gateway, ends_at, charge.is_durable()).await?;
        let mut withheld = Vec::new();
        if durable {
            caller.open(Ok(head.clone()));
        }
        while let Some(piece) = next {
            charge.reservation.used = events.begun() * self.call.job.order.tokens_per_event;
            match durable {
                true => caller.pass(Some(piece)).await,
                false => withheld.push(piece),
            }
            next = events.next().await?;
        }
        let ended = events.finish().ok_or(Refusal::OutcomeUnknown)?;
        self.call.remember_prompt(&gateway, ended.endpoint);
        self.settle(charge, ended, durable).await?;
        caller.open(Ok(head));
        for piece in withheld {
            caller.pass(Some(piece)).await;
        }
        caller.pass(None).await;
        Ok(())
    }

    /// Puts the history before the turn, and reserves its tokens out of its program's budget.
    async fn charge(&mut self) -> Result<Charge, Refusal> {
        let (gateway, shard) = (&self.gateway, &self.shard);
        let mut records = Vec::new();
        if let Some(previous) = self.call.previous {
            let chain = find_chain(gateway, shard, previous, &mut records).await?;
            self.call.continue_from(&chain);
        }
        let call = &self.call;
        let kept_until = UnixMs(gateway.unix().0 + call.job.order.retention_ms);
        let tokens = (call.budget, call.max_output_tokens);
        let (reservation, reserved) = Reservation::open(shard, call.program, tokens, kept_until)?;
        let version = reserved.map(|(record, version)| {
            records.push(record);
            version
        });
        let needs_store = call.job.order.keeps_history || !records.is_empty();
        let recorded = (!records.is_empty()).then(|| shard.writer.append(records));
        let left_ms = call.job.ends_at.since(gateway.now());
        let holds = needs_store && gateway.waits_for_store();
        if holds && !shard.writer.wait_until_writable(left_ms).await {
            log::info!(request:% = call.job.request, shard = shard.number; "the store is away");
            return Err(Refusal::Unavailable { retry_after_ms: STORE_AWAY_RETRY_MS });
        }
        Ok(Charge { reservation, recorded, version, kept_until })
    }

    /// Makes durable what a turn that was answered whole has used and, where its history is kept,
    /// said: here, or by the shard's next owner.
    async fn settle(&self, charge: Charge, ended: Ended, durable: bool) -> Result<(), Refusal> {
        let Charge { mut reservation, kept_until, .. } = charge;
        let keeps_history = self.call.job.order.keeps_history;
        if !keeps_history && durable {
            // What was reserved covers what was used: its record may follow.
            return Ok(());
        }
        let (gateway, shard, ends_at) = (&self.gateway, &self.shard, self.call.job.ends_at);
        let turn = Turn {
            parent: self.call.previous,
            input: self.call.input.clone(),
            output: ended.output.into(),
            kept_until,
            ran_at: ended.endpoint_id.to_string(),
        };
        let handoff = TurnHandoff {
            turn: keeps_history.then(|| (self.call.turn, turn.clone())),
            program: self.call.program,
            budget: self.call.budget,
            unreserved: if durable { 0 } else { reservation.used },
            kept_until,
        };
        let (settled, version) = reservation.settle();
        if durable {
            let completed = shard.ledger.borrow_mut().complete(self.call.turn, turn);
            let recorded = shard.writer.append(vec![completed, settled]);
            if within(gateway, ends_at, recorded).await?.is_ok() {
                reservation.recorded(version);
                return Ok(());
            }
        }
        let request = &self.call.job.request;
        let recorded = gateway.is_enabled(Mechanism::Handoffs)
            && hand_off(gateway, &handoff, &self.call.job.order.regions, ends_at).await;
        log::info!(request:%, shard = shard.number, epoch = shard.epoch, recorded;
            "a turn ended after its shard was lost");
        recorded.then_some(()).ok_or(Refusal::OutcomeUnknown)
    }

    /// Passes on an endpoint's own failure.
    async fn pass_failure(&self, answer: Answer, caller: &mut Caller) -> Result<(), Refusal> {
        let ends_at = self.call.job.ends_at;
        let whole = within(&self.gateway, ends_at, answer.body.collect()).await?;
        let whole = whole.map_err(|_| Refusal::OutcomeUnknown)?;
        answer.lease.finish(answer.head.status);
        caller.open(Ok(answer.head));
        caller.pass(Some(whole.to_bytes())).await;
        caller.pass(None).await;
        Ok(())
    }
}

/// A turn's tokens, reserved out of its program's budget.
struct Charge {
    reservation: Reservation,
    /// Told once the reservation is durable; none where an earlier record has reserved ahead.
    recorded: Option<AppendAck>,
    version: Option<AccountVersion>,
    kept_until: UnixMs,
}

impl Charge {
    /// Waits until the reservation is durable, or never will be under this epoch.
    async fn is_durable(&mut self) -> bool {
        let durable = match self.recorded.take() {
            Some(recorded) => recorded.await.is_ok(),
            None => true,
        };
        if let (true, Some(version)) = (durable, self.version) {
            self.reservation.recorded(version);
        }
        durable
    }
}

/// Waits for something until the request's time is over.
pub(super) async fn within<T>(
    gateway: &Gateway,
    ends_at: TimeMs,
    something: impl Future<Output = T>,
) -> Result<T, Refusal> {
    let left = Duration::from_millis(ends_at.since(gateway.now()));
    tokio::time::timeout(left, something).await.map_err(|_| Refusal::TimedOut)
}
