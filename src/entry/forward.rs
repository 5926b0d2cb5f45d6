//! Carries a call to the entry that owns its program, and the replies back.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::entry::core::Command;
use crate::entry::state::{Entry, Place};
use crate::entry::wire::TurnMessage;
use crate::http::{CallError, LineReader};
use crate::prelude::*;
use crate::programs::{ExecutionStatus, Refusal, RefusalReason, Reply, TurnRequest};

/// Where entries take turns for their shards.
pub(super) const TURNS: &str = "/turns";
/// Where entries take the end of programs of their shards.
pub(super) const ENDS: &str = "/ends";

/// The longest reply that another entry sends.
const MAX_LINE_BYTES: usize = 64 << 20;
/// How often a call that waits looks whether its owner is still there.
const OWNER_CHECK: Duration = Duration::from_millis(50);
/// The owner itself refuses at the deadline; this is for one that can't.
const DEADLINE_GRACE_MS: u64 = 500;
const FIRST_BACKOFF_MS: u64 = 20;
const MAX_BACKOFF_MS: u64 = 250;

/// A call that an owner can take.
pub(super) enum Call {
    Turn(TurnRequest),
    End { program: ProgramId, deadline: TimeMs },
}

/// How one try at reaching the owner went.
enum Relay {
    /// The final reply was passed on, or nobody waits for it any more.
    Finished,
    /// The call certainly did not run there.
    NotThere,
    /// The owner was lost with the call, which may have run.
    Cut,
}

/// Starts to carry a call; its replies come through the channel.
pub(super) fn carry(entry: Arc<Entry>, call: Call) -> mpsc::UnboundedReceiver<Reply> {
    let (replies, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move { Carrier { entry, call, replies, delivered: false }.run().await });
    receiver
}

struct Carrier {
    entry: Arc<Entry>,
    call: Call,
    replies: mpsc::UnboundedSender<Reply>,
    delivered: bool,
}

impl Call {
    fn program(&self) -> &ProgramId {
        match self {
            Call::Turn(request) => &request.program,
            Call::End { program, .. } => program,
        }
    }

    fn deadline(&self) -> TimeMs {
        match self {
            Call::Turn(request) => request.deadline,
            Call::End { deadline, .. } => *deadline,
        }
    }

    /// Whether the owner recognises a repeat, so that the call may be carried there again even
    /// though it may have run.
    fn is_recognised(&self) -> bool {
        match self {
            Call::Turn(request) => request.turn.is_some() || request.idempotency_key.is_some(),
            Call::End { .. } => true,
        }
    }
}

impl Carrier {
    /// Tries until the owner has given its final reply or the deadline has passed. Only the way
    /// to the owner is tried again here; attempts at endpoints are the owner's alone to repeat.
    async fn run(mut self) {
        let mut backoff_ms = FIRST_BACKOFF_MS;
        loop {
            let shard = self.call.program().shard(self.entry.settings.shards);
            let relay = match self.entry.locate(shard) {
                Place::Here => self.relay_here().await,
                Place::There(vm, address) => self.relay_there(&vm, address).await,
            };
            let may_repeat = !self.delivered && self.call.is_recognised();
            match relay {
                Relay::Finished => return,
                Relay::Cut if !may_repeat => {
                    return self.refuse(self.owner_lost());
                }
                Relay::Cut | Relay::NotThere => {}
            }
            let retry_at = self.entry.clock.now().plus(backoff_ms);
            if retry_at >= self.call.deadline() {
                let refusal = match relay {
                    Relay::NotThere => Refusal::not_run(RefusalReason::NotOwner),
                    Relay::Cut | Relay::Finished => return self.refuse(self.owner_lost()),
                };
                return self.refuse(refusal.retry_after(MAX_BACKOFF_MS));
            }
            tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// The owner was lost with the call. A repeat that it recognises is worth sending.
    fn owner_lost(&self) -> Refusal {
        let refusal = Refusal::unknown(RefusalReason::OwnerLost);
        match self.call.is_recognised() {
            true => refusal.retry_after(MAX_BACKOFF_MS),
            false => refusal,
        }
    }

    fn refuse(&self, refusal: Refusal) {
        let _ = self.replies.send(Reply::Refused(refusal));
    }

    async fn relay_here(&mut self) -> Relay {
        let (replies, mut receiver) = mpsc::unbounded_channel();
        let command = match &self.call {
            Call::Turn(request) => Command::Turn { request: request.clone(), replies },
            Call::End { program, .. } => Command::End { program: program.clone(), replies },
        };
        if self.entry.commands.send(command).is_err() {
            return Relay::NotThere;
        }
        loop {
            let reply = tokio::select! {
                reply = receiver.recv() => reply,
                () = self.replies.closed() => return Relay::Finished,
            };
            match reply {
                None => return Relay::Cut,
                Some(reply) => {
                    if let Some(relay) = self.pass_on(reply) {
                        return relay;
                    }
                }
            }
        }
    }

    /// Passes a reply on; returns how the try went if that was the last one.
    fn pass_on(&mut self, reply: Reply) -> Option<Relay> {
        if let Reply::Refused(Refusal { reason: RefusalReason::NotOwner, ran, .. }) = &reply {
            return Some(match ran {
                ExecutionStatus::NotRun => Relay::NotThere,
                ExecutionStatus::Ran | ExecutionStatus::Unknown => Relay::Cut,
            });
        }
        let is_final = reply.is_final();
        self.delivered = true;
        let gone = self.replies.send(reply).is_err();
        (is_final || gone).then_some(Relay::Finished)
    }

    /// Carries the call to another entry. A frozen owner keeps its connections open and answers
    /// nothing: the call must not wait for it once others count it as gone, or own its shard.
    async fn relay_there(&mut self, vm: &VmName, address: SocketAddr) -> Relay {
        let entry = self.entry.clone();
        let shard = self.call.program().shard(entry.settings.shards);
        let deadline = self.call.deadline();
        tokio::select! {
            relay = self.relay_call(vm, address) => relay,
            () = owner_lost(&entry, shard, vm, deadline) => Relay::Cut,
        }
    }

    async fn relay_call(&mut self, vm: &VmName, address: SocketAddr) -> Relay {
        let now = self.entry.clock.now();
        let (path, body) = match &self.call {
            Call::Turn(request) => (TURNS, to_json(&TurnMessage::of_request(request, now))),
            Call::End { program, .. } => (ENDS, to_json(program)),
        };
        let started = self.entry.http.start(Method::POST, address, path, body).await;
        match started {
            Ok(response) if response.status().is_success() => {
                self.relay_body(response.into_body()).await
            }
            Ok(_) => Relay::NotThere,
            Err(CallError::NotSent) => {
                // Nothing listens there: that run is gone, however fresh its last heartbeat.
                self.entry.peers().mark_dead(vm);
                Relay::NotThere
            }
            Err(_) => Relay::Cut,
        }
    }

    async fn relay_body(&mut self, body: Incoming) -> Relay {
        let mut lines = LineReader::open(body, MAX_LINE_BYTES);
        loop {
            let line = tokio::select! {
                line = lines.next() => line,
                () = self.replies.closed() => return Relay::Finished,
            };
            let Some(reply) = line.and_then(|line| serde_json::from_slice::<Reply>(&line).ok())
            else {
                return Relay::Cut;
            };
            if let Some(relay) = self.pass_on(reply) {
                return relay;
            }
        }
    }
}

/// Waits until an entry can't be the shard's owner any more, or the call's time is up.
async fn owner_lost(entry: &Entry, shard: ShardId, vm: &VmName, deadline: TimeMs) {
    while entry.may_own(shard, vm) && entry.clock.now() < deadline.plus(DEADLINE_GRACE_MS) {
        tokio::time::sleep(OWNER_CHECK).await;
    }
}

fn to_json<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}
