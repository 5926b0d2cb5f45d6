use std::any::Any;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

use super::{Body, CallerContext, CallerStream, Eviction, ServerMemory};
use crate::time::Clock;

/// How long a connection that is closed for another one may take to send a refusal.
const EVICTED_TIMEOUT: Duration = Duration::from_millis(200);

const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Limits of an HTTP server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Time limit for a client to send the head of a request.
    pub header_timeout: Duration,
    /// Maximum number of open connections; further ones wait to be accepted.
    pub connections: u32,
    /// Buffer size per connection, which also bounds the head of a request.
    pub buffer_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            header_timeout: Duration::from_secs(10),
            connections: 8_192,
            buffer_bytes: 64 * 1024,
        }
    }
}

/// A value that a handler puts into the extensions of a response. The server drops it when the
/// response was sent: when the next request arrives on the connection, or the connection has closed.
/// The body of a response is dropped earlier, when its last bytes wait to be written.
#[derive(Clone)]
pub struct KeptUntilSent(pub Arc<dyn Any + Send + Sync>);

/// Handle of a running HTTP server.
pub struct RunningServer {
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// Once set, when idle connections are closed.
    stop: watch::Sender<Option<Instant>>,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Stops accepting connections, and waits until all responses in flight have been sent. Requests
    /// on open connections are read until `close`, as some may be on their way.
    pub async fn shut_down(self, close: Instant) {
        let _ = self.stop.send(Some(close));
        let _ = self.task.await;
    }
}

/// Starts an HTTP/1.1 server that passes each request to `handler`.
pub async fn serve<H, F>(
    address: SocketAddr,
    limits: ServerLimits,
    memory: &ServerMemory,
    handler: H,
) -> std::io::Result<RunningServer>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(None);
    let task = tokio::spawn(accept_connections(listener, limits, memory.clone(), handler, stopped));
    Ok(RunningServer { address, stop, task })
}

async fn accept_connections<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    memory: ServerMemory,
    handler: H,
    mut stopped: watch::Receiver<Option<Instant>>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(limits.connections as usize));
    let graceful = GracefulShutdown::new();
    let clock = Clock::start();
    let close = loop {
        let slot = tokio::select! {
            biased;
            slot = slots.clone().acquire_owned() => slot,
            close = stop_requested(&mut stopped) => break close,
        };
        // Connections that are established already are accepted before the server stops.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            close = stop_requested(&mut stopped) => break close,
        };
        let Ok((stream, _)) = accepted else {
            // Most likely the process is out of file descriptors; the pause avoids a busy loop.
            match timeout(ACCEPT_RETRY_INTERVAL, stop_requested(&mut stopped)).await {
                Ok(close) => break close,
                Err(_) => continue,
            }
        };
        let eviction = Eviction::default();
        // A connection for which there is no room closes before a request was read from it.
        let Ok(connection) = memory.open_connection(clock.now(), eviction.clone()) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let kept = Arc::new(Mutex::new(None));
        let (connection, lingers) = (Arc::new(connection), Arc::<AtomicBool>::default());
        let stream = CallerStream::new(stream, connection.clone(), clock, lingers.clone());
        let evicted = eviction.clone();
        let service = service_fn(move |mut request| {
            keep(&kept, None);
            let caller = CallerContext::open(&connection, &eviction, clock);
            request.extensions_mut().insert(caller.clone());
            let (response, kept, lingers) = (handler(request), kept.clone(), lingers.clone());
            async move {
                let mut response = response.await;
                keep(&kept, response.extensions_mut().remove());
                lingers.store(caller.is_body_unread(), Ordering::Relaxed);
                Ok::<_, Infallible>(response.map(|body| CallerBody { body, _caller: caller }))
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.buffer_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let mut watched = std::pin::pin!(watched);
            tokio::select! {
                _ = watched.as_mut() => {}
                () = evicted.requested() => {
                    // A request that has arrived is refused first.
                    drop(timeout(EVICTED_TIMEOUT, watched).await);
                }
            }
            drop(slot);
        });
    };
    drop(listener);
    let all_closed = slots.acquire_many(limits.connections);
    let _ = timeout_at(close, all_closed).await;
    graceful.shutdown().await;
}

/// The body of a response, with what its request holds until it was sent.
struct CallerBody {
    body: Body,
    _caller: Arc<CallerContext>,
}

impl HttpBody for CallerBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn keep(kept: &Mutex<Option<KeptUntilSent>>, value: Option<KeptUntilSent>) {
    *kept.lock().expect("no holder panics") = value;
}

/// Waits until the server is to stop; returns when its idle connections are closed.
async fn stop_requested(stopped: &mut watch::Receiver<Option<Instant>>) -> Instant {
    let close = stopped.wait_for(Option::is_some).await;
    close.ok().and_then(|close| *close).unwrap_or_else(Instant::now)
}
