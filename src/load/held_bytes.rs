//! Limits on the bytes that an entry buffers for its callers, per entry and per workspace.
//!
//! Chunks of responses are counted until their reader has taken them. If a new chunk would exceed a
//! limit, a slow reader is disconnected. New requests are refused near the limit.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use slotmap::{SlotMap, new_key_type};

use crate::prelude::*;

/// Fraction of the process's memory that responses may occupy. What requests, histories and connections
/// may occupy is limited by [`super::CallerMemory`].
const ENTRY_FRACTION: f64 = 0.25;

/// Fraction of the entry's limit that one workspace may use, so that its slow readers alone reach
/// neither the entry's limit nor the point from which requests are refused.
const WORKSPACE_FRACTION: f64 = 0.5;

/// New requests are refused from this fraction of the entry's limit on. The rest is for the
/// responses to requests that have been accepted.
const REFUSE_FRACTION: f64 = 0.9;

/// Requests are accepted again below this fraction of the entry's limit. The distance prevents
/// switching with every chunk.
const RESUME_FRACTION: f64 = 0.7;

/// A reader that has not taken a chunk for this long may be disconnected for requests that are refused.
const MAX_HELD_MS: u64 = 10_000;

/// What a chunk occupies besides its bytes: its allocation, its place in a channel and its row here.
/// Events of a stream are often shorter than that.
const CHUNK_OVERHEAD_BYTES: u64 = 200;

/// Bounds of the retry delay. Callers accept at most a third of their time, which is 3 s at first.
const RETRY_MS: std::ops::RangeInclusive<u64> = 200..=1_000;

new_key_type! { struct ResponseKey; }

/// The bytes buffered for callers. Clones share the same counts.
///
/// `H` is the owner's handle of a response, returned when the response is to be disconnected.
#[derive(Debug)]
pub struct HeldBytes<H> {
    state: Arc<Mutex<State<H>>>,
}

/// A response that is to be disconnected. Its bytes do not count any more.
#[value]
pub struct Disconnect<H> {
    /// The handle under which the response was opened.
    pub handle: H,
    /// The bytes held for it, including overhead.
    pub bytes: u64,
    /// For how long the oldest of them have been held.
    pub held_ms: u64,
}

/// Why a chunk is not held.
#[value]
pub enum HoldError<H> {
    /// A limit would be exceeded. After the response named here is disconnected, holding the chunk
    /// can be tried again. It may be the chunk's own response.
    Exceeded(Disconnect<H>),
    /// The chunk's response was disconnected before.
    Disconnected,
}

impl<H> HeldBytes<H> {
    /// Creates empty counts for a process that may use `memory_bytes` bytes of memory.
    pub fn open(memory_bytes: u64) -> HeldBytes<H> {
        let entry_bytes = fraction(memory_bytes, ENTRY_FRACTION);
        let state = State {
            entry_limit_bytes: entry_bytes,
            workspace_limit_bytes: fraction(entry_bytes, WORKSPACE_FRACTION),
            responses: SlotMap::with_key(),
            workspaces: BTreeMap::new(),
            total: 0,
            next_chunk: 0,
            refusing: false,
        };
        HeldBytes { state: Arc::new(Mutex::new(state)) }
    }

    /// Registers a response, for which nothing is held yet.
    pub fn open_response(&self, workspace: &Arc<str>, handle: H) -> HeldResponse<H> {
        let response = Response {
            workspace: workspace.clone(),
            handle: Some(handle),
            chunks: BTreeMap::new(),
            bytes: 0,
        };
        let key = lock(&self.state).responses.insert(response);
        HeldResponse { shared: Arc::new(Registration { state: self.state.clone(), key }) }
    }

    /// All bytes held, including overhead.
    pub fn bytes(&self) -> u64 {
        lock(&self.state).total
    }

    /// Whether new requests are refused because the entry's limit is reached.
    pub fn is_refusing(&self) -> bool {
        lock(&self.state).refusing
    }

    /// Disconnects the response that has been held for the longest, if its reader has taken nothing for so
    /// long that others may be served instead.
    pub fn disconnect_stuck(&self, now: TimeMs) -> Option<Disconnect<H>> {
        let mut state = lock(&self.state);
        let held = state.responses.iter();
        let held = held.filter_map(|(key, response)| Some((response.held_since()?, key)));
        let (since, oldest) = held.min()?;
        (now.since(since) >= MAX_HELD_MS).then(|| state.disconnect(now, oldest))?
    }

    /// When a refused caller should try again. The longer the oldest bytes have been waiting, the
    /// longer it takes until there is room.
    pub fn retry_after_ms(&self, now: TimeMs) -> u64 {
        let state = lock(&self.state);
        let oldest = state.responses.values().filter_map(Response::held_since).min();
        let waiting_ms = oldest.map_or(0, |since| now.since(since));
        waiting_ms.clamp(*RETRY_MS.start(), *RETRY_MS.end())
    }
}

impl<H> Clone for HeldBytes<H> {
    fn clone(&self) -> HeldBytes<H> {
        HeldBytes { state: self.state.clone() }
    }
}

/// A response whose chunks are counted, until this value, its clones and its holds are dropped.
#[derive(Debug)]
pub struct HeldResponse<H> {
    shared: Arc<Registration<H>>,
}

impl<H> HeldResponse<H> {
    /// Counts a chunk of `bytes` bytes until the returned guard is dropped.
    ///
    /// # Errors
    /// If a limit would be exceeded, or the response was disconnected before.
    pub fn try_hold(&self, now: TimeMs, bytes: usize) -> Result<Hold<H>, HoldError<H>> {
        let Registration { state, key } = &*self.shared;
        let bytes = bytes as u64 + CHUNK_OVERHEAD_BYTES;
        let chunk = lock(state).add_chunk(now, *key, bytes)?;
        Ok(Hold { response: self.shared.clone(), chunk })
    }
}

impl<H> Clone for HeldResponse<H> {
    fn clone(&self) -> HeldResponse<H> {
        HeldResponse { shared: self.shared.clone() }
    }
}

/// A response's row in the counts, removed when dropped.
#[derive(Debug)]
struct Registration<H> {
    state: Arc<Mutex<State<H>>>,
    key: ResponseKey,
}

impl<H> Drop for Registration<H> {
    fn drop(&mut self) {
        let removed = lock(&self.state).responses.remove(self.key);
        drop(removed);
    }
}

/// Counts a chunk until dropped.
#[derive(Debug)]
pub struct Hold<H> {
    response: Arc<Registration<H>>,
    chunk: u64,
}

impl<H> Hold<H> {
    /// Counts `bytes` more bytes that arrived with those held, and are dropped with them.
    ///
    /// # Errors
    /// As [`HeldResponse::try_hold`].
    pub fn try_grow(&mut self, now: TimeMs, bytes: usize) -> Result<(), HoldError<H>> {
        lock(&self.response.state).grow_chunk(now, self.response.key, self.chunk, bytes as u64)
    }
}

impl<H> Drop for Hold<H> {
    fn drop(&mut self) {
        lock(&self.response.state).remove_chunk(self.response.key, self.chunk);
    }
}

#[derive(Debug)]
struct Response<H> {
    workspace: Arc<str>,
    /// None once the response is to be disconnected.
    handle: Option<H>,
    /// The chunks held, by the order of their arrival: when each arrived, and its bytes.
    chunks: BTreeMap<u64, (TimeMs, u64)>,
    bytes: u64,
}

impl<H> Response<H> {
    /// The arrival of the oldest chunk held; none after the response was disconnected.
    fn held_since(&self) -> Option<TimeMs> {
        self.chunks.first_key_value().map(|(_, (since, _))| *since)
    }
}

#[derive(Debug)]
struct State<H> {
    entry_limit_bytes: u64,
    workspace_limit_bytes: u64,
    responses: SlotMap<ResponseKey, Response<H>>,
    /// Only workspaces for which something is held.
    workspaces: BTreeMap<Arc<str>, u64>,
    total: u64,
    next_chunk: u64,
    refusing: bool,
}

impl<H> State<H> {
    fn add_chunk(
        &mut self,
        now: TimeMs,
        key: ResponseKey,
        bytes: u64,
    ) -> Result<u64, HoldError<H>> {
        let chunk = self.next_chunk;
        self.grow_chunk(now, key, chunk, bytes)?;
        self.next_chunk += 1;
        Ok(chunk)
    }

    /// Adds bytes to a chunk, which begins with the first ones.
    fn grow_chunk(
        &mut self,
        now: TimeMs,
        key: ResponseKey,
        chunk: u64,
        bytes: u64,
    ) -> Result<(), HoldError<H>> {
        let response = self.responses.get(key).filter(|response| response.handle.is_some());
        let workspace = response.ok_or(HoldError::Disconnected)?.workspace.clone();
        if let Some(victim) = self.victim(key, &workspace, bytes) {
            let disconnect = self.disconnect(now, victim).ok_or(HoldError::Disconnected)?;
            return Err(HoldError::Exceeded(disconnect));
        }
        if let Some(response) = self.responses.get_mut(key) {
            response.chunks.entry(chunk).or_insert((now, 0)).1 += bytes;
            response.bytes += bytes;
        }
        self.add(&workspace, bytes);
        Ok(())
    }

    fn remove_chunk(&mut self, key: ResponseKey, chunk: u64) {
        let Some(response) = self.responses.get_mut(key) else {
            return;
        };
        // The chunks of a disconnected response do not count any more.
        if let Some((_, bytes)) = response.chunks.remove(&chunk) {
            response.bytes -= bytes;
            let workspace = response.workspace.clone();
            self.subtract(&workspace, bytes);
        }
    }

    /// The response to be disconnected if a chunk of `bytes` bytes of the response `key` would
    /// exceed a limit: of the workspace that holds the most, the one that has held bytes for the
    /// longest.
    fn victim(&self, key: ResponseKey, workspace: &Arc<str>, bytes: u64) -> Option<ResponseKey> {
        let own_bytes = self.usage(workspace) + bytes;
        let largest = if own_bytes > self.workspace_limit_bytes {
            workspace
        } else if self.total + bytes > self.entry_limit_bytes {
            let others = self.workspaces.iter().filter(|(name, _)| *name != workspace);
            let largest = others.max_by_key(|(_, held)| **held);
            largest.filter(|(_, held)| **held > own_bytes).map_or(workspace, |(name, _)| name)
        } else {
            return None;
        };
        let of_workspace = self.responses.iter().filter(|(_, r)| r.workspace == *largest);
        let oldest = of_workspace
            .filter_map(|(key, response)| Some((response.held_since()?, key)))
            .min_by_key(|(since, _)| *since);
        Some(oldest.map_or(key, |(_, oldest)| oldest))
    }

    fn disconnect(&mut self, now: TimeMs, key: ResponseKey) -> Option<Disconnect<H>> {
        let response = self.responses.get_mut(key)?;
        let handle = response.handle.take()?;
        let held_ms = response.held_since().map_or(0, |since| now.since(since));
        response.chunks.clear();
        let bytes = std::mem::take(&mut response.bytes);
        let workspace = response.workspace.clone();
        self.subtract(&workspace, bytes);
        Some(Disconnect { handle, bytes, held_ms })
    }

    fn usage(&self, workspace: &Arc<str>) -> u64 {
        self.workspaces.get(workspace).copied().unwrap_or_default()
    }

    fn add(&mut self, workspace: &Arc<str>, bytes: u64) {
        *self.workspaces.entry(workspace.clone()).or_default() += bytes;
        self.total += bytes;
        self.refusing |= self.total >= fraction(self.entry_limit_bytes, REFUSE_FRACTION);
    }

    fn subtract(&mut self, workspace: &Arc<str>, bytes: u64) {
        if let Some(held) = self.workspaces.get_mut(workspace) {
            *held = held.saturating_sub(bytes);
            if *held == 0 {
                self.workspaces.remove(workspace);
            }
        }
        self.total = self.total.saturating_sub(bytes);
        self.refusing &= self.total >= fraction(self.entry_limit_bytes, RESUME_FRACTION);
    }
}

fn fraction(bytes: u64, fraction: f64) -> u64 {
    (bytes as f64 * fraction) as u64
}

/// Locks the counts, also after a panic elsewhere: slightly wrong counts are better than none.
fn lock<H>(state: &Mutex<State<H>>) -> MutexGuard<'_, State<H>> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
