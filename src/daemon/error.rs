use std::fmt;

use zeromq::ZmqError;

/// Why the daemon could not run.
#[derive(Debug)]
pub enum DaemonError {
    /// An address could not be bound, or a signal handler could not be installed.
    Io(std::io::Error),
    /// The control socket could not be bound.
    Link(ZmqError),
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DaemonError::Io(fault) => write!(f, "{fault}"),
            DaemonError::Link(fault) => write!(f, "cannot bind the control socket: {fault}"),
        }
    }
}

impl std::error::Error for DaemonError {}

impl From<std::io::Error> for DaemonError {
    fn from(fault: std::io::Error) -> DaemonError {
        DaemonError::Io(fault)
    }
}

impl From<ZmqError> for DaemonError {
    fn from(fault: ZmqError) -> DaemonError {
        DaemonError::Link(fault)
    }
}
