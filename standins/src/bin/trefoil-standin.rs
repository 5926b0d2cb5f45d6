//! Runs one stand-in as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;

use trefoil_standins::{engine, log_service, tool_service, vm_list};

#[tokio::main]
async fn main() -> ExitCode {
    let kind = std::env::args().nth(1).unwrap_or_default();
    let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let started = match kind.as_str() {
        "log" => log_service::spawn(anywhere).await,
        "vms" => vm_list::spawn(anywhere).await,
        "engine" => engine::spawn(anywhere, engine::Settings::default()).await,
        "tools" => tool_service::spawn(anywhere).await,
        _ => {
            eprintln!("usage: trefoil-standin log|vms|engine|tools");
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
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::FAILURE
        }
    }
}
