//! What the process holds for callers, as guards that count it until they are dropped.

use std::sync::{Mutex, MutexGuard, PoisonError};

use super::state::{ConnectionKey, State};
use super::{CallerLimits, CallerUsage, Evict, NoRoom};
use crate::prelude::*;

type Shared<H> = Arc<Mutex<State<H>>>;

/// What a process holds for callers. Clones share the same counts.
#[derive(Debug)]
pub struct CallerMemory<H> {
    state: Shared<H>,
}

impl<H: Evict> CallerMemory<H> {
    /// Creates empty counts.
    pub fn open(limits: CallerLimits) -> CallerMemory<H> {
        CallerMemory { state: Arc::new(Mutex::new(State::open(limits))) }
    }

    /// Counts a connection until the returned value is dropped.
    ///
    /// # Errors
    /// If there are too many, and all have a request in service.
    pub fn open_connection(&self, now: TimeMs, handle: H) -> Result<CallerConnection<H>, NoRoom> {
        let key = lock(&self.state).add_connection(now, handle)?;
        Ok(CallerConnection { state: self.state.clone(), key })
    }

    /// Counts bytes that belong to a request in service beside its body.
    ///
    /// # Errors
    /// If the workspace has no room for them.
    pub fn hold_request_bytes(
        &self,
        now: TimeMs,
        workspace: &Arc<str>,
        bytes: usize,
    ) -> Result<HeldRequestBytes<H>, NoRoom> {
        let (state, workspace, bytes) = (self.state.clone(), workspace.clone(), bytes as u64);
        lock(&state).add_request_bytes(now, &workspace, bytes)?;
        Ok(HeldRequestBytes { state, workspace, bytes })
    }

    /// Counts a history that is to be kept until the returned guard is dropped.
    ///
    /// # Errors
    /// If the workspace has no room for it.
    pub fn hold_history(
        &self,
        workspace: &Arc<str>,
        bytes: usize,
    ) -> Result<HeldHistory<H>, NoRoom> {
        let (state, workspace, bytes) = (self.state.clone(), workspace.clone(), bytes as u64);
        lock(&state).add_history(&workspace, bytes)?;
        Ok(HeldHistory { state, workspace, bytes })
    }

    /// Counts a history that is kept in any case.
    pub fn hold_kept_history(&self, workspace: &Arc<str>, bytes: usize) -> HeldHistory<H> {
        let (state, workspace, bytes) = (self.state.clone(), workspace.clone(), bytes as u64);
        lock(&state).add_kept_history(&workspace, bytes);
        HeldHistory { state, workspace, bytes }
    }

    /// What is held now.
    pub fn usage(&self) -> CallerUsage {
        lock(&self.state).usage()
    }
}

impl<H> Clone for CallerMemory<H> {
    fn clone(&self) -> CallerMemory<H> {
        CallerMemory { state: self.state.clone() }
    }
}

/// An open connection, which counts until this value is dropped.
#[derive(Debug)]
pub struct CallerConnection<H: Evict> {
    state: Shared<H>,
    key: ConnectionKey,
}

impl<H: Evict> CallerConnection<H> {
    /// Counts bytes that were read from the connection, unless they belong to a body.
    ///
    /// # Errors
    /// If there is no room for them.
    pub fn receive_outside_body(&self, now: TimeMs, bytes: usize) -> Result<(), NoRoom> {
        lock(&self.state).receive_outside_body(now, self.key, bytes as u64)
    }

    /// The head of a request has arrived. The request ends when the returned value is dropped.
    pub fn begin_request(&self) -> CallerRequest<H> {
        lock(&self.state).begin_request(self.key);
        CallerRequest { state: self.state.clone(), key: self.key }
    }

    /// Records since when the caller has taken nothing of its response; none if it takes it again.
    pub fn set_blocked(&self, since: Option<TimeMs>) {
        lock(&self.state).set_blocked(self.key, since);
    }
}

impl<H: Evict> Drop for CallerConnection<H> {
    fn drop(&mut self) {
        drop(lock(&self.state).remove_connection(self.key));
    }
}

/// A request whose head has arrived. It ends when this value is dropped.
#[derive(Debug)]
pub struct CallerRequest<H: Evict> {
    state: Shared<H>,
    key: ConnectionKey,
}

impl<H: Evict> CallerRequest<H> {
    /// The workspace of the request is known.
    ///
    /// # Errors
    /// If the workspace has no room for what has arrived, or the connection is to be closed.
    pub fn set_workspace(&self, now: TimeMs, workspace: &Arc<str>) -> Result<(), NoRoom> {
        lock(&self.state).set_workspace(now, self.key, workspace)
    }

    /// Counts bytes of the body before they are kept.
    ///
    /// # Errors
    /// If there is no room for them, or the request's own connection is to be closed.
    pub fn receive_body(&self, now: TimeMs, bytes: usize) -> Result<(), NoRoom> {
        lock(&self.state).receive(now, self.key, bytes as u64)
    }

    /// The body has arrived. What was counted of the request counts until the returned guard is dropped.
    ///
    /// # Errors
    /// If the connection is to be closed.
    pub fn end_body(&self) -> Result<HeldRequestBytes<H>, NoRoom> {
        let (workspace, bytes) = lock(&self.state).take_bytes(self.key).ok_or(NoRoom)?;
        Ok(HeldRequestBytes { state: self.state.clone(), workspace, bytes })
    }

    /// Counts the request as in service, until it ends. It is no longer given up for others.
    ///
    /// # Errors
    /// If the workspace has too many requests in service, or the connection is to be closed.
    pub fn begin_service(&self, now: TimeMs, workspace: &Arc<str>) -> Result<(), NoRoom> {
        lock(&self.state).begin_service(now, self.key, workspace)
    }
}

impl<H: Evict> Drop for CallerRequest<H> {
    fn drop(&mut self) {
        lock(&self.state).end_request(self.key);
    }
}

/// Counts bytes of a request until dropped.
#[derive(Debug)]
pub struct HeldRequestBytes<H: Evict> {
    state: Shared<H>,
    workspace: Arc<str>,
    bytes: u64,
}

impl<H: Evict> HeldRequestBytes<H> {
    /// Counts more bytes, up to `bytes` in total.
    ///
    /// # Errors
    /// If the workspace has no room for them.
    pub fn grow_to(&mut self, now: TimeMs, bytes: usize) -> Result<(), NoRoom> {
        let added = (bytes as u64).saturating_sub(self.bytes);
        lock(&self.state).add_request_bytes(now, &self.workspace, added)?;
        self.bytes += added;
        Ok(())
    }
}

impl<H: Evict> Drop for HeldRequestBytes<H> {
    fn drop(&mut self) {
        lock(&self.state).subtract_request_bytes(&self.workspace, self.bytes);
    }
}

/// Counts a history until dropped.
#[derive(Debug)]
pub struct HeldHistory<H: Evict> {
    state: Shared<H>,
    workspace: Arc<str>,
    bytes: u64,
}

impl<H: Evict> Drop for HeldHistory<H> {
    fn drop(&mut self) {
        lock(&self.state).subtract_history(&self.workspace, self.bytes);
    }
}

/// Locks the counts, also after a panic elsewhere: slightly wrong counts are better than none.
fn lock<H>(state: &Mutex<State<H>>) -> MutexGuard<'_, State<H>> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
