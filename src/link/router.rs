use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::timeout;
use zeromq::prelude::*;
use zeromq::{RouterSendHalf, RouterSocket, ZmqError, ZmqMessage};

use super::message::{decode, encode};
use super::{ControlReply, ControlRequest};

const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Receives the requests of other processes' links and replies to them. Stops when dropped.
pub struct LinkServer {
    /// The address on which the server listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for LinkServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LinkServer {
    /// Listens on `address` and replies to each request with the result of `handler`.
    pub async fn bind<H, F>(address: SocketAddr, handler: H) -> Result<LinkServer, ZmqError>
    where
        H: Fn(ControlRequest) -> F + Send + Sync + 'static,
        F: Future<Output = ControlReply> + Send + 'static,
    {
        let mut socket = RouterSocket::new();
        let bound = socket.bind(&format!("tcp://{address}")).await?;
        let address = match bound {
            zeromq::Endpoint::Tcp(_, port) => SocketAddr::new(address.ip(), port),
            _ => address,
        };
        let task = tokio::spawn(receive_requests(socket, handler));
        Ok(LinkServer { address, task })
    }
}

async fn receive_requests<H, F>(socket: RouterSocket, handler: H)
where
    H: Fn(ControlRequest) -> F + Send + Sync + 'static,
    F: Future<Output = ControlReply> + Send + 'static,
{
    let (sender, mut receiver) = socket.split();
    loop {
        let Ok(message) = receiver.recv().await else {
            // The pause avoids a busy loop if the error persists.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let frames = message.into_vec();
        let [identity, id, body] = frames.as_slice() else {
            continue;
        };
        let Some(request) = decode(body) else {
            continue;
        };
        let reply = handler(request);
        let envelope = [identity.clone(), id.clone()];
        tokio::spawn(send_reply(sender.clone(), envelope, reply));
    }
}

/// Waits for a reply and sends it. Runs in its own task, so that neither a slow handler nor a
/// frozen peer delays the replies to others.
async fn send_reply(
    mut sender: RouterSendHalf,
    [identity, id]: [bytes::Bytes; 2],
    reply: impl Future<Output = ControlReply>,
) {
    let mut message = ZmqMessage::from(identity);
    message.push_back(id);
    message.push_back(encode(&reply.await).into());
    let _ = timeout(SEND_TIMEOUT, sender.send(message)).await;
}
