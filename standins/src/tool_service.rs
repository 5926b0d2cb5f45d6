//! Stand-in for a tool service. It records every action that it ran, so that tests can detect
//! repeated execution of actions that must run at most once.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{self, Body, Running};

/// Settings and records exchanged over `/control`. A POST changes only `hang` and `slow_ms`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Control {
    /// Whether actions run but their response is withheld for 10 minutes.
    #[serde(default)]
    pub hang: bool,
    /// Duration of each action.
    #[serde(default)]
    pub slow_ms: u64,
    /// Action and body of every request that ran.
    #[serde(default)]
    pub ran: Vec<(String, String)>,
    /// Authorization headers received. The proxy must not forward any.
    #[serde(default)]
    pub authorizations: Vec<String>,
}

/// Starts the tool service.
pub async fn spawn(address: SocketAddr) -> std::io::Result<Running> {
    let state = Arc::new(Mutex::new(Control::default()));
    http::serve(address, move |request| {
        let state = state.clone();
        async move { handle(&state, request).await }
    })
    .await
}

async fn handle(state: &Mutex<Control>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().trim_start_matches('/').to_string();
    if path == "control" {
        if request.method() == Method::POST {
            let Some(update) = http::read_json::<Control>(request).await else {
                return http::json(StatusCode::BAD_REQUEST, &"not a control call");
            };
            let mut state = state.lock().expect("not poisoned");
            state.hang = update.hang;
            state.slow_ms = update.slow_ms;
        }
        return http::json(StatusCode::OK, &*state.lock().expect("not poisoned"));
    }
    let authorization = request.headers().get("authorization").cloned();
    let bytes = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return http::json(StatusCode::BAD_REQUEST, &"cut body"),
    };
    let body = String::from_utf8_lossy(&bytes).to_string();
    let (hang, slow_ms, count) = {
        let mut state = state.lock().expect("not poisoned");
        state.ran.push((path.clone(), body));
        let seen = authorization.and_then(|value| value.to_str().map(str::to_string).ok());
        state.authorizations.extend(seen);
        (state.hang, state.slow_ms, state.ran.len())
    };
    tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    if hang {
        tokio::time::sleep(Duration::from_secs(600)).await;
    }
    http::json(StatusCode::OK, &serde_json::json!({ "action": path, "receipt": count }))
}
