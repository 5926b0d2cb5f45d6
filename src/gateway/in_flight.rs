//! The requests that are being served: what each of them waits for, and whether it may have run.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use slotmap::{SlotMap, new_key_type};

use super::Refusal;
use crate::http::BodyGate;
use crate::prelude::*;

new_key_type! { struct RequestKey; }

/// Retry delay of a request that the process gives up before it was sent: time to connect to another
/// entry.
const GIVEN_UP_RETRY_MS: u64 = 100;

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
    /// The rest of its response, or its caller, who has yet to read it.
    Response,
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
            Wait::Response => "response",
        }
    }
}

/// A request that is being served, from its arrival until its response was sent.
///
/// Its `Dispatch` counts attempts to decide whether another one is made. What is counted here decides
/// how the request is answered if it is given up, whatever it then waits for.
#[derive(Debug)]
pub(super) struct Progress {
    /// The request's ID; none until its head was understood.
    request: RefCell<Option<Arc<str>>>,
    arrived: TimeMs,
    wait: Cell<Wait>,
    sends: Cell<Sends>,
    /// Decides whether another entry, to which the request is being forwarded, gets its body.
    forward_gate: RefCell<Option<Arc<BodyGate>>>,
}

/// What was sent of a request.
#[derive(Debug, Clone, Copy)]
enum Sends {
    /// It may be sent to an endpoint, and may have run this many times.
    Open { may_have_run: u32 },
    /// It is answered, and must not be sent again.
    GivenUp,
}

impl Progress {
    /// The progress of a request that has just arrived.
    pub(super) fn open(arrived: TimeMs) -> Rc<Progress> {
        Rc::new(Progress {
            request: RefCell::default(),
            arrived,
            wait: Cell::new(Wait::Configuration),
            sends: Cell::new(Sends::Open { may_have_run: 0 }),
            forward_gate: RefCell::default(),
        })
    }

    /// The request's ID; empty until its head was understood.
    pub(super) fn request(&self) -> Arc<str> {
        self.request.borrow().clone().unwrap_or_default()
    }

    pub(super) fn arrived(&self) -> TimeMs {
        self.arrived
    }

    pub(super) fn set_request(&self, request: &Arc<str>) {
        self.request.replace(Some(request.clone()));
    }

    pub(super) fn wait(&self) -> Wait {
        self.wait.get()
    }

    pub(super) fn set_wait(&self, wait: Wait) {
        self.wait.set(wait);
    }

    /// Whether the request was answered because the process exits.
    pub(super) fn is_given_up(&self) -> bool {
        matches!(self.sends.get(), Sends::GivenUp)
    }

    /// Records that the request is about to be sent to an endpoint. Returns `false` if it must not be,
    /// as it was given up.
    pub(super) fn begin_send(&self) -> bool {
        match self.sends.get() {
            Sends::Open { may_have_run } => {
                self.sends.set(Sends::Open { may_have_run: may_have_run + 1 });
                true
            }
            Sends::GivenUp => false,
        }
    }

    /// Records that the endpoint to which the request was last sent has certainly not run it.
    pub(super) fn record_not_run(&self) {
        if let Sends::Open { may_have_run } = self.sends.get() {
            self.sends.set(Sends::Open { may_have_run: may_have_run.saturating_sub(1) });
        }
    }

    /// Records that the request is about to be forwarded to another entry, which gets the body once
    /// `gate` is open. Returns `false` if it must not be, as it was given up.
    pub(super) fn begin_forward(&self, gate: &Arc<BodyGate>) -> bool {
        self.forward_gate.replace(Some(gate.clone()));
        !self.is_given_up()
    }

    /// Records that the entry to which the request was last forwarded will certainly not run it.
    pub(super) fn end_forward(&self) {
        self.forward_gate.replace(None);
    }

    /// Ends the request although it is not served: it will not be sent again. Returns what to answer.
    /// Closing the gate decides whether another entry gets the body, and with it whether it may run.
    pub(super) fn give_up(&self) -> Refusal {
        let sends = self.sends.replace(Sends::GivenUp);
        let forwarded = self.forward_gate.borrow().as_ref().is_some_and(|gate| !gate.close());
        match sends {
            Sends::Open { may_have_run: 0 } if !forwarded => {
                Refusal::Unavailable { retry_after_ms: GIVEN_UP_RETRY_MS }
            }
            _ => Refusal::OutcomeUnknown,
        }
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
            log::warn!(request:% = progress.request(), waits_for = progress.wait().name(), age_ms = now.since(progress.arrived);
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
