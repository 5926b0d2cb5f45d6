use std::fmt;

use crate::contracts::{Conflict, DeclarationError};
use crate::explain::PlotFault;
use crate::ids::InvalidName;
use crate::logstore::LogFault;
use crate::prelude::*;

/// Why a command failed.
#[derive(Debug)]
pub enum CtlError {
    /// The command line is wrong.
    Usage(String),
    /// A file could not be read.
    File {
        /// The file.
        path: String,
        /// Why.
        fault: std::io::ErrorKind,
    },
    /// A contract file was refused. Nothing was published.
    Declaration {
        /// The file.
        path: String,
        /// Why.
        fault: DeclarationError,
    },
    /// A name on the command line is wrong.
    Name {
        /// What it names.
        what: &'static str,
        /// Why it was refused.
        fault: InvalidName,
    },
    /// The log gave no answer. Nothing was published, unless `maybe_published`.
    Log {
        /// Why.
        fault: LogFault,
        /// Whether the change may have taken effect all the same.
        maybe_published: bool,
    },
    /// The configuration's records have expired and no snapshot stands for them.
    ConfigurationLost,
    /// Another operator's change came first. Nothing was changed.
    Conflict(Conflict),
    /// The workspace has no contract.
    NoSuchWorkspace(WorkspaceId),
    /// The change is accepted, but not in force everywhere yet.
    NotInForce {
        /// The change.
        offset: Offset,
        /// Entries that lack it.
        lagging: Vec<String>,
    },
    /// The list of VMs gave no answer.
    VmList,
    /// No line of the logs is about the request or program.
    NotInLogs {
        /// Its id.
        id: Arc<str>,
        /// Lines that were read.
        lines: u64,
    },
    /// A plot could not be written.
    Plot(PlotFault),
}

impl CtlError {
    /// The exit code that scripts see.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::Log { .. } | CtlError::VmList | CtlError::ConfigurationLost => 1,
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

    /// The code that `--json` prints.
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
            CtlError::NotInLogs { .. } => "not_in_logs",
            CtlError::Plot(_) => "plot",
        }
    }
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CtlError::Usage(fault) => write!(f, "{fault}"),
            CtlError::File { path, fault } => write!(f, "{path}: {fault}"),
            CtlError::Declaration { path, fault } => write!(f, "{path}: {fault}"),
            CtlError::Name { what, fault } => write!(f, "{what}: {fault}"),
            CtlError::Log { maybe_published: true, .. } => f.write_str(
                "the log did not answer; the change may be in force: see `trefoilctl status`",
            ),
            CtlError::Log { .. } => f.write_str("the log did not answer; nothing was changed"),
            CtlError::ConfigurationLost => {
                f.write_str("the log no longer holds the configuration, nor a snapshot of it")
            }
            CtlError::Conflict(Conflict { winner, base }) => write!(
                f,
                "another change came first: version {winner} is in force, yours was made for \
                 version {base}; nothing was changed"
            ),
            CtlError::NoSuchWorkspace(workspace) => {
                write!(f, "workspace {workspace} has no contract; nothing was changed")
            }
            CtlError::NotInForce { offset, lagging } => {
                write!(f, "change {offset} is not in force yet on: {}", lagging.join(", "))
            }
            CtlError::VmList => f.write_str("the list of VMs did not answer"),
            CtlError::NotInLogs { id, lines } => {
                write!(f, "none of the {lines} lines read is about {id}")
            }
            CtlError::Plot(fault) => write!(f, "{fault}"),
        }
    }
}

impl std::error::Error for CtlError {}
