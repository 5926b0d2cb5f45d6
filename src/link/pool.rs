use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use super::{ControlReply, ControlRequest, Link, LinkError};

/// Maximum number of links. When it is reached, all are dropped; the only cost is reconnecting.
const MAX_LINKS: usize = 1_024;

/// The links to other processes, by address.
#[derive(Default)]
pub struct LinkPool {
    links: Mutex<HashMap<SocketAddr, Link>>,
}

impl LinkPool {
    /// Sends a request to the process at `address` and waits up to `wait` for the reply.
    pub async fn ask(
        &self,
        address: SocketAddr,
        request: ControlRequest,
        wait: Duration,
    ) -> Result<ControlReply, LinkError> {
        let link = self.link(address);
        link.ask(request, wait).await
    }

    fn link(&self, address: SocketAddr) -> Link {
        let mut links = self.links.lock().expect("no thread panics while it holds the lock");
        if links.len() >= MAX_LINKS && !links.contains_key(&address) {
            links.clear();
        }
        links.entry(address).or_insert_with(|| Link::spawn(address)).clone()
    }
}
