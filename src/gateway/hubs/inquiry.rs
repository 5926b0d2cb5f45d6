use std::net::SocketAddr;

use crate::gateway::attach_message::Decision;
use crate::prelude::*;

/// Pause before a question is asked again, for each time that it is asked. The first time it goes to
/// one hub; then also to others, as a datagram may be lost or the hub may have died.
const QUESTION_TIMEOUTS_MS: [u64; 4] = [60, 100, 140, 200];

/// The most hubs that are asked at the same time.
const MAX_HUBS_ASKED: usize = 3;

/// Retry delay if no hub has answered. By then, another one counts.
const NO_HUB_RETRY_MS: u64 = 400;

/// Why a request has not been admitted.
#[value]
#[derive(Copy)]
pub enum NotAdmitted {
    /// The workspace's rate has no room.
    NoRoom {
        /// Time until there may be room.
        retry_after_ms: u64,
    },
    /// No hub has decided in time.
    Undecided {
        /// Time until one can be asked again.
        retry_after_ms: u64,
    },
}

/// What to do next for the admission of a request.
#[value]
pub enum InquiryStep {
    /// Decide here, as this entry is a hub that counts.
    CountHere,
    /// Ask these hubs, and wait for the first answer.
    Ask {
        /// The hubs.
        hubs: Vec<SocketAddr>,
        /// How long to wait.
        timeout_ms: u64,
    },
    /// Give up.
    End(NotAdmitted),
}

/// Finds a hub that decides on the admission of one request, without I/O.
#[derive(Debug)]
pub struct Inquiry {
    attempt: usize,
    /// The hubs that have said that they do not know the window.
    ignorant: Vec<SocketAddr>,
    /// What the request is told if no hub decides.
    not_admitted: NotAdmitted,
}

impl Inquiry {
    /// An inquiry that has asked nobody yet.
    pub fn open() -> Inquiry {
        let not_admitted = NotAdmitted::Undecided { retry_after_ms: NO_HUB_RETRY_MS };
        Inquiry { attempt: 0, ignorant: vec![], not_admitted }
    }

    /// The next step, if `order` are the hubs in the order in which they are to count, and `own` is
    /// the address of this entry.
    pub fn next_step(&mut self, mut order: Vec<SocketAddr>, own: SocketAddr) -> InquiryStep {
        let Some(timeout_ms) = QUESTION_TIMEOUTS_MS.get(self.attempt).copied() else {
            return InquiryStep::End(self.not_admitted);
        };
        self.attempt += 1;
        order.retain(|hub| !self.ignorant.contains(hub));
        if order.is_empty() && !self.ignorant.is_empty() {
            return InquiryStep::End(self.not_admitted);
        }
        order.truncate(self.attempt.min(MAX_HUBS_ASKED));
        match order.contains(&own) {
            true => InquiryStep::CountHere,
            false => InquiryStep::Ask { hubs: order, timeout_ms },
        }
    }

    /// Records a hub's decision not to admit the request. Returns why it is not admitted, if the
    /// decision is final.
    pub fn record_refusal(&mut self, hub: SocketAddr, decision: Decision) -> Option<NotAdmitted> {
        match decision {
            Decision::Admitted => None,
            Decision::NoRoom { retry_after_ms } => Some(NotAdmitted::NoRoom { retry_after_ms }),
            Decision::Unknown { retry_after_ms } => {
                self.ignorant.push(hub);
                self.not_admitted = NotAdmitted::NoRoom { retry_after_ms };
                None
            }
        }
    }
}
