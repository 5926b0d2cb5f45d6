use std::net::SocketAddr;

use super::process::{setting, with_common};
use super::{ProcessSettings, Reader, Setting, SettingsError};
use crate::prelude::*;

const WHEN_LOG_FAILS: &[&str] = &["refuse", "wait"];

/// Settings of `trefoilproxyd entry`.
#[value]
pub struct EntrySettings {
    /// Settings shared by all roles.
    pub process: ProcessSettings,
    /// Listen address for callers' requests.
    pub listen: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Number of shards. It must be the same on all entries and must not change while programs exist.
    pub shards: u16,
    /// Maximum rate of appends to the log per second, over all entries together.
    pub appends_per_s: u64,
    /// Timeout of a call to the log.
    pub log_timeout_ms: u64,
    /// How long the log keeps records.
    pub log_retention_ms: u64,
    /// Maximum time since the configuration was last confirmed to be current. After it, callers are
    /// rejected.
    pub config_stale_ms: u64,
    /// Deadline of calls that set none.
    pub default_deadline_ms: u64,
    /// Maximum size of a call's body.
    pub max_body_bytes: u64,
    /// Maximum time for a call's headers to arrive, and then for its body.
    pub receive_timeout_ms: u64,
    /// Idle time after which a program is ended.
    pub program_idle_ms: u64,
    /// Whether new calls wait until their deadline while the log is unavailable, rather than being
    /// rejected at once.
    pub waits_for_log: bool,
}

impl EntrySettings {
    /// All settings of the role.
    pub const ALL: &'static [Setting] = with_common![
        setting("listen", "IP:PORT", "listen address for callers' requests", Some("127.0.0.1:0")),
        setting("log", "IP:PORT", "address of the platform's log", None),
        setting("shards", "N", "number of shards; must be the same on all entries", Some("8")),
        setting(
            "appends-per-s",
            "N",
            "maximum log appends per second, over all entries",
            Some("300")
        ),
        setting("log-timeout-ms", "MS", "timeout of a call to the log, in ms", Some("2000")),
        setting(
            "log-retention-ms",
            "MS",
            "how long the log keeps records, in ms",
            Some("86400000")
        ),
        setting(
            "config-stale-ms",
            "MS",
            "maximum time since the configuration was last confirmed, in ms; then callers are rejected",
            Some("4000")
        ),
        setting(
            "default-deadline-ms",
            "MS",
            "deadline of calls that set none, in ms",
            Some("120000")
        ),
        setting(
            "max-body-bytes",
            "BYTES",
            "maximum size of a call's body, in bytes",
            Some("2097152")
        ),
        setting(
            "receive-timeout-ms",
            "MS",
            "maximum time for a call's headers to arrive, and then for its body, in ms",
            Some("10000")
        ),
        setting(
            "when-log-fails",
            "WORD",
            "new calls while the log is unavailable: refuse or wait",
            Some("refuse")
        ),
        setting(
            "program-idle-ms",
            "MS",
            "idle time after which a program is ended, in ms",
            Some("43200000")
        ),
    ];

    /// Reads and validates the settings.
    pub fn read(
        args: &[String],
        env: impl Fn(&str) -> Option<String> + 'static,
    ) -> Result<EntrySettings, SettingsError> {
        const DAY_MS: u64 = 86_400_000;
        let mut reader = Reader::open(EntrySettings::ALL, args, env)?;
        let process = ProcessSettings::read(&mut reader);
        let listen = reader.address("listen");
        let log = reader.address("log");
        let shards = reader.number("shards", 1, 4_096) as u16;
        let appends_per_s = reader.number("appends-per-s", 1, 100_000);
        let log_timeout_ms = reader.number("log-timeout-ms", 10, 60_000);
        let log_retention_ms = reader.number("log-retention-ms", 1_000, 365 * DAY_MS);
        let config_stale_ms = reader.number("config-stale-ms", 100, 60_000);
        let default_deadline_ms = reader.number("default-deadline-ms", 1, DAY_MS);
        let max_body_bytes = reader.number("max-body-bytes", 1_024, 1 << 30);
        let receive_timeout_ms = reader.number("receive-timeout-ms", 10, 600_000);
        let waits_for_log = reader.one_of("when-log-fails", WHEN_LOG_FAILS) == "wait";
        let program_idle_ms = reader.number("program-idle-ms", 1_000, 365 * DAY_MS);
        reader.finish()?;
        Ok(EntrySettings {
            // `None` only if a name is missing or invalid, which `finish` has reported.
            process: process.ok_or(SettingsError::Invalid(Vec::new()))?,
            listen,
            log,
            shards,
            appends_per_s,
            log_timeout_ms,
            log_retention_ms,
            config_stale_ms,
            default_deadline_ms,
            max_body_bytes,
            receive_timeout_ms,
            program_idle_ms,
            waits_for_log,
        })
    }
}
