use crate::prelude::*;

/// Fraction of the process's memory that requests may take, from their first byte to their response.
const REQUEST_FRACTION: f64 = 0.2;

/// The least that requests may take together. One workspace may take half of it, which holds the
/// largest body that configurations allow by default.
const MIN_REQUEST_BYTES: u64 = 10 << 20;

/// Fraction of the process's memory that histories may take.
const HISTORY_FRACTION: f64 = 0.2;

/// Fraction of the process's memory that connections may take by themselves.
const CONNECTION_FRACTION: f64 = 0.125;

/// What a connection takes by itself: its buffers and its task.
const CONNECTION_BYTES: u64 = 20_000;

/// Descriptors that are left for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Fraction of the other descriptors that callers' connections may take. The rest is for connections to
/// endpoints, other entries and the store.
const DESCRIPTOR_FRACTION: f64 = 0.5;

/// The least number of connections.
const MIN_CONNECTIONS: u64 = 16;

/// Limits on what a process holds for callers.
#[value]
#[derive(Copy)]
pub struct CallerLimits {
    /// Open connections. As many requests may be in service.
    pub connections: u64,
    /// Bytes of requests.
    pub request_bytes: u64,
    /// Bytes of histories.
    pub history_bytes: u64,
}

impl CallerLimits {
    /// The limits of a process that has this much memory and this many descriptors.
    pub fn of_process(memory_bytes: u64, max_descriptors: u64) -> CallerLimits {
        let part = |fraction: f64| (memory_bytes as f64 * fraction) as u64;
        let sockets = max_descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_descriptors = (sockets as f64 * DESCRIPTOR_FRACTION) as u64;
        let by_memory = part(CONNECTION_FRACTION) / CONNECTION_BYTES;
        CallerLimits {
            connections: by_descriptors.min(by_memory).max(MIN_CONNECTIONS),
            request_bytes: part(REQUEST_FRACTION).max(MIN_REQUEST_BYTES),
            history_bytes: part(HISTORY_FRACTION),
        }
    }
}

/// What is held for callers at a moment, and what was done so far.
#[value]
#[derive(Copy, Default)]
pub struct CallerUsage {
    /// Open connections.
    pub connections: u64,
    /// Requests in service.
    pub in_service: u64,
    /// Bytes of requests.
    pub request_bytes: u64,
    /// Bytes of histories.
    pub history_bytes: u64,
    /// Connections closed for others, so far.
    pub evicted: u64,
    /// Times that something was refused for want of room, so far.
    pub refused: u64,
}
