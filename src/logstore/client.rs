use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::http::{CallError, Client};
use crate::prelude::*;
use crate::programs::{AppendedAt, LogCallError, StoredRecord};

const PAGE_RECORDS: usize = 1_000;

/// A client of the log.
#[derive(Clone)]
pub struct LogClient {
    http: Client,
    address: SocketAddr,
    timeout: Duration,
}

/// Why the log gave no answer.
#[value]
#[derive(Copy)]
pub struct LogFault(pub CallError);

impl From<LogFault> for LogCallError {
    fn from(fault: LogFault) -> LogCallError {
        match fault.0 {
            CallError::NotSent | CallError::Status(_) => LogCallError::Unavailable,
            CallError::NoAnswer | CallError::TimedOut | CallError::BadAnswer => {
                LogCallError::NoAnswer
            }
        }
    }
}

/// One page of a stream.
#[value]
pub struct Page<T> {
    /// The first offset that the log still holds.
    pub earliest: Offset,
    /// The offset after the last record of the stream.
    pub end: Offset,
    /// The records, in order.
    pub records: Vec<StoredRecord<T>>,
}

impl<T> Page<T> {
    /// Whether no record follows the page.
    pub fn at_end(&self) -> bool {
        self.records.last().is_none_or(|last| last.offset.plus(1) >= self.end)
    }
}

#[derive(Serialize)]
struct AppendBody<'a, T> {
    records: &'a [T],
}

#[derive(Deserialize)]
struct AppendAnswer {
    first_offset: u64,
    time_ms: u64,
}

#[derive(Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
struct ReadAnswer<T> {
    earliest_offset: u64,
    next_offset: u64,
    records: Vec<StoredRecord<T>>,
}

impl From<AppendAnswer> for AppendedAt {
    fn from(answer: AppendAnswer) -> AppendedAt {
        AppendedAt { first: Offset(answer.first_offset), time_ms: UnixMs(answer.time_ms) }
    }
}

impl<T> From<ReadAnswer<T>> for Page<T> {
    fn from(answer: ReadAnswer<T>) -> Page<T> {
        Page {
            earliest: Offset(answer.earliest_offset),
            end: Offset(answer.next_offset),
            records: answer.records,
        }
    }
}

impl LogClient {
    /// Opens a client whose calls take at most `timeout`.
    pub fn open(http: Client, address: SocketAddr, timeout: Duration) -> LogClient {
        LogClient { http, address, timeout }
    }

    /// Appends records to a stream as one batch.
    pub async fn append<T: Serialize>(
        &self,
        stream: &str,
        records: &[T],
    ) -> Result<AppendedAt, LogFault> {
        let path = format!("/streams/{stream}/append");
        let body = AppendBody { records };
        let call = self.http.call(Method::POST, self.address, &path, &body, self.timeout);
        call.await.map(|answer: AppendAnswer| answer.into()).map_err(LogFault)
    }

    /// Reads a page from an offset on; waits up to `wait` for a first record.
    pub async fn read<T: DeserializeOwned>(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<Page<T>, LogFault> {
        let wait_ms = wait.as_millis();
        let path =
            format!("/streams/{stream}/records?from={from}&limit={PAGE_RECORDS}&wait_ms={wait_ms}");
        let call = self.http.get(self.address, &path, self.timeout + wait);
        call.await.map(|answer: ReadAnswer<T>| answer.into()).map_err(LogFault)
    }
}
