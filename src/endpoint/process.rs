use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use crate::daemon::{Admin, DaemonError, Pulse, Shutdown};
use crate::endpoint::server;
use crate::endpoint::{
    AttemptScheduler, Backend, OrderPolicy, SchedulerAction, SchedulerLimits, Submission,
};
use crate::http::{Client, ServerLimits, serve};
use crate::link::{ControlReply, ControlRequest, LinkServer};
use crate::membership::{PeerState, RoleStatus};
use crate::prelude::*;
use crate::programs::{Attempt, AttemptFrame, FailureCause};
use crate::settings::EndpointSettings;
use crate::telemetry::Metrics;
use crate::time::Clock;

/// Memory for the ends of attempts, of the 32 MB that a node may use for control.
const FINISHED_BYTES: usize = 8 << 20;
const TICK: Duration = Duration::from_millis(50);
/// How long an endpoint may take to obey a stop before its attempt counts as broken.
const STOP_GRACE: Duration = Duration::from_secs(2);

/// How long the end of the same call for another program is waited for.
const SAME_CALL_WAIT_MS: u64 = 3_000;
const SAME_CALL_POLL: Duration = Duration::from_millis(5);

/// The process beside an endpoint, with its desk and the tasks around it.
pub(super) struct Slot {
    scheduler: Mutex<AttemptScheduler>,
    backend: Backend,
    clock: Clock,
    settings: EndpointSettings,
    listeners: Mutex<HashMap<AttemptId, mpsc::UnboundedSender<AttemptFrame>>>,
    stops: Mutex<HashMap<AttemptId, watch::Sender<bool>>>,
}

/// Runs the process until it is told to stop and has finished what it holds.
pub async fn run(settings: EndpointSettings, metrics: Metrics) -> Result<(), DaemonError> {
    let mut shutdown = Shutdown::install()?;
    let instance = Instance::random();
    let me = EndpointRef { vm: settings.process.vm.clone(), instance };
    let slot = Arc::new(Slot::new(me, settings.clone()));
    let calls = slot.clone();
    let peer_listen = settings.process.peer_listen;
    let peers = serve(peer_listen, ServerLimits::default(), move |request| {
        server::handle(calls.clone(), request)
    })
    .await?;
    let control = slot.clone();
    let control_listen = SocketAddr::new(peers.address.ip(), 0);
    let links = LinkServer::bind(control_listen, move |request| {
        let reply = control.control(request);
        async move { reply }
    })
    .await?;
    let admin = Admin::bind(settings.process.admin_listen, metrics).await?;
    let socket = UdpSocket::bind(peers.address).await?;
    let pulse = Pulse::new(&settings.process, instance, peers.address, links.address, socket);
    slot.adopt_cache().await;
    admin.announce("endpoint", &settings.process.vm, &[("peer", peers.address)]);
    let reported = slot.clone();
    admin.report(move || reported.status());
    admin.set_ready(true);
    let beating = slot.clone();
    let heartbeat = tokio::spawn(async move { beating.beat(pulse).await });
    let ticking = tokio::spawn(slot.clone().tick());
    shutdown.requested().await;
    log::info!("draining");
    admin.set_ready(false);
    slot.scheduler.lock().expect("no holder panics").drain();
    slot.wait_idle(Duration::from_millis(settings.process.drain_timeout_ms)).await;
    peers.shut_down().await;
    heartbeat.abort();
    ticking.abort();
    log::info!("stopped");
    Ok(())
}

fn is_rejection(end: &AttemptFrame) -> bool {
    matches!(end, AttemptFrame::Failed { cause: FailureCause::Rejected, .. })
}

impl Slot {
    fn new(me: EndpointRef, settings: EndpointSettings) -> Slot {
        let limits = SchedulerLimits {
            concurrency: settings.concurrency as usize,
            queue: settings.queue as usize,
            cache_lease_ms: settings.cache_lease_ms,
            finished_bytes: FINISHED_BYTES,
        };
        Slot {
            scheduler: Mutex::new(AttemptScheduler::new(me, limits, OrderPolicy::FairThenAttained)),
            backend: Backend::open(Client::open(), settings.backend),
            clock: Clock::start(),
            settings,
            listeners: Mutex::default(),
            stops: Mutex::default(),
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
            "cache_leases": scheduler.leases(),
            "draining": scheduler.is_draining(),
        })
    }

    fn scheduler(&self) -> std::sync::MutexGuard<'_, AttemptScheduler> {
        self.scheduler.lock().expect("no holder panics")
    }

    /// Takes an attempt; its frames come through the channel.
    pub(super) fn submit(
        self: &Arc<Slot>,
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
            // One hold of the desk for both: the attempt could otherwise be started by another
            // task in between, and its first words would find nobody to go to.
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

    /// Answers a control message.
    fn control(self: &Arc<Slot>, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::Ask { attempt, instance, epoch } => {
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
            ControlRequest::Borrow(_) => ControlReply::NotMine,
        }
    }

    fn schedule(self: &Arc<Slot>) {
        let actions = self.scheduler().schedule(self.clock.now());
        self.carry_out(actions);
    }

    fn carry_out(self: &Arc<Slot>, actions: Vec<SchedulerAction>) {
        for action in actions {
            match action {
                SchedulerAction::Start(attempt) => drop(tokio::spawn(self.clone().run(attempt))),
                SchedulerAction::Stop(id) => self.stop(id),
                SchedulerAction::End(id, end) => self.tell(id, end),
                SchedulerAction::FreeCache(key) => drop(tokio::spawn(self.clone().free_cache(key))),
            }
        }
    }

    fn stop(self: &Arc<Slot>, id: AttemptId) {
        if let Some(stop) = self.stops.lock().expect("no holder panics").get(&id) {
            let _ = stop.send(true);
        }
    }

    /// Passes a frame on; after the last one the listener is let go.
    fn tell(&self, id: AttemptId, frame: AttemptFrame) {
        let mut listeners = self.listeners.lock().expect("no holder panics");
        let is_last = !matches!(frame, AttemptFrame::Delta { .. });
        if let Some(listener) = listeners.get(&id) {
            let _ = listener.send(frame);
        }
        if is_last {
            listeners.remove(&id);
        }
    }

    async fn run(self: Arc<Slot>, attempt: Attempt) {
        let id = attempt.id;
        let (stop, stopped) = watch::channel(false);
        self.stops.lock().expect("no holder panics").insert(id, stop);
        let started = self.clock.now();
        let end = tokio::select! {
            end = self.backend.run(&attempt, |text| self.tell(id, AttemptFrame::Delta { text })) => end,
            end = self.stopped(id, stopped) => end,
        };
        let workspace = attempt.program.workspace.to_string();
        let elapsed_ms = self.clock.now().since(started) as f64;
        metrics::histogram!("trefoil_attempt_ms", "workspace" => workspace).record(elapsed_ms);
        self.stops.lock().expect("no holder panics").remove(&id);
        if is_rejection(&end) {
            self.wait_for_same_call(id).await;
        }
        let end = self.scheduler().record_end(self.clock.now(), id, end);
        self.tell(id, end);
        self.schedule();
    }

    async fn wait_for_same_call(&self, id: AttemptId) {
        let started = self.clock.now();
        while self.scheduler().turned_away(id)
            && self.clock.now().since(started) < SAME_CALL_WAIT_MS
        {
            tokio::time::sleep(SAME_CALL_POLL).await;
        }
    }

    /// Waits for a stop, passes it on, and gives up on an endpoint that does not obey.
    async fn stopped(&self, id: AttemptId, mut stopped: watch::Receiver<bool>) -> AttemptFrame {
        if stopped.wait_for(|stop| *stop).await.is_err() {
            std::future::pending::<()>().await;
        }
        if !self.settings.is_service {
            self.backend.stop(id).await;
            tokio::time::sleep(STOP_GRACE).await;
        }
        AttemptFrame::Failed { cause: FailureCause::Interrupted, spent_tokens: None }
    }

    async fn free_cache(self: Arc<Slot>, key: Arc<str>) {
        if let Err(fault) = self.backend.free(&key).await {
            log::warn!(fault:?; "the engine did not free a conversation; trying again");
            // A lease of its own: it is tried again when that runs out.
            self.scheduler().found_cached(self.clock.now(), &key);
        }
    }

    /// Gives a lease to whatever the engine holds from before this run.
    async fn adopt_cache(&self) {
        if self.settings.is_service {
            return;
        }
        match self.backend.cached().await {
            Ok(keys) => {
                let now = self.clock.now();
                keys.iter().for_each(|key| self.scheduler().found_cached(now, key));
            }
            Err(fault) => log::warn!(fault:?; "the engine's cache could not be listed"),
        }
    }

    async fn tick(self: Arc<Slot>) {
        loop {
            tokio::time::sleep(TICK).await;
            self.schedule();
        }
    }

    async fn beat(&self, mut pulse: Pulse) {
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
            pulse.beat(state, role_status).await;
        }
    }

    async fn wait_idle(&self, timeout: Duration) {
        let idle = async {
            while !self.scheduler().is_idle() {
                tokio::time::sleep(TICK).await;
            }
        };
        if tokio::time::timeout(timeout, idle).await.is_err() {
            log::warn!("stopping with attempts under way: the drain timeout has passed");
        }
    }
}
