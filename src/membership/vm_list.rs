use std::net::SocketAddr;

use serde::Deserialize;

/// One VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListedVm {
    /// Its name.
    pub vm: String,
    /// Its role, as the platform calls it.
    pub role: String,
    /// Where its process listens for the others.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

impl ListedVm {
    /// Whether it is to run an entry.
    pub fn is_entry(&self) -> bool {
        self.role == "entry"
    }

    /// Whether the platform is about to take it away.
    pub fn is_leaving(&self) -> bool {
        self.state == "leaving"
    }
}

/// The platform's list of VMs. It lags: it may name the dead and miss the new.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<ListedVm>,
}
