use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client as PooledClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Body, full};
use crate::prelude::*;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call to another process failed.
#[value]
#[derive(Copy)]
pub enum CallError {
    /// The connection could not be opened, so the call was not sent.
    NotSent,
    /// The connection failed before the response was complete. The call may have been executed.
    NoAnswer,
    /// No complete response within the timeout. The call may have been executed.
    TimedOut,
    /// The response could not be decoded, or the request could not be built.
    BadAnswer,
    /// A response with a status other than 200.
    Status(u16),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent => f.write_str("connection could not be opened"),
            CallError::NoAnswer => f.write_str("connection failed before the end of the response"),
            CallError::TimedOut => f.write_str("no complete response within the timeout"),
            CallError::BadAnswer => f.write_str("response is not in the expected format"),
            CallError::Status(status) => write!(f, "response has status {status} instead of 200"),
        }
    }
}

impl CallError {
    /// Whether the call certainly did not reach the other process.
    pub fn not_sent(self) -> bool {
        self == CallError::NotSent
    }
}

/// An HTTP client with a connection pool, for calls by IP address.
#[derive(Clone)]
pub struct Client {
    inner: PooledClient<HttpConnector, Body>,
}

impl Client {
    /// Creates a client without open connections.
    pub fn open() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let inner = PooledClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Client { inner }
    }

    /// Sends a request and returns the response as soon as its head has arrived. Only connecting
    /// has a time limit.
    pub async fn start(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(full(body))
            .map_err(|_| CallError::BadAnswer)?;
        self.inner.request(request).await.map_err(|fault| match fault.is_connect() {
            true => CallError::NotSent,
            false => CallError::NoAnswer,
        })
    }

    /// Sends a request with a JSON body and decodes the JSON response. `timeout` covers the whole
    /// exchange.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        request_body: &Q,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let body = serde_json::to_vec(request_body).map_err(|_| CallError::BadAnswer)?;
        let call = async {
            let response = self.start(method, address, path, body.into()).await?;
            let status = response.status();
            let collected = response.into_body().collect().await;
            let bytes = collected.map_err(|_| CallError::NoAnswer)?.to_bytes();
            if status != StatusCode::OK {
                return Err(CallError::Status(status.as_u16()));
            }
            serde_json::from_slice(&bytes).map_err(|_| CallError::BadAnswer)
        };
        tokio::time::timeout(timeout, call).await.unwrap_or(Err(CallError::TimedOut))
    }

    /// Sends a GET request and decodes the JSON response.
    pub async fn get<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<A, CallError> {
        self.call(Method::GET, address, path, &(), timeout).await
    }
}
