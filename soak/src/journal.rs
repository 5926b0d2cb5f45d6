use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// One request that an endpoint began to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The request's id.
    pub request: String,
    /// The endpoint.
    pub endpoint: String,
    /// The workspace that it was told.
    pub workspace: String,
    /// The body that it got.
    pub body: Vec<u8>,
    /// Whether it came with a key.
    pub had_key: bool,
    /// How long its caller still waited, as the endpoint was told.
    pub left_ms: Option<u64>,
    /// When it began.
    pub at: Instant,
}

/// All that endpoints have run.
#[derive(Debug, Default)]
pub struct Journal {
    runs: Mutex<Vec<Run>>,
}

impl Journal {
    /// A request begins to run.
    pub fn ran(&self, run: Run) {
        self.runs.lock().expect("not poisoned").push(run);
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("not poisoned").clone()
    }

    /// How often each request has run.
    pub fn counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in self.runs() {
            *counts.entry(run.request).or_default() += 1;
        }
        counts
    }
}
