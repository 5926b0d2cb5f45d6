use std::cell::RefCell;

use tokio::sync::Notify;

use super::reader_limits::Reader;

/// The response that a connection is sending, if it is subject to the limits on slow readers.
///
/// The HTTP implementation does not ask a body for more while its connection is blocked, so a body
/// can't report that it is to be disconnected. The connection is closed instead.
#[derive(Default)]
pub(super) struct CurrentResponse {
    reader: RefCell<Option<Reader>>,
    changed: Notify,
}

impl CurrentResponse {
    pub(super) fn set(&self, reader: Option<Reader>) {
        self.reader.replace(reader);
        self.changed.notify_one();
    }

    /// Completes when the current response is to be disconnected.
    pub(super) async fn wait_until_disconnected(&self) {
        loop {
            let reader = self.reader.borrow().clone();
            let Some(reader) = reader else {
                self.changed.notified().await;
                continue;
            };
            tokio::select! {
                biased;
                () = self.changed.notified() => {}
                () = reader.wait_until_disconnected() => return,
            }
        }
    }
}
