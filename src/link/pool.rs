use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use super::{ControlReply, ControlRequest, Link, LinkError};

/// Links kept at most. Dropping one only costs a new dial.
const MAX_LINKS: usize = 1_024;

/// One link for each process that this one talks to.
#[derive(Default)]
pub struct LinkPool {
    links: Mutex<HashMap<SocketAddr, Link>>,
}

impl LinkPool {
    /// Asks the process at `address`.
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
        let mut links = self.links.lock().expect("no holder panics");
        if links.len() >= MAX_LINKS && !links.contains_key(&address) {
            links.clear();
        }
        links.entry(address).or_insert_with(|| Link::spawn(address)).clone()
    }
}
