use std::net::SocketAddr;

use super::process::{setting, with_common};
use super::{ProcessSettings, Reader, Setting, SettingsError};
use crate::prelude::*;

const KINDS: &[&str] = &["engine", "service"];

/// Settings of `trefoilproxyd endpoint`.
#[value]
pub struct EndpointSettings {
    /// Settings shared by all roles.
    pub process: ProcessSettings,
    /// Address of the endpoint, which runs next to this process.
    pub backend: SocketAddr,
    /// Name of the model or service that the endpoint serves.
    pub serves: ModelName,
    /// Whether the endpoint is a service rather than a model engine.
    pub is_service: bool,
    /// Maximum number of calls that run concurrently.
    pub concurrency: u64,
    /// Maximum number of calls that wait in the queue; further ones are rejected.
    pub queue: u64,
    /// How long the cache of an idle program is kept, in milliseconds.
    pub cache_lease_ms: u64,
}

impl EndpointSettings {
    /// All settings of the role.
    pub const ALL: &'static [Setting] = with_common![
        setting("backend", "IP:PORT", "address of the endpoint next to this process", None),
        setting("serves", "NAME", "name of the model or service that the endpoint serves", None),
        setting("kind", "KIND", "kind of endpoint: engine or service", Some("engine")),
        setting("concurrency", "N", "maximum number of calls that run concurrently", Some("16")),
        setting("queue", "N", "maximum number of calls that wait in the queue", Some("256")),
        setting(
            "cache-lease-ms",
            "MS",
            "how long the cache of an idle program is kept, in ms",
            Some("300000")
        ),
    ];

    /// Reads and validates the settings.
    pub fn read(
        args: &[String],
        env: impl Fn(&str) -> Option<String> + 'static,
    ) -> Result<EndpointSettings, SettingsError> {
        let mut reader = Reader::open(EndpointSettings::ALL, args, env)?;
        let process = ProcessSettings::read(&mut reader);
        let backend = reader.address("backend");
        let serves = reader.name("serves", ModelName::parse);
        let is_service = reader.one_of("kind", KINDS) == "service";
        let concurrency = reader.number("concurrency", 1, 10_000);
        let queue = reader.number("queue", 1, 100_000);
        let cache_lease_ms = reader.number("cache-lease-ms", 100, 86_400_000);
        reader.finish()?;
        // `None` only if a name is missing or invalid, which `finish` has reported.
        let (process, serves) = process.zip(serves).ok_or(SettingsError::Invalid(Vec::new()))?;
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
