use std::net::SocketAddr;
use std::time::Duration;

use crate::contracts::{ApplyOutcome, ChangeOutcome, ConfigRecord, ConfigState, Operation};
use crate::ctl::CtlError;
use crate::entry::CONFIG_STREAM;
use crate::http::Client;
use crate::logstore::{LogClient, LogFault};
use crate::prelude::*;

/// Tries to find or send a change whose append was not answered.
const TRIES: usize = 3;

/// Publishes changes to the configuration stream.
pub(super) struct Publisher {
    log: LogClient,
    config_state: ConfigState,
}

fn unreachable(fault: LogFault) -> CtlError {
    CtlError::Log { fault, maybe_published: false }
}

impl Publisher {
    /// Reads the configuration in force.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Publisher, CtlError> {
        let log = LogClient::open(Client::open(), address, timeout);
        let mut records = Vec::new();
        let mut from = Offset(0);
        let mut earliest = None;
        loop {
            let page = log.read::<ConfigRecord>(CONFIG_STREAM, from, Duration::ZERO).await;
            let page = page.map_err(unreachable)?;
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

    /// The configuration as far as it was read.
    pub fn config_state(&self) -> &ConfigState {
        &self.config_state
    }

    /// Publishes a change and reads back what became of it. An append that was not answered is
    /// looked for by the change's number before it is sent again; of two copies only one counts,
    /// because the first moves the version on that both were made for.
    pub async fn publish(
        &mut self,
        workspace: WorkspaceId,
        base: Offset,
        operation: Operation,
    ) -> Result<Offset, CtlError> {
        let id = rand::random();
        let record = ConfigRecord::Change { id, workspace, base, operation };
        let mut last_fault = None;
        for _ in 0..TRIES {
            let sent = self.log.append(CONFIG_STREAM, std::slice::from_ref(&record)).await;
            last_fault = sent.err().or(last_fault);
            match self.find(id).await {
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

    /// Reads on to the end of the stream; returns what became of a change, if it is there.
    async fn find(&mut self, wanted: u64) -> Result<Option<ChangeOutcome>, LogFault> {
        let mut found = None;
        loop {
            let from = self.config_state.through().plus(1);
            let page = self.log.read::<ConfigRecord>(CONFIG_STREAM, from, Duration::ZERO).await?;
            for stored in &page.records {
                match self.config_state.apply(stored.offset, &stored.data) {
                    ApplyOutcome::Change { id, change } if id == wanted && found.is_none() => {
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
