//! What the core has done for it: calls to the log, to endpoints and to their processes.

use std::time::Duration;

use hyper::Method;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::contracts::ConfigRecord;
use crate::endpoint::ATTEMPTS_PATH;
use crate::entry::config::CONFIG_STREAM;
use crate::entry::core::Command;
use crate::entry::state::Entry;
use crate::http::{CallError, LineReader};
use crate::link::{ControlReply, ControlRequest};
use crate::prelude::*;
use crate::programs::{
    Attempt, AttemptFrame, AttemptReport, Event, FailureCause, ReadPage, Record, Reply,
};

/// The longest frame of an attempt: a whole answer.
const MAX_FRAME_BYTES: usize = 64 << 20;
const ASK_TIMEOUT: Duration = Duration::from_millis(1_000);
const PUBLISH_RETRY: Duration = Duration::from_millis(500);
const PUBLISH_TRIES: usize = 600;
/// How long a final answer waits for the record of a crash. With the log out it is given without.
const RECORD_WAIT_MS: u64 = 1_000;
const RECORD_POLL: Duration = Duration::from_millis(2);

/// Where the answers to a task go.
pub(super) struct Back {
    pub entry: Arc<Entry>,
    pub shard: ShardId,
    pub nonce: u64,
}

impl Back {
    fn tell(&self, event: Event) {
        let command = Command::Owner { shard: self.shard, nonce: self.nonce, event };
        let _ = self.entry.commands.send(command);
    }

    fn stream(&self) -> String {
        format!("shard-{}", self.shard)
    }
}

/// Wakes an owner up when its append may be sent.
pub(super) async fn wake(back: Back, in_ms: u64) {
    tokio::time::sleep(Duration::from_millis(in_ms)).await;
    back.tell(Event::Wake);
}

/// Appends a batch.
pub(super) async fn append(back: Back, records: Vec<Record>) {
    let started = back.entry.clock.now();
    let result = back.entry.log.append(&back.stream(), &records).await;
    let elapsed_ms = back.entry.clock.now().since(started) as f64;
    metrics::histogram!("trefoil_log_append_ms").record(elapsed_ms);
    metrics::histogram!("trefoil_log_batch_records").record(records.len() as f64);
    back.entry.note_log(result.is_ok());
    if let Err(fault) = result {
        log::warn!(shard = back.shard.0, fault:?; "the log did not answer an append");
    }
    back.tell(Event::Appended(result.map_err(Into::into)));
}

/// Reads a page of the shard's stream.
pub(super) async fn read(back: Back, from: Option<Offset>) {
    let from = from.unwrap_or(Offset(0));
    let page = back.entry.log.read::<Record>(&back.stream(), from, Duration::ZERO).await;
    let page = page.map(|page| ReadPage {
        at_end: page.at_end(),
        earliest: page.earliest,
        records: page.records,
    });
    back.tell(Event::Read(page.map_err(Into::into)));
}

/// Sends an attempt to the process beside its endpoint and passes its frames on.
pub(super) async fn dispatch(back: Back, attempt: Attempt) {
    let id = attempt.id;
    log::info!(
        program = attempt.program.to_string(), turn = attempt.turn.0, attempt = id.to_string(),
        workspace = attempt.program.workspace.as_str(), epoch = id.epoch.0,
        endpoint = attempt.target.vm.as_str(), alone = attempt.alone;
        "dispatching an attempt"
    );
    let address = {
        let peers = back.entry.peers();
        let peer = peers.peer_on(&attempt.target.vm);
        let same_run = peer.filter(|p| p.heartbeat.instance == attempt.target.instance);
        same_run.map(|peer| peer.heartbeat.address)
    };
    let rejected = AttemptFrame::Failed { cause: FailureCause::Rejected, spent_tokens: Some(0) };
    let Some(address) = address else {
        back.tell(Event::Frame { attempt: id, frame: rejected });
        return;
    };
    let body = serde_json::to_vec(&attempt).unwrap_or_default();
    let started = back.entry.http.start(Method::POST, address, ATTEMPTS_PATH, body.into()).await;
    match started {
        Ok(response) if response.status().is_success() => {
            if !follow(&back, id, response.into_body()).await {
                back.tell(Event::ConnectionLost { attempt: id });
            }
        }
        // Nobody listened there: it certainly did not start.
        Err(CallError::NotSent) => back.tell(Event::Frame { attempt: id, frame: rejected }),
        Ok(_) | Err(_) => back.tell(Event::ConnectionLost { attempt: id }),
    }
}

/// Passes frames on; returns whether the last one came.
async fn follow(back: &Back, attempt: AttemptId, body: Incoming) -> bool {
    let mut lines = LineReader::open(body, MAX_FRAME_BYTES);
    while let Some(line) = lines.next().await {
        let Ok(frame) = serde_json::from_slice::<AttemptFrame>(&line) else {
            return false;
        };
        let is_last = !matches!(frame, AttemptFrame::Delta { .. });
        back.tell(Event::Frame { attempt, frame });
        if is_last {
            return true;
        }
    }
    false
}

/// Asks the process beside an endpoint what became of an attempt.
pub(super) async fn ask(back: Back, attempt: AttemptId, endpoint: EndpointRef, epoch: Epoch) {
    let known = {
        let peers = back.entry.peers();
        peers.peer_on(&endpoint.vm).map(|peer| (peer.heartbeat.instance, peer.heartbeat.control))
    };
    let report = match known {
        // A VM runs one process at a time: the run that was asked for is gone.
        Some((instance, _)) if instance != endpoint.instance => AttemptReport::Forgotten,
        Some((instance, control)) => {
            let question = ControlRequest::Ask { attempt, instance, epoch };
            match back.entry.links.ask(control, question, ASK_TIMEOUT).await {
                Ok(ControlReply::Report(report)) => report,
                Ok(_) | Err(_) => AttemptReport::NoAnswer,
            }
        }
        None => AttemptReport::NoAnswer,
    };
    back.tell(Event::Report { attempt, report });
}

/// Asks the process beside an endpoint to stop an attempt.
pub(super) async fn cancel(back: Back, attempt: AttemptId, endpoint: EndpointRef) {
    order(&back, &endpoint, ControlRequest::Cancel { attempt }).await;
}

/// Asks the process beside an endpoint to free a program's conversation. Should the message be
/// lost, the lease there runs out.
pub(super) async fn free(back: Back, program: ProgramId, endpoint: EndpointRef) {
    order(&back, &endpoint, ControlRequest::Free { program }).await;
}

async fn order(back: &Back, endpoint: &EndpointRef, request: ControlRequest) {
    let control = back.entry.peers().peer_on(&endpoint.vm).map(|peer| peer.heartbeat.control);
    if let Some(control) = control {
        let _ = back.entry.links.ask(control, request, ASK_TIMEOUT).await;
    }
}

/// Writes to the configuration stream until the log takes it, and then leaves the matter to the
/// book. Sending it twice does no harm: a crash is counted once.
pub(super) async fn publish(entry: Arc<Entry>, record: ConfigRecord) {
    let recorded = publish_until_taken(&entry, &record).await;
    if matches!(record, ConfigRecord::Suspect { .. }) {
        entry.settle_crash_record();
    }
    match recorded {
        Some(offset) => leave_to_book(&entry, &record, offset).await,
        None => log::error!("a crash could not be recorded: the log took nothing for minutes"),
    }
}

async fn publish_until_taken(entry: &Entry, record: &ConfigRecord) -> Option<Offset> {
    for _ in 0..PUBLISH_TRIES {
        match entry.log.append(CONFIG_STREAM, std::slice::from_ref(record)).await {
            Ok(at) => return Some(at.first),
            Err(_) => tokio::time::sleep(PUBLISH_RETRY).await,
        }
    }
    None
}

/// Gives a caller its final answer about a call that crashes engines, once that is recorded: an
/// entry that died in between would take the knowledge along, and a resend would crash another.
pub(super) async fn reply_when_recorded(
    entry: Arc<Entry>,
    replies: mpsc::UnboundedSender<Reply>,
    reply: Reply,
) {
    let started = entry.clock.now();
    while !entry.crashes_are_recorded() && entry.clock.now().since(started) < RECORD_WAIT_MS {
        tokio::time::sleep(RECORD_POLL).await;
    }
    let _ = replies.send(reply);
}

async fn leave_to_book(entry: &Entry, record: &ConfigRecord, recorded: Offset) {
    let mut book = entry.book.subscribe();
    let in_force = book.wait_for(|book| book.through() >= recorded).await.is_ok();
    if let (true, ConfigRecord::Suspect { workspace, digest, .. }) = (in_force, record) {
        entry.forget_crashes(workspace, digest);
    }
}
