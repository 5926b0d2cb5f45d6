use tokio::signal::unix::{Signal, SignalKind, signal};

/// Listens for SIGTERM and SIGINT, which request a shutdown.
pub struct Shutdown {
    terminate: Signal,
    interrupt: Signal,
}

impl Shutdown {
    /// Installs the signal handlers.
    pub fn install() -> std::io::Result<Shutdown> {
        Ok(Shutdown {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of the signals.
    pub async fn requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
