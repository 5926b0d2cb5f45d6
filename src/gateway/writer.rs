use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::call_store::call_store;
use super::owned_shard::{OwnedShard, Stage};
use super::state::Gateway;
use super::wait_until::wait_until;
use super::{Append, StoreError};
use crate::turns::Record;

/// The largest batch in bytes: half of what the store accepts in one call. Records queued together
/// are never split, and form a batch alone if they are larger.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// Time limit of one append. The store answers within about 6 ms, and within 250 ms when it is
/// slow.
const APPEND_TIMEOUT_MS: u64 = 700;

/// Pause before a failed append is retried.
const RETRY_MS: u64 = 40;

/// Completes once the records are durable. Fails with a closed channel if the epoch ends before
/// that; the records may still have reached the store.
pub(super) type AppendAck = oneshot::Receiver<()>;

/// The queue of records that one shard writes to the store. One batch is in flight at a time, and
/// all records that queue up meanwhile go into the next one.
#[derive(Default)]
pub(super) struct Writer {
    queue: RefCell<Vec<(Vec<Record>, oneshot::Sender<()>)>>,
    wake: Notify,
    failing: Cell<bool>,
    /// Notified when appends succeed again, or the shard is lost.
    recovered: Notify,
    closed: Cell<bool>,
}

impl Writer {
    /// Queues records that are to be appended atomically. An empty list only confirms the epoch.
    pub(super) fn append(&self, records: Vec<Record>) -> AppendAck {
        let (ack, recorded) = oneshot::channel();
        if self.closed.get() {
            return recorded;
        }
        self.queue.borrow_mut().push((records, ack));
        self.wake.notify_one();
        recorded
    }

    /// Waits until appends no longer fail, for at most a part of the `left_ms` that a request has
    /// left. Returns `false` if they still fail then.
    pub(super) async fn wait_until_writable(&self, left_ms: u64) -> bool {
        !self.failing.get() || wait_until(left_ms, &self.recovered, || !self.failing.get()).await
    }

    /// Takes the records of the next append, and what is to be notified once they are durable.
    pub(super) fn next_batch(&self) -> (Vec<Record>, Vec<oneshot::Sender<()>>) {
        let mut queue = self.queue.borrow_mut();
        let mut bytes = 0;
        let fits = |(records, _): &&(Vec<Record>, oneshot::Sender<()>)| {
            let before = bytes;
            bytes += records.iter().map(record_bytes).sum::<usize>();
            before == 0 || bytes <= MAX_BATCH_BYTES
        };
        let count = queue.iter().take_while(fits).count();
        let (records, acks): (Vec<_>, Vec<_>) = queue.drain(..count).unzip();
        (records.into_iter().flatten().collect(), acks)
    }
}

/// The size of a record in a batch, with room for its framing.
fn record_bytes(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Vec::len) + 8
}

/// Writes a shard's queued records until its epoch ends.
pub(super) async fn run_writer(gateway: Rc<Gateway>, shard: Rc<OwnedShard>) {
    let mut sequence = gateway.first_sequence;
    while shard.stage() != Stage::Lost {
        let (records, acks) = shard.writer.next_batch();
        if acks.is_empty() {
            shard.writer.wake.notified().await;
            continue;
        }
        // The store does not number an empty batch, which only confirms the epoch.
        sequence += u64::from(!records.is_empty());
        let append = Append { shard: shard.number, epoch: shard.epoch, sequence, records };
        if !append_with_retries(&gateway, &shard, &append).await {
            break;
        }
        // A receiver is gone if its turn was abandoned; the record stays in the store all the same.
        acks.into_iter().for_each(|ack| ack.send(()).unwrap_or_default());
    }
    end_ownership(&gateway, &shard);
}

/// Appends a batch, retrying until it succeeds. Returns `false` if the epoch has ended. A retry
/// keeps its sequence number, by which the store applies the batch only once.
async fn append_with_retries(gateway: &Gateway, shard: &OwnedShard, append: &Append) -> bool {
    loop {
        match call_store(APPEND_TIMEOUT_MS, gateway.store.append(append)).await {
            Ok(()) => {
                gateway.reachability.record_success(gateway.now());
                if shard.writer.failing.replace(false) {
                    shard.writer.recovered.notify_waiters();
                }
                return true;
            }
            Err(fault @ (StoreError::Fenced | StoreError::OutOfSequence { .. })) => {
                log::warn!(shard = shard.number, epoch = shard.epoch, fault:display;
                    "append rejected; giving up the shard");
                return false;
            }
            Err(fault) => {
                gateway.reachability.record_failure(gateway.now(), &fault);
                if !shard.writer.failing.replace(true) {
                    log::warn!(shard = shard.number, fault:display;
                        "appending records failed; retrying");
                }
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                if shard.stage() == Stage::Lost {
                    return false;
                }
            }
        }
    }
}

/// Ends the ownership of a shard under its epoch. Dropping the queued senders tells those waiting
/// for a record that this epoch will not confirm it.
pub(super) fn end_ownership(gateway: &Gateway, shard: &OwnedShard) {
    shard.set_stage(Stage::Lost);
    shard.writer.closed.set(true);
    shard.writer.failing.set(false);
    shard.writer.recovered.notify_waiters();
    shard.writer.queue.borrow_mut().clear();
    shard.writer.wake.notify_one();
    let current = gateway.shards.owned(shard.number);
    if current.is_some_and(|current| current.epoch == shard.epoch) {
        gateway.shards.remove_owned(shard.number);
    }
}
