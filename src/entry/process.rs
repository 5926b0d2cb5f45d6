use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::daemon::{Admin, DaemonError, Pulse, Shutdown};
use crate::entry::core::{Command, Core};
use crate::entry::state::Entry;
use crate::entry::{callers, config, peers};
use crate::http::{ServerLimits, Serving, serve};
use crate::link::{ControlReply, ControlRequest, LinkServer};
use crate::membership::LivenessTimeouts;
use crate::prelude::*;
use crate::settings::EntrySettings;
use crate::telemetry::Metrics;

const POLL: Duration = Duration::from_millis(25);

/// Runs an entry until it is told to stop and has finished what it holds.
pub async fn run(settings: EntrySettings, metrics: Metrics) -> Result<(), DaemonError> {
    let mut shutdown = Shutdown::install()?;
    let (commands, queue) = mpsc::unbounded_channel();
    let entry = Arc::new(Entry::new(settings.clone(), commands));
    let peer_calls = entry.clone();
    let peer_listen = settings.process.peer_listen;
    let peers = serve(peer_listen, ServerLimits::default(), move |request| {
        peers::handle(peer_calls.clone(), request)
    })
    .await?;
    let lending = entry.clone();
    let control_listen = SocketAddr::new(peers.address.ip(), 0);
    let links =
        LinkServer::bind(control_listen, move |request| control(lending.clone(), request)).await?;
    let admin = Admin::bind(settings.process.admin_listen, metrics).await?;
    let socket = UdpSocket::bind(peers.address).await?;
    let vm = &settings.process;
    let pulse = Pulse::new(vm, entry.instance, peers.address, links.address, socket);
    let tasks = [
        tokio::spawn(Core::new(entry.clone()).run(queue)),
        tokio::spawn(config::follow(entry.clone())),
        tokio::spawn(config::keep(entry.clone())),
        tokio::spawn(peers::watch_standstill(entry.clone())),
        tokio::spawn(peers::listen(entry.clone(), pulse.socket())),
        tokio::spawn(peers::beat(entry.clone(), pulse)),
    ];
    let callers = listen_for_callers(&entry).await?;
    let addresses = [("callers", callers.address), ("peer", peers.address)];
    admin.announce("entry", entry.vm(), &addresses);
    report_status(&admin, &entry);
    tokio::select! {
        () = wait_ready(&entry) => {
            admin.set_ready(true);
            log::info!("ready");
            shutdown.requested().await;
        }
        () = shutdown.requested() => {}
    }
    log::info!("draining");
    admin.set_ready(false);
    let drain = drain(&entry, callers, peers);
    if tokio::time::timeout(Duration::from_millis(vm.drain_timeout_ms), drain).await.is_err() {
        log::warn!("stopping with calls under way: the drain timeout has passed");
    }
    tasks.iter().for_each(|task| task.abort());
    log::info!("stopped");
    Ok(())
}

async fn control(entry: Arc<Entry>, request: ControlRequest) -> ControlReply {
    match request {
        ControlRequest::Borrow(question) => entry.lend(question).await,
        ControlRequest::Ask { .. }
        | ControlRequest::Cancel { .. }
        | ControlRequest::Free { .. } => ControlReply::NotMine,
    }
}

async fn listen_for_callers(entry: &Arc<Entry>) -> std::io::Result<Serving> {
    let limits = ServerLimits {
        header_timeout: Duration::from_millis(entry.settings.receive_timeout_ms),
        ..ServerLimits::default()
    };
    let calls = entry.clone();
    serve(entry.settings.listen, limits, move |request| callers::handle(calls.clone(), request))
        .await
}

/// Waits until the configuration is known, and every listed entry was heard or has had the time
/// to be. Until then this entry can't tell which shards are owned, and must claim none.
async fn wait_ready(entry: &Entry) {
    let timings = LivenessTimeouts::for_heartbeat(entry.settings.process.heartbeat_ms);
    loop {
        let heard = {
            let peers = entry.peers();
            peers.listed_entries() > 0 && peers.heard_all_listed_entries(entry.vm())
        };
        let waited = entry.clock.now() >= TimeMs(timings.dead_ms);
        if (heard || waited) && entry.config_is_fresh() {
            entry.set_ready();
            return;
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Finishes what is under way: callers' answers first, then the shards, then the calls of other
/// entries for them.
async fn drain(entry: &Arc<Entry>, callers: Serving, peers: Serving) {
    entry.leave();
    callers.shut_down().await;
    let _ = entry.commands.send(Command::HandOver);
    while !entry.owned().is_empty() {
        tokio::time::sleep(POLL).await;
    }
    peers.shut_down().await;
}

fn report_status(admin: &Admin, entry: &Arc<Entry>) {
    let entry = entry.clone();
    admin.report(move || entry.status());
}
