use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::http::{CallError, Client};
use crate::prelude::*;
use crate::programs::{AppendedAt, LogCallError, StoredRecord};

const MAX_PAGE_RECORDS: usize = 1_000;

/// A client of the platform's log service.
#[derive(Clone)]
pub struct LogClient {
    http: Client,
    address: SocketAddr,
    timeout: Duration,
}

/// Why a call to the log failed.
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

/// One page of records read from a stream.
#[value]
pub struct Page<T> {
    /// The first offset that is still in the log; earlier records have expired.
    pub earliest: Offset,
    /// The offset after the last record of the stream.
    pub end: Offset,
    /// The records, in order of their offsets.
    pub records: Vec<StoredRecord<T>>,
}

impl<T> Page<T> {
    /// Whether the page reaches the end of the stream.
    pub fn at_end(&self) -> bool {
        self.records.last().is_none_or(|last| last.offset.plus(1) >= self.end)
    }
}

#[derive(Serialize)]
struct AppendBody<'a, T> {
    records: &'a [T],
}

#[derive(Deserialize)]
struct AppendResponse {
    first_offset: u64,
    time_ms: u64,
}

#[derive(Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
struct ReadResponse<T> {
    earliest_offset: u64,
    next_offset: u64,
    records: Vec<StoredRecord<T>>,
}

impl From<AppendResponse> for AppendedAt {
    fn from(response: AppendResponse) -> AppendedAt {
        AppendedAt { first: Offset(response.first_offset), time_ms: UnixMs(response.time_ms) }
    }
}

impl<T> From<ReadResponse<T>> for Page<T> {
    fn from(response: ReadResponse<T>) -> Page<T> {
        Page {
            earliest: Offset(response.earliest_offset),
            end: Offset(response.next_offset),
            records: response.records,
        }
    }
}

impl LogClient {
    /// Creates a client whose calls take at most `timeout`; a read that waits for records takes
    /// longer by its `wait`.
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
        call.await.map(|response: AppendResponse| response.into()).map_err(LogFault)
    }

    /// Reads a page that starts at offset `from`. If the stream has no such record yet, the log
    /// waits for one up to `wait`.
    pub async fn read<T: DeserializeOwned>(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<Page<T>, LogFault> {
        let wait_ms = wait.as_millis();
        let path = format!(
            "/streams/{stream}/records?from={from}&limit={MAX_PAGE_RECORDS}&wait_ms={wait_ms}"
        );
        let call = self.http.get(self.address, &path, self.timeout + wait);
        call.await.map(|response: ReadResponse<T>| response.into()).map_err(LogFault)
    }
}
