use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The slots of an endpoint, and the queue of requests that wait for one.
#[derive(Debug)]
pub(crate) struct Slots {
    free: Arc<Semaphore>,
    total: usize,
    max_waiting: usize,
    /// Each waiting request holds a clone.
    waiting: Arc<()>,
}

impl Slots {
    /// As many slots as requests.
    pub(crate) fn unlimited() -> Slots {
        Slots::limited(Semaphore::MAX_PERMITS, 0)
    }

    pub(crate) fn limited(total: usize, max_waiting: usize) -> Slots {
        Slots { free: Arc::new(Semaphore::new(total)), total, max_waiting, waiting: Arc::new(()) }
    }

    /// Waits for a slot, which is free again when the permit is dropped. Returns `None` at once if
    /// the queue is full.
    pub(crate) async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.free.clone().try_acquire_owned() {
            return Some(permit);
        }
        if self.waiting() >= self.max_waiting {
            return None;
        }
        let _waiting = self.waiting.clone();
        self.free.clone().acquire_owned().await.ok()
    }

    /// Number of requests that wait for a slot.
    pub(crate) fn waiting(&self) -> usize {
        Arc::strong_count(&self.waiting) - 1
    }

    /// Number of slots in use.
    pub(crate) fn running(&self) -> usize {
        self.total - self.free.available_permits()
    }
}
