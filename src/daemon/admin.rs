use std::net::SocketAddr;
use std::sync::RwLock;
use std::sync::atomic::{AtomicBool, Ordering};

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use crate::http::{Body, ServerLimits, Serving, json, serve, whole};
use crate::prelude::*;
use crate::telemetry::Metrics;

type StatusReport = Box<dyn Fn() -> serde_json::Value + Send + Sync>;

/// Serves `/live`, `/ready`, `/metrics` and `/status` to the platform and to operators.
pub struct Admin {
    shared: Arc<Shared>,
    serving: Serving,
}

struct Shared {
    ready: AtomicBool,
    metrics: Metrics,
    status: RwLock<Option<StatusReport>>,
}

impl Admin {
    /// Starts to serve. The process is live at once, but not ready.
    pub async fn bind(address: SocketAddr, metrics: Metrics) -> std::io::Result<Admin> {
        let shared =
            Arc::new(Shared { ready: AtomicBool::new(false), metrics, status: RwLock::new(None) });
        let answering = shared.clone();
        let serving = serve(address, ServerLimits::default(), move |request| {
            let shared = answering.clone();
            async move { shared.answer(&request) }
        })
        .await?;
        Ok(Admin { shared, serving })
    }

    /// Says whether new work may come.
    pub fn set_ready(&self, ready: bool) {
        self.shared.ready.store(ready, Ordering::Relaxed);
    }

    /// Sets what `/status` reports.
    pub fn report(&self, status: impl Fn() -> serde_json::Value + Send + Sync + 'static) {
        *self.shared.status.write().expect("no holder panics") = Some(Box::new(status));
    }

    /// Logs the addresses that the process listens on, as one line that a launcher can read.
    pub fn announce(&self, role: &str, vm: &VmName, addresses: &[(&str, SocketAddr)]) {
        let mut all = serde_json::Map::new();
        all.insert("admin".to_string(), self.serving.address.to_string().into());
        for (name, address) in addresses {
            all.insert((*name).to_string(), address.to_string().into());
        }
        let listening = serde_json::Value::Object(all).to_string();
        log::info!(role, vm = vm.as_str(), listening; "listening");
    }
}

impl Shared {
    fn answer(&self, request: &Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/live") => json(StatusCode::OK, &"live"),
            (&Method::GET, "/ready") if self.ready.load(Ordering::Relaxed) => {
                json(StatusCode::OK, &"ready")
            }
            (&Method::GET, "/ready") => json(StatusCode::SERVICE_UNAVAILABLE, &"not ready"),
            (&Method::GET, "/metrics") => {
                self.metrics.upkeep();
                Response::new(whole(self.metrics.render()))
            }
            (&Method::GET, "/status") => self.status(),
            _ => json(StatusCode::NOT_FOUND, &"no such call"),
        }
    }

    fn status(&self) -> Response<Body> {
        let status = self.status.read().expect("no holder panics");
        match status.as_ref() {
            Some(report) => json(StatusCode::OK, &report()),
            None => json(StatusCode::OK, &serde_json::json!({})),
        }
    }
}
