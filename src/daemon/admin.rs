use std::net::SocketAddr;
use std::sync::RwLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use crate::http::{Body, RunningServer, ServerLimits, ServerMemory, full, json, serve};
use crate::prelude::*;
use crate::telemetry::{Metrics, PressureLog, set_caller_metrics};

/// Pause between two reports of what is held for callers.
const USAGE_INTERVAL: Duration = Duration::from_secs(5);

type StatusReport = Box<dyn Fn() -> serde_json::Value + Send + Sync>;

/// HTTP server of `/live`, `/ready`, `/metrics` and `/status`, for the platform and for operators.
pub struct Admin {
    shared: Arc<Shared>,
    server: RunningServer,
}

struct Shared {
    ready: AtomicBool,
    metrics: Metrics,
    status: RwLock<Option<StatusReport>>,
}

impl Admin {
    /// Starts the server. It reports the process as live immediately, but not as ready.
    pub async fn bind(
        address: SocketAddr,
        memory: &ServerMemory,
        metrics: Metrics,
    ) -> std::io::Result<Admin> {
        tokio::spawn(report_caller_usage(memory.clone()));
        let shared =
            Arc::new(Shared { ready: AtomicBool::new(false), metrics, status: RwLock::new(None) });
        let handler_shared = shared.clone();
        let server = serve(address, ServerLimits::default(), memory, move |request| {
            let shared = handler_shared.clone();
            async move { shared.handle(&request) }
        })
        .await?;
        Ok(Admin { shared, server })
    }

    /// Sets whether `/ready` reports that the process accepts new work.
    pub fn set_ready(&self, ready: bool) {
        self.shared.ready.store(ready, Ordering::Relaxed);
    }

    /// Sets the function that computes the response to `/status`.
    pub fn set_status_source(
        &self,
        status: impl Fn() -> serde_json::Value + Send + Sync + 'static,
    ) {
        *self.shared.status.write().expect("no thread panics while it holds the lock") =
            Some(Box::new(status));
    }

    /// Logs the addresses on which the process listens, as one line that a launcher can parse.
    pub fn announce(&self, role: &str, vm: &VmName, addresses: &[(&str, SocketAddr)]) {
        let mut listeners = serde_json::Map::new();
        listeners.insert("admin".to_string(), self.server.address.to_string().into());
        for (name, address) in addresses {
            listeners.insert((*name).to_string(), address.to_string().into());
        }
        let listening = serde_json::Value::Object(listeners).to_string();
        log::info!(role, vm = vm.as_str(), listening; "listening");
    }
}

/// Keeps the metrics of what is held for callers, and logs what was refused for want of room.
async fn report_caller_usage(memory: ServerMemory) {
    let mut pressure_log = PressureLog::default();
    loop {
        let usage = memory.usage();
        set_caller_metrics(&usage);
        pressure_log.check(usage);
        tokio::time::sleep(USAGE_INTERVAL).await;
    }
}

impl Shared {
    fn handle(&self, request: &Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/live") => json(StatusCode::OK, &"live"),
            (&Method::GET, "/ready") if self.ready.load(Ordering::Relaxed) => {
                json(StatusCode::OK, &"ready")
            }
            (&Method::GET, "/ready") => json(StatusCode::SERVICE_UNAVAILABLE, &"not ready"),
            (&Method::GET, "/metrics") => {
                self.metrics.upkeep();
                Response::new(full(self.metrics.render()))
            }
            (&Method::GET, "/status") => self.status(),
            _ => json(StatusCode::NOT_FOUND, &"no such call"),
        }
    }

    fn status(&self) -> Response<Body> {
        let status = self.status.read().expect("no thread panics while it holds the lock");
        match status.as_ref() {
            Some(report) => json(StatusCode::OK, &report()),
            None => json(StatusCode::OK, &serde_json::json!({})),
        }
    }
}
