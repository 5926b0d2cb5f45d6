//! Forwards a call to the entry that owns its program's shard, and the replies back.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::entry::core::Command;
use crate::entry::state::{Entry, ShardLocation};
use crate::entry::turn_message::TurnMessage;
use crate::http::{CallError, LineReader};
use crate::prelude::*;
use crate::programs::{ExecutionStatus, Refusal, RefusalReason, Reply, TurnRequest};

/// Path on which entries accept turns for their shards from other entries.
pub(super) const TURNS_PATH: &str = "/turns";
/// Path on which entries accept requests to end programs of their shards from other entries.
pub(super) const ENDS_PATH: &str = "/ends";

/// Maximum size of one reply from another entry.
const MAX_LINE_BYTES: usize = 64 << 20;
/// Interval at which a waiting call checks whether the entry it waits for may still own the shard.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the deadline at which the forwarding entry gives up. The owner itself refuses at the
/// deadline; this covers an owner that can't answer.
const DEADLINE_GRACE_MS: u64 = 500;
const INITIAL_BACKOFF_MS: u64 = 20;
const MAX_BACKOFF_MS: u64 = 250;

/// A request to a shard's owner.
pub(super) enum Call {
    Turn(TurnRequest),
    End { program: ProgramId, deadline: TimeMs },
}

/// The outcome of forwarding a call to the owner once.
enum RelayOutcome {
    /// The final reply was passed on, or the caller has gone.
    Finished,
    /// The call certainly did not run at that entry.
    NotRun,
    /// The owner failed or was replaced before its final reply, so the call may have run.
    OutcomeUnknown,
}

/// Starts forwarding a call; its replies arrive on the returned channel.
pub(super) fn forward(entry: Arc<Entry>, call: Call) -> mpsc::UnboundedReceiver<Reply> {
    let (replies, receiver) = mpsc::unbounded_channel();
    let forwarder = Forwarder { entry, call, replies, delivered: false, may_have_run: false };
    tokio::spawn(forwarder.run());
    receiver
}

struct Forwarder {
    entry: Arc<Entry>,
    call: Call,
    replies: mpsc::UnboundedSender<Reply>,
    /// Whether a reply was passed on to the caller. After that, a call of unknown outcome is not
    /// sent again.
    delivered: bool,
    /// Whether an owner that failed or was replaced may have run the call.
    may_have_run: bool,
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

    /// Whether the owner detects a repeat of this call, so that it can be sent again although it
    /// may have run.
    fn is_repeat_detected(&self) -> bool {
        match self {
            Call::Turn(request) => request.turn.is_some() || request.idempotency_key.is_some(),
            Call::End { .. } => true,
        }
    }
}

impl Forwarder {
    /// Forwards the call until the owner has sent its final reply, the deadline is near or this entry
    /// is about to exit. Only the forwarding is retried here; attempts at endpoints are retried by
    /// the owner alone.
    async fn run(mut self) {
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        loop {
            let shard = self.call.program().shard(self.entry.settings.shards);
            let outcome = match self.entry.locate(shard) {
                ShardLocation::Local => self.relay_local().await,
                ShardLocation::Remote(vm, address) => self.relay_remote(&vm, address).await,
            };
            match outcome {
                RelayOutcome::Finished => return,
                RelayOutcome::OutcomeUnknown => self.may_have_run = true,
                RelayOutcome::NotRun => {}
            }
            let may_repeat = !self.delivered && self.call.is_repeat_detected();
            if self.may_have_run && !may_repeat {
                return self.refuse(self.owner_lost_refusal());
            }
            let retry_at = self.entry.clock.now().plus(backoff_ms);
            if retry_at >= self.call.deadline() || !self.wait_to_retry(backoff_ms).await {
                return self.refuse(self.no_owner_refusal());
            }
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// Waits before the call is forwarded again. Returns `false` if it has to be answered now.
    async fn wait_to_retry(&self, backoff_ms: u64) -> bool {
        let backoff = tokio::time::sleep(Duration::from_millis(backoff_ms));
        self.entry.answers_due.run_until_cancelled(backoff).await.is_some()
    }

    /// The refusal for a call that no owner has answered in time.
    fn no_owner_refusal(&self) -> Refusal {
        match self.may_have_run {
            true => self.owner_lost_refusal(),
            false => Refusal::not_run(RefusalReason::NotOwner).retry_after(MAX_BACKOFF_MS),
        }
    }

    /// The refusal for a call whose owner failed before its final reply. It suggests a retry only
    /// if the next owner would detect the repeat.
    fn owner_lost_refusal(&self) -> Refusal {
        let refusal = Refusal::unknown(RefusalReason::OwnerLost);
        match self.call.is_repeat_detected() {
            true => refusal.retry_after(MAX_BACKOFF_MS),
            false => refusal,
        }
    }

    fn refuse(&self, refusal: Refusal) {
        let _ = self.replies.send(Reply::Refused(refusal));
    }

    async fn relay_local(&mut self) -> RelayOutcome {
        let (replies, mut receiver) = mpsc::unbounded_channel();
        let command = match &self.call {
            Call::Turn(request) => Command::Turn { request: request.clone(), replies },
            Call::End { program, .. } => Command::End { program: program.clone(), replies },
        };
        if self.entry.commands.send(command).is_err() {
            return RelayOutcome::NotRun;
        }
        loop {
            let reply = tokio::select! {
                reply = receiver.recv() => reply,
                () = self.replies.closed() => return RelayOutcome::Finished,
            };
            match reply {
                None => return RelayOutcome::OutcomeUnknown,
                Some(reply) => {
                    if let Some(outcome) = self.pass_reply(reply) {
                        return outcome;
                    }
                }
            }
        }
    }

    /// Passes a reply on to the caller. Returns the outcome if no further reply is to be read.
    fn pass_reply(&mut self, reply: Reply) -> Option<RelayOutcome> {
        if let Reply::Refused(Refusal { reason: RefusalReason::NotOwner, ran, .. }) = &reply {
            return Some(match ran {
                ExecutionStatus::NotRun => RelayOutcome::NotRun,
                ExecutionStatus::Ran | ExecutionStatus::Unknown => RelayOutcome::OutcomeUnknown,
            });
        }
        let is_final = reply.is_final();
        self.delivered = true;
        let is_closed = self.replies.send(self.add_doubt(reply)).is_err();
        (is_final || is_closed).then_some(RelayOutcome::Finished)
    }

    /// Changes the refusal of an owner without the log to an unknown outcome if an earlier owner may
    /// have run the call. An owner that can't read its shard's stream doesn't know about that run,
    /// and refuses the call as not run.
    fn add_doubt(&self, reply: Reply) -> Reply {
        match reply {
            Reply::Refused(refusal)
                if self.may_have_run && refusal.reason == RefusalReason::LogUnavailable =>
            {
                Reply::Refused(Refusal { ran: ExecutionStatus::Unknown, ..refusal })
            }
            reply => reply,
        }
    }

    /// Forwards the call to another entry. A paused owner keeps its connections open but does not
    /// answer, so the call stops waiting once that entry is considered dead or another entry owns
    /// the shard.
    async fn relay_remote(&mut self, vm: &VmName, address: SocketAddr) -> RelayOutcome {
        let entry = self.entry.clone();
        let shard = self.call.program().shard(entry.settings.shards);
        let deadline = self.call.deadline();
        tokio::select! {
            outcome = self.send_to_owner(vm, address) => outcome,
            () = until_not_owner(&entry, shard, vm, deadline) => RelayOutcome::OutcomeUnknown,
            () = entry.answers_due.cancelled() => RelayOutcome::OutcomeUnknown,
        }
    }

    async fn send_to_owner(&mut self, vm: &VmName, address: SocketAddr) -> RelayOutcome {
        let now = self.entry.clock.now();
        let (path, body) = match &self.call {
            Call::Turn(request) => (TURNS_PATH, to_json(&TurnMessage::from_request(request, now))),
            Call::End { program, .. } => (ENDS_PATH, to_json(program)),
        };
        let started = self.entry.http.start(Method::POST, address, path, body).await;
        match started {
            Ok(response) if response.status().is_success() => {
                self.relay_replies(response.into_body()).await
            }
            Ok(_) => RelayOutcome::NotRun,
            Err(CallError::NotSent) => {
                // Nothing listens on the address: that process instance has ended, however recent
                // its last heartbeat is.
                self.entry.peers().mark_dead(vm);
                RelayOutcome::NotRun
            }
            Err(_) => RelayOutcome::OutcomeUnknown,
        }
    }

    async fn relay_replies(&mut self, body: Incoming) -> RelayOutcome {
        let mut lines = LineReader::open(body, MAX_LINE_BYTES);
        loop {
            let line = tokio::select! {
                line = lines.next() => line,
                () = self.replies.closed() => return RelayOutcome::Finished,
            };
            let Some(reply) = line.and_then(|line| serde_json::from_slice::<Reply>(&line).ok())
            else {
                return RelayOutcome::OutcomeUnknown;
            };
            if let Some(outcome) = self.pass_reply(reply) {
                return outcome;
            }
        }
    }
}

/// Waits until the entry on `vm` can no longer own the shard, or the deadline with its grace time
/// has passed.
async fn until_not_owner(entry: &Entry, shard: ShardId, vm: &VmName, deadline: TimeMs) {
    while entry.may_own(shard, vm) && entry.clock.now() < deadline.plus(DEADLINE_GRACE_MS) {
        tokio::time::sleep(OWNER_CHECK_INTERVAL).await;
    }
}

fn to_json<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}
