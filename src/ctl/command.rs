use std::net::SocketAddr;
use std::time::Duration;

use getopts::{Matches, Options};

use crate::contracts::KeyId;
use crate::ctl::CtlError;
use crate::explain::Subject;
use crate::ids::InvalidName;
use crate::prelude::*;

/// What the tool can do, for its help text.
pub const BRIEF: &str = "\
Usage: trefoilctl COMMAND [ARGUMENT ...] [--FLAG VALUE ...]

Commands:
    validate FILE ...       check contract files; publish nothing
    diff FILE               show what publishing a file would change
    publish FILE            put a contract in force, or change the one in force
    withdraw WORKSPACE      take a contract out of force; its keys stop working
    grant WORKSPACE KEY-ID  let a key act for a workspace; the key is read from standard input
    revoke WORKSPACE KEY-ID stop a key
    status                  show what is in force, and how far each entry has it
    explain request ID [LOG ...]
                            show a request's way and how it ended, from logs (or standard input)
    explain program ID [LOG ...]
                            show a program's turns and calls in order
    explain lost [LOG ...]  count what was refused, failed or came late

Exit codes: 0 done, 1 log or VM list unreachable, 2 wrong usage, 3 bad file or name,
4 conflict or no such workspace, 5 accepted but not in force everywhere yet, 6 not in the logs.";

/// A command.
#[value]
pub enum Command {
    /// Check contract files.
    Validate(Vec<String>),
    /// Compare a file with what is in force.
    Diff(String),
    /// Put a file in force.
    Publish(String),
    /// Take a contract out of force.
    Withdraw(WorkspaceId),
    /// Let a key act.
    Grant(WorkspaceId, KeyId),
    /// Stop a key.
    Revoke(WorkspaceId, KeyId),
    /// Show what is in force.
    Status,
    /// Show what logs tell.
    Explain {
        /// A request or program; what was lost, if there is none.
        subject: Option<Subject>,
        /// Files of logs; standard input if there are none.
        logs: Vec<String>,
    },
}

/// A command with its flags.
#[value]
pub struct Invocation {
    /// The command.
    pub command: Command,
    /// The platform's log.
    pub log: Option<SocketAddr>,
    /// The platform's list of VMs.
    pub vm_list: Option<SocketAddr>,
    /// Whether to wait until the change is in force on every entry.
    pub wait: bool,
    /// How long to wait.
    pub wait_timeout: Duration,
    /// How long one call may take.
    pub timeout: Duration,
    /// The version that the change was made for; the one in force if absent.
    pub base: Option<Offset>,
    /// Where to write a plot of what was lost.
    pub plot: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "log", "the platform's log (or TREFOIL_LOG)", "IP:PORT");
    options.optopt("", "vm-list", "the platform's list of VMs (or TREFOIL_VM_LIST)", "IP:PORT");
    options.optopt("", "base", "the version that the change was made for", "VERSION");
    options.optflag("", "wait", "wait until the change is in force on every entry");
    options.optopt("", "wait-timeout-ms", "how long to wait [default: 10000]", "MS");
    options.optopt("", "timeout-ms", "how long a call may take [default: 5000]", "MS");
    options.optopt("", "plot", "write a plot of what was lost by second", "FILE.svg");
    options.optflag("", "json", "print one JSON object");
    options.optflag("h", "help", "print this help");
    options
}

/// The help text.
pub fn usage() -> String {
    options().usage(BRIEF)
}

impl Invocation {
    /// Reads the command line; `None` asks for the help text.
    pub fn read(
        args: &[String],
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Option<Invocation>, CtlError> {
        let matches = options().parse(args).map_err(|fault| CtlError::Usage(fault.to_string()))?;
        if matches.opt_present("help") || matches.free.is_empty() {
            return Ok(None);
        }
        let address = |flag: &str, variable: &str| {
            let text = matches.opt_str(flag).or_else(|| env(variable));
            text.map(|text| parse(flag, &text)).transpose()
        };
        Ok(Some(Invocation {
            command: read_command(&matches)?,
            log: address("log", "TREFOIL_LOG")?,
            vm_list: address("vm-list", "TREFOIL_VM_LIST")?,
            wait: matches.opt_present("wait"),
            wait_timeout: Duration::from_millis(number(&matches, "wait-timeout-ms", 10_000)?),
            timeout: Duration::from_millis(number(&matches, "timeout-ms", 5_000)?),
            base: match matches.opt_present("base") {
                true => Some(Offset(number(&matches, "base", 0)?)),
                false => None,
            },
            plot: matches.opt_str("plot"),
            json: matches.opt_present("json"),
        }))
    }
}

fn parse<T: std::str::FromStr>(flag: &str, text: &str) -> Result<T, CtlError> {
    text.parse().map_err(|_| CtlError::Usage(format!("--{flag}: {text:?} can't be read")))
}

fn number(matches: &Matches, flag: &str, default: u64) -> Result<u64, CtlError> {
    matches.opt_str(flag).map_or(Ok(default), |text| parse(flag, &text))
}

fn read_command(matches: &Matches) -> Result<Command, CtlError> {
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["validate", files @ ..] if !files.is_empty() => {
            Ok(Command::Validate(files.iter().map(|file| file.to_string()).collect()))
        }
        ["diff", file] => Ok(Command::Diff(file.to_string())),
        ["publish", file] => Ok(Command::Publish(file.to_string())),
        ["withdraw", workspace] => Ok(Command::Withdraw(parse_workspace(workspace)?)),
        ["grant", workspace, key] => {
            Ok(Command::Grant(parse_workspace(workspace)?, parse_key_id(key)?))
        }
        ["revoke", workspace, key] => {
            Ok(Command::Revoke(parse_workspace(workspace)?, parse_key_id(key)?))
        }
        ["status"] => Ok(Command::Status),
        ["explain", "request", id, logs @ ..] => {
            Ok(explain(Some(Subject::Request((*id).into())), logs))
        }
        ["explain", "program", id, logs @ ..] => {
            Ok(explain(Some(Subject::Program((*id).into())), logs))
        }
        ["explain", "lost", logs @ ..] => Ok(explain(None, logs)),
        _ => Err(CtlError::Usage(format!("can't read the command {:?}", words.join(" ")))),
    }
}

fn explain(subject: Option<Subject>, logs: &[&str]) -> Command {
    Command::Explain { subject, logs: logs.iter().map(|log| log.to_string()).collect() }
}

fn parse_workspace(text: &str) -> Result<WorkspaceId, CtlError> {
    WorkspaceId::parse(text).map_err(|fault| CtlError::Name { what: "workspace", fault })
}

fn parse_key_id(text: &str) -> Result<KeyId, CtlError> {
    let checked: Result<ModelName, InvalidName> = ModelName::parse(text);
    checked
        .map(|name| KeyId(name.as_str().into()))
        .map_err(|fault| CtlError::Name { what: "key id", fault })
}
