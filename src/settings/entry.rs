use std::net::SocketAddr;

use super::process::{setting, with_common};
use super::{ProcessSettings, Reader, Setting, SettingsError};
use crate::prelude::*;

const WHEN_LOG_FAILS: &[&str] = &["refuse", "wait"];

/// Settings of `trefoilproxyd entry`.
#[value]
pub struct EntrySettings {
    /// What both roles share.
    pub process: ProcessSettings,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// The platform's log.
    pub log: SocketAddr,
    /// Number of shards; the same on every entry, and never changed while programs live.
    pub shards: u16,
    /// Appends a second that the whole fleet may make.
    pub appends_per_s: u64,
    /// How long one call to the log may take.
    pub log_timeout_ms: u64,
    /// How long the log keeps records.
    pub log_retention_ms: u64,
    /// How long a configuration may go unconfirmed before callers are turned away.
    pub config_stale_ms: u64,
    /// Deadline of a call that names none.
    pub default_deadline_ms: u64,
    /// The largest body of a call.
    pub max_body_bytes: u64,
    /// How long a caller may take to send its headers, and then its body.
    pub receive_timeout_ms: u64,
    /// Idle time after which a program is ended.
    pub program_idle_ms: u64,
    /// Whether new calls wait for a log that fails, up to their deadline, or are refused at once.
    pub waits_for_log: bool,
}

impl EntrySettings {
    /// Every setting of the role.
    pub const ALL: &'static [Setting] = with_common![
        setting("listen", "IP:PORT", "where callers reach this entry", Some("127.0.0.1:0")),
        setting("log", "IP:PORT", "the platform's log", None),
        setting("shards", "N", "number of shards, the same on every entry", Some("8")),
        setting("appends-per-s", "N", "log appends a second for the whole fleet", Some("300")),
        setting("log-timeout-ms", "MS", "how long a call to the log may take", Some("2000")),
        setting("log-retention-ms", "MS", "how long the log keeps records", Some("86400000")),
        setting(
            "config-stale-ms",
            "MS",
            "how long a configuration may go unconfirmed",
            Some("4000")
        ),
        setting("default-deadline-ms", "MS", "deadline of a call that names none", Some("120000")),
        setting("max-body-bytes", "BYTES", "the largest body of a call", Some("2097152")),
        setting("receive-timeout-ms", "MS", "how long a caller may take to send", Some("10000")),
        setting("when-log-fails", "WORD", "refuse new calls, or let them wait", Some("refuse")),
        setting(
            "program-idle-ms",
            "MS",
            "idle time after which a program is ended",
            Some("43200000")
        ),
    ];

    /// Reads and checks them.
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
        let waits_for_log = reader.word("when-log-fails", WHEN_LOG_FAILS) == "wait";
        let program_idle_ms = reader.number("program-idle-ms", 1_000, 365 * DAY_MS);
        reader.finish()?;
        Ok(EntrySettings {
            process: process.ok_or(SettingsError::Faults(Vec::new()))?,
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
