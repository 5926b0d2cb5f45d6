use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};

/// Timeout of a request, as its caller states it.
pub(crate) const TIMEOUT_MS: u64 = 3_000;

/// Size of the receive buffer of a caller that reads slowly.
const SLOW_READER_BUFFER_BYTES: u32 = 64 << 10;

/// Pause of a slow reader after each piece of a response.
pub(crate) const SLOW_READ_PAUSE: Duration = Duration::from_millis(10);

/// Time after which a caller that has stopped reading disconnects.
const STOPPED_TIME: Duration = Duration::from_secs(1);

/// Maximum number of output tokens of a turn.
pub(crate) const MAX_TURN_TOKENS: u64 = 60;

/// Whether the history of a turn is kept, and whether its stream can be resumed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum TurnKind {
    /// The history is kept; a broken stream is not resumed.
    #[default]
    Kept,
    /// Only the program's token account is kept; a broken stream may be resumed at another endpoint.
    Resumable,
    /// Only the program's token account is kept; a broken stream is not resumed. The route is under
    /// load control and has the highest priority.
    Urgent,
    /// As [`TurnKind::Urgent`], on a route of a lower priority.
    Patient,
}

/// How a caller reads a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reading {
    /// As fast as it arrives.
    #[default]
    AtOnce,
    /// With a pause after each piece.
    Slow,
    /// Not beyond the first piece; it disconnects some time later.
    Stops,
}

/// A turn to be requested.
#[derive(Debug, Clone, Default)]
pub struct Turn {
    /// Decides the route.
    pub kind: TurnKind,
    /// Its request ID.
    pub request: String,
    /// The ID of its program.
    pub program: String,
    /// The request ID of the preceding turn.
    pub previous: Option<String>,
    /// Its own input, without the history.
    pub input: String,
    /// The token budget of the program.
    pub budget: u64,
    /// How the caller reads the response.
    pub reading: Reading,
}

/// The response that a caller received; by default, none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// The status; `None` if there was no response.
    pub status: Option<u16>,
    /// The value of `Retry-After`, if present.
    pub retry_after_ms: Option<u64>,
    /// The idle timeout of the connection, if stated in `Keep-Alive`.
    pub keep_alive_ms: Option<u64>,
    /// Whether the body was received completely.
    pub whole: bool,
    /// The received bytes of the body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Whether it is a complete response with status 200.
    pub fn is_served(&self) -> bool {
        self.status == Some(200) && self.whole
    }

    /// Whether it was refused for want of capacity or of an endpoint.
    pub fn is_refused(&self) -> bool {
        matches!(self.status, Some(429 | 503))
    }

    /// Whether its status guarantees that the request has not run and never will.
    pub fn guarantees_not_run(&self) -> bool {
        matches!(self.status, Some(402 | 408 | 421 | 429 | 503))
    }

    /// The number of events received, also in an incomplete response.
    pub fn events(&self) -> u64 {
        self.body.windows(2).filter(|pair| pair == b"\n\n").count() as u64
    }
}

/// A caller with an API key.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Its key.
    pub key: String,
}

impl Caller {
    /// Requests a turn from an entry.
    pub async fn turn(&self, entry: SocketAddr, turn: &Turn) -> Answer {
        let path = match turn.kind {
            TurnKind::Kept => "/turns/1",
            TurnKind::Resumable => "/asks/1",
            TurnKind::Urgent => "/urgent/1",
            TurnKind::Patient => "/patient/1",
        };
        let mut request = self
            .request(Method::POST, path, &turn.request)
            .header("trefoilproxy-program-id", &turn.program)
            .header("trefoilproxy-token-budget", turn.budget)
            .header("trefoilproxy-token-count", format!("10,{MAX_TURN_TOKENS}"));
        if let Some(previous) = &turn.previous {
            request = request.header("trefoilproxy-previous-turn", previous);
        }
        send(entry, request.body(Full::new(Bytes::from(turn.input.clone()))), turn.reading).await
    }

    /// Calls an idempotent tool.
    pub async fn look_up(&self, entry: SocketAddr, request: &str) -> Answer {
        let request = self.request(Method::GET, "/lookups/1", request);
        send(entry, request.body(Full::default()), Reading::AtOnce).await
    }

    /// Reads a notice, for which no key is needed.
    pub async fn read_notice(&self, entry: SocketAddr, request: &str) -> Answer {
        let request = self.request(Method::POST, "/notices/1", request);
        let request = request.body(Full::new(Bytes::from_static(b"which"))).map(without_key);
        send(entry, request, Reading::AtOnce).await
    }

    /// Calls a tool that must run at most once.
    pub async fn act(&self, entry: SocketAddr, request: &str) -> Answer {
        let id = request.to_string();
        let request = self.request(Method::POST, "/actions/1", request);
        send(entry, request.body(Full::new(Bytes::from(id))), Reading::AtOnce).await
    }

    fn request(&self, method: Method, path: &str, request: &str) -> hyper::http::request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header("host", "soak.example")
            .header("authorization", format!("Bearer {}", self.key))
            .header("trefoilproxy-request-id", request)
            .header("trefoilproxy-deadline-ms", TIMEOUT_MS)
    }
}

fn without_key(mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    request.headers_mut().remove("authorization");
    request
}

async fn send(
    entry: SocketAddr,
    request: Result<Request<Full<Bytes>>, hyper::http::Error>,
    reading: Reading,
) -> Answer {
    let Ok(request) = request else {
        return Answer::default();
    };
    let limit = Duration::from_millis(TIMEOUT_MS + 1_000);
    tokio::time::timeout(limit, exchange(entry, request, reading)).await.unwrap_or_default()
}

/// Opens a connection; that of a slow reader has a small receive buffer.
pub(crate) async fn connect(entry: SocketAddr, reading: Reading) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if reading != Reading::AtOnce {
        socket.set_recv_buffer_size(SLOW_READER_BUFFER_BYTES)?;
    }
    socket.connect(entry).await
}

async fn exchange(entry: SocketAddr, request: Request<Full<Bytes>>, reading: Reading) -> Answer {
    let Ok(stream) = connect(entry, reading).await else {
        return Answer::default();
    };
    let Ok((mut sender, driver)) = handshake(TokioIo::new(stream)).await else {
        return Answer::default();
    };
    let driving = tokio::spawn(driver);
    let Ok(response) = sender.send_request(request).await else {
        return Answer::default();
    };
    let status = Some(response.status().as_u16());
    let retry_after_ms = seconds(&response, "retry-after", "");
    let keep_alive_ms = seconds(&response, "keep-alive", "timeout=");
    let (mut body, mut received, mut whole) = (response.into_body(), Vec::new(), true);
    while let Some(frame) = body.frame().await {
        if reading == Reading::Slow {
            tokio::time::sleep(SLOW_READ_PAUSE).await;
        }
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => received.extend(data),
            Ok(Err(_trailers)) => {}
            Err(_) => {
                whole = false;
                break;
            }
        }
        if reading == Reading::Stops {
            tokio::time::sleep(STOPPED_TIME).await;
            whole = false;
            break;
        }
    }
    driving.abort();
    Answer { status, retry_after_ms, keep_alive_ms, whole, body: received }
}

/// The value in a header after `label`, converted from seconds to milliseconds.
fn seconds(response: &Response<Incoming>, header: &str, label: &str) -> Option<u64> {
    let value = response.headers().get(header)?.to_str().ok()?;
    let seconds = value.strip_prefix(label)?.parse::<f64>().ok()?;
    Some((seconds * 1_000.0) as u64)
}
