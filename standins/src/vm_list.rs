//! Stand-in for the platform's list of live and leaving VMs. Changes become visible after a delay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{self, Body, Running};

/// A VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub vm: String,
    /// `entry` or `endpoint`.
    pub role: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Address on which the VM's process listens for its peers.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

/// The VM list with the delay after which it becomes visible.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct VmList {
    /// Listed VMs.
    pub vms: Vec<Vm>,
    /// Delay before this version of the list becomes visible.
    #[serde(default)]
    pub lag_ms: u64,
}

#[derive(Default)]
struct State {
    published: VmList,
    /// Next version of the list and the time at which it becomes visible. A later PUT replaces it.
    pending: Option<(Instant, VmList)>,
}

/// Starts the VM list service.
pub async fn spawn(address: SocketAddr) -> std::io::Result<Running> {
    let state = Arc::new(Mutex::new(State::default()));
    http::serve(address, move |request| {
        let state = state.clone();
        async move { handle(&state, request).await }
    })
    .await
}

async fn handle(state: &Mutex<State>, request: Request<Incoming>) -> Response<Body> {
    if request.method() == Method::PUT {
        let Some(list) = http::read_json::<VmList>(request).await else {
            return http::json(StatusCode::BAD_REQUEST, &"not a list of VMs");
        };
        let due = Instant::now() + Duration::from_millis(list.lag_ms);
        state.lock().expect("not poisoned").pending = Some((due, list));
    }
    let mut state = state.lock().expect("not poisoned");
    if state.pending.as_ref().is_some_and(|(due, _)| *due <= Instant::now())
        && let Some((_, list)) = state.pending.take()
    {
        state.published = list;
    }
    http::json(StatusCode::OK, &state.published)
}
