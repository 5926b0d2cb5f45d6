/// What an entry knows of a service's capacity and of the work in hand at it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServiceLoad {
    /// Requests that the endpoints in use process concurrently.
    pub slots: u32,
    /// Requests in flight at these endpoints, of all entries.
    pub in_flight: u32,
    /// Those of them that this entry has sent.
    pub own_in_flight: u32,
    /// The fraction of all shards that this entry serves, and so of all programs that it decides on.
    pub share: f64,
    /// Whether messages arrive from at least half of the entries. Otherwise `in_flight` is too low.
    pub hears_half: bool,
}
