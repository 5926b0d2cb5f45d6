use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Outgoing;
use crate::prelude::*;

/// The longest wait for a new connection: a hundred times the way within a region; a
/// machine without power does not refuse, it never answers.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Sent bytes that stay unacknowledged for this long end a connection: one that went silent would
/// otherwise hold its request until the deadline.
const UNACKNOWLEDGED_MOST_MS: u64 = 1_500;

/// How long an unused connection is kept when its other end does not say: servers close
/// idle connections after five seconds or later; half of that leaves no race.
const IDLE_DEFAULT_MS: u64 = 2_500;

/// Why no connection could be opened.
#[value]
#[derive(Copy)]
pub enum ConnectFault {
    /// Nobody listens there.
    Refused,
    /// No answer, or another fault.
    Unreachable,
}

/// A connection, in use by one request.
pub struct Connection {
    /// Its other end.
    pub address: SocketAddr,
    /// Takes requests.
    pub sender: SendRequest<Outgoing>,
    /// Whether it has carried a request before.
    pub reused: bool,
    /// How long it may stay unused.
    pub idle_most_ms: u64,
    idle_since: TimeMs,
}

/// Connections kept for the next request, by address.
#[derive(Default)]
pub struct Connections {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    opened: Cell<u64>,
}

impl Connections {
    /// A kept connection, or a new one.
    pub async fn take(
        self: &Rc<Self>,
        now: TimeMs,
        address: SocketAddr,
    ) -> Result<Connection, ConnectFault> {
        match self.kept(now, address) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    /// Whether a connection to `address` is kept that could take a request now.
    pub fn has_kept(&self, now: TimeMs, address: SocketAddr) -> bool {
        let usable =
            |c: &Connection| c.sender.is_ready() && now.since(c.idle_since) < c.idle_most_ms;
        self.idle.borrow().get(&address).is_some_and(|kept| kept.iter().any(usable))
    }

    fn kept(&self, now: TimeMs, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|c| !c.sender.is_closed() && now.since(c.idle_since) < c.idle_most_ms);
        let at = kept.iter().rposition(|connection| connection.sender.is_ready())?;
        let mut connection = kept.remove(at);
        connection.reused = true;
        Some(connection)
    }

    /// Opens a connection, whether or not one is kept.
    pub async fn open(&self, address: SocketAddr) -> Result<Connection, ConnectFault> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) if fault.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Err(ConnectFault::Refused);
            }
            Ok(Err(_)) | Err(_) => return Err(ConnectFault::Unreachable),
        };
        tune(&stream);
        let io = TokioIo::new(stream);
        let handshake = Builder::new().max_buf_size(1 << 16).handshake(io).await;
        let (sender, driver) = handshake.map_err(|_| ConnectFault::Unreachable)?;
        tokio::task::spawn_local(async move {
            if let Err(fault) = driver.await {
                log::debug!(address:display, fault:display; "connection ended");
            }
        });
        self.opened.set(self.opened.get() + 1);
        let idle_since = TimeMs::default();
        let idle_most_ms = IDLE_DEFAULT_MS;
        Ok(Connection { address, sender, reused: false, idle_most_ms, idle_since })
    }

    /// Keeps a connection whose answer was read whole.
    pub fn keep(&self, now: TimeMs, mut connection: Connection) {
        connection.idle_since = now;
        if !connection.sender.is_closed() {
            self.idle.borrow_mut().entry(connection.address).or_default().push(connection);
        }
    }

    /// Whether connections are kept to `address`, and all of them were closed by the other end.
    pub fn all_closed(&self, address: SocketAddr) -> Option<bool> {
        let idle = self.idle.borrow();
        let kept = idle.get(&address).filter(|kept| !kept.is_empty())?;
        Some(kept.iter().all(|connection| connection.sender.is_closed()))
    }

    /// Closes what was not used for too long.
    pub fn remove_expired(&self, now: TimeMs) {
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|c| !c.sender.is_closed() && now.since(c.idle_since) < c.idle_most_ms);
            !kept.is_empty()
        });
    }

    /// Connections opened since the start.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }
}

/// Sends at once, and notices a peer that no longer acknowledges.
pub fn tune(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let unacknowledged = Some(Duration::from_millis(UNACKNOWLEDGED_MOST_MS));
    let tuned = stream.set_nodelay(true).and_then(|()| socket.set_tcp_user_timeout(unacknowledged));
    if let Err(fault) = tuned {
        log::debug!(fault:display; "socket options were refused");
    }
}
