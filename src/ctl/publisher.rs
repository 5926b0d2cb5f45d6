use std::net::SocketAddr;
use std::time::Duration;

use crate::contracts::{ApplyOutcome, ChangeOutcome, ConfigRecord, ConfigState, Operation};
use crate::ctl::CtlError;
use crate::entry::CONFIG_STREAM;
use crate::http::Client;
use crate::logstore::{LogClient, LogFault};
use crate::prelude::*;

/// How often a change is appended at most, until it is found in the stream.
const MAX_ATTEMPTS: usize = 3;

/// Publishes changes to the configuration stream, and holds the configuration read from it.
pub(super) struct Publisher {
    log: LogClient,
    config_state: ConfigState,
}

fn read_failed(fault: LogFault) -> CtlError {
    CtlError::Log { fault, maybe_published: false }
}

impl Publisher {
    /// Reads the whole configuration stream and builds the configuration from it.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Publisher, CtlError> {
        let log = LogClient::open(Client::open(), address, timeout);
        let mut records = Vec::new();
        let mut from = Offset(0);
        let mut earliest = None;
        loop {
            let page = log.read::<ConfigRecord>(CONFIG_STREAM, from, Duration::ZERO).await;
            let page = page.map_err(read_failed)?;
            let at_end = page.at_end();
            earliest.get_or_insert(page.earliest);
            records.extend(page.records);
            match records.last() {
                Some(last) if !at_end => from = last.offset.plus(1),
                _ => break,
            }
        }
        let records = records.iter().map(|stored| (stored.offset, &stored.data));
        let config_state = ConfigState::from_records(earliest.unwrap_or_default(), records);
        Ok(Publisher { log, config_state: config_state.ok_or(CtlError::ConfigurationLost)? })
    }

    /// The configuration as of the last record read.
    pub fn config_state(&self) -> &ConfigState {
        &self.config_state
    }

    /// Appends a change and reads back whether it was accepted. The append may go unanswered and yet
    /// succeed, so the stream is searched for the change's id before the change is sent again. If two
    /// copies reach the stream, only one takes effect: the first advances the version that both are
    /// based on, so that the second conflicts.
    pub async fn publish(
        &mut self,
        workspace: WorkspaceId,
        base: Offset,
        operation: Operation,
    ) -> Result<Offset, CtlError> {
        let id = rand::random();
        let record = ConfigRecord::Change { id, workspace, base, operation };
        let mut last_fault = None;
        for _ in 0..MAX_ATTEMPTS {
            let sent = self.log.append(CONFIG_STREAM, std::slice::from_ref(&record)).await;
            last_fault = sent.err().or(last_fault);
            match self.find_change(id).await {
                Ok(Some(ChangeOutcome::Accepted(offset))) => return Ok(offset),
                Ok(Some(ChangeOutcome::Conflict(conflict))) => {
                    return Err(CtlError::Conflict(conflict));
                }
                Ok(None) => {}
                Err(fault) => last_fault = Some(fault),
            }
        }
        match last_fault {
            Some(fault) => {
                let maybe_published = !fault.0.not_sent();
                Err(CtlError::Log { fault, maybe_published })
            }
            None => Err(CtlError::ConfigurationLost),
        }
    }

    /// Reads to the end of the stream and returns the outcome of the change with this id, if the
    /// stream holds it.
    async fn find_change(&mut self, change_id: u64) -> Result<Option<ChangeOutcome>, LogFault> {
        let mut found = None;
        loop {
            let from = self.config_state.through().plus(1);
            let page = self.log.read::<ConfigRecord>(CONFIG_STREAM, from, Duration::ZERO).await?;
            for stored in &page.records {
                match self.config_state.apply(stored.offset, &stored.data) {
                    ApplyOutcome::Change { id, change } if id == change_id && found.is_none() => {
                        found = Some(change);
                    }
                    _ => {}
                }
            }
            if page.at_end() {
                return Ok(found);
            }
        }
    }
}
