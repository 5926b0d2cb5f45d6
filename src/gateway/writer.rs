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

/// The most bytes of one batch: half of what the store takes in a call.
const BATCH_MOST_BYTES: usize = 1 << 20;

/// The longest wait for one append: the store answers in some 6 ms, and in a quarter of a
/// second when it is slow.
const APPEND_TIMEOUT_MS: u64 = 700;

/// Pause before a failed append is sent again.
const RETRY_MS: u64 = 40;

/// Told once the records are durable; dropped if they never will be under this epoch.
pub(super) type AppendAck = oneshot::Receiver<()>;

/// The records of one shard on their way to the store: one batch at a time, all that wait together.
#[derive(Default)]
pub(super) struct Writer {
    waiting: RefCell<Vec<(Vec<Record>, oneshot::Sender<()>)>>,
    wake: Notify,
    failing: Cell<bool>,
    /// Appends succeed again.
    recovered: Notify,
    closed: Cell<bool>,
}

impl Writer {
    /// Appends records, whole or not at all. None only confirms the epoch.
    pub(super) fn append(&self, records: Vec<Record>) -> AppendAck {
        let (done, recorded) = oneshot::channel();
        if self.closed.get() {
            return recorded;
        }
        self.waiting.borrow_mut().push((records, done));
        self.wake.notify_one();
        recorded
    }

    /// Waits while appends fail, for a part of a request's time; `false` if they still fail then.
    pub(super) async fn wait_until_writable(&self, left_ms: u64) -> bool {
        !self.failing.get() || wait_until(left_ms, &self.recovered, || !self.failing.get()).await
    }

    fn take(&self) -> (Vec<Record>, Vec<oneshot::Sender<()>>) {
        let mut waiting = self.waiting.borrow_mut();
        let mut bytes = 0;
        let fits = |(records, _): &&(Vec<Record>, oneshot::Sender<()>)| {
            let before = bytes;
            bytes += records.iter().map(record_bytes).sum::<usize>();
            before == 0 || bytes <= BATCH_MOST_BYTES
        };
        let count = waiting.iter().take_while(fits).count();
        let (records, done): (Vec<_>, Vec<_>) = waiting.drain(..count).unzip();
        (records.into_iter().flatten().collect(), done)
    }
}

fn record_bytes(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Vec::len) + 8
}

/// Writes a shard's records until its epoch is over.
pub(super) async fn write_records(gateway: Rc<Gateway>, shard: Rc<OwnedShard>) {
    let mut sequence = gateway.first_sequence;
    while shard.stage() != Stage::Lost {
        let (records, done) = shard.writer.take();
        if done.is_empty() {
            shard.writer.wake.notified().await;
            continue;
        }
        // A batch without records confirms the epoch only: the store does not number it.
        sequence += u64::from(!records.is_empty());
        let append = Append { shard: shard.number, epoch: shard.epoch, sequence, records };
        if !write(&gateway, &shard, &append).await {
            break;
        }
        // Whoever no longer waits has given its turn up; the record stays all the same.
        done.into_iter().for_each(|done| done.send(()).unwrap_or_default());
    }
    lose(&gateway, &shard);
}

/// Appends a batch; `false` once the epoch is over. An append without an answer is sent again under
/// its number: the store does it once.
async fn write(gateway: &Gateway, shard: &OwnedShard, append: &Append) -> bool {
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
                    "a shard is lost");
                return false;
            }
            Err(fault) => {
                gateway.reachability.record_failure(gateway.now(), &fault);
                if !shard.writer.failing.replace(true) {
                    log::warn!(shard = shard.number, fault:display; "records can't be written");
                }
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                if shard.stage() == Stage::Lost {
                    return false;
                }
            }
        }
    }
}

/// The shard's epoch is over: whoever waits for a record is told so by its dropped sender.
pub(super) fn lose(gateway: &Gateway, shard: &OwnedShard) {
    shard.enter(Stage::Lost);
    shard.writer.closed.set(true);
    shard.writer.failing.set(false);
    shard.writer.recovered.notify_waiters();
    shard.writer.waiting.borrow_mut().clear();
    shard.writer.wake.notify_one();
    let current = gateway.shards.owned(shard.number);
    if current.is_some_and(|current| current.epoch == shard.epoch) {
        gateway.shards.give_up(shard.number);
    }
}
