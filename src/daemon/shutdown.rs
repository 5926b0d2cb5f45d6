use tokio::signal::unix::{Signal, SignalKind, signal};

/// The request to stop, by SIGTERM or SIGINT.
pub struct Shutdown {
    terminate: Signal,
    interrupt: Signal,
}

impl Shutdown {
    /// Starts to listen for the signals.
    pub fn install() -> std::io::Result<Shutdown> {
        Ok(Shutdown {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of them.
    pub async fn requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
