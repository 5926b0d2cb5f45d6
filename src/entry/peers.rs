use std::time::Duration;

use futures_util::StreamExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::daemon::Pulse;
use crate::entry::core::Command;
use crate::entry::forward::{ENDS, TURNS};
use crate::entry::state::Entry;
use crate::entry::wire::TurnMessage;
use crate::http::{Body, json, lines, read_body, streamed};
use crate::membership::{Heartbeat, PeerState, RoleStatus};
use crate::prelude::*;
use crate::programs::Reply;

/// Where operators and other entries ask how this one does.
pub(super) const STATUS: &str = "/status";
/// Where entries take the configuration from each other while the log is out.
pub(super) const CONFIG: &str = "/config";
const MAX_MESSAGE_BYTES: usize = 64 << 20;
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Answers a call of another process of the system.
pub(super) async fn handle(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, TURNS) => turn(entry, request).await,
        (&Method::GET, CONFIG) => json(StatusCode::OK, &entry.current_book().snapshot()),
        (&Method::GET, STATUS) => json(StatusCode::OK, &entry.status()),
        (&Method::POST, ENDS) => end(entry, request).await,
        _ => json(StatusCode::NOT_FOUND, &"no such call"),
    }
}

async fn read<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = read_body(request.into_body(), MAX_MESSAGE_BYTES, RECEIVE_TIMEOUT).await;
    serde_json::from_slice(&body.ok()?).ok()
}

async fn turn(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let Some(message) = read::<TurnMessage>(request).await else {
        return json(StatusCode::BAD_REQUEST, &"not a turn");
    };
    let request = message.into_request(entry.clock.now());
    let (replies, receiver) = mpsc::unbounded_channel();
    answer(&entry, Command::Turn { request, replies }, receiver)
}

async fn end(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let Some(program) = read::<ProgramId>(request).await else {
        return json(StatusCode::BAD_REQUEST, &"not a program");
    };
    let (replies, receiver) = mpsc::unbounded_channel();
    answer(&entry, Command::End { program, replies }, receiver)
}

fn answer(
    entry: &Entry,
    command: Command,
    receiver: mpsc::UnboundedReceiver<Reply>,
) -> Response<Body> {
    let _ = entry.commands.send(command);
    let replies = UnboundedReceiverStream::new(receiver);
    Response::new(streamed(replies.map(|reply| Ok(lines(&reply)))))
}

/// Takes the heartbeats of others. Never returns.
pub(super) async fn listen(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let Some(heartbeat) = Heartbeat::decode(&buffer[..length]) else {
            log::warn!("a datagram that is no heartbeat");
            continue;
        };
        let vm = heartbeat.vm.clone();
        let is_new = entry.peers().record_heartbeat(entry.clock.now(), heartbeat);
        if is_new {
            log::info!(vm = vm.as_str(); "heard a new process");
        }
    }
}

/// Notices when this process stands still. Never returns.
pub(super) async fn watch_standstill(entry: Arc<Entry>) {
    let beat = Duration::from_millis(entry.settings.process.heartbeat_ms);
    loop {
        entry.standstill().beat(entry.clock.now());
        tokio::time::sleep(beat).await;
    }
}

/// Sends this entry's heartbeats and keeps the table of peers. Never returns.
pub(super) async fn beat(entry: Arc<Entry>, mut pulse: Pulse) {
    loop {
        pulse.next().await;
        if let Some(list) = pulse.refresh_list().await {
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
            config: entry.current_book().through(),
            log_age_ms: entry.config_age_ms(),
            owned: entry.owned().iter().map(|(shard, owned)| (*shard, owned.epoch)).collect(),
        };
        pulse.send(state, role_status, &targets).await;
    }
}
