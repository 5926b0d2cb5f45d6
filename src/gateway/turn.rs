use std::rc::Rc;
use std::time::Duration;

use http::{Response, response};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use tokio::sync::{mpsc, oneshot};

use super::attempt::{Answer, Job};
use super::find::find_chain;
use super::owned_shard::OwnedShard;
use super::plain::{Dispatch, end_to_end};
use super::reservation::Reservation;
use super::state::Gateway;
use super::{AnswerBody, Refusal};
use crate::prelude::*;
use crate::turns::{AccountKey, EventReader, Turn, TurnKey};

/// Pieces of a stream that wait for a slow reader. Source: about one answer.
const PIECES_WAITING_MOST: usize = 32;

/// Bytes of a prompt that make a token, for estimates of what an endpoint has to read.
const BYTES_PER_TOKEN: u64 = 2;

/// A turn at the owner of its program's shard.
pub(super) struct TurnCall {
    pub(super) job: Job,
    pub(super) turn: TurnKey,
    pub(super) previous: Option<TurnKey>,
    pub(super) program: AccountKey,
    pub(super) budget: u64,
    pub(super) most_tokens: u64,
    pub(super) history_ms: u64,
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
        let mut prompt = Vec::new();
        let mut parts = Vec::new();
        if let Some(previous) = self.call.previous {
            let chain = find_chain(&gateway, &shard, previous, &mut records).await?;
            for (key, turn) in &chain {
                prompt.extend_from_slice(&turn.input);
                prompt.extend_from_slice(&turn.output);
                let bytes = (turn.input.len() + turn.output.len()) as u64;
                parts.push((key.hash(), bytes / BYTES_PER_TOKEN));
            }
        }
        let input = self.call.job.body.clone();
        if !prompt.is_empty() {
            prompt.extend_from_slice(&input);
            self.call.job.body = prompt.into();
        }
        if !parts.is_empty() {
            self.call.job.parts = parts;
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
        let mut reader = EventReader::default();
        let mut first = next_piece(&gateway, ends_at, &mut body).await;
        // Tokens may reach the caller only once they are accounted for, or a successor would hand
        // out the same budget again.
        if let Some(recorded) = recorded {
            within(&gateway, ends_at, recorded).await?.map_err(|_| Refusal::OutcomeUnknown)?;
        }
        version.into_iter().for_each(|version| reservation.recorded(version));
        if let Some(opening) = self.opening.take() {
            drop(opening.send(Ok(head)));
        }
        loop {
            let piece = match first {
                Ok(Some(piece)) => piece,
                Ok(None) => break,
                Err(refusal) => {
                    let endpoint = lease.endpoint;
                    drop(lease);
                    dispatch.broke_off(endpoint).await;
                    return Err(refusal);
                }
            };
            reader.push(&piece);
            let begun = u64::from(!reader.between_events());
            let per_event = self.call.job.order.tokens_per_event;
            reservation.used = (reader.events() + begun) * per_event;
            if self.pieces.send(Some(piece)).await.is_err() {
                return Ok(());
            }
            first = next_piece(&gateway, ends_at, &mut body).await;
        }
        if !reader.between_events() || reader.events() == 0 {
            return Err(Refusal::OutcomeUnknown);
        }
        let endpoint = lease.endpoint;
        let ran_at = lease.endpoint_id.to_string();
        lease.finish();
        gateway.cleared(self.call.job.suspect);
        let output: Bytes = reader.into_output().into();
        let own_bytes = (input.len() + output.len()) as u64;
        let mut parts = std::mem::take(&mut self.call.job.parts);
        parts.push((self.call.turn.hash(), own_bytes / BYTES_PER_TOKEN));
        gateway.placement.borrow_mut().read(gateway.now(), endpoint, &parts);
        let turn = Turn { parent: self.call.previous, input, output, kept_until, ran_at };
        let (settled, version) = reservation.settle();
        let completed = shard.ledger.borrow_mut().complete(self.call.turn, turn);
        let recorded = shard.writer.append(vec![completed, settled]);
        within(&gateway, ends_at, recorded).await?.map_err(|_| Refusal::OutcomeUnknown)?;
        reservation.recorded(version);
        drop(self.pieces.send(None).await);
        Ok(())
    }

    /// Passes on an endpoint's own failure.
    async fn pass_failure(&mut self, answer: Answer) -> Result<(), Refusal> {
        let ends_at = self.call.job.ends_at;
        let whole = within(&self.gateway, ends_at, answer.body.collect()).await?;
        let whole = whole.map_err(|_| Refusal::OutcomeUnknown)?;
        answer.lease.finish();
        if let Some(opening) = self.opening.take() {
            drop(opening.send(Ok(answer.head)));
        }
        drop(self.pieces.send(Some(whole.to_bytes())).await);
        drop(self.pieces.send(None).await);
        Ok(())
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
