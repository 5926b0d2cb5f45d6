use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::contracts::{Contract, Declaration, KeyDigest, Operation, parse_declaration};
use crate::ctl::explain::explain;
use crate::ctl::load::show_load;
use crate::ctl::publisher::Publisher;
use crate::ctl::status::{fetch_statuses, wait_in_force};
use crate::ctl::{Command, CtlError, Invocation};
use crate::prelude::*;

/// What a command prints: the text, or the JSON with `--json`.
pub struct Output {
    /// Text for people.
    pub text: String,
    /// JSON for scripts.
    pub json: Value,
}

/// Runs a command. `key_input` reads the key for `grant`; other commands do not call it.
pub async fn run(
    invocation: &Invocation,
    key_input: impl FnOnce() -> std::io::Result<String>,
) -> Result<Output, CtlError> {
    match &invocation.command {
        Command::Validate(files) => validate(files),
        Command::Diff(file) => diff(invocation, file).await,
        Command::Publish(file) => {
            let Declaration { workspace, contract } = read_declaration(file)?;
            publish_change(invocation, workspace, Operation::Publish { contract }).await
        }
        Command::Withdraw(workspace) => {
            publish_change(invocation, workspace.clone(), Operation::Withdraw).await
        }
        Command::Grant(workspace, id) => {
            let digest = read_key(key_input)?;
            let operation = Operation::Grant { key: id.clone(), digest };
            publish_change(invocation, workspace.clone(), operation).await
        }
        Command::Revoke(workspace, id) => {
            let operation = Operation::Revoke { key: id.clone() };
            publish_change(invocation, workspace.clone(), operation).await
        }
        Command::Status => status(invocation).await,
        Command::Load(gateways) => show_load(gateways, invocation.timeout).await,
        Command::Explain { subject, logs } => {
            explain(subject.as_ref(), logs, invocation.plot.as_deref())
        }
    }
}

fn read_declaration(path: &str) -> Result<Declaration, CtlError> {
    let text = std::fs::read_to_string(path)
        .map_err(|fault| CtlError::File { path: path.to_string(), fault: fault.kind() })?;
    parse_declaration(&text)
        .map_err(|fault| CtlError::Declaration { path: path.to_string(), fault })
}

fn read_key(key_input: impl FnOnce() -> std::io::Result<String>) -> Result<KeyDigest, CtlError> {
    const MIN_KEY_BYTES: usize = 16;
    let key = key_input()
        .map_err(|fault| CtlError::File { path: "standard input".into(), fault: fault.kind() })?;
    let key = key.trim();
    if key.len() < MIN_KEY_BYTES {
        let fault = format!(
            "the key on standard input is too short: a key has at least {MIN_KEY_BYTES} bytes"
        );
        return Err(CtlError::Usage(fault));
    }
    Ok(KeyDigest::of_key(key))
}

fn required_address(address: Option<SocketAddr>, flag: &str) -> Result<SocketAddr, CtlError> {
    address.ok_or_else(|| {
        CtlError::Usage(format!("--{flag} IP:PORT (or its environment variable) is required"))
    })
}

fn validate(files: &[String]) -> Result<Output, CtlError> {
    let mut workspaces = Vec::new();
    for file in files {
        workspaces.push(read_declaration(file)?.workspace.to_string());
    }
    Ok(Output {
        text: format!("valid: {}", workspaces.join(", ")),
        json: json!({ "valid": workspaces }),
    })
}

async fn diff(invocation: &Invocation, file: &str) -> Result<Output, CtlError> {
    let Declaration { workspace, contract } = read_declaration(file)?;
    let log = required_address(invocation.log, "log")?;
    let publisher = Publisher::open(log, invocation.timeout).await?;
    let version = publisher.config_state().version(&workspace);
    let before = publisher.config_state().contract(&workspace);
    let changes = differences(before, &contract);
    let lines: Vec<String> =
        changes.iter().map(|(field, old, new)| format!("{field}: {old} -> {new}")).collect();
    let text = match lines.is_empty() {
        true => format!("{workspace}: no change (version {version})"),
        false => format!("{workspace} (version {version}):\n  {}", lines.join("\n  ")),
    };
    let changes: Vec<Value> = changes
        .into_iter()
        .map(|(field, old, new)| json!({ "field": field, "old": old, "new": new }))
        .collect();
    Ok(Output {
        text,
        json: json!({ "workspace": workspace, "version": version, "changes": changes }),
    })
}

/// The fields of `after` whose values differ from those of `before`: name, old value and new value.
fn differences(before: Option<&Contract>, after: &Contract) -> Vec<(String, Value, Value)> {
    let before = serde_json::to_value(before).unwrap_or_default();
    let after = serde_json::to_value(after).unwrap_or_default();
    let fields = after.as_object().cloned().unwrap_or_default();
    fields
        .into_iter()
        .map(|(field, new)| (field.clone(), before[&field].clone(), new))
        .filter(|(_, old, new)| old != new)
        .collect()
}

async fn publish_change(
    invocation: &Invocation,
    workspace: WorkspaceId,
    operation: Operation,
) -> Result<Output, CtlError> {
    let log = required_address(invocation.log, "log")?;
    let mut publisher = Publisher::open(log, invocation.timeout).await?;
    let needs_contract = !matches!(operation, Operation::Publish { .. });
    if needs_contract && publisher.config_state().contract(&workspace).is_none() {
        return Err(CtlError::NoSuchWorkspace(workspace));
    }
    let base = invocation.base.unwrap_or(publisher.config_state().version(&workspace));
    let offset = publisher.publish(workspace.clone(), base, operation).await?;
    if invocation.wait {
        let vm_list = required_address(invocation.vm_list, "vm-list")?;
        wait_in_force(vm_list, offset, invocation.timeout, invocation.wait_timeout).await?;
    }
    let state = if invocation.wait { "in force on every entry" } else { "accepted" };
    Ok(Output {
        text: format!("{workspace}: version {offset} {state}"),
        json: json!({ "workspace": workspace, "version": offset, "in_force": invocation.wait }),
    })
}

async fn status(invocation: &Invocation) -> Result<Output, CtlError> {
    let log = required_address(invocation.log, "log")?;
    let publisher = Publisher::open(log, invocation.timeout).await?;
    let config_state = publisher.config_state();
    let mut workspaces: Vec<Value> = config_state
        .workspaces()
        .map(|(id, contract)| {
            json!({
                "workspace": id,
                "version": config_state.version(id),
                "contract": contract,
                "keys": config_state.keys(id),
            })
        })
        .collect();
    workspaces.sort_by_key(|found| found["workspace"].to_string());
    let entries = match invocation.vm_list {
        Some(vm_list) => fetch_statuses(vm_list, invocation.timeout).await?,
        None => Vec::new(),
    };
    let mut lines = vec![format!("configuration {}", config_state.through())];
    lines.extend(workspaces.iter().map(|found| {
        format!(
            "  {} version {} keys {}",
            found["workspace"].as_str().unwrap_or_default(),
            found["version"],
            found["keys"]
        )
    }));
    lines.extend(entries.iter().map(|entry| match entry.config {
        Some(config) => format!("entry {}: configuration {config}", entry.vm),
        None => format!("entry {}: no answer", entry.vm),
    }));
    Ok(Output {
        text: lines.join("\n"),
        json: json!({
            "configuration": config_state.through(),
            "workspaces": workspaces,
            "entries": entries,
        }),
    })
}
