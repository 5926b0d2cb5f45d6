use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};
use zeromq::prelude::*;
use zeromq::{DealerRecvHalf, DealerSendHalf, DealerSocket, ZmqMessage};

use super::message::{decode, encode};
use super::{ControlReply, ControlRequest};
use crate::prelude::*;

const QUEUE_CAPACITY: usize = 1_024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time limit for a send. It is exceeded when the peer is frozen and the send buffers are full.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// The socket is replaced when requests are in flight and no reply has come for this long.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Why a request got no reply. Except after [`LinkError::Busy`], the peer may have received it.
#[value]
#[derive(Copy)]
pub enum LinkError {
    /// The queue of waiting requests is full.
    Busy,
    /// No reply within the timeout.
    TimedOut,
    /// The connection failed or could not be opened.
    Broken,
}

struct QueuedRequest {
    request: ControlRequest,
    reply_sender: oneshot::Sender<ControlReply>,
}

/// Handle of a connection to another process, which is reopened after failures.
#[derive(Clone)]
pub struct Link {
    requests: mpsc::Sender<QueuedRequest>,
}

impl Link {
    /// Creates a link. It connects on the first request and closes when its last handle is dropped.
    pub fn spawn(address: SocketAddr) -> Link {
        let (requests, queue) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run_sessions(address, queue));
        Link { requests }
    }

    /// Sends a request and waits up to `wait` for the reply.
    pub async fn ask(
        &self,
        request: ControlRequest,
        wait: Duration,
    ) -> Result<ControlReply, LinkError> {
        let (reply_sender, reply) = oneshot::channel();
        self.requests
            .try_send(QueuedRequest { request, reply_sender })
            .map_err(|_| LinkError::Busy)?;
        match timeout(wait, reply).await {
            Err(_) => Err(LinkError::TimedOut),
            Ok(Err(_)) => Err(LinkError::Broken),
            Ok(Ok(reply)) => Ok(reply),
        }
    }
}

/// Serves the queue with one session after another, with backoff between them.
async fn run_sessions(address: SocketAddr, mut queue: mpsc::Receiver<QueuedRequest>) {
    let mut backoff = INITIAL_BACKOFF;
    while let Some(first) = queue.recv().await {
        let mut session = match Session::connect(address).await {
            Some(session) => session,
            None => {
                // Dropping the request fails it with `LinkError::Broken`.
                drop(first);
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                continue;
            }
        };
        if session.serve(first, &mut queue).await {
            return;
        }
        backoff = match session.received_reply {
            true => INITIAL_BACKOFF,
            false => (backoff * 2).min(MAX_BACKOFF),
        };
        drop(session);
        sleep(backoff).await;
    }
}

/// A socket and its requests in flight.
struct Session {
    sender: DealerSendHalf,
    receiver: DealerRecvHalf,
    next_id: u64,
    in_flight: HashMap<u64, oneshot::Sender<ControlReply>>,
    /// When the last reply arrived, or when a request was sent while none was in flight.
    last_progress: Instant,
    received_reply: bool,
}

impl Session {
    async fn connect(address: SocketAddr) -> Option<Session> {
        let mut socket = DealerSocket::new();
        let connected = timeout(CONNECT_TIMEOUT, socket.connect(&format!("tcp://{address}"))).await;
        connected.ok()?.ok()?;
        let (sender, receiver) = socket.split();
        Some(Session {
            sender,
            receiver,
            next_id: 1,
            in_flight: HashMap::new(),
            last_progress: Instant::now(),
            received_reply: false,
        })
    }

    /// Serves requests until the socket fails or stalls (returns `false`), or until all handles of
    /// the link are dropped (returns `true`).
    async fn serve(
        &mut self,
        first: QueuedRequest,
        queue: &mut mpsc::Receiver<QueuedRequest>,
    ) -> bool {
        if !self.send(first).await {
            return false;
        }
        loop {
            tokio::select! {
                queued = queue.recv() => match queued {
                    None => return true,
                    Some(queued) => if !self.send(queued).await {
                        return false;
                    },
                },
                received = self.receiver.recv() => match received {
                    Ok(message) => self.receive(&message),
                    Err(_) => return false,
                },
                () = sleep(STALL_CHECK_INTERVAL) => if self.is_stalled() {
                    return false;
                },
            }
        }
    }

    async fn send(&mut self, queued: QueuedRequest) -> bool {
        if self.in_flight.is_empty() {
            self.last_progress = Instant::now();
        }
        let id = self.next_id;
        self.next_id += 1;
        self.in_flight.insert(id, queued.reply_sender);
        let mut message = ZmqMessage::from(id.to_le_bytes().to_vec());
        message.push_back(encode(&queued.request).into());
        matches!(timeout(SEND_TIMEOUT, self.sender.send(message)).await, Ok(Ok(())))
    }

    fn receive(&mut self, message: &ZmqMessage) {
        let id = message.get(0).and_then(|frame| frame.as_ref().try_into().ok());
        let reply = message.get(1).and_then(|frame| decode(frame));
        if let Some((id, reply)) = id.map(u64::from_le_bytes).zip(reply) {
            self.last_progress = Instant::now();
            self.received_reply = true;
            if let Some(reply_sender) = self.in_flight.remove(&id) {
                let _ = reply_sender.send(reply);
            }
        }
    }

    /// Whether requests have been in flight for [`STALL_TIMEOUT`] without any reply. Requests whose
    /// callers have stopped waiting are removed at each check, so that a single slow reply does not
    /// count as a stall.
    fn is_stalled(&mut self) -> bool {
        let stalled = !self.in_flight.is_empty() && self.last_progress.elapsed() >= STALL_TIMEOUT;
        self.in_flight.retain(|_, reply_sender| !reply_sender.is_closed());
        stalled
    }
}
