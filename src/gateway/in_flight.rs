//! The requests that are being served, and what each of them waits for.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use slotmap::{SlotMap, new_key_type};

use crate::prelude::*;

new_key_type! { struct RequestKey; }

/// What a request waits for.
#[value]
#[derive(Copy)]
pub(super) enum Wait {
    /// A confirmed configuration, or the first read of the endpoint list.
    Configuration,
    /// The rest of its own body.
    Body,
    /// The admission by its workspace's rate.
    Rate,
    /// Another entry, which owns its program's shard or has a fresh configuration.
    Entry,
    /// The store, or the history of its program.
    Store,
    /// An endpoint.
    Endpoint,
    /// Its caller, who has yet to read the response.
    Caller,
}

impl Wait {
    /// The name in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Wait::Configuration => "configuration",
            Wait::Body => "body",
            Wait::Rate => "rate",
            Wait::Entry => "entry",
            Wait::Store => "store",
            Wait::Endpoint => "endpoint",
            Wait::Caller => "caller",
        }
    }
}

/// A request that is being served, from its arrival until its response was sent.
#[derive(Debug)]
pub(super) struct Progress {
    /// The request's ID; none until its head was understood.
    request: RefCell<Option<Arc<str>>>,
    arrived: TimeMs,
    wait: Cell<Wait>,
}

impl Progress {
    /// The progress of a request that has just arrived.
    pub(super) fn open(arrived: TimeMs) -> Rc<Progress> {
        let wait = Cell::new(Wait::Configuration);
        Rc::new(Progress { request: RefCell::default(), arrived, wait })
    }

    pub(super) fn arrived(&self) -> TimeMs {
        self.arrived
    }

    pub(super) fn set_request(&self, request: &Arc<str>) {
        self.request.replace(Some(request.clone()));
    }

    pub(super) fn set_wait(&self, wait: Wait) {
        self.wait.set(wait);
    }
}

/// All requests of callers and other entries that are being served.
#[derive(Debug, Default)]
pub(super) struct RequestsInFlight {
    requests: RefCell<SlotMap<RequestKey, Rc<Progress>>>,
}

impl RequestsInFlight {
    /// Counts a request until the returned guard is dropped.
    pub(super) fn begin(self: &Rc<Self>, progress: Rc<Progress>) -> Running {
        let key = self.requests.borrow_mut().insert(progress);
        Running { requests: self.clone(), key }
    }

    pub(super) fn count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Logs each request whose connection closes without a whole response, as the process exits.
    pub(super) fn log_unanswered(&self, now: TimeMs) {
        for progress in self.requests.borrow().values() {
            let request = progress.request.borrow();
            log::warn!(request:% = request.as_deref().unwrap_or_default(),
                waits_for = progress.wait.get().name(), age_ms = now.since(progress.arrived);
                "request in flight at exit; its connection closes without a whole response");
        }
    }
}

/// Guard that counts a request as being served.
#[derive(Debug)]
pub(super) struct Running {
    requests: Rc<RequestsInFlight>,
    key: RequestKey,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.requests.requests.borrow_mut().remove(self.key);
    }
}
