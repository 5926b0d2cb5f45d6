use std::fmt;
use std::net::SocketAddr;

use crate::contracts::{Conflict, DeclarationError};
use crate::explain::PlotError;
use crate::http::CallError;
use crate::ids::InvalidName;
use crate::logstore::LogFault;
use crate::prelude::*;

/// Why a command failed.
#[derive(Debug)]
pub enum CtlError {
    /// The command line, or the key on standard input, is wrong.
    Usage(String),
    /// A file could not be read.
    File {
        /// The file, or `standard input`.
        path: String,
        /// The kind of I/O error.
        fault: std::io::ErrorKind,
    },
    /// A contract file is invalid. Nothing was published.
    Declaration {
        /// The file.
        path: String,
        /// What is wrong with it.
        fault: DeclarationError,
    },
    /// A name on the command line is invalid.
    Name {
        /// What it is the name of.
        what: &'static str,
        /// What is wrong with it.
        fault: InvalidName,
    },
    /// A call to the log failed.
    Log {
        /// Why the call failed.
        fault: LogFault,
        /// Whether a change was to be published and the call that failed last may have reached the log.
        maybe_published: bool,
    },
    /// The configuration's first records have expired and the log holds no snapshot that replaces them,
    /// or the log confirmed every append of a change but none is in the stream.
    ConfigurationLost,
    /// Another operator's change was published first. Nothing was changed.
    Conflict(Conflict),
    /// The workspace has no contract.
    NoSuchWorkspace(WorkspaceId),
    /// The change is accepted, but not in force everywhere yet.
    NotInForce {
        /// The change's offset in the configuration stream, which is its version.
        offset: Offset,
        /// The entries that did not report it in force.
        lagging: Vec<String>,
    },
    /// The list of VMs could not be read.
    VmList,
    /// None of the gateways answered with its status.
    Gateways(Vec<(SocketAddr, CallError)>),
    /// No log line is about the request or program.
    NotInLogs {
        /// Its id.
        id: Arc<str>,
        /// The number of log lines read.
        lines: u64,
    },
    /// A plot could not be written.
    Plot(PlotError),
}

impl CtlError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::Log { .. }
            | CtlError::VmList
            | CtlError::ConfigurationLost
            | CtlError::Gateways(_) => 1,
            CtlError::Usage(_) => 2,
            CtlError::File { .. }
            | CtlError::Declaration { .. }
            | CtlError::Name { .. }
            | CtlError::Plot(_) => 3,
            CtlError::Conflict(_) | CtlError::NoSuchWorkspace(_) => 4,
            CtlError::NotInForce { .. } => 5,
            CtlError::NotInLogs { .. } => 6,
        }
    }

    /// The error code in the output of `--json`.
    pub fn code(&self) -> &'static str {
        match self {
            CtlError::Usage(_) => "usage",
            CtlError::File { .. } => "file",
            CtlError::Declaration { .. } => "declaration",
            CtlError::Name { .. } => "name",
            CtlError::Log { .. } => "log",
            CtlError::ConfigurationLost => "configuration_lost",
            CtlError::Conflict(_) => "conflict",
            CtlError::NoSuchWorkspace(_) => "no_such_workspace",
            CtlError::NotInForce { .. } => "not_in_force",
            CtlError::VmList => "vm_list",
            CtlError::Gateways(_) => "gateways",
            CtlError::NotInLogs { .. } => "not_in_logs",
            CtlError::Plot(_) => "plot",
        }
    }
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CtlError::Usage(fault) => write!(f, "{fault}"),
            CtlError::File { path, fault } => write!(f, "cannot read {path}: {fault}"),
            CtlError::Declaration { path, fault } => write!(f, "{path}: {fault}"),
            CtlError::Name { what, fault } => write!(f, "invalid {what}: {fault}"),
            CtlError::Log { maybe_published: true, .. } => f.write_str(
                "the log did not confirm the change, which may be in force: \
                 see `trefoilctl status`",
            ),
            CtlError::Log { .. } => {
                f.write_str("the log (--log) is unreachable or gave no valid answer")
            }
            CtlError::ConfigurationLost => f.write_str(
                "the log does not hold all configuration records, \
                 nor a snapshot that replaces the missing ones",
            ),
            CtlError::Conflict(Conflict { winner, base }) => write!(
                f,
                "another change came first: version {winner} is in force, yours is based on \
                 version {base}; nothing was changed"
            ),
            CtlError::NoSuchWorkspace(workspace) => {
                write!(f, "workspace {workspace} has no contract; nothing was changed")
            }
            CtlError::NotInForce { offset, lagging } => {
                write!(
                    f,
                    "version {offset} is accepted, but not in force yet on: {}",
                    lagging.join(", ")
                )
            }
            CtlError::VmList => {
                f.write_str("the list of VMs (--vm-list) is unreachable or gave no valid answer")
            }
            CtlError::Gateways(faults) => {
                let faults = faults.iter().map(|(address, fault)| format!("{address}: {fault}"));
                let faults: Vec<String> = faults.collect();
                write!(f, "no gateway answered with its status ({})", faults.join("; "))
            }
            CtlError::NotInLogs { id, lines } => {
                write!(f, "none of the {lines} log lines read is about {id}")
            }
            CtlError::Plot(fault) => write!(f, "{fault}"),
        }
    }
}

impl std::error::Error for CtlError {}
