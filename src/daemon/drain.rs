use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use crate::prelude::*;

/// Time for callers and entries to notice that the process is leaving, and its share of the drain
/// timeout if that is short. Until then, requests are on their way over open connections.
const NOTICE_TIME: Duration = Duration::from_secs(2);
const MAX_NOTICE_SHARE: u32 = 4;
/// Time for answers to be written before the process exits, and its share of the drain timeout if
/// that is short.
const ANSWER_TIME: Duration = Duration::from_secs(1);
const MAX_ANSWER_SHARE: u32 = 5;

/// The bounds of a graceful shutdown. All follow from the drain timeout, so that whatever is in
/// flight is answered before the process exits.
#[value]
#[derive(Copy)]
pub struct DrainBounds {
    /// Until when further requests on open connections are read and answered.
    pub close: Instant,
    /// When the requests that are still in flight are answered, whatever they wait for.
    pub answers_due: Instant,
    /// When the process exits at the latest.
    pub exit: Instant,
}

impl DrainBounds {
    /// The bounds of a shutdown that begins at `started`.
    pub fn new(started: Instant, drain_timeout: Duration) -> DrainBounds {
        let close = started + NOTICE_TIME.min(drain_timeout / MAX_NOTICE_SHARE);
        let exit = started + drain_timeout;
        let answer_time = ANSWER_TIME.min(drain_timeout / MAX_ANSWER_SHARE);
        DrainBounds { close, answers_due: exit - answer_time, exit }
    }

    /// Waits for `finish`, which ends once every request is answered. If it has not ended when
    /// answers are due, calls `answer`, which ends what the requests wait for, and waits for
    /// `finish` until the exit. Returns whether it ended.
    pub async fn finish(self, finish: impl Future<Output = ()>, answer: impl FnOnce()) -> bool {
        tokio::pin!(finish);
        if timeout_at(self.answers_due, &mut finish).await.is_ok() {
            return true;
        }
        log::warn!("the drain timeout is near; answering the requests in flight");
        answer();
        timeout_at(self.exit, finish).await.is_ok()
    }
}
