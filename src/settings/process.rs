use std::net::SocketAddr;

use super::{Reader, Setting};
use crate::load::CallerLimits;
use crate::prelude::*;

const BYTES_PER_MB: u64 = 1_000_000;

/// Settings shared by all roles.
#[value]
pub struct ProcessSettings {
    /// The name of this VM.
    pub vm: VmName,
    /// The failure domain of this VM.
    pub failure_domain: Arc<str>,
    /// Listen address for other trefoilproxy processes: TCP for calls, UDP for heartbeats.
    pub peer_listen: SocketAddr,
    /// Listen address for health checks and metrics.
    pub admin_listen: SocketAddr,
    /// Address of the platform's list of VMs.
    pub vm_list: SocketAddr,
    /// Interval between two heartbeats.
    pub heartbeat_ms: u64,
    /// How long a graceful shutdown waits for calls in flight.
    pub drain_timeout_ms: u64,
    /// Limits on what is held for callers.
    pub caller_limits: CallerLimits,
    /// The least severe level that is logged.
    pub log_level: &'static str,
}

/// The allowed log levels. The first is the placeholder that `Reader::one_of` returns for an invalid
/// value.
pub(super) const LOG_LEVELS: &[&str] = &["info", "error", "warn", "debug", "trace"];

/// The list of a role's settings: the common ones, then those given.
macro_rules! with_common {
    ($($setting:expr),* $(,)?) => {
        &[
            setting("vm", "NAME", "name of this VM", None),
            setting("failure-domain", "NAME", "failure domain of this VM", None),
            setting("peer-listen", "IP:PORT", "listen address for other trefoilproxy processes (TCP and UDP)", Some("127.0.0.1:0")),
            setting("admin-listen", "IP:PORT", "listen address for health checks and metrics", Some("127.0.0.1:0")),
            setting("vm-list", "IP:PORT", "address of the platform's list of VMs", None),
            setting("heartbeat-ms", "MS", "interval between two heartbeats, in ms", Some("250")),
            setting("drain-timeout-ms", "MS", "how long a graceful shutdown waits for calls in flight, in ms", Some("60000")),
            setting("memory-mb", "MB", "memory that the process may use; what is held for callers is limited by it", Some("1024")),
            setting("max-descriptors", "COUNT", "file descriptors that the process may use", Some("8192")),
            setting("log-level", "LEVEL", "least severe level to log: error, warn, info, debug or trace", Some("info")),
            $($setting),*
        ]
    };
}
pub(super) use with_common;

pub(super) const fn setting(
    name: &'static str,
    value_name: &'static str,
    description: &'static str,
    default: Option<&'static str>,
) -> Setting {
    Setting { name, value_name, description, default }
}

impl ProcessSettings {
    pub(super) fn read(reader: &mut Reader) -> Option<ProcessSettings> {
        let vm = reader.name("vm", VmName::parse);
        // Names of failure domains follow the same rules as names of VMs.
        let failure_domain = reader.name("failure-domain", VmName::parse);
        let peer_listen = reader.address("peer-listen");
        let admin_listen = reader.address("admin-listen");
        let vm_list = reader.address("vm-list");
        let heartbeat_ms = reader.number("heartbeat-ms", 10, 10_000);
        let drain_timeout_ms = reader.number("drain-timeout-ms", 0, 3_600_000);
        let memory_bytes = reader.number("memory-mb", 16, 1 << 20) * BYTES_PER_MB;
        let max_descriptors = reader.number("max-descriptors", 256, 1 << 20);
        let log_level = reader.one_of("log-level", LOG_LEVELS);
        Some(ProcessSettings {
            vm: vm?,
            failure_domain: failure_domain?.as_str().into(),
            peer_listen,
            admin_listen,
            vm_list,
            heartbeat_ms,
            drain_timeout_ms,
            caller_limits: CallerLimits::of_process(memory_bytes, max_descriptors),
            log_level,
        })
    }
}
