use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};

use crate::contracts::KeyId;
use crate::ctl::CtlError;
use crate::explain::Subject;
use crate::ids::InvalidName;
use crate::prelude::*;

/// The head of the help text; the flags follow it.
pub const BRIEF: &str = "\
Usage: trefoilctl COMMAND [ARGUMENT ...] [--FLAG VALUE ...]

Commands:
    validate FILE ...       check contract files; publish nothing
    diff FILE               show what publishing a file would change
    publish FILE            put a contract in force, or change the one in force
    withdraw WORKSPACE      take a contract out of force; its keys stop working
    grant WORKSPACE KEY-ID  let a key act for a workspace; the key is read from standard input
    revoke WORKSPACE KEY-ID revoke a key of a workspace
    status                  show the configuration in force, and each entry's version of it
    load IP:PORT ...        show the state of load control at gateways, given the addresses of their
                            metrics (--metrics-port)
    explain request ID [LOG ...]
                            show a request's log lines and how it ended, from log files
                            (or standard input)
    explain program ID [LOG ...]
                            show a program's turns and calls in order, and how it ended
    explain lost [LOG ...]  count requests that were refused, failed or answered too late

Exit codes: 0 done, 1 log, VM list or all gateways unreachable, or configuration lost,
2 wrong usage, 3 bad file or name, 4 conflict or no such workspace, 5 accepted but not in force everywhere yet,
6 id not found in the logs.";

/// A command of the tool, with its arguments.
#[value]
pub enum Command {
    /// Check contract files; publish nothing.
    Validate(Vec<String>),
    /// Compare a contract file with the contract in force.
    Diff(String),
    /// Publish a contract file.
    Publish(String),
    /// Take a contract out of force.
    Withdraw(WorkspaceId),
    /// Let a key act for a workspace.
    Grant(WorkspaceId, KeyId),
    /// Revoke a key of a workspace.
    Revoke(WorkspaceId, KeyId),
    /// Show the configuration in force.
    Status,
    /// Show the state of load control at gateways, given the addresses of their metrics.
    Load(Vec<SocketAddr>),
    /// Show a request, a program or the lost requests, from log files.
    Explain {
        /// The request or program to show; `None` reports lost requests.
        subject: Option<Subject>,
        /// Log files; standard input if there are none.
        logs: Vec<String>,
    },
}

/// A command with its flags.
#[value]
pub struct Invocation {
    /// The command.
    pub command: Command,
    /// The address of the platform's log.
    pub log: Option<SocketAddr>,
    /// The address of the platform's list of VMs.
    pub vm_list: Option<SocketAddr>,
    /// Whether to wait until the change is in force on every entry.
    pub wait: bool,
    /// How long to wait for that.
    pub wait_timeout: Duration,
    /// Timeout of one call to the log, the list of VMs or an entry.
    pub timeout: Duration,
    /// The version of the workspace's contract that the change is based on; the one in force if
    /// absent. The change is refused if another version is in force.
    pub base: Option<Offset>,
    /// The SVG file to write a plot of lost requests to.
    pub plot: Option<String>,
    /// Whether to print JSON rather than text.
    pub json: bool,
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "log", "address of the platform's log (or TREFOIL_LOG)", "IP:PORT");
    options.optopt(
        "",
        "vm-list",
        "address of the platform's list of VMs (or TREFOIL_VM_LIST)",
        "IP:PORT",
    );
    options.optopt(
        "",
        "base",
        "version that the change is based on [default: the one in force]",
        "VERSION",
    );
    options.optflag("", "wait", "wait until the change is in force on every entry");
    options.optopt("", "wait-timeout-ms", "how long --wait waits [default: 10000]", "MS");
    options.optopt("", "timeout-ms", "timeout of one call [default: 5000]", "MS");
    options.optopt(
        "",
        "plot",
        "write a plot of lost requests by second (explain lost)",
        "FILE.svg",
    );
    options.optflag("", "json", "print one JSON object instead of text");
    options.optflag("h", "help", "print this help");
    options
}

/// The whole help text, with all flags.
pub fn usage() -> String {
    options().usage(BRIEF)
}

impl Invocation {
    /// Parses the command line, with `env` as the source of environment variables. Returns `None` if
    /// the help text is to be shown.
    pub fn parse(
        args: &[String],
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Option<Invocation>, CtlError> {
        let matches = options().parse(args).map_err(|fault| CtlError::Usage(fault.to_string()))?;
        if matches.opt_present("help") || matches.free.is_empty() {
            return Ok(None);
        }
        let address = |flag: &str, variable: &str| {
            let text = matches.opt_str(flag).or_else(|| env(variable));
            let source = format!("--{flag} (or {variable})");
            text.map(|text| parse_value(&source, &text, "an address IP:PORT")).transpose()
        };
        Ok(Some(Invocation {
            command: parse_command(&matches)?,
            log: address("log", "TREFOIL_LOG")?,
            vm_list: address("vm-list", "TREFOIL_VM_LIST")?,
            wait: matches.opt_present("wait"),
            wait_timeout: Duration::from_millis(parse_number(&matches, "wait-timeout-ms", 10_000)?),
            timeout: Duration::from_millis(parse_number(&matches, "timeout-ms", 5_000)?),
            base: match matches.opt_present("base") {
                true => Some(Offset(parse_number(&matches, "base", 0)?)),
                false => None,
            },
            plot: matches.opt_str("plot"),
            json: matches.opt_present("json"),
        }))
    }
}

fn parse_value<T: FromStr>(source: &str, text: &str, expected: &str) -> Result<T, CtlError> {
    text.parse().map_err(|_| CtlError::Usage(format!("{source}: {text:?} is not {expected}")))
}

fn parse_number(matches: &Matches, flag: &str, default: u64) -> Result<u64, CtlError> {
    let source = format!("--{flag}");
    let text = matches.opt_str(flag);
    text.map_or(Ok(default), |text| parse_value(&source, &text, "a whole number, 0 or more"))
}

fn parse_command(matches: &Matches) -> Result<Command, CtlError> {
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
        ["load", gateways @ ..] if !gateways.is_empty() => parse_load(gateways),
        ["explain", "request", id, logs @ ..] => {
            Ok(explain_command(Some(Subject::Request((*id).into())), logs))
        }
        ["explain", "program", id, logs @ ..] => {
            Ok(explain_command(Some(Subject::Program((*id).into())), logs))
        }
        ["explain", "lost", logs @ ..] => Ok(explain_command(None, logs)),
        _ => Err(CtlError::Usage(format!(
            "unknown command, or wrong number of arguments: {:?}; see `trefoilctl --help`",
            words.join(" ")
        ))),
    }
}

fn explain_command(subject: Option<Subject>, logs: &[&str]) -> Command {
    Command::Explain { subject, logs: logs.iter().map(|log| log.to_string()).collect() }
}

fn parse_load(gateways: &[&str]) -> Result<Command, CtlError> {
    let addresses = gateways.iter().map(|text| parse_value("load", text, "an address IP:PORT"));
    addresses.collect::<Result<_, _>>().map(Command::Load)
}

fn parse_workspace(text: &str) -> Result<WorkspaceId, CtlError> {
    WorkspaceId::parse(text).map_err(|fault| CtlError::Name { what: "workspace", fault })
}

fn parse_key_id(text: &str) -> Result<KeyId, CtlError> {
    // A key id obeys the same rules as a model name, but `KeyId` has no parser of its own.
    let checked: Result<ModelName, InvalidName> = ModelName::parse(text);
    checked
        .map(|name| KeyId(name.as_str().into()))
        .map_err(|fault| CtlError::Name { what: "key id", fault })
}
