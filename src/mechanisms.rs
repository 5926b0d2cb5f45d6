//! Mechanisms that can be switched off one by one (`--without`), to measure what each contributes.

use std::fmt;

use crate::prelude::*;

/// A mechanism that improves service. No guarantee to callers depends on one.
#[key]
pub enum Mechanism {
    /// A stream that breaks off is resumed at another endpoint.
    Resumption,
    /// Requests wait for a part of their time while the store is unreachable.
    StoreWait,
    /// Membership is renewed at a short interval while the assignment of shards changes.
    FastReassignment,
    /// Endpoints that have parts of a prompt cached are preferred.
    Affinity,
    /// Endpoints in the entry's own failure domain are preferred.
    Locality,
    /// Endpoints to which a connection is kept open are preferred.
    KeptConnections,
    /// Endpoints that fail are ejected for a while.
    Health,
    /// Entries share their counts of answers from failing endpoints.
    SharedHealth,
    /// A turn that its shard's owner could not record is handed off to the next owner.
    Handoffs,
    /// Entries that have crashed or are cut off from the store are deregistered by others.
    PeerDeregistration,
    /// A program is admitted only when its workspace's rate has room for the whole of it.
    ProgramAdmission,
    /// An entry that is cut off from the store relays requests to entries that are not.
    Relaying,
    /// Programs on routes under load control start only if their service has capacity for them.
    LoadAdmission,
    /// Endpoints of services under load control are chosen by learned paces.
    LearnedPace,
    /// What an entry buffers for slow readers is limited.
    ReaderLimits,
}

impl Mechanism {
    /// All mechanisms, with the names that `--without` takes.
    pub const ALL: [(Mechanism, &'static str); 15] = [
        (Mechanism::Resumption, "resumption"),
        (Mechanism::StoreWait, "waiting"),
        (Mechanism::FastReassignment, "settling"),
        (Mechanism::Affinity, "affinity"),
        (Mechanism::Locality, "nearness"),
        (Mechanism::KeptConnections, "kept-connections"),
        (Mechanism::Health, "health"),
        (Mechanism::SharedHealth, "shared-health"),
        (Mechanism::Handoffs, "bequests"),
        (Mechanism::PeerDeregistration, "relief"),
        (Mechanism::ProgramAdmission, "whole-programs"),
        (Mechanism::Relaying, "relaying"),
        (Mechanism::LoadAdmission, "load-admission"),
        (Mechanism::LearnedPace, "learned-pace"),
        (Mechanism::ReaderLimits, "reader-limits"),
    ];
}

/// The mechanisms that are switched on; all of them by default.
#[value]
#[derive(Copy, Default)]
pub struct Mechanisms {
    disabled: u16,
}

impl Mechanisms {
    /// All mechanisms but those named in `list`, which is separated by commas.
    ///
    /// # Errors
    /// If `list` has a name that is not that of a mechanism.
    pub fn without(list: &str) -> Result<Mechanisms, UnknownMechanism> {
        let mut disabled = 0;
        for given in list.split(',').map(str::trim).filter(|name| !name.is_empty()) {
            let found = Mechanism::ALL.iter().find(|(_, name)| *name == given);
            let (mechanism, _) = found.ok_or_else(|| UnknownMechanism(given.into()))?;
            disabled |= bit(*mechanism);
        }
        Ok(Mechanisms { disabled })
    }

    /// Whether a mechanism is switched on.
    pub fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.disabled & bit(mechanism) == 0
    }
}

fn bit(mechanism: Mechanism) -> u16 {
    1 << mechanism as u16
}

/// A name that is not that of a mechanism.
#[value]
pub struct UnknownMechanism(pub Arc<str>);

impl fmt::Display for UnknownMechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = Mechanism::ALL.iter().map(|(_, name)| *name).collect();
        write!(f, "{:?} is not a mechanism; expected one of: {}", self.0, names.join(", "))
    }
}

impl std::error::Error for UnknownMechanism {}

#[cfg(test)]
mod tests;
