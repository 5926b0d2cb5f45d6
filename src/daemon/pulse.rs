use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior};

use crate::http::Client;
use crate::membership::{Heartbeat, LivenessTimeouts, PeerState, PeerTable, RoleStatus, VmList};
use crate::prelude::*;
use crate::settings::ProcessSettings;
use crate::time::Clock;

const LIST_EVERY: Duration = Duration::from_millis(500);
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends this process's heartbeats to the entries.
pub struct Pulse {
    http: Client,
    vm_list: SocketAddr,
    socket: Arc<UdpSocket>,
    template: Heartbeat,
    table: PeerTable,
    listed_at: Option<Instant>,
    beats: tokio::time::Interval,
}

impl Pulse {
    /// A pulse from the given addresses.
    pub fn new(
        settings: &ProcessSettings,
        instance: Instance,
        address: SocketAddr,
        control: SocketAddr,
        socket: UdpSocket,
    ) -> Pulse {
        let mut beats = tokio::time::interval(Duration::from_millis(settings.heartbeat_ms));
        beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Pulse {
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
            listed_at: None,
            beats,
        }
    }

    /// The socket, on which the heartbeats of others come in.
    pub fn socket(&self) -> Arc<UdpSocket> {
        self.socket.clone()
    }

    /// Waits for the next beat and sends it to every listed entry.
    pub async fn beat(&mut self, state: PeerState, role_status: RoleStatus) {
        self.beats.tick().await;
        if let Some(list) = self.refresh_list().await {
            self.table.set_vm_list(list);
        }
        let targets = self.table.heartbeat_targets();
        self.send(state, role_status, &targets).await;
    }

    /// Sends a heartbeat at once.
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

    /// The platform's list, if it is time to read it and it can be read.
    pub async fn refresh_list(&mut self) -> Option<VmList> {
        if self.listed_at.is_some_and(|at| at.elapsed() < LIST_EVERY) {
            return None;
        }
        self.listed_at = Some(Instant::now());
        self.http.get(self.vm_list, "/vms", LIST_TIMEOUT).await.ok()
    }

    /// Waits for the next beat.
    pub async fn next(&mut self) {
        self.beats.tick().await;
    }
}
