use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ctl::CtlError;
use crate::http::Client;
use crate::membership::VmList;
use crate::prelude::*;

const STATUS: &str = "/status";
const POLL: Duration = Duration::from_millis(100);

/// What an entry says of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The VM.
    pub vm: String,
    /// The last configuration record that is in force there; absent if it gave no answer.
    #[serde(default)]
    pub config: Option<Offset>,
    /// How long ago it knew that to be the newest.
    #[serde(default)]
    pub config_age_ms: Option<u64>,
    /// The shards that it owns.
    #[serde(default)]
    pub shards: Vec<u16>,
}

/// Asks every listed entry.
pub(super) async fn entries(
    vm_list: SocketAddr,
    timeout: Duration,
) -> Result<Vec<EntryStatus>, CtlError> {
    let http = Client::open();
    let list: VmList = http.get(vm_list, "/vms", timeout).await.map_err(|_| CtlError::VmList)?;
    let mut statuses = Vec::new();
    for vm in list.vms.into_iter().filter(|vm| vm.is_entry()) {
        let silent =
            EntryStatus { vm: vm.vm, config: None, config_age_ms: None, shards: Vec::new() };
        statuses.push(http.get(vm.address, STATUS, timeout).await.unwrap_or(silent));
    }
    Ok(statuses)
}

/// Waits until every listed entry has a change in force.
pub(super) async fn wait_in_force(
    vm_list: SocketAddr,
    offset: Offset,
    call_timeout: Duration,
    wait: Duration,
) -> Result<(), CtlError> {
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let entries = entries(vm_list, call_timeout).await?;
        let lags = |entry: &&EntryStatus| entry.config.is_none_or(|config| config < offset);
        let lagging: Vec<String> = entries.iter().filter(lags).map(|e| e.vm.clone()).collect();
        if lagging.is_empty() {
            return Ok(());
        }
        if tokio::time::Instant::now() >= deadline {
            return Err(CtlError::NotInForce { offset, lagging });
        }
        tokio::time::sleep(POLL).await;
    }
}
