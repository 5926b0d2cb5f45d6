//! The steps of a shutdown: what is in flight is finished, or answered before the process exits.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::Refusal;
use super::in_flight::Progress;
use super::state::Gateway;

/// Fraction of the grace period (SIGTERM to SIGKILL) during which new requests are still accepted, at
/// most. The rest is left for the responses in flight.
const ACCEPT_FRACTION: f64 = 0.45;

/// How long new requests are still accepted at most. The load balancer needs two seconds to notice that
/// this entry is not ready. A stream that is accepted later than three seconds after SIGTERM may last
/// beyond the exit, which cuts it off, while another entry could serve all of it; a busy process notices
/// SIGTERM and the end of this time late.
const MAX_ACCEPT_MS: u64 = 2_800;

/// Fraction of the grace period after which the process exits, whatever is still in flight.
const EXIT_FRACTION: f64 = 0.92;

/// Fraction of the grace period, before the exit, that is left for writing the last responses. Answers
/// are due in the last sixth of the grace period: a silent endpoint is no reason to answer sooner.
const WRITE_FRACTION: f64 = 0.05;

/// The most time that is left for writing the last responses.
const MAX_WRITE_MS: u64 = 500;

/// When the steps of a shutdown take place, in milliseconds after SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ShutdownSchedule {
    /// No more requests are accepted; connections close after their request in flight.
    pub(super) accept_ms: u64,
    /// Requests that are still in flight are answered. A request may be allowed to last until after
    /// the exit, and would otherwise end with a closed connection.
    pub(super) answer_ms: u64,
    /// The process exits.
    pub(super) exit_ms: u64,
}

impl ShutdownSchedule {
    /// The schedule for a grace period.
    pub(super) fn of_grace(grace_ms: u64) -> ShutdownSchedule {
        let part = |fraction: f64| (grace_ms as f64 * fraction) as u64;
        let exit_ms = part(EXIT_FRACTION);
        ShutdownSchedule {
            accept_ms: part(ACCEPT_FRACTION).min(MAX_ACCEPT_MS),
            answer_ms: exit_ms - part(WRITE_FRACTION).min(MAX_WRITE_MS),
            exit_ms,
        }
    }

    /// The time from SIGTERM to the exit.
    pub(super) fn exit(&self) -> Duration {
        Duration::from_millis(self.exit_ms)
    }
}

/// Takes requests until `close` is due, then waits until all connections have ended. What is still in
/// flight is answered before the process has to exit. `started` is the time of SIGTERM.
pub(super) async fn finish_in_flight(
    gateway: &Gateway,
    close: &watch::Sender<bool>,
    started: Instant,
) {
    let schedule = ShutdownSchedule::of_grace(gateway.settings.bounds.grace_ms);
    let at = |after_ms: u64| started + Duration::from_millis(after_ms);
    let draining_ms = || started.elapsed().as_millis() as u64;
    sleep_until(at(schedule.accept_ms)).await;
    log::info!(in_flight = gateway.requests.count(), draining_ms = draining_ms();
        "accepting no more requests; connections close after their request in flight");
    close.send_replace(true);
    let connections = &gateway.served_connections;
    connections.close();
    // A request does not count as in flight any more once the rest of its response is buffered for the
    // connection. Only the end of the connection shows that the response was written.
    if timeout_at(at(schedule.answer_ms), connections.wait()).await.is_err() {
        gateway.answers_due.cancel();
        if timeout_at(at(schedule.exit_ms), connections.wait()).await.is_err() {
            gateway.requests.log_unanswered(gateway.now());
        }
    }
    log::info!(open_connections = connections.len(), draining_ms = draining_ms(); "drained");
}

/// Serves a request, until it has to be answered because the process exits.
pub(super) async fn until_answers_are_due<T>(
    gateway: &Gateway,
    progress: &Progress,
    serving: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    tokio::select! {
        biased;
        served = serving => served,
        () = gateway.answers_due.cancelled() => {
            let refusal = progress.give_up();
            log::warn!(request:% = progress.request(), waits_for = progress.wait().name(),
                age_ms = gateway.now().since(progress.arrived()), refusal = refusal.name();
                "process exits; answering a request in flight");
            Err(refusal)
        }
    }
}
