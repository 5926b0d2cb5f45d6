//! The answer to [`STATUS_PATH`] on the metrics listener.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::service_state::{LearnedState, ServiceState};
use super::state::Gateway;
use crate::prelude::*;

/// The path of the metrics listener at which a gateway answers with its [`GatewayStatus`].
pub const STATUS_PATH: &str = "/status";

/// The state of load control at a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// The name of its VM.
    pub vm: Arc<str>,
    /// Whether it is shutting down.
    pub draining: bool,
    /// False if calls to the store have failed for a while.
    pub store_reachable: bool,
    /// Bytes buffered for slow readers; absent if these are not limited.
    pub held_bytes: Option<u64>,
    /// The services under load control, by name.
    pub services: Vec<ServiceStatus>,
}

/// The state of load control for one service, as the gateway knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: Arc<str>,
    /// Requests that the endpoints in use process concurrently.
    pub slots: u32,
    /// Requests in flight at these endpoints, of all entries.
    pub in_flight: u32,
    /// Those of them that this gateway has sent.
    pub own_in_flight: u32,
    /// Requests that the service may have in flight before programs are refused; absent if admission
    /// control is switched off.
    pub limit_slots: Option<f64>,
    /// The fraction of all shards that this gateway serves.
    pub share: f64,
    /// Whether messages arrive from at least half of the entries.
    pub hears_half: bool,
    /// Programs in this gateway's waiting list.
    pub waiting: usize,
    /// The same by rank, without ranks of which none waits.
    pub waiting_by_rank: BTreeMap<u8, usize>,
    /// What was measured of the service; absent before the first measured turn.
    pub learned: Option<LearnedStatus>,
}

/// The learned times of a service and the paces of its endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LearnedStatus {
    /// Prefill time of 1,000 prompt tokens.
    pub prefill_ms_per_1000_tokens: f64,
    /// Time per event at the mean load.
    pub event_ms: f64,
    /// The lowest pace of an endpoint. A pace is relative to the service's mean; above 1 is slower.
    pub fastest_pace: f64,
    /// The highest pace of an endpoint.
    pub slowest_pace: f64,
}

impl From<&Gateway> for GatewayStatus {
    fn from(gateway: &Gateway) -> GatewayStatus {
        GatewayStatus {
            vm: gateway.settings.name.clone(),
            draining: gateway.draining.get(),
            store_reachable: !gateway.reachability.is_unreachable(gateway.now()),
            held_bytes: gateway.reader_limits.as_ref().map(|limits| limits.held_bytes()),
            services: gateway.service_states().into_iter().map(ServiceStatus::from).collect(),
        }
    }
}

impl From<ServiceState> for ServiceStatus {
    fn from(state: ServiceState) -> ServiceStatus {
        let waiting = state.total_waiting();
        let by_rank = (0..).zip(state.waiting).filter(|(_, waiting)| *waiting > 0);
        ServiceStatus {
            service: state.service,
            slots: state.load.slots,
            in_flight: state.load.in_flight,
            own_in_flight: state.load.own_in_flight,
            limit_slots: state.limit_slots,
            share: state.load.share,
            hears_half: state.load.hears_half,
            waiting,
            waiting_by_rank: by_rank.collect(),
            learned: state.learned.map(LearnedStatus::from),
        }
    }
}

impl From<LearnedState> for LearnedStatus {
    fn from(learned: LearnedState) -> LearnedStatus {
        let (fastest_pace, slowest_pace) = learned.pace_range;
        LearnedStatus {
            prefill_ms_per_1000_tokens: learned.times.prefill_ms_per_token * 1_000.0,
            event_ms: learned.times.event_ms,
            fastest_pace,
            slowest_pace,
        }
    }
}
