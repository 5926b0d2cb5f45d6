use std::collections::HashMap;

use super::message::{WorkspaceUsage, rotating_slice};
use crate::catalog::Workspace;
use crate::prelude::*;
use crate::quota::{Claim, Grant, PeerCounts, ProgramStats, RateLimit, SharedWindow};

/// What this entry has taken is told for this long after each change: three messages, so that
/// two may be lost.
const TOLD_FOR_MS: u64 = 700;

/// What has not changed is told once in so many messages, for entries that missed it: within
/// a second and a bit; an entry that was just met counts what it hears of for the first time after
/// one and a half as new.
const TOLD_ONCE_IN: usize = 6;

/// After this time, an entry has told all its rows, also where they take several messages: what it
/// tells of for the first time then is new.
const ALL_TOLD_AFTER_MS: u64 = 1_500;

/// How well the sender of a message is known.
#[key]
pub(super) struct SenderAge {
    /// When it was first heard in its present life.
    pub(super) since: TimeMs,
    /// Whether it has lived for less than a window: all that it took is in the window.
    pub(super) recently_started: bool,
}

/// Which rows a message to the others should have.
#[key]
pub(super) struct RowSelection {
    /// Numbers the messages.
    pub(super) round: usize,
    /// Whether an entry has just started and needs to know the windows.
    pub(super) include_all: bool,
}

#[derive(Debug)]
struct Counted {
    window: SharedWindow,
    opened_at: TimeMs,
    changed_at: TimeMs,
}

/// This entry's counts of what all workspaces take.
#[derive(Debug)]
pub(super) struct RateLimiter {
    window_ms: u64,
    windows: HashMap<u64, Counted>,
    /// The pace of all workspaces' programs.
    program_stats: ProgramStats,
}

impl RateLimiter {
    /// Counts in windows of `window_ms`.
    pub(super) fn open(window_ms: u64) -> RateLimiter {
        RateLimiter { window_ms, windows: HashMap::new(), program_stats: ProgramStats::default() }
    }

    /// Takes one request out of the workspace's rate, or says when there may be room.
    pub(super) fn try_admit(
        &mut self,
        now: TimeMs,
        workspace: &Workspace,
        peer_counts: PeerCounts,
        claim: Claim,
    ) -> Result<Grant, u64> {
        let usual = self.program_stats;
        let counted = self.know(now, workspace);
        let grant = counted.window.try_admit(now, peer_counts, claim, &usual)?;
        counted.changed_at = now;
        let new_stats = counted.window.take_new_stats();
        self.program_stats.merge(&new_stats);
        Ok(grant)
    }

    /// A workspace is declared: its window fills from the moment it is first known.
    pub(super) fn declared(&mut self, now: TimeMs, workspace: &Workspace) {
        self.know(now, workspace);
    }

    fn know(&mut self, now: TimeMs, workspace: &Workspace) -> &mut Counted {
        let rate_limit = RateLimit {
            rate_per_s: workspace.rate_per_s,
            burst: workspace.burst,
            window_ms: self.window_ms,
        };
        let counted = self.windows.entry(workspace_hash(&workspace.name)).or_insert_with(|| {
            Counted { window: SharedWindow::open(now, rate_limit), opened_at: now, changed_at: now }
        });
        if counted.window.rate_limit() != rate_limit {
            counted.window.set_rate_limit(rate_limit);
        }
        counted
    }

    /// A request that was taken out of the workspace's rate has not run.
    pub(super) fn refund(&mut self, now: TimeMs, workspace: &str, grant: Grant) {
        if let Some(counted) = self.windows.get_mut(&workspace_hash(workspace)) {
            counted.window.refund(grant);
            counted.changed_at = now;
        }
    }

    /// What is in the workspace's window, and its limit.
    pub(super) fn used(&self, workspace: &str) -> (f64, f64) {
        self.windows
            .get(&workspace_hash(workspace))
            .map_or((0.0, 0.0), |counted| counted.window.used())
    }

    /// What this entry has taken, to tell the others: what has changed of late, and a part of the rest
    /// in turn. Newcomers need to hear of all windows, and what all entries took in each.
    pub(super) fn rows_to_send(
        &mut self,
        now: TimeMs,
        telling: RowSelection,
    ) -> Vec<WorkspaceUsage> {
        let (mut news, mut rest) = (Vec::new(), Vec::new());
        for (workspace, counted) in &mut self.windows {
            let taken = counted.window.taken();
            let in_window = match telling.include_all {
                true => counted.window.in_window(now).map(|used| used.ceil() as u64),
                false => None,
            };
            let row = WorkspaceUsage { workspace: *workspace, taken, in_window };
            let new = telling.include_all || now.since(counted.changed_at) < TOLD_FOR_MS;
            match new {
                _ if taken.requests == 0 && in_window.unwrap_or(0) == 0 => {}
                true => news.push(row),
                false => rest.push(row),
            }
        }
        let part = rest.len().div_ceil(TOLD_ONCE_IN);
        news.extend(rotating_slice(rest, telling.round, part));
        news
    }

    /// Another entry has taken so many in its life. What is heard of for the first time counts as
    /// taken now only if it was: the other is young, or it would have been heard of before. An entry
    /// that knew it before it knew the workspaces, since the store was away as it started, would
    /// otherwise count all that the other ever took.
    pub(super) fn apply_remote(
        &mut self,
        now: TimeMs,
        instance: u64,
        taken: &[WorkspaceUsage],
        known: SenderAge,
    ) {
        for row in taken {
            let Some(Counted { window, opened_at, .. }) = self.windows.get_mut(&row.workspace)
            else {
                continue;
            };
            let listened_ms = now.since(known.since).min(now.since(*opened_at));
            match known.recently_started || listened_ms >= ALL_TOLD_AFTER_MS {
                true => window.apply_usage(now, instance, row.taken),
                false => window.record_baseline(now, instance, row.taken),
            }
            self.program_stats.merge(&window.take_new_stats());
            if let Some(in_window) = row.in_window {
                window.merge(now, in_window as f64);
            }
        }
    }
}

fn workspace_hash(name: &str) -> u64 {
    Digest::of(&[name.as_bytes()]).prefix()
}
