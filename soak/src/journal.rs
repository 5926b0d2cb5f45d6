use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// A run of a request at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The request's ID.
    pub request: String,
    /// The ID of the endpoint.
    pub endpoint: String,
    /// The workspace stated to the endpoint.
    pub workspace: String,
    /// The body that the endpoint received.
    pub body: Vec<u8>,
    /// Whether the request carried an API key.
    pub had_key: bool,
    /// The time left until the deadline, as stated to the endpoint.
    pub left_ms: Option<u64>,
    /// When the run began.
    pub at: Instant,
}

/// Records all runs at all endpoints.
#[derive(Debug, Default)]
pub struct Journal {
    runs: Mutex<Vec<Run>>,
}

impl Journal {
    /// Records the start of a run.
    pub fn record(&self, run: Run) {
        self.runs.lock().expect("not poisoned").push(run);
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("not poisoned").clone()
    }

    /// The number of runs of each request so far.
    pub fn counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in self.runs.lock().expect("not poisoned").iter() {
            *counts.entry(run.request.clone()).or_default() += 1;
        }
        counts
    }
}
