//! The platform's list of live and leaving VMs. It shows changes after a lag.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{self, Body, Running};

/// One VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: String,
    /// `entry` or `endpoint`.
    pub role: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where its process listens for the others.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

/// The list, and how late it shows a change.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The lag of this change.
    #[serde(default)]
    pub lag_ms: u64,
}

#[derive(Default)]
struct State {
    shown: VmList,
    next: Option<(Instant, VmList)>,
}

/// Starts the list.
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
        state.lock().expect("not poisoned").next = Some((due, list));
    }
    let mut state = state.lock().expect("not poisoned");
    if state.next.as_ref().is_some_and(|(due, _)| *due <= Instant::now())
        && let Some((_, list)) = state.next.take()
    {
        state.shown = list;
    }
    http::json(StatusCode::OK, &state.shown)
}
