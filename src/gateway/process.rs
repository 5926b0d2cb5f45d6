use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

use super::endpoint_feed::follow_endpoint_list;
use super::endpoint_polls::poll_endpoints;
use super::gossip::{receive_gossip, send_gossip};
use super::hub::serve_leaves;
use super::leaf::stay_attached;
use super::membership::Membership;
use super::operator_feed::follow_operator_record;
use super::roster_feed::announce_and_follow_roster;
use super::server::{ListenerKind, accept, listen};
use super::shutdown::{ShutdownSchedule, finish_in_flight};
use super::state::Gateway;
use super::{GatewayError, GatewaySettings, Protocol, Store};
use crate::daemon::Shutdown;
use crate::telemetry::{Metrics, PressureLog, flush_logs};

/// Pause between two flushes of the log. A killed process may lose the lines of this interval;
/// flushing each line would cost a system call per line.
const LOG_FLUSH_INTERVAL_MS: u64 = 200;

/// Log flushes between two upkeeps of the metrics.
const FLUSHES_PER_METRICS_UPKEEP: u64 = 25;

/// Runs a gateway until SIGTERM or SIGINT. Needs a [`tokio::task::LocalSet`].
///
/// # Errors
/// If an address can't be bound, or a signal handler can't be installed.
pub async fn run(
    settings: GatewaySettings,
    store: Rc<dyn Store>,
    protocol: Rc<dyn Protocol>,
    metrics: Metrics,
) -> Result<(), GatewayError> {
    let mut shutdown = Shutdown::install().map_err(GatewayError::Signals)?;
    let mut sighup = signal(SignalKind::hangup()).map_err(GatewayError::Signals)?;
    let callers = listen(settings.callers).await?;
    let ready = listen(settings.ready).await?;
    let peers = listen(settings.peers).await?;
    let address = settings.peers;
    let gossip_socket = UdpSocket::bind(address).await;
    let gossip_socket = gossip_socket.map_err(|fault| GatewayError::Listen { address, fault })?;
    let gossip_socket = Rc::new(gossip_socket);
    let (close, closing) = watch::channel(false);
    let metrics_address = settings.metrics;
    let gateway = Gateway::open(settings, store, protocol);
    if let Some(address) = metrics_address {
        let listener = listen(address).await?;
        let (gateway, metrics) = (gateway.clone(), metrics.clone());
        spawn_local(accept(gateway, listener, ListenerKind::Metrics, metrics, closing.clone()));
    }
    let listeners = [
        (callers, ListenerKind::Callers),
        (ready, ListenerKind::Ready),
        (peers, ListenerKind::Peers),
    ];
    for (listener, listener_kind) in listeners {
        spawn_local(accept(
            gateway.clone(),
            listener,
            listener_kind,
            metrics.clone(),
            closing.clone(),
        ));
    }
    gateway.questions.bind(gossip_socket.clone());
    let membership = Membership::open(gateway.clone());
    spawn_local(follow_operator_record(gateway.clone()));
    spawn_local(follow_endpoint_list(gateway.clone()));
    spawn_local(announce_and_follow_roster(gateway.clone()));
    spawn_local(stay_attached(gateway.clone(), gossip_socket.clone()));
    spawn_local(serve_leaves(gateway.clone(), gossip_socket.clone()));
    spawn_local(send_gossip(gateway.clone(), gossip_socket.clone()));
    spawn_local(receive_gossip(gateway.clone(), gossip_socket));
    spawn_local(poll_endpoints(gateway.clone()));
    spawn_local(membership.clone().maintain());
    spawn_local(maintain_telemetry(gateway.clone(), metrics));
    log::info!(vm:% = gateway.settings.name, callers:% = gateway.settings.callers; "started");
    loop {
        tokio::select! {
            () = shutdown.requested() => break,
            _ = sighup.recv() => log::info!("SIGHUP ignored: settings are read only at start"),
        }
    }
    drain(&gateway, &membership, &close).await;
    log::info!("stopped");
    Ok(())
}

/// Flushes buffered log lines, logs what was refused for want of room, and keeps the metrics' buffers small.
async fn maintain_telemetry(gateway: Rc<Gateway>, metrics: Metrics) {
    let mut flushes = 0;
    let mut pressure_log = PressureLog::default();
    loop {
        tokio::time::sleep(Duration::from_millis(LOG_FLUSH_INTERVAL_MS)).await;
        flush_logs();
        flushes += 1;
        if flushes % FLUSHES_PER_METRICS_UPKEEP == 0 {
            metrics.upkeep();
            pressure_log.check(gateway.caller_memory.usage());
        }
    }
}

/// Shuts down without losing a request: hands the shards off to other entries, tells callers to go
/// elsewhere, and finishes or answers what is in flight.
async fn drain(gateway: &Rc<Gateway>, membership: &Membership, close: &watch::Sender<bool>) {
    let started = Instant::now();
    log::info!(running = gateway.requests.count(); "shutting down; draining requests in flight");
    gateway.draining.set(true);
    let exit_at = started + ShutdownSchedule::of_grace(gateway.settings.bounds.grace_ms).exit();
    let leaving = timeout_at(exit_at, membership.leave());
    let (left, ()) = tokio::join!(leaving, finish_in_flight(gateway, close, started));
    if left.is_err() {
        log::warn!("leaving the group of owners did not end in time; the membership will expire");
    }
}
