//! Runs one stand-in as a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;

use trefoil_standins::{engine, log_service, tool_service, vm_list};

#[tokio::main]
async fn main() -> ExitCode {
    let kind = std::env::args().nth(1).unwrap_or_default();
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let started = match kind.as_str() {
        "log" => log_service::spawn(loopback).await,
        "vms" => vm_list::spawn(loopback).await,
        "engine" => engine::spawn(loopback, engine::Settings::default()).await,
        "tools" => tool_service::spawn(loopback).await,
        _ => {
            eprintln!("unknown stand-in {kind:?}; usage: trefoil-standin log|vms|engine|tools");
            return ExitCode::from(2);
        }
    };
    match started {
        Ok(running) => {
            let addresses = serde_json::json!({ "api": running.address.to_string() }).to_string();
            let line = serde_json::json!({ "listening": addresses });
            eprintln!("{line}");
            running.wait().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
