use std::net::SocketAddr;

use super::process::{setting, with_common};
use super::{ProcessSettings, Reader, Setting, SettingsError};
use crate::prelude::*;

const KINDS: &[&str] = &["engine", "service"];

/// Settings of `trefoilproxyd endpoint`.
#[value]
pub struct EndpointSettings {
    /// What both roles share.
    pub process: ProcessSettings,
    /// The endpoint beside it.
    pub backend: SocketAddr,
    /// What the endpoint serves.
    pub serves: ModelName,
    /// Whether it is a plain service rather than a model engine.
    pub is_service: bool,
    /// Calls that run at once.
    pub concurrency: u64,
    /// Calls that wait at once; more are turned away.
    pub queue: u64,
    /// How long a program's cache is kept without a call.
    pub cache_lease_ms: u64,
}

impl EndpointSettings {
    /// Every setting of the role.
    pub const ALL: &'static [Setting] = with_common![
        setting("backend", "IP:PORT", "the endpoint beside this process", None),
        setting("serves", "NAME", "the model or service that the endpoint serves", None),
        setting("kind", "KIND", "engine or service", Some("engine")),
        setting("concurrency", "N", "calls that run at once", Some("16")),
        setting("queue", "N", "calls that wait at once", Some("256")),
        setting("cache-lease-ms", "MS", "how long an idle program's cache is kept", Some("300000")),
    ];

    /// Reads and checks them.
    pub fn read(
        args: &[String],
        env: impl Fn(&str) -> Option<String> + 'static,
    ) -> Result<EndpointSettings, SettingsError> {
        let mut reader = Reader::open(EndpointSettings::ALL, args, env)?;
        let process = ProcessSettings::read(&mut reader);
        let backend = reader.address("backend");
        let serves = reader.name("serves", ModelName::parse);
        let is_service = reader.word("kind", KINDS) == "service";
        let concurrency = reader.number("concurrency", 1, 10_000);
        let queue = reader.number("queue", 1, 100_000);
        let cache_lease_ms = reader.number("cache-lease-ms", 100, 86_400_000);
        reader.finish()?;
        let (process, serves) = process.zip(serves).ok_or(SettingsError::Faults(Vec::new()))?;
        Ok(EndpointSettings {
            process,
            backend,
            serves,
            is_service,
            concurrency,
            queue,
            cache_lease_ms,
        })
    }
}
