/// What an entry has counted in a workspace's window, and the window's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WindowUsage {
    /// Requests that this entry has admitted.
    pub own: f64,
    /// Requests that other entries have reported.
    pub others: f64,
    /// Requests assumed to have been admitted before this entry started.
    pub assumed: f64,
    /// The most requests that a window may hold.
    pub limit: f64,
    /// Whether the entry knows what all entries have admitted.
    pub is_known: bool,
}

impl WindowUsage {
    /// All requests in the window.
    pub fn used(&self) -> f64 {
        self.own + self.others + self.assumed
    }
}
