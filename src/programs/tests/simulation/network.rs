//! Simulated network and log. Messages are reordered, except those to one owner or to one call; the
//! log answers, loses answers, or applies appends late.

use super::{Message, PAGE_RECORDS, Simulation};
use crate::prelude::*;
use crate::programs::{Event, LogCallError, Record};

impl Simulation {
    pub(super) fn deliver_all(&mut self) {
        for _ in 0..self.in_flight.len() {
            self.deliver(0);
        }
    }

    /// Delivers one message. Messages to the same owner, or to the same call, stay in order.
    pub(super) fn deliver(&mut self, arg: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let chosen = arg % self.in_flight.len();
        let same = |message: &Message| match (&self.in_flight[chosen], message) {
            (Message::Reply { call, .. }, Message::Reply { call: other, .. }) => call == other,
            (Message::Owner { nonce, .. }, Message::Owner { nonce: other, .. }) => nonce == other,
            _ => false,
        };
        let first = self.in_flight.iter().position(same).unwrap_or(chosen);
        if self.is_for_paused_entry(&self.in_flight[first]) {
            return;
        }
        let message = self.in_flight.remove(first);
        self.receive(message);
    }

    /// Whether a message has to wait because the receiving entry is paused.
    fn is_for_paused_entry(&self, message: &Message) -> bool {
        let paused = |nonce: u64| self.entries.iter().any(|e| e.nonce == nonce && e.paused);
        matches!(message, Message::Owner { nonce, .. } if paused(*nonce))
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Owner { nonce, event } => self.notify_owner(nonce, event),
            Message::Append { nonce, records } => self.append(nonce, records),
            Message::Read { nonce, from } => {
                let page = match self.log.unavailable {
                    true => Err(LogCallError::Unavailable),
                    false => Ok(self.log.read(from, PAGE_RECORDS)),
                };
                self.in_flight.push(Message::Owner { nonce, event: Event::Read(page) });
            }
            Message::Submit { nonce, attempt } => self.submit(nonce, attempt),
            Message::QueryAttempt { nonce, attempt, endpoint, epoch } => {
                let report = self.query_attempt(attempt, &endpoint, epoch);
                self.in_flight
                    .push(Message::Owner { nonce, event: Event::Report { attempt, report } });
            }
            Message::Reply { call, reply } => {
                self.check_is_recorded(call, &reply);
                if let Some((program, turn)) = self.callers.record_reply(call, reply) {
                    let ran = self.executions.contains_key(&(program.clone(), TurnNo(turn)));
                    let refused_all = !self.callers.may_have_run(&program, turn);
                    assert!(
                        !(ran && refused_all),
                        "{program} turn {turn} ran although every call of it was refused as not run"
                    );
                }
            }
        }
    }

    fn notify_owner(&mut self, nonce: u64, event: Event) {
        let Some(index) = self.entries.iter().position(|entry| entry.nonce == nonce) else {
            return;
        };
        self.handle(index, event);
    }

    fn append(&mut self, nonce: u64, records: Vec<Record>) {
        let result = if self.log.unavailable {
            Err(LogCallError::Unavailable)
        } else if self.delay_next_append.take().is_some() {
            self.delayed_appends.push(records);
            Err(LogCallError::NoAnswer)
        } else {
            let at = self.log.append(self.now, &records);
            match std::mem::take(&mut self.lose_next_append_answer) {
                true => Err(LogCallError::NoAnswer),
                false => Ok(at),
            }
        };
        self.in_flight.push(Message::Owner { nonce, event: Event::Appended(result) });
    }

    /// Applies the oldest delayed append. Its caller has already treated it as unanswered.
    pub fn apply_delayed_append(&mut self) {
        if !self.delayed_appends.is_empty() && !self.log.unavailable {
            let records = self.delayed_appends.remove(0);
            self.log.append(self.now, &records);
        }
    }
}
