use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use super::message::{RefundRow, WorkspaceUsage, rotating_slice};
use super::surges::Surges;
use crate::catalog::Workspace;
use crate::load::UseLevel;
use crate::prelude::*;
use crate::quota::{
    Claim, Grant, PeerCounts, ProgramStats, RateLimit, RateWindow, SharedWindow, WindowUsage,
};

/// A workspace's count is sent to the other entries for this long after each change: in at least
/// three messages, so that two may be lost.
const RESEND_CHANGED_FOR_MS: u64 = 700;

/// An unchanged count is sent again in one of this many messages, for entries that missed it. Every
/// count is thus repeated within little more than a second, before [`FULL_CYCLE_MS`] is over.
const UNCHANGED_CYCLE_MESSAGES: usize = 6;

/// Within this time an entry has sent all its counts, even if they take several messages. A
/// workspace that appears in its messages only later has been admitting requests only since then.
const FULL_CYCLE_MS: u64 = 1_500;

/// The part of what it may admit without a report after which this entry reports at once.
const DUE_UNREPORTED_FRACTION: f64 = 0.5;

/// How long the mean use of the rates counts as current. The counts of other entries change about as
/// often.
const MEAN_USE_INTERVAL_MS: u64 = 200;

/// For how long the sender of a peer message has been known and running.
#[key]
pub(super) struct SenderAge {
    /// When the first message of its current process instance arrived.
    pub(super) since: TimeMs,
    /// Whether it has been running for less than a rate window, so that everything it has admitted
    /// lies within the window.
    pub(super) recently_started: bool,
}

/// Selects the rows of a message to the other entries.
#[key]
pub(super) struct RowSelection {
    /// Number of the message; unchanged counts take turns by it.
    pub(super) round: usize,
    /// Whether to include the windows of all workspaces, because an entry has just started and does
    /// not know them.
    pub(super) include_all: bool,
    /// The most rows.
    pub(super) max_rows: usize,
}

/// A workspace's window, when it was opened, and when this entry last changed its own count in it.
#[derive(Debug)]
struct TrackedWindow {
    window: SharedWindow,
    opened_at: TimeMs,
    changed_at: TimeMs,
    /// Requests that this entry has admitted since its last message with the count.
    unreported: u32,
    /// When a request was last part of a surge.
    surged_at: Option<TimeMs>,
}

/// Admits requests within the workspaces' rates, and counts what this entry and the others have
/// admitted.
#[derive(Debug)]
pub(super) struct RateLimiter {
    window: RateWindow,
    windows: HashMap<u64, TrackedWindow>,
    /// Request rate and length of programs, over all workspaces.
    program_stats: ProgramStats,
    /// The part of their rates that all workspaces together use, and when it was computed.
    mean_use: Option<(TimeMs, f64)>,
    /// When this entry last heard fewer than half of the others.
    out_of_contact_at: Option<TimeMs>,
    surges: Surges,
}

impl RateLimiter {
    /// Creates a limiter that knows no workspace yet.
    pub(super) fn open(window: RateWindow) -> RateLimiter {
        RateLimiter {
            window,
            windows: HashMap::new(),
            program_stats: ProgramStats::default(),
            mean_use: None,
            out_of_contact_at: None,
            surges: Surges::default(),
        }
    }

    /// Whether a configuration has declared a workspace whose name has this hash.
    pub(super) fn has_window(&self, workspace: u64) -> bool {
        self.windows.contains_key(&workspace)
    }

    /// Admits one request for a workspace whose name has this hash, within its rate.
    ///
    /// # Errors
    /// If there is no room, or the workspace is not known: the milliseconds until there may be room.
    pub(super) fn try_admit(
        &mut self,
        now: TimeMs,
        workspace: u64,
        peer_counts: PeerCounts,
        claim: Claim,
    ) -> Result<Grant, u64> {
        let overall_stats = self.program_stats;
        let Some(tracked) = self.windows.get_mut(&workspace) else {
            return Err(self.window.length_ms);
        };
        let grant = tracked.window.try_admit(now, peer_counts, claim, &overall_stats)?;
        tracked.changed_at = now;
        tracked.unreported += 1;
        let new_stats = tracked.window.take_new_stats();
        self.program_stats.merge(&new_stats);
        Ok(grant)
    }

    /// Whether this entry has admitted so much for a workspace since its last message that the next
    /// one should not wait.
    pub(super) fn is_report_due(&self, workspace: u64) -> bool {
        self.unreported_fraction(workspace) >= DUE_UNREPORTED_FRACTION
    }

    /// Whether it must not admit more before the next message: what it has not reported is lost to the
    /// others when it is killed.
    pub(super) fn must_report_first(&self, workspace: u64) -> bool {
        self.unreported_fraction(workspace) >= 1.0
    }

    /// What was admitted for a workspace since the last message with its count, as a fraction of what
    /// may be.
    fn unreported_fraction(&self, workspace: u64) -> f64 {
        self.windows.get(&workspace).map_or(0.0, |tracked| {
            let most = tracked.window.rate_limit().tolerance_unreported();
            f64::from(tracked.unreported) / most.max(1.0)
        })
    }

    /// Records that a message with these counts was sent.
    pub(super) fn mark_reported(&mut self, rows: &[WorkspaceUsage]) {
        for row in rows {
            if let Some(tracked) = self.windows.get_mut(&row.workspace) {
                tracked.unreported = 0;
            }
        }
    }

    /// Whether a surge of the workspace must be recorded in the store before more of its requests are
    /// admitted.
    pub(super) fn must_record_surge(&mut self, now: TimeMs, workspace: u64) -> bool {
        let Some(tracked) = self.windows.get_mut(&workspace) else {
            return false;
        };
        let is_surge = tracked.window.is_surge(now);
        if is_surge {
            tracked.surged_at = Some(now);
        }
        is_surge && !self.surges.is_recorded(workspace)
    }

    /// Whether surges are to be recorded in the store at once.
    pub(super) fn is_surge_record_due(&self) -> bool {
        self.surges.is_announcement_due()
    }

    /// The surges to record in the store.
    pub(super) fn surges_to_record(&self, now: TimeMs) -> Vec<u64> {
        let lasts = |workspace| {
            let tracked = self.windows.get(&workspace);
            let surged_at = tracked.and_then(|tracked| tracked.surged_at);
            surged_at.is_some_and(|at| now.since(at) < self.window.length_ms)
        };
        self.surges.to_announce(lasts)
    }

    /// Whether the surges recorded in the store are not these.
    pub(super) fn has_other_surges_recorded(&self, surges: &[u64]) -> bool {
        self.surges.differs_from(surges)
    }

    /// Notes that these surges are recorded in the store.
    pub(super) fn confirm_surges(&mut self, recorded: &[u64]) {
        self.surges.confirm(recorded);
    }

    /// Sets the surges that any entry had recorded when this one started.
    pub(super) fn set_surges_before_start(&mut self, surges: HashSet<u64>) {
        self.surges.set_before_start(surges);
        for (workspace, tracked) in &mut self.windows {
            let may_have_surged = self.surges.may_have_surged_before_start(*workspace);
            tracked.window.set_surged_before(may_have_surged);
        }
    }

    /// Records whether this entry hears at least half of the others. For a while after it has not, it
    /// lacks counts that they have told each other.
    pub(super) fn record_contact(&mut self, now: TimeMs, hears_half: bool) {
        if !hears_half {
            self.out_of_contact_at = Some(now);
            self.windows.values_mut().for_each(|tracked| tracked.window.lose_contact(now));
        }
    }

    /// Whether this entry has observed windows for their whole length, and has all counts of the others.
    /// A workspace that was declared just now is not known to any entry.
    pub(super) fn knows_windows(&self, now: TimeMs) -> bool {
        let has_counts = self.out_of_contact_at.is_none_or(|at| now.since(at) >= FULL_CYCLE_MS);
        let knows_any = self.windows.values().any(|tracked| tracked.window.is_known(now));
        has_counts && (knows_any || self.windows.is_empty())
    }

    /// Begins to count anew, as an entry that has just started: what was admitted while it was a
    /// leaf is not known here.
    pub(super) fn reset<'a>(
        &mut self,
        now: TimeMs,
        workspaces: impl Iterator<Item = &'a Arc<Workspace>>,
    ) {
        *self = RateLimiter::open(self.window);
        workspaces.for_each(|workspace| self.open_window(now, workspace));
    }

    /// Opens the window of a workspace, or changes its limit, when a configuration declares it. This
    /// happens before the first request arrives: a new window is assumed to be full, and other
    /// entries' counts are applied only to open windows.
    pub(super) fn open_window(&mut self, now: TimeMs, workspace: &Workspace) {
        let rate_limit = RateLimit {
            rate_per_s: workspace.rate_per_s,
            burst: workspace.burst,
            window: self.window,
        };
        let tracked =
            self.windows.entry(workspace_hash(&workspace.name)).or_insert_with(|| TrackedWindow {
                window: SharedWindow::open(now, rate_limit),
                opened_at: now,
                changed_at: now,
                unreported: 0,
                surged_at: None,
            });
        let hash = workspace_hash(&workspace.name);
        tracked.window.set_surged_before(self.surges.may_have_surged_before_start(hash));
        if tracked.window.rate_limit() != rate_limit {
            tracked.window.set_rate_limit(now, rate_limit);
        }
    }

    /// Refunds the admission of a request that has not run, and will not.
    pub(super) fn refund(&mut self, now: TimeMs, workspace: u64, grant: Grant) {
        if let Some(tracked) = self.windows.get_mut(&workspace) {
            tracked.window.refund(now, grant);
            tracked.changed_at = now;
        }
    }

    /// What the window of a workspace holds as counted here.
    pub(super) fn usage(&mut self, now: TimeMs, workspace: u64) -> WindowUsage {
        let tracked = self.windows.get_mut(&workspace);
        tracked.map_or_else(WindowUsage::default, |tracked| tracked.window.usage(now))
    }

    /// How far a workspace's use of its contracted rate lies above the mean use.
    pub(super) fn use_level(&mut self, now: TimeMs, workspace: &str) -> UseLevel {
        let mean_use = self.mean_use(now);
        let Some(tracked) = self.windows.get_mut(&workspace_hash(workspace)) else {
            return UseLevel::default();
        };
        let usage = tracked.window.usage(now);
        UseLevel::of(usage.used(), usage.limit * mean_use)
    }

    /// The part of their contracted rates that all workspaces together use. Computed anew only every
    /// [`MEAN_USE_INTERVAL_MS`], as it takes a pass over all workspaces.
    fn mean_use(&mut self, now: TimeMs) -> f64 {
        let (computed_at, mean_use) = self.mean_use.unwrap_or_default();
        if self.mean_use.is_some() && now.since(computed_at) < MEAN_USE_INTERVAL_MS {
            return mean_use;
        }
        let all = self.windows.values_mut().map(|tracked| tracked.window.usage(now));
        let (used, limit) =
            all.fold((0.0, 0.0), |sum, usage| (sum.0 + usage.used(), sum.1 + usage.limit));
        let mean_use = if limit > 0.0 { used / limit } else { 0.0 };
        self.mean_use = Some((now, mean_use));
        mean_use
    }

    /// This entry's counts for a message to the others: first those with admissions that were not in
    /// one yet, then others changed recently and a part of the rest in turn. Entries that have just
    /// started need all of them, with what all entries together have admitted in each window.
    pub(super) fn rows_to_send(
        &mut self,
        now: TimeMs,
        selection: RowSelection,
    ) -> Vec<WorkspaceUsage> {
        let (mut unreported, mut changed, mut unchanged) = (Vec::new(), Vec::new(), Vec::new());
        for (workspace, tracked) in &mut self.windows {
            let admitted = tracked.window.admitted();
            let in_window = match selection.include_all {
                true => tracked.window.in_window(now).map(|used| used.ceil() as u64),
                false => None,
            };
            let row = WorkspaceUsage { workspace: *workspace, admitted, in_window };
            let is_due =
                selection.include_all || now.since(tracked.changed_at) < RESEND_CHANGED_FOR_MS;
            match is_due {
                _ if admitted.requests == 0 && in_window.unwrap_or(0) == 0 => {}
                true if tracked.unreported > 0 => unreported.push((tracked.unreported, row)),
                true => changed.push(row),
                false => unchanged.push(row),
            }
        }
        unreported.sort_unstable_by_key(|(count, row)| (Reverse(*count), row.workspace));
        let mut rows: Vec<_> = unreported.into_iter().map(|(_, row)| row).collect();
        rows.truncate(selection.max_rows);
        let part = unchanged.len().div_ceil(UNCHANGED_CYCLE_MESSAGES);
        changed.extend(rotating_slice(unchanged, selection.round, part));
        let room = selection.max_rows - rows.len();
        rows.extend(rotating_slice(changed, selection.round, room));
        rows
    }

    /// The refunds of those of these workspaces that have any.
    pub(super) fn refunds_to_send(
        &mut self,
        now: TimeMs,
        workspaces: impl Iterator<Item = u64>,
    ) -> Vec<RefundRow> {
        let rows = workspaces.filter_map(|workspace| {
            let refunds = self.windows.get_mut(&workspace)?.window.refunds(now);
            (!refunds.is_empty()).then_some(RefundRow { workspace, refunds })
        });
        rows.collect()
    }

    /// Applies the refunds of another entry's process instance.
    pub(super) fn apply_refunds(&mut self, now: TimeMs, instance: u64, rows: &[RefundRow]) {
        for row in rows {
            if let Some(tracked) = self.windows.get_mut(&row.workspace) {
                tracked.window.apply_refunds(now, instance, &row.refunds);
            }
        }
    }

    /// Applies the counts of another entry's process instance, which are totals since its start.
    ///
    /// The first count that arrives for a workspace is added to the window only if it must be
    /// recent: the sender has just started, or this entry has received messages for so long that
    /// earlier admissions would have been in one of them. Otherwise it only is the base that later
    /// counts are compared with. An entry that starts while the store is unreachable receives
    /// messages before it knows the workspaces, and would otherwise add everything that the sender
    /// has ever admitted.
    pub(super) fn apply_remote(
        &mut self,
        now: TimeMs,
        instance: u64,
        admitted: &[WorkspaceUsage],
        sender: SenderAge,
    ) {
        for row in admitted {
            let Some(TrackedWindow { window, opened_at, .. }) =
                self.windows.get_mut(&row.workspace)
            else {
                continue;
            };
            let received_for_ms = now.since(sender.since).min(now.since(*opened_at));
            match sender.recently_started || received_for_ms >= FULL_CYCLE_MS {
                true => window.apply_usage(now, instance, row.admitted),
                false => window.record_baseline(now, instance, row.admitted),
            }
            self.program_stats.merge(&window.take_new_stats());
            if let Some(in_window) = row.in_window {
                window.merge(now, in_window as f64);
            }
        }
    }
}

/// Identifies a workspace in messages.
pub(super) fn workspace_hash(name: &str) -> u64 {
    Digest::of(&[name.as_bytes()]).prefix()
}
