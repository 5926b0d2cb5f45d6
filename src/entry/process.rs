use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::daemon::{Admin, DaemonError, DrainBounds, HeartbeatSender, Shutdown};
use crate::entry::core::{Command, Core};
use crate::entry::state::Entry;
use crate::entry::{callers, config, peers};
use crate::http::{RunningServer, ServerLimits, ServerMemory, serve};
use crate::link::{ControlReply, ControlRequest, LinkServer};
use crate::membership::LivenessTimeouts;
use crate::prelude::*;
use crate::settings::EntrySettings;
use crate::telemetry::Metrics;

const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Runs an entry until a shutdown is requested and the drain has finished or timed out.
pub async fn run(settings: EntrySettings, metrics: Metrics) -> Result<(), DaemonError> {
    let mut shutdown = Shutdown::install()?;
    let (commands, command_queue) = mpsc::unbounded_channel();
    let entry = Arc::new(Entry::new(settings.clone(), commands));
    let peer_entry = entry.clone();
    let peer_listen = settings.process.peer_listen;
    let memory = ServerMemory::open(settings.process.caller_limits);
    let peer_server = serve(peer_listen, ServerLimits::default(), &memory, move |request| {
        peers::handle(peer_entry.clone(), request)
    })
    .await?;
    let control_entry = entry.clone();
    let control_listen = SocketAddr::new(peer_server.address.ip(), 0);
    let control_server = LinkServer::bind(control_listen, move |request| {
        handle_control(control_entry.clone(), request)
    })
    .await?;
    let admin = Admin::bind(settings.process.admin_listen, &memory, metrics).await?;
    let socket = UdpSocket::bind(peer_server.address).await?;
    let process = &settings.process;
    let heartbeats = HeartbeatSender::new(
        process,
        entry.instance,
        peer_server.address,
        control_server.address,
        socket,
    );
    let tasks = [
        tokio::spawn(Core::new(entry.clone()).run(command_queue)),
        tokio::spawn(config::follow_stream(entry.clone())),
        tokio::spawn(config::maintain(entry.clone())),
        tokio::spawn(peers::run_pause_detector(entry.clone())),
        tokio::spawn(peers::receive_heartbeats(entry.clone(), heartbeats.socket())),
        tokio::spawn(peers::send_heartbeats(entry.clone(), heartbeats)),
    ];
    let caller_server = listen_for_callers(&entry, &memory).await?;
    let addresses = [("callers", caller_server.address), ("peer", peer_server.address)];
    admin.announce("entry", entry.vm(), &addresses);
    report_status(&admin, &entry);
    tokio::select! {
        () = wait_until_ready(&entry) => {
            admin.set_ready(true);
            log::info!("ready");
            shutdown.requested().await;
        }
        () = shutdown.requested() => {}
    }
    log::info!("draining");
    admin.set_ready(false);
    let drain_timeout = Duration::from_millis(process.drain_timeout_ms);
    let bounds = DrainBounds::new(Instant::now(), drain_timeout);
    let drain = drain(&entry, bounds, caller_server, peer_server);
    if !bounds.finish(drain, || answer_calls(&entry)).await {
        log::warn!(
            "drain did not finish within {} ms; stopping with calls in flight",
            process.drain_timeout_ms
        );
        let message = "call in flight at exit; its connection closes without a whole response";
        entry.calls.log_each(entry.clock.now(), message);
    }
    tasks.iter().for_each(|task| task.abort());
    log::info!("stopped");
    Ok(())
}

async fn handle_control(entry: Arc<Entry>, request: ControlRequest) -> ControlReply {
    match request {
        ControlRequest::Borrow(borrow_request) => entry.lend(borrow_request).await,
        ControlRequest::Query { .. }
        | ControlRequest::Cancel { .. }
        | ControlRequest::Free { .. } => ControlReply::Declined,
    }
}

async fn listen_for_callers(
    entry: &Arc<Entry>,
    memory: &ServerMemory,
) -> std::io::Result<RunningServer> {
    let limits = ServerLimits {
        header_timeout: Duration::from_millis(entry.settings.receive_timeout_ms),
        ..ServerLimits::default()
    };
    let caller_entry = entry.clone();
    serve(entry.settings.listen, limits, memory, move |request| {
        callers::handle(caller_entry.clone(), request)
    })
    .await
}

/// Waits until the configuration is fresh, and every listed entry has sent a heartbeat or the time
/// has passed after which a silent peer is considered dead. Until then this entry can't tell which
/// shards are owned, and must claim none.
async fn wait_until_ready(entry: &Entry) {
    let timeouts = LivenessTimeouts::for_heartbeat(entry.settings.process.heartbeat_ms);
    loop {
        let heard_all = {
            let peers = entry.peers();
            peers.listed_entries() > 0 && peers.heard_all_listed_entries(entry.vm())
        };
        let timed_out = entry.clock.now() >= TimeMs(timeouts.dead_ms);
        if (heard_all || timed_out) && entry.config_is_fresh() {
            entry.set_ready();
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Drains the entry in this order: its callers' requests, its shards, and the requests that other
/// entries forwarded for those shards.
async fn drain(
    entry: &Arc<Entry>,
    bounds: DrainBounds,
    caller_server: RunningServer,
    peer_server: RunningServer,
) {
    entry.leave();
    caller_server.shut_down(bounds.close).await;
    let _ = entry.commands.send(Command::ReleaseAll);
    while !entry.owned_shards().is_empty() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    peer_server.shut_down(bounds.close).await;
}

/// Answers every call in flight: a call that waits for its rate or its body by its handler, a call
/// at an owner by that owner, which knows whether it may have run.
fn answer_calls(entry: &Entry) {
    entry.calls.log_each(entry.clock.now(), "call in flight at shutdown; answering it");
    let _ = entry.commands.send(Command::HandOverAll);
    entry.answers_due.cancel();
}

fn report_status(admin: &Admin, entry: &Arc<Entry>) {
    let entry = entry.clone();
    admin.set_status_source(move || entry.status());
}
