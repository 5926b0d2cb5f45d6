use std::net::SocketAddr;

use super::{Reader, Setting};
use crate::prelude::*;

/// Settings that both roles share.
#[value]
pub struct ProcessSettings {
    /// This VM.
    pub vm: VmName,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Where the project's other processes reach it: TCP for calls, UDP for heartbeats.
    pub peer_listen: SocketAddr,
    /// Where it serves health and metrics.
    pub admin_listen: SocketAddr,
    /// The platform's list of VMs.
    pub vm_list: SocketAddr,
    /// Time between two heartbeats.
    pub heartbeat_ms: u64,
    /// How long a graceful shutdown waits for what is under way.
    pub drain_timeout_ms: u64,
    /// The least severe level that is logged.
    pub log_level: &'static str,
}

pub(super) const LEVELS: &[&str] = &["info", "error", "warn", "debug", "trace"];

/// Declares the settings of a role together with the common ones.
macro_rules! with_common {
    ($($setting:expr),* $(,)?) => {
        &[
            setting("vm", "NAME", "this VM's name", None),
            setting("failure-domain", "NAME", "this VM's failure domain", None),
            setting("peer-listen", "IP:PORT", "where the other processes reach this one", Some("127.0.0.1:0")),
            setting("admin-listen", "IP:PORT", "where health and metrics are served", Some("127.0.0.1:0")),
            setting("vm-list", "IP:PORT", "the platform's list of VMs", None),
            setting("heartbeat-ms", "MS", "time between heartbeats", Some("250")),
            setting("drain-timeout-ms", "MS", "how long a graceful shutdown waits", Some("60000")),
            setting("log-level", "LEVEL", "error, warn, info, debug or trace", Some("info")),
            $($setting),*
        ]
    };
}
pub(super) use with_common;

pub(super) const fn setting(
    name: &'static str,
    hint: &'static str,
    meaning: &'static str,
    default: Option<&'static str>,
) -> Setting {
    Setting { name, hint, meaning, default }
}

impl ProcessSettings {
    pub(super) fn read(reader: &mut Reader) -> Option<ProcessSettings> {
        let vm = reader.name("vm", VmName::parse);
        let failure_domain = reader.name("failure-domain", VmName::parse);
        let peer_listen = reader.address("peer-listen");
        let admin_listen = reader.address("admin-listen");
        let vm_list = reader.address("vm-list");
        let heartbeat_ms = reader.number("heartbeat-ms", 10, 10_000);
        let drain_timeout_ms = reader.number("drain-timeout-ms", 0, 3_600_000);
        let log_level = reader.word("log-level", LEVELS);
        Some(ProcessSettings {
            vm: vm?,
            failure_domain: failure_domain?.as_str().into(),
            peer_listen,
            admin_listen,
            vm_list,
            heartbeat_ms,
            drain_timeout_ms,
            log_level,
        })
    }
}
