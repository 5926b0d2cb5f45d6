//! Callers that do not behave: many at once, who send what they like and keep their connections open.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::task::JoinSet;

/// How long a crowd may take to send what it has. A gateway may stop reading from it.
const SEND_LIMIT: Duration = Duration::from_secs(10);

/// Pause between two looks at a crowd's progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(20);

/// Bytes of a response that are kept: its status line is among them.
const KEPT_RESPONSE_BYTES: usize = 64;

/// The state of an open connection in the system's list of sockets.
const ESTABLISHED: &str = "01";

/// Receive buffer of a caller that does not read.
const UNREAD_BUFFER_BYTES: u32 = 8 << 10;

/// What one caller of a crowd sends.
#[derive(Debug, Clone)]
pub struct CrowdRequest {
    /// The pieces, in the order in which they are written.
    pub pieces: Vec<Bytes>,
    /// Whether it reads what it is answered.
    pub reads: bool,
}

impl CrowdRequest {
    /// A request that is sent in these pieces, by a caller that reads the response.
    pub fn new(pieces: impl IntoIterator<Item = impl Into<Bytes>>) -> CrowdRequest {
        CrowdRequest { pieces: pieces.into_iter().map(Into::into).collect(), reads: true }
    }

    /// The same by a caller that does not read the response.
    pub fn unread(self) -> CrowdRequest {
        CrowdRequest { reads: false, ..self }
    }
}

/// What a crowd has done and seen so far.
#[derive(Debug, Default)]
struct Seen {
    /// Callers that have sent all, or can't go on.
    finished: AtomicUsize,
    /// Callers that have got the begin of a response, or the end of their connection.
    ended: AtomicUsize,
    responses: Mutex<Vec<Vec<u8>>>,
}

/// A crowd of callers. Its connections stay open until it is dropped, unless the gateway closes them.
pub struct Crowd {
    address: SocketAddr,
    size: usize,
    seen: Arc<Seen>,
    _callers: JoinSet<()>,
}

impl Crowd {
    /// Starts one caller for each request, all at once.
    pub fn spawn(address: SocketAddr, requests: Vec<CrowdRequest>) -> Crowd {
        let seen = Arc::new(Seen::default());
        let size = requests.len();
        let mut callers = JoinSet::new();
        for request in requests {
            callers.spawn(call(address, request, seen.clone()));
        }
        Crowd { address, size, seen, _callers: callers }
    }

    /// Waits until each caller has sent all that it has, or can't go on, and the gateway has read it.
    pub async fn wait_read(&self) {
        let all_read = async {
            while self.seen.finished.load(Ordering::SeqCst) < self.size
                || queued_bytes(self.address.port()) > 0
            {
                tokio::time::sleep(PROGRESS_INTERVAL).await;
            }
        };
        // What is not read by then is left in the system's buffers.
        drop(tokio::time::timeout(SEND_LIMIT, all_read).await);
    }

    /// Waits until each caller has got a response, or can get none.
    pub async fn wait_answered(&self) {
        let all = async {
            while self.seen.ended.load(Ordering::SeqCst) < self.size {
                tokio::time::sleep(PROGRESS_INTERVAL).await;
            }
        };
        drop(tokio::time::timeout(SEND_LIMIT, all).await);
    }

    /// The statuses of the responses so far.
    pub fn statuses(&self) -> Vec<u16> {
        lock(&self.seen.responses).iter().filter_map(|response| status(response)).collect()
    }
}

async fn call(address: SocketAddr, request: CrowdRequest, seen: Arc<Seen>) {
    let Some(mut stream) = connect(address, request.reads).await else {
        seen.finished.fetch_add(1, Ordering::SeqCst);
        seen.ended.fetch_add(1, Ordering::SeqCst);
        return;
    };
    let (mut reader, mut writer) = stream.split();
    let writing = async {
        for piece in &request.pieces {
            if writer.write_all(piece).await.is_err() {
                break;
            }
            tokio::task::yield_now().await;
        }
        seen.finished.fetch_add(1, Ordering::SeqCst);
        std::future::pending::<()>().await;
    };
    let reading = async {
        if !request.reads {
            std::future::pending::<()>().await;
        }
        let mut response = vec![0; KEPT_RESPONSE_BYTES];
        if let Ok(length @ 1..) = reader.read(&mut response).await {
            lock(&seen.responses).push(response[..length].to_vec());
        }
        seen.ended.fetch_add(1, Ordering::SeqCst);
        // The rest is read and dropped, until the gateway closes the connection.
        drop(tokio::io::copy(&mut reader, &mut tokio::io::sink()).await);
    };
    // The connection stays open, also when the response has ended.
    tokio::join!(writing, reading);
}

async fn connect(address: SocketAddr, reads: bool) -> Option<tokio::net::TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    if !reads {
        socket.set_recv_buffer_size(UNREAD_BUFFER_BYTES).ok()?;
    }
    socket.connect(address).await.ok()
}

/// Bytes on their way to listeners of a port, and bytes that have arrived there and were not read.
fn queued_bytes(port: u16) -> u64 {
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    sockets.lines().skip(1).filter_map(|socket| queued_on(socket, port)).sum()
}

/// The same on one socket, as a line of the system's list shows it.
fn queued_on(socket: &str, port: u16) -> Option<u64> {
    let mut fields = socket.split_whitespace().skip(1);
    let has_port = |address: &str| address.ends_with(&format!(":{port:04X}"));
    let (local, remote, state) = (fields.next()?, fields.next()?, fields.next()?);
    let (unsent, unread) = fields.next()?.split_once(':')?;
    let queue = match (has_port(local), has_port(remote)) {
        (true, _) => unread,
        (_, true) => unsent,
        _ => return None,
    };
    (state == ESTABLISHED).then(|| u64::from_str_radix(queue, 16).ok()).flatten()
}

fn status(response: &[u8]) -> Option<u16> {
    let text = std::str::from_utf8(response.get(9..12)?).ok()?;
    text.parse().ok()
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().expect("no holder panics")
}
