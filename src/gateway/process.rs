use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::endpoint_feed::follow_endpoints;
use super::gossip::{announce_and_follow_peers, instance_id, receive_gossip, send_gossip};
use super::membership::Membership;
use super::operator_feed::follow_operator;
use super::server::{ListenerKind, accept, listen};
use super::state::Gateway;
use super::{GatewayError, GatewaySettings, Protocol, Store};
use crate::daemon::Shutdown;
use crate::telemetry::{Metrics, flush_logs};

/// Part of the time between SIGTERM and SIGKILL for which requests are still taken. The balancer
/// needs two seconds to notice; the rest is left for answers under way.
const TAKE_PART: f64 = 0.45;

/// Part of that time after which the process ends, whatever is still running.
const END_PART: f64 = 0.92;

/// A process ends once nothing has run for this long: several times what a loaded entry takes
/// from the arrival of a request to its first step.
const IDLE_BEFORE_END_MS: u64 = 200;

/// Pause between two looks at what is still running.
const LOOK_AGAIN_MS: u64 = 20;

/// Pause between two writings of the log: what a killed process may leave unsaid, against a
/// call of the system for each line.
const FLUSH_LOGS_MS: u64 = 200;

/// Writings of the log between two upkeeps of the metrics.
const METRICS_UPKEEP_ROUNDS: u64 = 25;

/// Runs a gateway until SIGTERM. Needs a [`tokio::task::LocalSet`].
///
/// # Errors
/// If an address can't be listened on, or signals can't be listened to.
pub async fn run(
    settings: GatewaySettings,
    store: Rc<dyn Store>,
    protocol: Rc<dyn Protocol>,
    metrics: Metrics,
) -> Result<(), GatewayError> {
    let mut shutdown = Shutdown::install().map_err(GatewayError::Signals)?;
    let mut reload = signal(SignalKind::hangup()).map_err(GatewayError::Signals)?;
    let callers = listen(settings.callers).await?;
    let ready = listen(settings.ready).await?;
    let peers = listen(settings.peers).await?;
    let address = settings.peers;
    let datagrams = UdpSocket::bind(address).await;
    let datagrams = datagrams.map_err(|fault| GatewayError::Listen { address, fault })?;
    let datagrams = Rc::new(datagrams);
    let (close, closing) = watch::channel(false);
    let metrics_at = settings.metrics;
    let gateway = Gateway::open(settings, store, protocol);
    if let Some(address) = metrics_at {
        let listener = listen(address).await?;
        let (gateway, metrics) = (gateway.clone(), metrics.clone());
        spawn_local(accept(gateway, listener, ListenerKind::Metrics, metrics, closing.clone()));
    }
    let doors = [
        (callers, ListenerKind::Callers),
        (ready, ListenerKind::Ready),
        (peers, ListenerKind::Peers),
    ];
    for (listener, listener_kind) in doors {
        spawn_local(accept(
            gateway.clone(),
            listener,
            listener_kind,
            metrics.clone(),
            closing.clone(),
        ));
    }
    let membership = Membership::open(gateway.clone());
    let instance = instance_id(&gateway.settings.name, gateway.unix());
    spawn_local(follow_operator(gateway.clone()));
    spawn_local(follow_endpoints(gateway.clone()));
    spawn_local(announce_and_follow_peers(gateway.clone()));
    spawn_local(send_gossip(gateway.clone(), datagrams.clone(), instance));
    spawn_local(receive_gossip(gateway.clone(), datagrams));
    spawn_local(membership.clone().maintain());
    spawn_local(keep_up(metrics));
    log::info!(vm:% = gateway.settings.name, callers:% = gateway.settings.callers; "started");
    loop {
        tokio::select! {
            () = shutdown.requested() => break,
            _ = reload.recv() => log::info!("reload: nothing in the settings changes at run time"),
        }
    }
    drain(&gateway, &membership, &close).await;
    log::info!("stopped");
    Ok(())
}

/// Writes the log lines that wait, and keeps the metrics' buffers small.
async fn keep_up(metrics: Metrics) {
    let mut rounds = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(FLUSH_LOGS_MS)).await;
        flush_logs();
        rounds += 1;
        if rounds % METRICS_UPKEEP_ROUNDS == 0 {
            metrics.upkeep();
        }
    }
}

/// Ends without losing a request: shards go to other entries, callers are told to go elsewhere,
/// and answers under way are finished.
async fn drain(gateway: &Rc<Gateway>, membership: &Membership, close: &watch::Sender<bool>) {
    log::info!(running = gateway.running.get(); "shutting down");
    let started = gateway.now();
    gateway.draining.set(true);
    membership.leave().await;
    let grace_ms = gateway.settings.bounds.grace_ms as f64;
    let (take_ms, end_ms) = ((grace_ms * TAKE_PART) as u64, (grace_ms * END_PART) as u64);
    let so_far = |gateway: &Gateway| gateway.now().since(started);
    tokio::time::sleep(Duration::from_millis(take_ms.saturating_sub(so_far(gateway)))).await;
    close.send_replace(true);
    // A request that was read just before its connection began to close is not counted yet, and
    // the bytes of a last answer need a moment: the process ends once nothing ran for a while.
    let mut idle_ms = 0;
    while idle_ms < IDLE_BEFORE_END_MS && so_far(gateway) < end_ms {
        tokio::time::sleep(Duration::from_millis(LOOK_AGAIN_MS)).await;
        idle_ms = if gateway.running.get() > 0 { 0 } else { idle_ms + LOOK_AGAIN_MS };
    }
}
