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

const QUEUE: usize = 1_024;
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A send that takes longer finds its peer frozen and its buffers full.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// With questions open and no answer for so long, the socket is replaced.
const STALL: Duration = Duration::from_millis(1_500);
const CHECK: Duration = Duration::from_millis(100);
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Why a question got no answer. Whether the other side got it is not known.
#[value]
#[derive(Copy)]
pub enum LinkError {
    /// Too many questions wait already.
    Busy,
    /// No answer in time.
    TimedOut,
    /// The connection broke or could not be made.
    Broken,
}

struct Question {
    request: ControlRequest,
    answer: oneshot::Sender<ControlReply>,
}

/// A supervised link to one process.
#[derive(Clone)]
pub struct Link {
    questions: mpsc::Sender<Question>,
}

impl Link {
    /// Starts a link. It dials when it is first used, and stops when its last handle is dropped.
    pub fn spawn(address: SocketAddr) -> Link {
        let (questions, queue) = mpsc::channel(QUEUE);
        tokio::spawn(supervise(address, queue));
        Link { questions }
    }

    /// Asks; waits no longer than `wait` for the answer.
    pub async fn ask(
        &self,
        request: ControlRequest,
        wait: Duration,
    ) -> Result<ControlReply, LinkError> {
        let (answer, answered) = oneshot::channel();
        self.questions.try_send(Question { request, answer }).map_err(|_| LinkError::Busy)?;
        match timeout(wait, answered).await {
            Err(_) => Err(LinkError::TimedOut),
            Ok(Err(_)) => Err(LinkError::Broken),
            Ok(Ok(reply)) => Ok(reply),
        }
    }
}

async fn supervise(address: SocketAddr, mut queue: mpsc::Receiver<Question>) {
    let mut backoff = FIRST_BACKOFF;
    while let Some(first) = queue.recv().await {
        let mut session = match Session::dial(address).await {
            Some(session) => session,
            None => {
                // Dropping the question answers it with `Broken`.
                drop(first);
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                continue;
            }
        };
        if session.serve(first, &mut queue).await {
            return;
        }
        backoff = match session.was_answered {
            true => FIRST_BACKOFF,
            false => (backoff * 2).min(MAX_BACKOFF),
        };
        drop(session);
        sleep(backoff).await;
    }
}

/// One socket's life.
struct Session {
    sender: DealerSendHalf,
    receiver: DealerRecvHalf,
    next_id: u64,
    open: HashMap<u64, oneshot::Sender<ControlReply>>,
    progress: Instant,
    was_answered: bool,
}

impl Session {
    async fn dial(address: SocketAddr) -> Option<Session> {
        let mut socket = DealerSocket::new();
        let dialled = timeout(DIAL_TIMEOUT, socket.connect(&format!("tcp://{address}"))).await;
        dialled.ok()?.ok()?;
        let (sender, receiver) = socket.split();
        Some(Session {
            sender,
            receiver,
            next_id: 1,
            open: HashMap::new(),
            progress: Instant::now(),
            was_answered: false,
        })
    }

    /// Serves until the socket fails (`false`) or no handle is left (`true`).
    async fn serve(&mut self, first: Question, queue: &mut mpsc::Receiver<Question>) -> bool {
        if !self.send(first).await {
            return false;
        }
        loop {
            tokio::select! {
                question = queue.recv() => match question {
                    None => return true,
                    Some(question) => if !self.send(question).await {
                        return false;
                    },
                },
                received = self.receiver.recv() => match received {
                    Ok(message) => self.receive(&message),
                    Err(_) => return false,
                },
                () = sleep(CHECK) => if self.is_stalled() {
                    return false;
                },
            }
        }
    }

    async fn send(&mut self, question: Question) -> bool {
        if self.open.is_empty() {
            self.progress = Instant::now();
        }
        let id = self.next_id;
        self.next_id += 1;
        self.open.insert(id, question.answer);
        let mut message = ZmqMessage::from(id.to_le_bytes().to_vec());
        message.push_back(encode(&question.request).into());
        matches!(timeout(SEND_TIMEOUT, self.sender.send(message)).await, Ok(Ok(())))
    }

    fn receive(&mut self, message: &ZmqMessage) {
        let id = message.get(0).and_then(|frame| frame.as_ref().try_into().ok());
        let reply = message.get(1).and_then(|frame| decode(frame));
        if let Some((id, reply)) = id.map(u64::from_le_bytes).zip(reply) {
            self.progress = Instant::now();
            self.was_answered = true;
            if let Some(answer) = self.open.remove(&id) {
                let _ = answer.send(reply);
            }
        }
    }

    /// Whether questions have been open for long without any answer. Questions whose asker has
    /// stopped waiting don't count, so that a slow answer alone is no stall.
    fn is_stalled(&mut self) -> bool {
        let stalled = !self.open.is_empty() && self.progress.elapsed() >= STALL;
        self.open.retain(|_, answer| !answer.is_closed());
        stalled
    }
}
