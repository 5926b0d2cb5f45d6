//! HTTP server and client shared by the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Response body.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// Handle of a running stand-in. Dropping it stops the stand-in.
pub struct Running {
    /// Listen address.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Running {
    /// Stops the stand-in and closes its connections.
    pub async fn stop(&mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// Waits until the stand-in stops.
    pub async fn wait(mut self) {
        let _ = (&mut self.task).await;
    }
}

/// Serves HTTP/1.1 on `address`, passing every request to `handler`.
pub async fn serve<H, F>(address: SocketAddr, handler: H) -> std::io::Result<Running>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            connections.spawn(async move {
                let io = TokioIo::new(stream);
                let _ =
                    hyper::server::conn::http1::Builder::new().serve_connection(io, service).await;
            });
        }
    });
    Ok(Running { address, task })
}

/// Builds a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response
}

/// Builds a body from bytes that are available in full.
pub fn full_body(bytes: Vec<u8>) -> Body {
    Full::new(Bytes::from(bytes)).map_err(|never: Infallible| match never {}).boxed()
}

/// Builds a response that streams its body. An error in the stream closes the connection.
pub fn streaming_response<S>(stream: S) -> Response<Body>
where
    S: Stream<Item = Result<Bytes, std::io::Error>> + Send + Sync + 'static,
{
    use futures_util::StreamExt;
    Response::new(BodyExt::boxed(StreamBody::new(stream.map(|part| part.map(Frame::data)))))
}

/// Reads a JSON body; `None` if it is incomplete or does not match `T`.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// Returns a numeric query parameter.
pub fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Sends a request with a JSON body and returns the JSON response, whatever its status. `None` if
/// there is no response or it does not match `A`.
pub async fn call<B: Serialize, A: DeserializeOwned>(
    method: Method,
    url: &str,
    body: &B,
) -> Option<A> {
    let client = hyper_util::client::legacy::Client::builder(TokioExecutor::new()).build_http();
    let bytes = serde_json::to_vec(body).ok()?;
    let request = Request::builder().method(method).uri(url).body(full_body(bytes)).ok()?;
    let response = client.request(request).await.ok()?;
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
