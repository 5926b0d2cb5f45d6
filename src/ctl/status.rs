use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ctl::CtlError;
use crate::http::Client;
use crate::membership::VmList;
use crate::prelude::*;

const STATUS_PATH: &str = "/status";
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An entry's answer to `/status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The name of its VM.
    pub vm: String,
    /// The offset of the last configuration record in force there; absent if the entry did not answer.
    #[serde(default)]
    pub config: Option<Offset>,
    /// The time since the entry last knew this record to be the newest; absent if it never did or did
    /// not answer.
    #[serde(default)]
    pub config_age_ms: Option<u64>,
    /// The shards that it owns.
    #[serde(default)]
    pub shards: Vec<u16>,
}

/// Asks every entry in the list of VMs for its status, one after another.
pub(super) async fn fetch_statuses(
    vm_list: SocketAddr,
    timeout: Duration,
) -> Result<Vec<EntryStatus>, CtlError> {
    let http = Client::open();
    let list: VmList = http.get(vm_list, "/vms", timeout).await.map_err(|_| CtlError::VmList)?;
    let mut statuses = Vec::new();
    for vm in list.vms.into_iter().filter(|vm| vm.is_entry()) {
        let unreachable =
            EntryStatus { vm: vm.vm, config: None, config_age_ms: None, shards: Vec::new() };
        statuses.push(http.get(vm.address, STATUS_PATH, timeout).await.unwrap_or(unreachable));
    }
    Ok(statuses)
}

/// Polls until every entry in the list of VMs has the change at `offset` in force. Fails with
/// `NotInForce` if some still lack it after `wait`, and at once if the list can't be read.
pub(super) async fn wait_in_force(
    vm_list: SocketAddr,
    offset: Offset,
    call_timeout: Duration,
    wait: Duration,
) -> Result<(), CtlError> {
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let entries = fetch_statuses(vm_list, call_timeout).await?;
        let is_lagging = |entry: &&EntryStatus| entry.config.is_none_or(|config| config < offset);
        let lagging: Vec<String> =
            entries.iter().filter(is_lagging).map(|e| e.vm.clone()).collect();
        if lagging.is_empty() {
            return Ok(());
        }
        if tokio::time::Instant::now() >= deadline {
            return Err(CtlError::NotInForce { offset, lagging });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
