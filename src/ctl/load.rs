use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::{Value, json};

use crate::ctl::load_table::table;
use crate::ctl::{CtlError, Output};
use crate::gateway::{GatewayStatus, STATUS_PATH};
use crate::http::{CallError, Client};

/// The status of a gateway, or why it could not be read.
pub(super) struct GatewayAnswer {
    /// The address that was asked.
    pub(super) address: SocketAddr,
    /// What it answered.
    pub(super) status: Result<GatewayStatus, CallError>,
}

/// Asks the gateways for their status, all at once. Fails only if none answers.
pub(super) async fn show_load(
    gateways: &[SocketAddr],
    timeout: Duration,
) -> Result<Output, CtlError> {
    let http = Client::open();
    let answers = join_all(gateways.iter().map(|address| fetch(&http, *address, timeout))).await;
    if answers.iter().any(|answer| answer.status.is_ok()) {
        return Ok(output(&answers));
    }
    let faults =
        answers.into_iter().filter_map(|answer| Some((answer.address, answer.status.err()?)));
    Err(CtlError::Gateways(faults.collect()))
}

async fn fetch(http: &Client, address: SocketAddr, timeout: Duration) -> GatewayAnswer {
    GatewayAnswer { address, status: http.get(address, STATUS_PATH, timeout).await }
}

/// The table of those that answered, followed by a line for each that did not.
pub(super) fn output(answers: &[GatewayAnswer]) -> Output {
    let mut lines = table(answers);
    lines.extend(answers.iter().filter_map(|GatewayAnswer { address, status }| {
        status.as_ref().err().map(|fault| format!("{address}: no status: {fault}"))
    }));
    let gateways: Vec<Value> = answers.iter().map(to_json).collect();
    Output { text: lines.join("\n"), json: json!({ "gateways": gateways }) }
}

fn to_json(answer: &GatewayAnswer) -> Value {
    let address = answer.address;
    match &answer.status {
        Ok(status) => json!({ "address": address, "status": status }),
        Err(fault) => json!({ "address": address, "error": fault.to_string() }),
    }
}
