use std::net::SocketAddr;

use super::ConnectionPool;

/// A call whose answer has not arrived yet. If it is dropped without one, the pool's idle
/// connections to the same server are closed: when connections go silent without being closed, they
/// do so together, and each would cost another call a timeout before it was found out.
pub struct PendingCall<'a> {
    pool: &'a ConnectionPool,
    server: SocketAddr,
    is_answered: bool,
}

impl<'a> PendingCall<'a> {
    /// Begins a call to a server over a connection taken from the pool.
    pub fn begin(pool: &'a ConnectionPool, server: SocketAddr) -> PendingCall<'a> {
        PendingCall { pool, server, is_answered: false }
    }

    /// Ends the call, whose answer has been read completely.
    pub fn finish(mut self) {
        self.is_answered = true;
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.pool.close_idle(self.server);
        }
    }
}
