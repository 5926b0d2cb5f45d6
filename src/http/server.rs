use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;

use super::Body;

/// Limits of an HTTP server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Time limit for a client to send the head of a request.
    pub header_timeout: Duration,
    /// Maximum number of open connections; further ones wait to be accepted.
    pub connections: usize,
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

/// Handle of a running HTTP server.
pub struct RunningServer {
    /// The address on which the server listens.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Stops accepting connections and waits until all responses in flight have been sent.
    pub async fn shut_down(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}

/// Starts an HTTP/1.1 server that passes each request to `handler`.
pub async fn serve<H, F>(
    address: SocketAddr,
    limits: ServerLimits,
    handler: H,
) -> std::io::Result<RunningServer>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(accept_connections(listener, limits, handler, stopped));
    Ok(RunningServer { address, stop, task })
}

async fn accept_connections<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    mut stopped: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(limits.connections));
    let graceful = GracefulShutdown::new();
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            break;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else {
            // Most likely the process is out of file descriptors; the pause avoids a busy loop.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.buffer_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _ = watched.await;
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
