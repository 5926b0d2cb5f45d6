//! The decisions: what there is room for, and which connection is closed for another.

use std::cmp::Reverse;

use slotmap::{SlotMap, new_key_type};

use super::{CallerLimits, CallerUsage, Evict, NoRoom};
use crate::load::shared_limit::SharedLimit;
use crate::prelude::*;

/// A caller that has taken nothing of its response for this long may be cut off for others.
const MAX_BLOCKED_MS: u64 = 10_000;

/// The workspace under which the bytes of heads are counted. No workspace has this name, nor do callers
/// without one: what they hold in service would leave no room for heads.
const UNKNOWN: &str = "\0";

new_key_type! { pub(super) struct ConnectionKey; }

#[derive(Debug)]
struct Connection<H> {
    handle: H,
    /// Whether a request was begun, i.e. its head has arrived, and not answered.
    in_request: bool,
    /// The workspace for which its request is in service.
    service: Option<Arc<str>>,
    /// The workspace of the request, as far as it is known.
    workspace: Arc<str>,
    /// Bytes of the request that are counted here.
    bytes: u64,
    /// When something last arrived.
    active: TimeMs,
    /// Whether a request of it was answered.
    served: bool,
    /// Since when its caller has taken nothing of the response, although there is more.
    blocked_since: Option<TimeMs>,
}

impl<H> Connection<H> {
    /// Whether it may be closed for another.
    fn is_evictable(&self, now: TimeMs) -> bool {
        let is_stuck = self.blocked_since.is_some_and(|since| now.since(since) >= MAX_BLOCKED_MS);
        is_stuck || self.service.is_none()
    }

    /// The order in which connections are closed for new ones: first those that never had a request, last
    /// those whose caller has yet to take the rest of a response.
    fn eviction_rank(&self) -> (bool, bool, TimeMs) {
        (self.blocked_since.is_some(), self.served, self.active)
    }
}

/// What is held for callers.
#[derive(Debug)]
pub(super) struct State<H> {
    max_connections: usize,
    connections: SlotMap<ConnectionKey, Connection<H>>,
    requests: SharedLimit,
    services: SharedLimit,
    histories: SharedLimit,
    /// The workspace of callers that are not known yet.
    unknown: Arc<str>,
    evicted: u64,
    refused: u64,
}

impl<H: Evict> State<H> {
    pub(super) fn open(limits: CallerLimits) -> State<H> {
        State {
            max_connections: limits.connections as usize,
            connections: SlotMap::with_key(),
            requests: SharedLimit::open(limits.request_bytes),
            services: SharedLimit::open(limits.connections),
            histories: SharedLimit::open(limits.history_bytes),
            unknown: UNKNOWN.into(),
            evicted: 0,
            refused: 0,
        }
    }

    pub(super) fn usage(&self) -> CallerUsage {
        CallerUsage {
            connections: self.connections.len() as u64,
            in_service: self.services.total(),
            request_bytes: self.requests.total(),
            history_bytes: self.histories.total(),
            evicted: self.evicted,
            refused: self.refused,
        }
    }

    /// Adds a connection. If there are too many, one that has no request in service is closed for it,
    /// first of those that never had one.
    pub(super) fn add_connection(
        &mut self,
        now: TimeMs,
        handle: H,
    ) -> Result<ConnectionKey, NoRoom> {
        if self.connections.len() >= self.max_connections {
            let oldest = self.evictable(now).min_by_key(|(_, other)| other.eviction_rank());
            let Some((oldest, _)) = oldest else {
                return Err(self.refuse());
            };
            self.evict(oldest);
        }
        Ok(self.connections.insert(Connection {
            handle,
            in_request: false,
            service: None,
            workspace: self.unknown.clone(),
            bytes: 0,
            active: now,
            served: false,
            blocked_since: None,
        }))
    }

    /// Removes a connection, and what its request holds. Does nothing if it was evicted.
    pub(super) fn remove_connection(&mut self, key: ConnectionKey) -> Option<H> {
        self.end_request(key);
        Some(self.connections.remove(key)?.handle)
    }

    fn evict(&mut self, key: ConnectionKey) {
        if let Some(handle) = self.remove_connection(key) {
            self.evicted += 1;
            handle.evict();
        }
    }

    fn evictable(&self, now: TimeMs) -> impl Iterator<Item = (ConnectionKey, &Connection<H>)> {
        self.connections.iter().filter(move |(_, connection)| connection.is_evictable(now))
    }

    /// Counts bytes that have arrived, unless they belong to a body. Those behind a request in service are
    /// in the connection's buffer, which has a limit of its own: the request is not given up for them.
    pub(super) fn receive_outside_body(
        &mut self,
        now: TimeMs,
        key: ConnectionKey,
        bytes: u64,
    ) -> Result<(), NoRoom> {
        match self.connections.get(key) {
            Some(connection) if !connection.in_request => self.receive(now, key, bytes),
            Some(connection) if connection.service.is_some() => {
                let workspace = connection.workspace.clone();
                self.requests.add(&workspace, bytes);
                if let Some(connection) = self.connections.get_mut(key) {
                    connection.bytes += bytes;
                }
                Ok(())
            }
            // A connection that was evicted is closed by its owner, which may answer a request first.
            Some(_) | None => Ok(()),
        }
    }

    /// Counts bytes of an unfinished request.
    pub(super) fn receive(
        &mut self,
        now: TimeMs,
        key: ConnectionKey,
        bytes: u64,
    ) -> Result<(), NoRoom> {
        let connection = self.connections.get_mut(key).ok_or(NoRoom)?;
        connection.active = now;
        let workspace = connection.workspace.clone();
        self.make_room(now, Some(key), &workspace, bytes)?;
        if let Some(connection) = self.connections.get_mut(key) {
            connection.bytes += bytes;
            self.requests.add(&workspace, bytes);
        }
        Ok(())
    }

    /// Closes connections until a workspace has room for `bytes` more. Those of another workspace are
    /// closed only if that one uses more.
    fn make_room(
        &mut self,
        now: TimeMs,
        own: Option<ConnectionKey>,
        workspace: &Arc<str>,
        bytes: u64,
    ) -> Result<(), NoRoom> {
        while !self.requests.has_room(workspace, bytes) {
            let needed = self.requests.used_by(workspace).saturating_add(bytes);
            let used = |other: &Connection<H>| self.requests.used_by(&other.workspace);
            let gives_way = |other: &Connection<H>| {
                other.bytes > 0 && (other.workspace == *workspace || used(other) >= needed)
            };
            let others = self.evictable(now).filter(|(key, _)| Some(*key) != own);
            let victim = others
                .filter(|(_, other)| gives_way(other))
                .max_by_key(|(_, other)| (used(other), Reverse(other.active)));
            match victim {
                Some((victim, _)) => self.evict(victim),
                None => return Err(self.refuse()),
            }
        }
        Ok(())
    }

    /// The head of a request has arrived.
    pub(super) fn begin_request(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.in_request = true;
        }
    }

    /// The workspace of a request has become known. What was counted of the request counts for it.
    pub(super) fn set_workspace(
        &mut self,
        now: TimeMs,
        key: ConnectionKey,
        workspace: &Arc<str>,
    ) -> Result<(), NoRoom> {
        let connection = self.connections.get_mut(key).ok_or(NoRoom)?;
        if connection.workspace == *workspace {
            return Ok(());
        }
        let bytes = std::mem::take(&mut connection.bytes);
        let before = std::mem::replace(&mut connection.workspace, workspace.clone());
        self.requests.subtract(&before, bytes);
        self.receive(now, key, bytes)
    }

    /// Counts a request as in service: it is whole, and is not given up for another while its caller takes
    /// the response.
    pub(super) fn begin_service(
        &mut self,
        now: TimeMs,
        key: ConnectionKey,
        workspace: &Arc<str>,
    ) -> Result<(), NoRoom> {
        self.set_workspace(now, key, workspace)?;
        while !self.services.has_room(workspace, 1) {
            let stuck = self.evictable(now).find(|(_, other)| other.service.is_some());
            let Some((stuck, _)) = stuck else {
                return Err(self.refuse());
            };
            self.evict(stuck);
        }
        let connection = self.connections.get_mut(key).ok_or(NoRoom)?;
        connection.service = Some(workspace.clone());
        self.services.add(workspace, 1);
        Ok(())
    }

    /// The bytes of a request that are counted for its connection no longer are. They still count for
    /// the workspace, which is returned with them, until they are subtracted.
    pub(super) fn take_bytes(&mut self, key: ConnectionKey) -> Option<(Arc<str>, u64)> {
        let connection = self.connections.get_mut(key)?;
        Some((connection.workspace.clone(), std::mem::take(&mut connection.bytes)))
    }

    /// The request was answered.
    pub(super) fn end_request(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.served |= std::mem::take(&mut connection.in_request);
        let workspace = std::mem::replace(&mut connection.workspace, self.unknown.clone());
        self.requests.subtract(&workspace, std::mem::take(&mut connection.bytes));
        if let Some(workspace) = connection.service.take() {
            self.services.subtract(&workspace, 1);
        }
    }

    /// Records since when the caller has taken nothing of its response; none if it takes it again.
    pub(super) fn set_blocked(&mut self, key: ConnectionKey, since: Option<TimeMs>) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.blocked_since = since;
        }
    }

    /// Counts bytes that belong to a request in service.
    pub(super) fn add_request_bytes(
        &mut self,
        now: TimeMs,
        workspace: &Arc<str>,
        bytes: u64,
    ) -> Result<(), NoRoom> {
        self.make_room(now, None, workspace, bytes)?;
        self.requests.add(workspace, bytes);
        Ok(())
    }

    pub(super) fn subtract_request_bytes(&mut self, workspace: &str, bytes: u64) {
        self.requests.subtract(workspace, bytes);
    }

    /// Counts a history that is to be kept.
    pub(super) fn add_history(&mut self, workspace: &Arc<str>, bytes: u64) -> Result<(), NoRoom> {
        if !self.histories.has_room(workspace, bytes) {
            return Err(self.refuse());
        }
        self.histories.add(workspace, bytes);
        Ok(())
    }

    /// Counts a history that is kept in any case.
    pub(super) fn add_kept_history(&mut self, workspace: &Arc<str>, bytes: u64) {
        self.histories.add(workspace, bytes);
    }

    pub(super) fn subtract_history(&mut self, workspace: &str, bytes: u64) {
        self.histories.subtract(workspace, bytes);
    }

    fn refuse(&mut self) -> NoRoom {
        self.refused += 1;
        NoRoom
    }
}
