use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use tokio::sync::{mpsc, oneshot};

use super::attempt::{Answer, Job};
use super::bequest::{Bequest, bequeath};
use super::find::find_chain;
use super::owned_shard::OwnedShard;
use super::plain::{Dispatch, end_to_end};
use super::reservation::Reservation;
use super::state::Gateway;
use super::{AnswerBody, Refusal};
use crate::prelude::*;
use crate::replicas::ReplicaKey;
use crate::turns::{AccountKey, EventReader, Turn, TurnKey};

/// Pieces of a stream that wait for a slow reader. Source: about one answer.
const PIECES_WAITING_MOST: usize = 32;

/// Bytes of a prompt that make a token, for estimates of what an endpoint has to read.
const BYTES_PER_TOKEN: u64 = 2;

/// A turn at the owner of its program's shard.
pub(super) struct TurnCall {
    pub(super) job: Job,
    /// What the caller sent, without the history.
    pub(super) input: Bytes,
    pub(super) turn: TurnKey,
    pub(super) previous: Option<TurnKey>,
    pub(super) program: AccountKey,
    pub(super) budget: u64,
    pub(super) most_tokens: u64,
    pub(super) history_ms: u64,
}

impl TurnCall {
    /// Puts the history before the turn's own input.
    fn continue_from(&mut self, chain: &[(TurnKey, Turn)]) {
        let mut prompt = Vec::new();
        let mut parts = Vec::new();
        for (key, turn) in chain {
            prompt.extend_from_slice(&turn.input);
            prompt.extend_from_slice(&turn.output);
            let bytes = (turn.input.len() + turn.output.len()) as u64;
            parts.push((key.hash(), bytes / BYTES_PER_TOKEN));
        }
        prompt.extend_from_slice(&self.input);
        self.job.body = prompt.into();
        self.job.parts = parts;
    }

    /// The endpoint holds the prompt, and the turn itself as its last part.
    fn remember_prompt(&mut self, gateway: &Gateway, endpoint: ReplicaKey, output_bytes: usize) {
        let own_bytes = (self.input.len() + output_bytes) as u64;
        let mut parts = std::mem::take(&mut self.job.parts);
        parts.push((self.turn.hash(), own_bytes / BYTES_PER_TOKEN));
        gateway.placement.borrow_mut().read(gateway.now(), endpoint, &parts);
    }
}

/// The first that is known of an answer.
type Opening = Result<response::Parts, Refusal>;

/// Serves a turn: the endpoint gets its whole history, and its end reaches the caller only once the
/// turn is recorded. So no turn that a caller saw end can be lost, whatever happens next.
pub(super) async fn serve_turn(
    gateway: &Rc<Gateway>,
    shard: Rc<OwnedShard>,
    call: TurnCall,
) -> Result<Response<AnswerBody>, Refusal> {
    let (opening, opened) = oneshot::channel();
    let (pieces, passing) = mpsc::channel(PIECES_WAITING_MOST);
    let run = Run { gateway: gateway.clone(), shard, call, opening: Some(opening), pieces };
    tokio::task::spawn_local(run.until_over());
    match opened.await {
        Ok(Ok(head)) => {
            let mut response = Response::new(AnswerBody::passing(passing));
            *response.status_mut() = head.status;
            *response.headers_mut() = end_to_end(head.headers);
            Ok(response)
        }
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::OutcomeUnknown),
    }
}

struct Run {
    gateway: Rc<Gateway>,
    shard: Rc<OwnedShard>,
    call: TurnCall,
    opening: Option<oneshot::Sender<Opening>>,
    pieces: mpsc::Sender<Option<Bytes>>,
}

impl Run {
    /// Runs the turn until it ends or its caller has left.
    async fn until_over(mut self) {
        let _under_way = self.shard.begin();
        let request = self.call.job.request.clone();
        let pieces = self.pieces.clone();
        let outcome = tokio::select! {
            outcome = self.run() => outcome,
            () = pieces.closed() => {
                log::info!(request:%; "the caller left a turn");
                return;
            }
        };
        if let Err(refusal) = outcome {
            log::info!(request:%, refusal = refusal.name(), shard = self.shard.number,
                epoch = self.shard.epoch; "a turn did not end");
            if let Some(opening) = self.opening.take() {
                drop(opening.send(Err(refusal)));
            }
        }
    }

    async fn run(&mut self) -> Result<(), Refusal> {
        let (gateway, shard) = (self.gateway.clone(), self.shard.clone());
        let mut records = Vec::new();
        if let Some(previous) = self.call.previous {
            let chain = find_chain(&gateway, &shard, previous, &mut records).await?;
            self.call.continue_from(&chain);
        }
        let kept_until = UnixMs(gateway.unix().0 + self.call.history_ms);
        let (mut reservation, reserved) = Reservation::open(
            &shard,
            self.call.program,
            (self.call.budget, self.call.most_tokens),
            kept_until,
        )?;
        let version = reserved.map(|(record, version)| {
            records.push(record);
            version
        });
        let recorded = (!records.is_empty()).then(|| shard.writer.append(records));
        let mut dispatch = Dispatch::open(&gateway, &self.call.job);
        let ends_at = self.call.job.ends_at;
        let answer = within(&gateway, ends_at, dispatch.answer()).await??;
        if !answer.head.status.is_success() {
            return self.pass_failure(answer).await;
        }
        let Answer { head, mut body, lease } = answer;
        let mut head = Some(head);
        let mut reader = EventReader::default();
        lease.listen();
        let mut next = next_piece(&gateway, ends_at, &mut body).await;
        lease.heard();
        // Tokens may reach the caller only once they are accounted for, or a successor would hand
        // out the same budget again. If this owner can't record that any more, they are withheld
        // until its successor has.
        let reserved = match recorded {
            Some(recorded) => within(&gateway, ends_at, recorded).await?.is_ok(),
            None => true,
        };
        let mut withheld = Vec::new();
        if reserved {
            version.into_iter().for_each(|version| reservation.recorded(version));
            open(&mut self.opening, head.take());
        }
        loop {
            let piece = match next {
                Ok(Some(piece)) => piece,
                Ok(None) => break,
                Err(refusal) => {
                    let endpoint = lease.endpoint;
                    lease.broken();
                    dispatch.broke_off(endpoint).await;
                    return Err(refusal);
                }
            };
            reader.push(&piece);
            let begun = u64::from(!reader.between_events());
            reservation.used = (reader.events() + begun) * self.call.job.order.tokens_per_event;
            if !reserved {
                withheld.push(piece);
            } else if self.pieces.send(Some(piece)).await.is_err() {
                return Ok(());
            }
            lease.listen();
            next = next_piece(&gateway, ends_at, &mut body).await;
            lease.heard();
        }
        if !reader.between_events() || reader.events() == 0 {
            return Err(Refusal::OutcomeUnknown);
        }
        let endpoint = lease.endpoint;
        let ran_at = lease.endpoint_id.to_string();
        lease.finish(StatusCode::OK);
        gateway.cleared(self.call.job.suspect);
        let output: Bytes = reader.into_output().into();
        self.call.remember_prompt(&gateway, endpoint, output.len());
        let input = self.call.input.clone();
        let turn = Turn { parent: self.call.previous, input, output, kept_until, ran_at };
        self.record(&mut reservation, turn, reserved).await?;
        open(&mut self.opening, head);
        for piece in withheld {
            drop(self.pieces.send(Some(piece)).await);
        }
        drop(self.pieces.send(None).await);
        Ok(())
    }

    /// Makes a turn durable that was answered whole: here, or by the shard's next owner.
    async fn record(
        &self,
        reservation: &mut Reservation,
        turn: Turn,
        reserved: bool,
    ) -> Result<(), Refusal> {
        let (gateway, shard, ends_at) = (&self.gateway, &self.shard, self.call.job.ends_at);
        let unreserved = if reserved { 0 } else { reservation.used };
        let bequest = Bequest {
            key: self.call.turn,
            turn: turn.clone(),
            program: self.call.program,
            budget: self.call.budget,
            unreserved,
        };
        let (settled, version) = reservation.settle();
        if reserved {
            let completed = shard.ledger.borrow_mut().complete(self.call.turn, turn);
            let recorded = shard.writer.append(vec![completed, settled]);
            if within(gateway, ends_at, recorded).await?.is_ok() {
                reservation.recorded(version);
                return Ok(());
            }
        }
        let request = &self.call.job.request;
        let recorded = bequeath(gateway, &bequest, ends_at).await;
        log::info!(request:%, shard = shard.number, epoch = shard.epoch, recorded;
            "a turn ended after its shard was lost");
        recorded.then_some(()).ok_or(Refusal::OutcomeUnknown)
    }

    /// Passes on an endpoint's own failure.
    async fn pass_failure(&mut self, answer: Answer) -> Result<(), Refusal> {
        let ends_at = self.call.job.ends_at;
        let whole = within(&self.gateway, ends_at, answer.body.collect()).await?;
        let whole = whole.map_err(|_| Refusal::OutcomeUnknown)?;
        answer.lease.finish(answer.head.status);
        if let Some(opening) = self.opening.take() {
            drop(opening.send(Ok(answer.head)));
        }
        drop(self.pieces.send(Some(whole.to_bytes())).await);
        drop(self.pieces.send(None).await);
        Ok(())
    }
}

/// The answer begins to reach the caller, unless it has before.
fn open(opening: &mut Option<oneshot::Sender<Opening>>, head: Option<response::Parts>) {
    if let (Some(head), Some(opening)) = (head, opening.take()) {
        drop(opening.send(Ok(head)));
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

/// The next bytes of a stream; nothing at its end.
pub(super) async fn next_piece(
    gateway: &Gateway,
    ends_at: TimeMs,
    body: &mut Incoming,
) -> Result<Option<Bytes>, Refusal> {
    loop {
        match within(gateway, ends_at, body.frame()).await? {
            None => return Ok(None),
            Some(Err(_)) => return Err(Refusal::OutcomeUnknown),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if data.is_empty() => {}
                Ok(data) => return Ok(Some(data)),
                Err(_trailers) => {}
            },
        }
    }
}
