use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior};

use crate::http::Client;
use crate::membership::{Heartbeat, LivenessTimeouts, PeerState, PeerTable, RoleStatus, VmList};
use crate::prelude::*;
use crate::settings::ProcessSettings;
use crate::time::Clock;

const LIST_INTERVAL: Duration = Duration::from_millis(500);
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends this process's heartbeats to the entries.
pub struct HeartbeatSender {
    http: Client,
    vm_list: SocketAddr,
    socket: Arc<UdpSocket>,
    /// The fields of every heartbeat. `state` and `role_status` are replaced in each one sent.
    template: Heartbeat,
    table: PeerTable,
    list_requested_at: Option<Instant>,
    interval: tokio::time::Interval,
}

impl HeartbeatSender {
    /// Creates the sender of a process instance that serves requests at `address` and control
    /// messages at `control`. Heartbeats are sent from `socket`.
    pub fn new(
        settings: &ProcessSettings,
        instance: Instance,
        address: SocketAddr,
        control: SocketAddr,
        socket: UdpSocket,
    ) -> HeartbeatSender {
        let mut interval = tokio::time::interval(Duration::from_millis(settings.heartbeat_ms));
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        HeartbeatSender {
            http: Client::open(),
            vm_list: settings.vm_list,
            socket: Arc::new(socket),
            template: Heartbeat {
                vm: settings.vm.clone(),
                instance,
                started: Clock::start().unix(),
                sequence: 0,
                failure_domain: settings.failure_domain.clone(),
                address,
                control,
                state: PeerState::Live,
                role_status: RoleStatus::Entry {
                    config: Offset(0),
                    log_age_ms: None,
                    owned: Vec::new(),
                },
            },
            table: PeerTable::new(LivenessTimeouts::for_heartbeat(settings.heartbeat_ms)),
            list_requested_at: None,
            interval,
        }
    }

    /// The socket, on which heartbeats of other processes also arrive.
    pub fn socket(&self) -> Arc<UdpSocket> {
        self.socket.clone()
    }

    /// Waits for the next heartbeat interval, then sends a heartbeat to every entry process in the
    /// VM list.
    pub async fn send_next(&mut self, state: PeerState, role_status: RoleStatus) {
        self.interval.tick().await;
        if let Some(list) = self.refresh_list().await {
            self.table.set_vm_list(list);
        }
        let targets = self.table.heartbeat_targets();
        self.send(state, role_status, &targets).await;
    }

    /// Sends a heartbeat immediately to all `targets` except this process.
    pub async fn send(
        &mut self,
        state: PeerState,
        role_status: RoleStatus,
        targets: &[SocketAddr],
    ) {
        self.template.sequence += 1;
        let heartbeat = Heartbeat { state, role_status, ..self.template.clone() };
        let datagram = heartbeat.encode();
        for target in targets.iter().filter(|target| **target != heartbeat.address) {
            let _ = self.socket.send_to(&datagram, target).await;
        }
    }

    /// Reads the platform's VM list, at most once per [`LIST_INTERVAL`]. Returns `None` if the
    /// interval has not passed or the list cannot be read.
    pub async fn refresh_list(&mut self) -> Option<VmList> {
        if self.list_requested_at.is_some_and(|at| at.elapsed() < LIST_INTERVAL) {
            return None;
        }
        self.list_requested_at = Some(Instant::now());
        self.http.get(self.vm_list, "/vms", LIST_TIMEOUT).await.ok()
    }

    /// Waits for the next heartbeat interval.
    pub async fn wait_for_interval(&mut self) {
        self.interval.tick().await;
    }
}
