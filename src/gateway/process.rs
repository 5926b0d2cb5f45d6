use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::endpoint_feed::follow_endpoint_list;
use super::endpoint_polls::poll_endpoints;
use super::gossip::{receive_gossip, send_gossip};
use super::hub::serve_leaves;
use super::leaf::stay_attached;
use super::membership::Membership;
use super::operator_feed::follow_operator_record;
use super::roster_feed::announce_and_follow_roster;
use super::server::{ListenerKind, accept, listen};
use super::state::Gateway;
use super::{GatewayError, GatewaySettings, Protocol, Store};
use crate::daemon::Shutdown;
use crate::telemetry::{Metrics, flush_logs};

/// Fraction of the grace period (SIGTERM to SIGKILL) during which new requests are still accepted.
/// The load balancer needs two seconds to notice that this entry is not ready; the rest is left for
/// the responses in flight.
const ACCEPT_FRACTION: f64 = 0.45;

/// Fraction of the grace period after which the process exits, whatever is still in flight.
const EXIT_FRACTION: f64 = 0.92;

/// A draining process exits once no request has been in flight for this long: several times what
/// a loaded entry takes from the arrival of a request until it is counted as running.
const IDLE_BEFORE_EXIT_MS: u64 = 200;

/// How often a draining process checks for requests in flight.
const DRAIN_POLL_MS: u64 = 20;

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
    spawn_local(maintain_telemetry(metrics));
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

/// Flushes buffered log lines, and keeps the metrics' buffers small.
async fn maintain_telemetry(metrics: Metrics) {
    let mut flushes = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(LOG_FLUSH_INTERVAL_MS)).await;
        flush_logs();
        flushes += 1;
        if flushes % FLUSHES_PER_METRICS_UPKEEP == 0 {
            metrics.upkeep();
        }
    }
}

/// Shuts down without losing a request: hands the shards off to other entries, tells callers to go
/// elsewhere, and finishes the responses in flight.
async fn drain(gateway: &Rc<Gateway>, membership: &Membership, close: &watch::Sender<bool>) {
    let started = gateway.now();
    log::info!(running = gateway.requests.count(); "shutting down; draining requests in flight");
    gateway.draining.set(true);
    membership.leave().await;
    let grace_ms = gateway.settings.bounds.grace_ms as f64;
    let (accept_ms, exit_ms) =
        ((grace_ms * ACCEPT_FRACTION) as u64, (grace_ms * EXIT_FRACTION) as u64);
    let elapsed_ms = |gateway: &Gateway| gateway.now().since(started);
    tokio::time::sleep(Duration::from_millis(accept_ms.saturating_sub(elapsed_ms(gateway)))).await;
    let in_flight = gateway.requests.count();
    log::info!(in_flight, draining_ms = elapsed_ms(gateway);
        "taking no more requests; connections close after their request in flight");
    close.send_replace(true);
    // A request read just before its connection began to close may not be counted as running yet,
    // and the last bytes of a response may still be unsent when its count drops to zero. So the
    // process exits only after no request has been in flight for a while.
    let mut idle_ms = 0;
    while idle_ms < IDLE_BEFORE_EXIT_MS && elapsed_ms(gateway) < exit_ms {
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        idle_ms = if gateway.requests.count() > 0 { 0 } else { idle_ms + DRAIN_POLL_MS };
    }
    gateway.requests.log_unanswered(gateway.now());
    log::info!(unanswered = gateway.requests.count(), draining_ms = elapsed_ms(gateway); "drained");
}
