use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Pause between two looks at a held link.
const LOOK: Duration = Duration::from_millis(5);

/// What a link does to the bytes on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Passes them on.
    None,
    /// Passes each piece on after so many milliseconds.
    Delayed(u64),
    /// Ends each connection that carries any.
    Reset,
    /// Holds those towards the server; answers still pass.
    CutForth,
    /// Holds those towards the client; requests still pass.
    CutBack,
    /// Holds all of them, and new connections too.
    Silent,
}

/// A loopback proxy in front of one address, whose link can be harmed while it runs.
pub struct Proxy {
    /// Where it listens.
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
                tokio::spawn(carry(client, target, link.clone()));
            }
        });
        Ok(Proxy { address, fault, task })
    }

    /// From now on, the link does this.
    pub fn set(&self, fault: LinkFault) {
        *self.fault.lock().expect("not poisoned") = fault;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn carry(client: TcpStream, target: SocketAddr, link: Arc<Mutex<LinkFault>>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    tokio::select! {
        () = pass(client_in, server_out, link.clone(), LinkFault::CutForth) => {}
        () = pass(server_in, client_out, link, LinkFault::CutBack) => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: Arc<Mutex<LinkFault>>,
    holds: LinkFault,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        loop {
            let fault = *link.lock().expect("not poisoned");
            match fault {
                LinkFault::Reset => return,
                LinkFault::Delayed(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                fault if fault == holds || fault == LinkFault::Silent => {
                    tokio::time::sleep(LOOK).await;
                    continue;
                }
                LinkFault::None | LinkFault::CutForth | LinkFault::CutBack | LinkFault::Silent => {}
            }
            break;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
