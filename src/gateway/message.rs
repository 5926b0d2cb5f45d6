use std::collections::BTreeSet;

use super::suspects::CrashKey;
use crate::load::EndpointReport;
use crate::prelude::*;
use crate::quota::{RefundCount, UsageTotals};
use crate::turns::{Turn, TurnKey};

/// A gossip message, by which an entry reports its state to the others in one datagram. All values
/// are absolute rather than increments, so that the next message makes up for a lost one.
#[wire]
pub(super) struct GossipMessage {
    /// Identifies the process instance that sends it.
    pub(super) instance: u64,
    /// The name of the VM that it runs on.
    pub(super) name: Arc<str>,
    /// Whether the sender is shutting down.
    pub(super) leaving: bool,
    /// Whether the sender can't reach the store.
    pub(super) store_unreachable: bool,
    /// Whether the process has run for less than one rate window, so that all it ever admitted
    /// falls within the window.
    pub(super) recently_started: bool,
    /// The generation of the latest shard assignment that the sender has applied.
    pub(super) generation: u64,
    /// The shards that the sender serves, with their epochs.
    pub(super) shards: Vec<(u32, u64)>,
    /// The number of requests that the sender has running, by the hash of the endpoint.
    pub(super) running: Vec<(u64, u32)>,
    /// What the sender has admitted, by workspace.
    pub(super) admitted: Vec<WorkspaceUsage>,
    /// Endpoints that have failed recently: hash of the endpoint, failures, successful answers.
    pub(super) answers: Vec<(u64, u32, u32)>,
    /// The evacuated failure domains, as far as the sender knows.
    pub(super) evacuated: EvacuationState,
    /// Requests suspected of crashing endpoints: hash of the request, crashes.
    pub(super) suspects: Vec<(CrashKey, u32)>,
}

/// Limits a list to `max_rows` rows, and selects the next ones in each round until all were
/// selected.
pub(super) fn rotating_slice<T>(mut rows: Vec<T>, round: usize, max_rows: usize) -> Vec<T> {
    if rows.len() > max_rows {
        let start = (round * max_rows) % rows.len();
        rows.rotate_left(start);
        rows.truncate(max_rows);
    }
    rows
}

/// What an entry tells the others of the endpoints of services under load control. Follows the
/// [`GossipMessage`] in the same datagram, whose decoders ignore trailing bytes; nothing follows
/// if no service is under load control.
#[wire]
#[derive(Default)]
pub(super) struct LoadReport {
    /// What the sender has measured of endpoints since its start.
    pub(super) paces: Vec<PaceRow>,
    /// The newest reports of the endpoints that the sender polls.
    pub(super) endpoints: Vec<EndpointRow>,
}

impl LoadReport {
    /// Whether there is nothing to tell.
    pub(super) fn is_empty(&self) -> bool {
        self.paces.is_empty() && self.endpoints.is_empty()
    }
}

/// What belongs to the counts of workspaces in a [`GossipMessage`]. Follows the [`LoadReport`] in the
/// same datagram, which is then there even if it is empty. Versions before have none; the requests that
/// they refund stay counted.
#[wire]
#[derive(Default)]
pub(super) struct CountReport {
    /// Whether the sender has observed whole windows.
    pub(super) knows_windows: bool,
    /// The workspaces with refunds.
    pub(super) refunds: Vec<RefundRow>,
}

/// The requests of one workspace that the sender has refunded, of those still in the window.
#[wire]
pub(super) struct RefundRow {
    /// The hash of the workspace's name.
    pub(super) workspace: u64,
    /// The refunds by the age of the requests.
    pub(super) refunds: Vec<RefundCount>,
}

/// Requests whose crashes the sender knows to have had another cause. Follows the [`CountReport`] in the
/// same datagram, which is then there. Versions before have none, and keep their counts until they
/// expire.
#[wire]
#[derive(Default)]
pub(super) struct ClearedReport {
    /// Hash of the request, number of crashes.
    pub(super) cleared: Vec<(CrashKey, u32)>,
}

/// What one datagram between hubs holds.
#[value]
pub(super) struct Datagram {
    /// The message.
    pub(super) gossip: GossipMessage,
    /// What the sender tells of endpoints under load control.
    pub(super) load: LoadReport,
    /// What belongs to its counts; none from a version without it.
    pub(super) counts: Option<CountReport>,
    /// The requests that it has cleared.
    pub(super) cleared: ClearedReport,
}

impl Datagram {
    /// Encodes the datagram with what fits into `max_bytes`; the load report is left out first.
    /// None if the rest does not fit either.
    ///
    /// # Errors
    /// If a part can't be encoded.
    pub(super) fn encode(&self, max_bytes: usize) -> Result<Option<Vec<u8>>, postcard::Error> {
        let mut bytes = postcard::to_allocvec(&self.gossip)?;
        let counts = self.counts.as_ref().map(postcard::to_allocvec).transpose()?;
        let mut counts = counts.unwrap_or_default();
        if !counts.is_empty() && !self.cleared.cleared.is_empty() {
            counts.extend(postcard::to_allocvec(&self.cleared)?);
        }
        let mut load = postcard::to_allocvec(&self.load)?;
        if bytes.len() + load.len() + counts.len() > max_bytes {
            log::debug!(bytes = load.len(); "load report does not fit; left out");
            load = postcard::to_allocvec(&LoadReport::default())?;
        }
        if !self.load.is_empty() || !counts.is_empty() {
            bytes.extend(load);
            bytes.extend(counts);
        }
        Ok((bytes.len() <= max_bytes).then_some(bytes))
    }

    /// Decodes a datagram. Reports that can't be decoded, as those of another version, do not affect
    /// the message.
    ///
    /// # Errors
    /// If the message can't be decoded.
    pub(super) fn decode(bytes: &[u8]) -> Result<Datagram, postcard::Error> {
        let (gossip, rest) = postcard::take_from_bytes(bytes)?;
        let (load, rest) = take_report::<LoadReport>(rest);
        let (counts, rest) = take_report(rest);
        let (cleared, _) = take_report::<ClearedReport>(rest);
        let (load, cleared) = (load.unwrap_or_default(), cleared.unwrap_or_default());
        Ok(Datagram { gossip, load, counts, cleared })
    }
}

fn take_report<'a, T: serde::Deserialize<'a>>(bytes: &'a [u8]) -> (Option<T>, &'a [u8]) {
    if bytes.is_empty() {
        return (None, bytes);
    }
    match postcard::take_from_bytes(bytes) {
        Ok((report, rest)) => (Some(report), rest),
        Err(fault) => {
            log::debug!(fault:display; "discarding an undecodable report in a gossip message");
            (None, &[])
        }
    }
}

/// The totals of the sender's measurements of one endpoint. They are absolute, like all gossip.
#[wire]
pub(super) struct PaceRow {
    /// The hash of the endpoint.
    pub(super) endpoint: u64,
    /// Events whose time was measured.
    pub(super) events: u64,
    /// The time that they took together.
    pub(super) events_ms: u64,
}

/// What an endpoint has last reported of itself.
#[wire]
pub(super) struct EndpointRow {
    /// The hash of the endpoint.
    pub(super) endpoint: u64,
    /// Age of the report when the message was sent.
    pub(super) age_ms: u64,
    /// The report.
    pub(super) report: EndpointReport,
}

/// The evacuations that an entry knows of.
#[wire]
#[derive(Default)]
pub(super) struct EvacuationState {
    /// The position up to which it has read the operator's instructions.
    pub(super) as_of: u64,
    /// The failure domains that are evacuated as of that position.
    pub(super) domains: BTreeSet<Arc<str>>,
}

/// The requests that an entry has admitted for one workspace.
#[wire]
pub(super) struct WorkspaceUsage {
    /// The hash of the workspace's name.
    pub(super) workspace: u64,
    /// All that the process instance has admitted since its start.
    pub(super) admitted: UsageTotals,
    /// The number of requests that all entries together have admitted within the current window, if
    /// the sender knows it. Only sent while another entry has just started.
    pub(super) in_window: Option<u64>,
}

/// Asks another entry for a turn that the sender's own shards don't hold.
#[wire]
pub(super) struct FindTurn {
    /// The turn to find.
    pub(super) turn: TurnKey,
}

/// The answer to [`FindTurn`].
#[wire]
pub(super) struct FoundTurn {
    /// The turn and all turns before it, oldest first; none if the turn was not found.
    pub(super) chain: Option<Vec<(TurnKey, Turn)>>,
    /// The shards that were searched completely and whose ownership the store has just confirmed.
    pub(super) searched: Vec<u32>,
}
