use super::Claim;
use crate::prelude::*;

/// What an entry has taken out of a workspace's rate in its life, less what was given back.
#[wire]
#[derive(Copy, Default)]
pub struct Tally {
    /// Requests.
    pub requests: u64,
    /// Programs begun.
    pub programs: u64,
    /// The time in which these programs should finish, in all.
    pub programs_ms: u64,
}

impl Tally {
    /// One more request.
    pub fn add(&mut self, claim: Claim) {
        self.requests += 1;
        if let Claim::Begins { length_ms } = claim {
            self.programs += 1;
            self.programs_ms += length_ms;
        }
    }

    /// Takes one back that was added.
    pub fn take_back(&mut self, claim: Claim) {
        self.requests = self.requests.saturating_sub(1);
        if let Claim::Begins { length_ms } = claim {
            self.programs = self.programs.saturating_sub(1);
            self.programs_ms = self.programs_ms.saturating_sub(length_ms);
        }
    }

    /// What has changed since an earlier tally; negative for what was given back.
    pub fn news_since(&self, before: &Tally) -> News {
        News {
            requests: self.requests as f64 - before.requests as f64,
            programs: self.programs as f64 - before.programs as f64,
            programs_ms: self.programs_ms as f64 - before.programs_ms as f64,
        }
    }
}

/// A change of a [`Tally`].
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct News {
    /// Requests.
    pub requests: f64,
    /// Programs begun.
    pub programs: f64,
    /// The time in which these programs should finish, in all.
    pub programs_ms: f64,
}
