use std::fmt;
use std::net::SocketAddr;

/// Why a gateway could not run.
#[derive(Debug)]
pub enum GatewayError {
    /// An address can't be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        fault: std::io::Error,
    },
    /// Signals can't be listened to.
    Signals(std::io::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GatewayError::Listen { address, fault } => {
                write!(f, "can't listen on {address}: {fault}")
            }
            GatewayError::Signals(fault) => write!(f, "can't listen to signals: {fault}"),
        }
    }
}

impl std::error::Error for GatewayError {}
