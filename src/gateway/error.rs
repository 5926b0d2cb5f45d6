use std::fmt;
use std::net::SocketAddr;

/// Why the gateway could not start.
#[derive(Debug)]
pub enum GatewayError {
    /// A listener could not be opened.
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        fault: std::io::Error,
    },
    /// A signal handler could not be installed.
    Signals(std::io::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GatewayError::Listen { address, fault } => {
                write!(f, "cannot listen on {address}: {fault}")
            }
            GatewayError::Signals(fault) => write!(f, "cannot install signal handlers: {fault}"),
        }
    }
}

impl std::error::Error for GatewayError {}
