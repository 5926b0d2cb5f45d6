use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::RequestBody;
use crate::prelude::*;

/// Time limit for opening a connection: a hundred times the network latency within a region. The
/// limit is needed because a VM without power does not refuse connections but does not respond.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// A connection is closed when sent bytes stay unacknowledged for this long. Without the limit, a
/// request on a connection whose peer no longer responds would wait until its deadline.
const MAX_UNACKNOWLEDGED_MS: u64 = 1_500;

/// How long an idle connection is pooled when the server does not announce its keep-alive timeout.
/// Servers close idle connections after five seconds or later; with half of that, a request is not
/// sent while the server closes the connection.
const DEFAULT_MAX_IDLE_MS: u64 = 2_500;

/// Why no connection could be opened.
#[value]
#[derive(Copy)]
pub enum ConnectError {
    /// No process listens at the address.
    Refused,
    /// The connection timed out or failed in another way.
    Unreachable,
}

/// An HTTP/1.1 connection, used by one request at a time.
pub struct Connection {
    /// The address of the server.
    pub address: SocketAddr,
    /// Sends requests on the connection.
    pub sender: SendRequest<RequestBody>,
    /// Whether the connection has carried an earlier request.
    pub reused: bool,
    /// How long the connection may stay idle before it is closed.
    pub max_idle_ms: u64,
    idle_since: TimeMs,
}

/// Idle connections pooled for reuse, by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    opened: Cell<u64>,
}

impl ConnectionPool {
    /// Takes an idle connection out of the pool, or opens a new one.
    pub async fn take(
        self: &Rc<Self>,
        now: TimeMs,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        match self.take_idle(now, address) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    /// Whether the pool has a connection to `address` that can take a request now.
    pub fn has_idle(&self, now: TimeMs, address: SocketAddr) -> bool {
        let usable =
            |c: &Connection| c.sender.is_ready() && now.since(c.idle_since) < c.max_idle_ms;
        self.idle.borrow().get(&address).is_some_and(|pooled| pooled.iter().any(usable))
    }

    fn take_idle(&self, now: TimeMs, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.get_mut(&address)?;
        pooled.retain(|c| !c.sender.is_closed() && now.since(c.idle_since) < c.max_idle_ms);
        let index = pooled.iter().rposition(|connection| connection.sender.is_ready())?;
        let mut connection = pooled.remove(index);
        connection.reused = true;
        Some(connection)
    }

    /// Opens a new connection even if the pool has an idle one.
    pub async fn open(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) if fault.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Err(ConnectError::Refused);
            }
            Ok(Err(_)) | Err(_) => return Err(ConnectError::Unreachable),
        };
        set_socket_options(&stream);
        let io = TokioIo::new(stream);
        let handshake = Builder::new().max_buf_size(1 << 16).handshake(io).await;
        let (sender, driver) = handshake.map_err(|_| ConnectError::Unreachable)?;
        tokio::task::spawn_local(async move {
            if let Err(fault) = driver.await {
                log::debug!(address:display, fault:display;
                    "connection to server ended with error");
            }
        });
        self.opened.set(self.opened.get() + 1);
        let idle_since = TimeMs::default();
        let max_idle_ms = DEFAULT_MAX_IDLE_MS;
        Ok(Connection { address, sender, reused: false, max_idle_ms, idle_since })
    }

    /// Returns a connection to the pool. Its last response must have been read to the end.
    pub fn put_back(&self, now: TimeMs, mut connection: Connection) {
        connection.idle_since = now;
        if !connection.sender.is_closed() {
            self.idle.borrow_mut().entry(connection.address).or_default().push(connection);
        }
    }

    /// Whether the server has closed all pooled connections to `address`; `None` if the pool has
    /// none.
    pub fn all_closed(&self, address: SocketAddr) -> Option<bool> {
        let idle = self.idle.borrow();
        let pooled = idle.get(&address).filter(|pooled| !pooled.is_empty())?;
        Some(pooled.iter().all(|connection| connection.sender.is_closed()))
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for too long, and drops those already closed.
    pub fn remove_expired(&self, now: TimeMs) {
        self.idle.borrow_mut().retain(|_, pooled| {
            pooled.retain(|c| !c.sender.is_closed() && now.since(c.idle_since) < c.max_idle_ms);
            !pooled.is_empty()
        });
    }

    /// The number of connections opened since the process started.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }
}

/// Receive buffer of a caller's connection. Without it, the system lets the buffer grow to megabytes, and
/// what waits there unread takes the memory of the VM.
const CALLER_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Limits what the system buffers of a caller's connection.
pub fn limit_receive_buffer(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    if let Err(fault) = socket.set_recv_buffer_size(CALLER_RECEIVE_BUFFER_BYTES) {
        log::debug!(fault:display; "cannot set SO_RCVBUF; continuing");
    }
}

/// Disables Nagle's algorithm, and closes the connection when its peer stops acknowledging data.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let user_timeout = Some(Duration::from_millis(MAX_UNACKNOWLEDGED_MS));
    let applied = stream.set_nodelay(true).and_then(|()| socket.set_tcp_user_timeout(user_timeout));
    if let Err(fault) = applied {
        log::debug!(fault:display; "cannot set TCP_NODELAY or TCP_USER_TIMEOUT; continuing");
    }
}
