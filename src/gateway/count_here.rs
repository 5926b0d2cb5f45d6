//! Decides on the admission of a request as the hub that counts its workspace's requests, without I/O.

use super::attach_message::Decision;
use super::peers::Peers;
use super::rates::RateLimiter;
use super::state::Gateway;
use crate::prelude::*;
use crate::quota::{Claim, Grant};

/// Retry delay if this hub does not know what the window holds, or hears too few of the others. By
/// then, another one counts.
const UNKNOWN_RETRY_MS: u64 = 400;

/// Retry delay while the others have not been told yet of what was admitted just now, or a surge is not
/// recorded yet.
const UNREPORTED_RETRY_MS: u64 = 25;

/// Why a hub has not admitted a request.
#[value]
#[derive(Copy)]
pub(super) enum NotGranted {
    /// The workspace's rate has no room.
    NoRoom {
        /// Time until there may be room.
        retry_after_ms: u64,
    },
    /// This hub does not know what the workspace has used; another one may.
    Unknown {
        /// Time until one may know.
        retry_after_ms: u64,
    },
}

impl From<NotGranted> for Decision {
    fn from(not_granted: NotGranted) -> Decision {
        match not_granted {
            NotGranted::NoRoom { retry_after_ms } => Decision::NoRoom { retry_after_ms },
            NotGranted::Unknown { retry_after_ms } => Decision::Unknown { retry_after_ms },
        }
    }
}

/// A hub that counts, and a request to decide on.
pub(super) struct Count<'a> {
    pub(super) now: TimeMs,
    pub(super) peers: &'a Peers,
    pub(super) rates: &'a mut RateLimiter,
    /// Whether it knows what the windows hold.
    pub(super) knows_windows: bool,
    /// The hash of the workspace's name.
    pub(super) workspace: u64,
    pub(super) claim: Claim,
}

impl Count<'_> {
    /// Decides on a request of this hub's own callers.
    pub(super) fn decide(self) -> Result<Grant, NotGranted> {
        let peer_counts = self.peers.peer_counts(self.now);
        let unknown = NotGranted::Unknown { retry_after_ms: UNKNOWN_RETRY_MS };
        if !self.rates.has_window(self.workspace)
            || peer_counts.hears_half() && self.leaves_it_to_others()
        {
            return Err(unknown);
        }
        let is_unreported = peer_counts.entries > 1 && self.rates.must_report_first(self.workspace);
        if is_unreported || self.rates.must_record_surge(self.now, self.workspace) {
            return Err(NotGranted::NoRoom { retry_after_ms: UNREPORTED_RETRY_MS });
        }
        let grant = self.rates.try_admit(self.now, self.workspace, peer_counts, self.claim);
        grant.map_err(|retry_after_ms| match self.rates.usage(self.now, self.workspace).is_known {
            true => NotGranted::NoRoom { retry_after_ms },
            false => NotGranted::Unknown { retry_after_ms },
        })
    }

    /// Whether another hub knows the windows and this one does not, or this one may have been cut off.
    fn leaves_it_to_others(&self) -> bool {
        !self.peers.hears_half_now(self.now)
            || !self.knows_windows && self.peers.hears_knowing(self.now)
    }

    /// Decides for another entry. A hub that hears too few of the others leaves the decision to one
    /// that hears more; what it may admit alone is for its own callers.
    pub(super) fn decide_for_other(self) -> Result<Grant, NotGranted> {
        match self.peers.peer_counts(self.now).hears_half() {
            true => self.decide(),
            false => Err(NotGranted::Unknown { retry_after_ms: UNKNOWN_RETRY_MS }),
        }
    }
}

/// Admits a request of this hub's own callers for a workspace whose name has this hash.
pub(super) fn count_here(
    gateway: &Gateway,
    workspace: u64,
    claim: Claim,
) -> Result<Grant, NotGranted> {
    count(gateway, workspace, claim, |count| count.decide())
}

/// The same for another entry.
pub(super) fn count_for_other(
    gateway: &Gateway,
    workspace: u64,
    claim: Claim,
) -> Result<Grant, NotGranted> {
    count(gateway, workspace, claim, |count| count.decide_for_other())
}

/// Whether this entry is a hub that knows what the windows hold.
pub(super) fn knows_windows(gateway: &Gateway) -> bool {
    !gateway.is_recent_hub() && gateway.rates.borrow().knows_windows(gateway.now())
}

fn count(
    gateway: &Gateway,
    workspace: u64,
    claim: Claim,
    decide: impl FnOnce(Count<'_>) -> Result<Grant, NotGranted>,
) -> Result<Grant, NotGranted> {
    let knows_windows = knows_windows(gateway);
    let mut rates = gateway.rates.borrow_mut();
    let granted = decide(Count {
        now: gateway.now(),
        peers: &gateway.peers.borrow(),
        rates: &mut rates,
        knows_windows,
        workspace,
        claim,
    });
    if rates.is_report_due(workspace) {
        gateway.gossip_due.notify_one();
    }
    if rates.is_surge_record_due() {
        gateway.roster_due.notify_one();
    }
    granted
}
