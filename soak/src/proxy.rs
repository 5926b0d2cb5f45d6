use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Interval at which a blocked link checks whether it is still blocked.
const BLOCKED_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes are passed on.
    None,
    /// Each chunk is passed on after this many milliseconds.
    Delayed(u64),
    /// A connection is closed as soon as it carries bytes.
    Reset,
    /// Bytes to the server are held back; responses still pass.
    BlockedToServer,
    /// Bytes to the client are held back; requests still pass.
    BlockedToClient,
    /// All bytes are held back, on new connections too.
    Silent,
}

/// A loopback proxy in front of a server, which can inject link faults.
pub struct Proxy {
    /// The address on which it listens.
    pub address: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
    task: tokio::task::JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub async fn bind(target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let fault = Arc::new(Mutex::new(LinkFault::None));
        let link = fault.clone();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay(client, target, link.clone()));
            }
        });
        Ok(Proxy { address, fault, task })
    }

    /// Sets the link's fault.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().expect("not poisoned") = fault;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(client: TcpStream, target: SocketAddr, link: Arc<Mutex<LinkFault>>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    tokio::select! {
        () = copy(client_in, server_out, link.clone(), LinkFault::BlockedToServer) => {}
        () = copy(server_in, client_out, link, LinkFault::BlockedToClient) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: Arc<Mutex<LinkFault>>,
    blocking: LinkFault,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        loop {
            let fault = *link.lock().expect("not poisoned");
            match fault {
                LinkFault::Reset => return,
                LinkFault::Delayed(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                fault if fault == blocking || fault == LinkFault::Silent => {
                    tokio::time::sleep(BLOCKED_POLL_INTERVAL).await;
                    continue;
                }
                LinkFault::None
                | LinkFault::BlockedToServer
                | LinkFault::BlockedToClient
                | LinkFault::Silent => {}
            }
            break;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
