use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::daemon::{Admin, DaemonError, DrainBounds, HeartbeatSender, Shutdown};
use crate::endpoint::server;
use crate::endpoint::{
    AttemptScheduler, Backend, OrderPolicy, SchedulerAction, SchedulerLimits, Submission,
};
use crate::http::{Client, RunningServer, ServerLimits, ServerMemory, serve};
use crate::link::{ControlReply, ControlRequest, LinkServer};
use crate::membership::{PeerState, RoleStatus};
use crate::prelude::*;
use crate::programs::{Attempt, AttemptFrame, FailureCause};
use crate::settings::EndpointSettings;
use crate::telemetry::Metrics;
use crate::time::Clock;

/// Memory for the results of ended attempts: a part of the 32 MB that the control plane may use on
/// a node.
const FINISHED_BYTES: usize = 8 << 20;
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How long an endpoint may take to stop an attempt before the attempt counts as interrupted.
const STOP_GRACE: Duration = Duration::from_secs(2);

/// How long a rejected call waits for the end of the same call of another program.
const SAME_CALL_TIMEOUT_MS: u64 = 3_000;
const SAME_CALL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Accepts attempts for an endpoint, runs them as the scheduler decides, and sends their frames to
/// the submitters. Shared by the tasks of the process.
pub(super) struct Dispatcher {
    scheduler: Mutex<AttemptScheduler>,
    backend: Backend,
    clock: Clock,
    settings: EndpointSettings,
    listeners: Mutex<HashMap<AttemptId, mpsc::UnboundedSender<AttemptFrame>>>,
    stop_senders: Mutex<HashMap<AttemptId, watch::Sender<bool>>>,
    /// Cancelled when this process is about to exit: every attempt ends then, also one whose body
    /// is still arriving.
    answers_due: CancellationToken,
}

/// Runs the process until a shutdown is requested and the drain has finished or timed out.
pub async fn run(settings: EndpointSettings, metrics: Metrics) -> Result<(), DaemonError> {
    let mut shutdown = Shutdown::install()?;
    let instance = Instance::random();
    let this_endpoint = EndpointRef { vm: settings.process.vm.clone(), instance };
    let dispatcher = Arc::new(Dispatcher::new(this_endpoint, settings.clone()));
    let request_handler = dispatcher.clone();
    let peer_listen = settings.process.peer_listen;
    let memory = ServerMemory::open(settings.process.caller_limits);
    let peer_server = serve(peer_listen, ServerLimits::default(), &memory, move |request| {
        server::handle(request_handler.clone(), request)
    })
    .await?;
    let control_handler = dispatcher.clone();
    let control_listen = SocketAddr::new(peer_server.address.ip(), 0);
    let control_server = LinkServer::bind(control_listen, move |request| {
        let reply = control_handler.handle_control(request);
        async move { reply }
    })
    .await?;
    let admin = Admin::bind(settings.process.admin_listen, &memory, metrics).await?;
    let socket = UdpSocket::bind(peer_server.address).await?;
    let heartbeats = HeartbeatSender::new(
        &settings.process,
        instance,
        peer_server.address,
        control_server.address,
        socket,
    );
    dispatcher.adopt_cache().await;
    admin.announce("endpoint", &settings.process.vm, &[("peer", peer_server.address)]);
    let status_source = dispatcher.clone();
    admin.set_status_source(move || status_source.status());
    admin.set_ready(true);
    let heartbeat_sender = dispatcher.clone();
    let heartbeat_task =
        tokio::spawn(async move { heartbeat_sender.send_heartbeats(heartbeats).await });
    let tick_task = tokio::spawn(dispatcher.clone().schedule_periodically());
    shutdown.requested().await;
    log::info!("draining");
    admin.set_ready(false);
    let drain_timeout = Duration::from_millis(settings.process.drain_timeout_ms);
    let bounds = DrainBounds::new(Instant::now(), drain_timeout);
    let drain = drain(&dispatcher, bounds, peer_server);
    if !bounds.finish(drain, || dispatcher.end_attempts()).await {
        log::warn!(
            "drain did not finish within {} ms; stopping with attempts in flight",
            drain_timeout.as_millis()
        );
    }
    heartbeat_task.abort();
    tick_task.abort();
    log::info!("stopped");
    Ok(())
}

/// Finishes the attempts that were accepted, and sends their last frames. Those that are on their
/// way are rejected; if their connection closed instead, their owners could not tell whether they
/// ran.
async fn drain(dispatcher: &Dispatcher, bounds: DrainBounds, peer_server: RunningServer) {
    dispatcher.scheduler().drain();
    tokio::join!(dispatcher.wait_idle(), peer_server.shut_down(bounds.close));
}

fn is_rejection(final_frame: &AttemptFrame) -> bool {
    matches!(final_frame, AttemptFrame::Failed { cause: FailureCause::Rejected, .. })
}

impl Dispatcher {
    fn new(this_endpoint: EndpointRef, settings: EndpointSettings) -> Dispatcher {
        let limits = SchedulerLimits {
            concurrency: settings.concurrency as usize,
            queue: settings.queue as usize,
            cache_lease_ms: settings.cache_lease_ms,
            finished_bytes: FINISHED_BYTES,
        };
        Dispatcher {
            scheduler: Mutex::new(AttemptScheduler::new(
                this_endpoint,
                limits,
                OrderPolicy::FairThenAttained,
            )),
            backend: Backend::open(Client::open(), settings.backend),
            clock: Clock::start(),
            settings,
            listeners: Mutex::default(),
            stop_senders: Mutex::default(),
            answers_due: CancellationToken::new(),
        }
    }

    fn status(&self) -> serde_json::Value {
        let scheduler = self.scheduler();
        serde_json::json!({
            "role": "endpoint",
            "vm": self.settings.process.vm,
            "serves": self.settings.serves,
            "running": scheduler.running(),
            "queued": scheduler.queued(),
            "cache_leases": scheduler.lease_count(),
            "draining": scheduler.is_draining(),
        })
    }

    fn scheduler(&self) -> std::sync::MutexGuard<'_, AttemptScheduler> {
        self.scheduler.lock().expect("no holder panics")
    }

    /// Cancelled when this process is about to exit.
    pub(super) fn answers_due(&self) -> &CancellationToken {
        &self.answers_due
    }

    /// Submits an attempt; its frames arrive through the returned channel.
    pub(super) fn submit(
        self: &Arc<Dispatcher>,
        attempt: Attempt,
    ) -> (Submission, mpsc::UnboundedReceiver<AttemptFrame>) {
        let (frames, receiver) = mpsc::unbounded_channel();
        let id = attempt.id;
        log::debug!(
            program = attempt.program.to_string(), turn = attempt.turn.0,
            attempt = id.to_string(), workspace = attempt.program.workspace.as_str(),
            epoch = id.epoch.0;
            "attempt submitted"
        );
        let submission = {
            // The lock is held over both steps. Otherwise another task could start the attempt in
            // between, and its first frames would find no listener.
            let mut scheduler = self.scheduler();
            let submission = scheduler.submit(self.clock.now(), attempt);
            if submission == Submission::Accepted {
                self.listeners.lock().expect("no holder panics").insert(id, frames);
            }
            submission
        };
        self.schedule();
        (submission, receiver)
    }

    /// Handles a control message.
    fn handle_control(self: &Arc<Dispatcher>, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::Query { attempt, instance, epoch } => {
                ControlReply::Report(self.scheduler().query(attempt, instance, epoch))
            }
            ControlRequest::Cancel { attempt } => {
                let actions = self.scheduler().cancel(attempt);
                self.carry_out(actions);
                ControlReply::Done
            }
            ControlRequest::Free { program } => {
                let actions = self.scheduler().free(&program);
                self.carry_out(actions);
                ControlReply::Done
            }
            ControlRequest::Borrow(_) => ControlReply::Declined,
        }
    }

    fn schedule(self: &Arc<Dispatcher>) {
        let actions = self.scheduler().schedule(self.clock.now());
        self.carry_out(actions);
    }

    fn carry_out(self: &Arc<Dispatcher>, actions: Vec<SchedulerAction>) {
        for action in actions {
            match action {
                SchedulerAction::Start(attempt) => {
                    drop(tokio::spawn(self.clone().run_attempt(attempt)))
                }
                SchedulerAction::Stop(id) => self.stop(id),
                SchedulerAction::End(id, final_frame) => self.send_frame(id, final_frame),
                SchedulerAction::FreeCache(key) => drop(tokio::spawn(self.clone().free_cache(key))),
            }
        }
    }

    fn stop(self: &Arc<Dispatcher>, id: AttemptId) {
        if let Some(stop) = self.stop_senders.lock().expect("no holder panics").get(&id) {
            let _ = stop.send(true);
        }
    }

    /// Sends a frame to the attempt's listener, and removes the listener after the last frame.
    fn send_frame(&self, id: AttemptId, frame: AttemptFrame) {
        let mut listeners = self.listeners.lock().expect("no holder panics");
        let is_last = !matches!(frame, AttemptFrame::Delta { .. });
        if let Some(listener) = listeners.get(&id) {
            let _ = listener.send(frame);
        }
        if is_last {
            listeners.remove(&id);
        }
    }

    async fn run_attempt(self: Arc<Dispatcher>, attempt: Attempt) {
        let id = attempt.id;
        let (stop, stop_requested) = watch::channel(false);
        self.stop_senders.lock().expect("no holder panics").insert(id, stop);
        let started = self.clock.now();
        let spent_tokens = AtomicU64::new(0);
        let on_text = |text| {
            spent_tokens.fetch_add(1, Ordering::Relaxed);
            self.send_frame(id, AttemptFrame::Delta { text });
        };
        let final_frame = tokio::select! {
            frame = self.backend.run(&attempt, on_text) => frame,
            frame = self.wait_for_stop(id, stop_requested) => frame,
            () = self.answers_due.cancelled() => self.interrupt(&attempt, &spent_tokens),
        };
        let workspace = attempt.program.workspace.to_string();
        let elapsed_ms = self.clock.now().since(started) as f64;
        metrics::histogram!("trefoil_attempt_ms", "workspace" => workspace).record(elapsed_ms);
        self.stop_senders.lock().expect("no holder panics").remove(&id);
        if is_rejection(&final_frame) {
            self.wait_for_same_call(id).await;
        }
        let final_frame = self.scheduler().record_end(self.clock.now(), id, final_frame);
        self.send_frame(id, final_frame);
        self.schedule();
    }

    /// Waits while the same call is running for another program, since that call may be the one
    /// that crashed the engine.
    async fn wait_for_same_call(&self, id: AttemptId) {
        let started = self.clock.now();
        while self.scheduler().mark_engine_rejected(id)
            && self.clock.now().since(started) < SAME_CALL_TIMEOUT_MS
        {
            tokio::time::sleep(SAME_CALL_POLL_INTERVAL).await;
        }
    }

    /// Waits for a request to stop the attempt, forwards it to the engine, and returns an
    /// interruption if the engine has not ended the attempt within [`STOP_GRACE`].
    ///
    /// A service can't be told to stop: its attempt is abandoned at once.
    async fn wait_for_stop(
        &self,
        id: AttemptId,
        mut stop_requested: watch::Receiver<bool>,
    ) -> AttemptFrame {
        if stop_requested.wait_for(|stop| *stop).await.is_err() {
            std::future::pending::<()>().await;
        }
        if !self.settings.is_service {
            self.backend.stop(id).await;
            tokio::time::sleep(STOP_GRACE).await;
        }
        AttemptFrame::Failed { cause: FailureCause::Interrupted, spent_tokens: None }
    }

    /// Interrupts an attempt because this process is about to exit: its owner learns what was
    /// generated, and that a service's call may have run.
    fn interrupt(&self, attempt: &Attempt, spent_tokens: &AtomicU64) -> AttemptFrame {
        log::warn!(
            program = attempt.program.to_string(), turn = attempt.turn.0,
            attempt = attempt.id.to_string();
            "attempt in flight at shutdown; interrupting it"
        );
        let spent_tokens = match self.settings.is_service {
            true => None,
            false => Some(spent_tokens.load(Ordering::Relaxed)),
        };
        AttemptFrame::Failed { cause: FailureCause::Interrupted, spent_tokens }
    }

    async fn free_cache(self: Arc<Dispatcher>, key: Arc<str>) {
        if let Err(fault) = self.backend.free(&key).await {
            log::warn!(
                fault:?;
                "cannot free a conversation in the engine's cache; retrying when its lease expires"
            );
            // Starts a new lease, so that freeing is tried again when it expires.
            self.scheduler().adopt_cached(self.clock.now(), &key);
        }
    }

    /// Starts leases for the conversations that the engine has cached since before this process
    /// started.
    async fn adopt_cache(&self) {
        if self.settings.is_service {
            return;
        }
        match self.backend.cached_keys().await {
            Ok(keys) => {
                let now = self.clock.now();
                keys.iter().for_each(|key| self.scheduler().adopt_cached(now, key));
            }
            Err(fault) => log::warn!(
                fault:?;
                "cannot list the engine's cache; starting without leases for its conversations"
            ),
        }
    }

    /// Runs the scheduler once per [`TICK_INTERVAL`]. Never returns.
    async fn schedule_periodically(self: Arc<Dispatcher>) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.schedule();
        }
    }

    async fn send_heartbeats(&self, mut heartbeats: HeartbeatSender) {
        loop {
            let (state, role_status) = {
                let scheduler = self.scheduler();
                let state = match scheduler.is_draining() {
                    true => PeerState::Leaving,
                    false => PeerState::Live,
                };
                let role_status = RoleStatus::Endpoint {
                    serves: self.settings.serves.clone(),
                    running: scheduler.running() as u32,
                    queued: scheduler.queued() as u32,
                    concurrency: self.settings.concurrency as u32,
                };
                (state, role_status)
            };
            heartbeats.send_next(state, role_status).await;
        }
    }

    async fn wait_idle(&self) {
        while !self.scheduler().is_idle() {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Ends every attempt: the owners of those still queued may run them elsewhere, and the owners
    /// of those that run learn that they are interrupted.
    fn end_attempts(self: &Arc<Dispatcher>) {
        let actions = self.scheduler().reject_queued();
        for action in &actions {
            if let SchedulerAction::End(attempt, _) = action {
                log::warn!(attempt = attempt.to_string();
                    "attempt queued at shutdown; rejecting it");
            }
        }
        self.carry_out(actions);
        self.answers_due.cancel();
    }
}
