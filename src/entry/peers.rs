use std::time::Duration;

use futures_util::StreamExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::daemon::HeartbeatSender;
use crate::entry::core::Command;
use crate::entry::forward::{ENDS_PATH, TURNS_PATH};
use crate::entry::state::Entry;
use crate::entry::turn_message::TurnMessage;
use crate::http::{Body, BodyError, OWN_PROCESSES, json, json_line, read_body_until, streamed};
use crate::membership::{Heartbeat, PeerState, RoleStatus};
use crate::prelude::*;
use crate::programs::Reply;

/// Path of this entry's status report, read by operators and other entries.
pub(super) const STATUS_PATH: &str = "/status";
/// Path of the configuration snapshot, which other entries fetch while the log is unavailable.
pub(super) const CONFIG_PATH: &str = "/config";
const MAX_MESSAGE_BYTES: usize = 64 << 20;
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Handles a request from another process of the cluster.
pub(super) async fn handle(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, TURNS_PATH) => handle_turn(entry, request).await,
        (&Method::GET, CONFIG_PATH) => {
            json(StatusCode::OK, &entry.current_config_state().snapshot())
        }
        (&Method::GET, STATUS_PATH) => json(StatusCode::OK, &entry.status()),
        (&Method::POST, ENDS_PATH) => handle_end(entry, request).await,
        _ => json(StatusCode::NOT_FOUND, &"no such call"),
    }
}

/// Reads a message; returns the response to one that is malformed, or that is still arriving when
/// this entry is about to exit. Both tell the sender that its call did not run here.
async fn read_json<T: DeserializeOwned>(
    entry: &Entry,
    request: Request<Incoming>,
) -> Result<T, Response<Body>> {
    let stop = &entry.answers_due;
    let body =
        read_body_until(stop, request, OWN_PROCESSES, MAX_MESSAGE_BYTES, RECEIVE_TIMEOUT).await;
    let body = body.ok_or_else(|| json(StatusCode::SERVICE_UNAVAILABLE, &"shutting down"))?;
    if body == Err(BodyError::NoRoom) {
        return Err(json(StatusCode::SERVICE_UNAVAILABLE, &"no room"));
    }
    let message = body.ok().and_then(|body| serde_json::from_slice(&body).ok());
    message.ok_or_else(|| json(StatusCode::BAD_REQUEST, &"not a message of this kind"))
}

async fn handle_turn(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let message = match read_json::<TurnMessage>(&entry, request).await {
        Ok(message) => message,
        Err(response) => return response,
    };
    let request = message.into_request(entry.clock.now());
    let (replies, receiver) = mpsc::unbounded_channel();
    stream_replies(&entry, Command::Turn { request, replies }, receiver)
}

async fn handle_end(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let program = match read_json::<ProgramId>(&entry, request).await {
        Ok(program) => program,
        Err(response) => return response,
    };
    let (replies, receiver) = mpsc::unbounded_channel();
    stream_replies(&entry, Command::End { program, replies }, receiver)
}

fn stream_replies(
    entry: &Entry,
    command: Command,
    receiver: mpsc::UnboundedReceiver<Reply>,
) -> Response<Body> {
    let _ = entry.commands.send(command);
    let replies = UnboundedReceiverStream::new(receiver);
    Response::new(streamed(replies.map(|reply| Ok(json_line(&reply)))))
}

/// Receives the heartbeats of other processes. Never returns.
pub(super) async fn receive_heartbeats(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let Some(heartbeat) = Heartbeat::decode(&buffer[..length]) else {
            log::warn!("ignoring a datagram that is not a heartbeat");
            continue;
        };
        let vm = heartbeat.vm.clone();
        let is_new = entry.peers().record_heartbeat(entry.clock.now(), heartbeat);
        if is_new {
            log::info!(vm = vm.as_str(); "received the first heartbeat of a process instance");
        }
    }
}

/// Ticks the pause detector of this process once per heartbeat interval. Never returns.
pub(super) async fn run_pause_detector(entry: Arc<Entry>) {
    let interval = Duration::from_millis(entry.settings.process.heartbeat_ms);
    loop {
        entry.pause_detector().tick(entry.clock.now());
        tokio::time::sleep(interval).await;
    }
}

/// Sends this entry's heartbeats and updates the peer table. Never returns.
pub(super) async fn send_heartbeats(entry: Arc<Entry>, mut heartbeats: HeartbeatSender) {
    loop {
        heartbeats.wait_for_interval().await;
        if let Some(list) = heartbeats.refresh_list().await {
            entry.peers().set_vm_list(list);
        }
        let targets = {
            let mut peers = entry.peers();
            peers.tick(entry.clock.now());
            peers.heartbeat_targets()
        };
        let state = match entry.is_leaving() {
            true => PeerState::Leaving,
            false => PeerState::Live,
        };
        let role_status = RoleStatus::Entry {
            config: entry.current_config_state().through(),
            log_age_ms: entry.config_age_ms(),
            owned: entry
                .owned_shards()
                .iter()
                .map(|(shard, owned)| (*shard, owned.epoch))
                .collect(),
        };
        heartbeats.send(state, role_status, &targets).await;
    }
}
