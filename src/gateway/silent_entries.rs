//! Finds out which of the silent entries have ended. One that is cut off may still admit requests; one
//! whose process is gone does not, and must not lessen what the others may admit.

use std::net::SocketAddr;
use std::rc::Rc;

use super::state::Gateway;
use crate::http::ConnectError;

/// Connects to the entries that have fallen silent.
pub(super) fn probe_silent_entries(gateway: &Rc<Gateway>) {
    let silent = gateway.peers.borrow_mut().take_unprobed(gateway.now());
    for address in silent {
        tokio::task::spawn_local(probe(gateway.clone(), address));
    }
}

async fn probe(gateway: Rc<Gateway>, address: SocketAddr) {
    match gateway.connections.open(address).await {
        Ok(connection) => gateway.connections.put_back(gateway.now(), connection),
        Err(ConnectError::Refused) => {
            log::info!(address:display; "a silent entry refuses connections; its process has ended");
            gateway.peers.borrow_mut().mark_dead(address);
        }
        Err(ConnectError::Unreachable) => {}
    }
}
