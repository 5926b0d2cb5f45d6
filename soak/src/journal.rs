use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::endpoint::EndpointFault;

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
    /// The endpoint's fault when the run began.
    pub fault: EndpointFault,
    /// When the run began.
    pub at: Instant,
    /// When the endpoint had sent its response or was cut off; none while it is at work.
    pub ended_at: Option<Instant>,
}

/// A run that has not ended yet.
#[derive(Debug)]
pub struct RunGuard {
    journal: Arc<Journal>,
    number: usize,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut runs = self.journal.runs.lock().expect("not poisoned");
        runs[self.number].ended_at = Some(Instant::now());
    }
}

/// Records all runs at all endpoints.
#[derive(Debug, Default)]
pub struct Journal {
    runs: Mutex<Vec<Run>>,
}

impl Journal {
    /// Records the start of a run. It ends when the guard is dropped.
    pub fn record(self: &Arc<Self>, run: Run) -> RunGuard {
        let mut runs = self.runs.lock().expect("not poisoned");
        runs.push(run);
        RunGuard { journal: self.clone(), number: runs.len() - 1 }
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
