use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// How long a caller waits.
const WAIT_MS: u64 = 3_000;

/// The most tokens of one turn.
pub(crate) const MOST_TOKENS: u64 = 60;

/// What becomes of a turn's history, and of its stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TurnKind {
    /// The system keeps what was said; a broken stream is lost.
    #[default]
    Kept,
    /// Nothing is kept but the program's account; a broken stream may go on elsewhere.
    Resumable,
}

/// A turn to ask for.
#[derive(Debug, Clone, Default)]
pub struct Turn {
    /// On which route.
    pub kind: TurnKind,
    /// Its request id.
    pub request: String,
    /// Its program.
    pub program: String,
    /// The turn before it.
    pub previous: Option<String>,
    /// What is new in it.
    pub input: String,
    /// The program's budget.
    pub budget: u64,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status; none if there was no answer.
    pub status: Option<u16>,
    /// When to come back, if the answer says so.
    pub retry_after_ms: Option<u64>,
    /// How long an unused connection is kept, if the answer says so.
    pub keep_alive_ms: Option<u64>,
    /// Whether the body came to its end.
    pub whole: bool,
    /// The bytes of the body that came.
    pub body: Vec<u8>,
}

impl Answer {
    const NONE: Answer = Answer {
        status: None,
        retry_after_ms: None,
        keep_alive_ms: None,
        whole: false,
        body: Vec::new(),
    };

    /// Whether it is a success, whole.
    pub fn is_served(&self) -> bool {
        self.status == Some(200) && self.whole
    }

    /// Whether it promises that the request has not run and never will.
    pub fn promises(&self) -> bool {
        matches!(self.status, Some(402 | 408 | 421 | 429 | 503))
    }

    /// Events that came, also of an answer that broke off.
    pub fn events(&self) -> u64 {
        self.body.windows(2).filter(|pair| pair == b"\n\n").count() as u64
    }
}

/// A caller with a key.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Its key.
    pub key: String,
}

impl Caller {
    /// Asks an entry for a turn.
    pub async fn turn(&self, entry: SocketAddr, turn: &Turn) -> Answer {
        let path = match turn.kind {
            TurnKind::Kept => "/turns/1",
            TurnKind::Resumable => "/asks/1",
        };
        let mut request = self
            .request(Method::POST, path, &turn.request)
            .header("trefoilproxy-program-id", &turn.program)
            .header("trefoilproxy-token-budget", turn.budget)
            .header("trefoilproxy-token-count", format!("10,{MOST_TOKENS}"));
        if let Some(previous) = &turn.previous {
            request = request.header("trefoilproxy-previous-turn", previous);
        }
        send(entry, request.body(Full::new(Bytes::from(turn.input.clone())))).await
    }

    /// Calls a tool that may be called again.
    pub async fn look_up(&self, entry: SocketAddr, request: &str) -> Answer {
        let request = self.request(Method::GET, "/lookups/1", request);
        send(entry, request.body(Full::default())).await
    }

    /// Calls a tool that must not run twice.
    pub async fn act(&self, entry: SocketAddr, request: &str) -> Answer {
        let id = request.to_string();
        let request = self.request(Method::POST, "/actions/1", request);
        send(entry, request.body(Full::new(Bytes::from(id)))).await
    }

    fn request(&self, method: Method, path: &str, request: &str) -> hyper::http::request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header("host", "soak.example")
            .header("authorization", format!("Bearer {}", self.key))
            .header("trefoilproxy-request-id", request)
            .header("trefoilproxy-deadline-ms", WAIT_MS)
    }
}

async fn send(
    entry: SocketAddr,
    request: Result<Request<Full<Bytes>>, hyper::http::Error>,
) -> Answer {
    let Ok(request) = request else {
        return Answer::NONE;
    };
    let limit = Duration::from_millis(WAIT_MS + 1_000);
    tokio::time::timeout(limit, exchange(entry, request)).await.unwrap_or(Answer::NONE)
}

async fn exchange(entry: SocketAddr, request: Request<Full<Bytes>>) -> Answer {
    let Ok(stream) = TcpStream::connect(entry).await else {
        return Answer::NONE;
    };
    let Ok((mut sender, driver)) = handshake(TokioIo::new(stream)).await else {
        return Answer::NONE;
    };
    let driving = tokio::spawn(driver);
    let Ok(response) = sender.send_request(request).await else {
        return Answer::NONE;
    };
    let status = Some(response.status().as_u16());
    let retry_after_ms = seconds(&response, "retry-after", "");
    let keep_alive_ms = seconds(&response, "keep-alive", "timeout=");
    let (mut body, mut received, mut whole) = (response.into_body(), Vec::new(), true);
    while let Some(frame) = body.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => received.extend(data),
            Ok(Err(_trailers)) => {}
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    driving.abort();
    Answer { status, retry_after_ms, keep_alive_ms, whole, body: received }
}

/// The seconds behind `label` in a header, in milliseconds.
fn seconds(response: &Response<Incoming>, header: &str, label: &str) -> Option<u64> {
    let value = response.headers().get(header)?.to_str().ok()?;
    let seconds = value.strip_prefix(label)?.parse::<f64>().ok()?;
    Some((seconds * 1_000.0) as u64)
}
