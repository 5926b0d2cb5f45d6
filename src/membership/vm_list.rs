use std::net::SocketAddr;

use serde::Deserialize;

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: String,
    /// Role that the platform gives to the VM, such as `entry`.
    pub role: String,
    /// Where its process listens for other processes of the cluster.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

impl ListedVm {
    /// Whether the platform's list assigns an entry to this VM.
    pub fn is_entry(&self) -> bool {
        self.role == "entry"
    }

    /// Whether the platform is about to remove the VM.
    pub fn is_leaving(&self) -> bool {
        self.state == "leaving"
    }
}

/// The platform's list of VMs. It lags behind: it may contain dead VMs and miss new ones.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
pub struct VmList {
    /// The listed VMs.
    pub vms: Vec<ListedVm>,
}
