//! Tasks that carry out the core's I/O: requests to the log and to the processes beside endpoints.

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

/// Maximum size of one frame of an attempt; the largest is a complete answer.
const MAX_FRAME_BYTES: usize = 64 << 20;
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
const PUBLISH_RETRY_INTERVAL: Duration = Duration::from_millis(500);
const MAX_PUBLISH_ATTEMPTS: usize = 600;
/// How long the refusal of a call that crashes engines waits for crash records to be appended. If
/// the log is unavailable for longer, the refusal is sent without them.
const MAX_RECORD_WAIT: Duration = Duration::from_secs(1);
const RECORD_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The shard owner that a task works for and reports its result to.
pub(super) struct OwnerHandle {
    pub entry: Arc<Entry>,
    pub shard: ShardId,
    pub nonce: u64,
}

impl OwnerHandle {
    fn send(&self, event: Event) {
        let command = Command::OwnerEvent { shard: self.shard, nonce: self.nonce, event };
        let _ = self.entry.commands.send(command);
    }

    fn stream(&self) -> String {
        format!("shard-{}", self.shard)
    }
}

/// Wakes an owner after `in_ms`, when its reserved append may be sent.
pub(super) async fn wake(owner: OwnerHandle, in_ms: u64) {
    tokio::time::sleep(Duration::from_millis(in_ms)).await;
    owner.send(Event::Wake);
}

/// Appends a batch to the shard's stream.
pub(super) async fn append(owner: OwnerHandle, records: Vec<Record>) {
    let started = owner.entry.clock.now();
    let result = owner.entry.log.append(&owner.stream(), &records).await;
    let elapsed_ms = owner.entry.clock.now().since(started) as f64;
    metrics::histogram!("trefoil_log_append_ms").record(elapsed_ms);
    metrics::histogram!("trefoil_log_batch_records").record(records.len() as f64);
    owner.entry.record_log_result(result.is_ok());
    if let Err(fault) = result {
        log::warn!(
            shard = owner.shard.0, fault:?;
            "append to the shard's stream failed; the owner retries"
        );
    }
    owner.send(Event::Appended(result.map_err(Into::into)));
}

/// Reads a page of the shard's stream.
pub(super) async fn read(owner: OwnerHandle, from: Option<Offset>) {
    let from = from.unwrap_or(Offset(0));
    let page = owner.entry.log.read::<Record>(&owner.stream(), from, Duration::ZERO).await;
    let page = page.map(|page| ReadPage {
        at_end: page.at_end(),
        earliest: page.earliest,
        records: page.records,
    });
    owner.send(Event::Read(page.map_err(Into::into)));
}

/// Sends an attempt to the process beside its endpoint and passes its frames to the owner.
pub(super) async fn dispatch(owner: OwnerHandle, attempt: Attempt) {
    let id = attempt.id;
    log::info!(
        program = attempt.program.to_string(), turn = attempt.turn.0, attempt = id.to_string(),
        workspace = attempt.program.workspace.as_str(), epoch = id.epoch.0,
        endpoint = attempt.target.vm.as_str(), alone = attempt.alone;
        "dispatching an attempt"
    );
    let address = {
        let peers = owner.entry.peers();
        let peer = peers.peer_on(&attempt.target.vm);
        let same_instance = peer.filter(|p| p.heartbeat.instance == attempt.target.instance);
        same_instance.map(|peer| peer.heartbeat.address)
    };
    let rejected = AttemptFrame::Failed { cause: FailureCause::Rejected, spent_tokens: Some(0) };
    let Some(address) = address else {
        owner.send(Event::Frame { attempt: id, frame: rejected });
        return;
    };
    let body = serde_json::to_vec(&attempt).unwrap_or_default();
    let started = owner.entry.http.start(Method::POST, address, ATTEMPTS_PATH, body.into()).await;
    match started {
        Ok(response) if response.status().is_success() => {
            if !forward_frames(&owner, id, response.into_body()).await {
                owner.send(Event::ConnectionLost { attempt: id });
            }
        }
        // Nothing listens on the address, so the attempt certainly did not start.
        Err(CallError::NotSent) => owner.send(Event::Frame { attempt: id, frame: rejected }),
        Ok(_) | Err(_) => owner.send(Event::ConnectionLost { attempt: id }),
    }
}

/// Passes frames to the owner. Returns whether the last frame was received.
async fn forward_frames(owner: &OwnerHandle, attempt: AttemptId, body: Incoming) -> bool {
    let mut lines = LineReader::open(body, MAX_FRAME_BYTES);
    while let Some(line) = lines.next().await {
        let Ok(frame) = serde_json::from_slice::<AttemptFrame>(&line) else {
            return false;
        };
        let is_last = !matches!(frame, AttemptFrame::Delta { .. });
        owner.send(Event::Frame { attempt, frame });
        if is_last {
            return true;
        }
    }
    false
}

/// Queries the process beside an endpoint for the state of an attempt.
pub(super) async fn query_attempt(
    owner: OwnerHandle,
    attempt: AttemptId,
    endpoint: EndpointRef,
    epoch: Epoch,
) {
    let peer = {
        let peers = owner.entry.peers();
        peers.peer_on(&endpoint.vm).map(|peer| (peer.heartbeat.instance, peer.heartbeat.control))
    };
    let report = match peer {
        // A VM runs one process at a time, so the instance that got the attempt has ended.
        Some((instance, _)) if instance != endpoint.instance => AttemptReport::Forgotten,
        Some((instance, control)) => {
            let control_request = ControlRequest::Query { attempt, instance, epoch };
            match owner.entry.links.ask(control, control_request, PEER_TIMEOUT).await {
                Ok(ControlReply::Report(report)) => report,
                Ok(_) | Err(_) => AttemptReport::NoAnswer,
            }
        }
        None => AttemptReport::NoAnswer,
    };
    owner.send(Event::Report { attempt, report });
}

/// Asks the process beside an endpoint to stop an attempt.
pub(super) async fn cancel(owner: OwnerHandle, attempt: AttemptId, endpoint: EndpointRef) {
    send_control(&owner, &endpoint, ControlRequest::Cancel { attempt }).await;
}

/// Asks the process beside an endpoint to free the cache that it holds for a program. If the
/// message is lost, the cache is freed when its lease expires.
pub(super) async fn free(owner: OwnerHandle, program: ProgramId, endpoint: EndpointRef) {
    send_control(&owner, &endpoint, ControlRequest::Free { program }).await;
}

async fn send_control(owner: &OwnerHandle, endpoint: &EndpointRef, request: ControlRequest) {
    let control = owner.entry.peers().peer_on(&endpoint.vm).map(|peer| peer.heartbeat.control);
    if let Some(control) = control {
        let _ = owner.entry.links.ask(control, request, PEER_TIMEOUT).await;
    }
}

/// Appends a record to the configuration stream, retrying until the log accepts it. Local crashes
/// are kept until the record is applied from the stream. A duplicate does no harm: a crash counts
/// once.
pub(super) async fn publish(entry: Arc<Entry>, record: ConfigRecord) {
    let recorded = append_with_retries(&entry, &record).await;
    if matches!(record, ConfigRecord::Suspect { .. }) {
        entry.remove_pending_crash_record();
    }
    match recorded {
        Some(offset) => remove_once_applied(&entry, &record, offset).await,
        None => log::error!(
            "giving up on a configuration record after {MAX_PUBLISH_ATTEMPTS} failed appends"
        ),
    }
}

async fn append_with_retries(entry: &Entry, record: &ConfigRecord) -> Option<Offset> {
    for _ in 0..MAX_PUBLISH_ATTEMPTS {
        match entry.log.append(CONFIG_STREAM, std::slice::from_ref(record)).await {
            Ok(at) => return Some(at.first),
            Err(_) => tokio::time::sleep(PUBLISH_RETRY_INTERVAL).await,
        }
    }
    None
}

/// Sends the final reply to a call that crashes engines once its crashes are in the log. If the
/// entry died after the reply and before the record, the crashes would be forgotten, and a resend
/// of the call would crash another engine.
pub(super) async fn reply_once_crashes_recorded(
    entry: Arc<Entry>,
    replies: mpsc::UnboundedSender<Reply>,
    reply: Reply,
) {
    let recorded = async {
        while !entry.crashes_are_recorded() {
            tokio::time::sleep(RECORD_POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(MAX_RECORD_WAIT, recorded);
    let _ = entry.answers_due.run_until_cancelled(waited).await;
    let _ = replies.send(reply);
}

async fn remove_once_applied(entry: &Entry, record: &ConfigRecord, offset: Offset) {
    let mut config_state = entry.config_state.subscribe();
    let is_applied =
        config_state.wait_for(|config_state| config_state.through() >= offset).await.is_ok();
    if let (true, ConfigRecord::Suspect { workspace, digest, .. }) = (is_applied, record) {
        entry.remove_local_crashes(workspace, digest);
    }
}
