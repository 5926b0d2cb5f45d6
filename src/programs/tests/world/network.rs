//! What is on its way in a run: messages arrive in any order but that of their stream, and the log
//! answers, loses answers, or takes effect late.

use super::{Message, PAGE, World};
use crate::prelude::*;
use crate::programs::{Event, LogCallError, Record};

impl World {
    pub(super) fn deliver_all(&mut self) {
        for _ in 0..self.net.len() {
            self.deliver(0);
        }
    }

    /// Delivers a message; those of one stream stay in order.
    pub(super) fn deliver(&mut self, arg: usize) {
        if self.net.is_empty() {
            return;
        }
        let chosen = arg % self.net.len();
        let same = |message: &Message| match (&self.net[chosen], message) {
            (Message::Reply { call, .. }, Message::Reply { call: other, .. }) => call == other,
            (Message::Owner { nonce, .. }, Message::Owner { nonce: other, .. }) => nonce == other,
            _ => false,
        };
        let first = self.net.iter().position(same).unwrap_or(chosen);
        if self.waits_for_paused(&self.net[first]) {
            return;
        }
        let message = self.net.remove(first);
        self.arrive(message);
    }

    /// Whether a message waits in a paused process's buffers.
    fn waits_for_paused(&self, message: &Message) -> bool {
        let paused = |nonce: u64| self.entries.iter().any(|e| e.nonce == nonce && e.paused);
        matches!(message, Message::Owner { nonce, .. } if paused(*nonce))
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::Owner { nonce, event } => self.tell_owner(nonce, event),
            Message::Append { nonce, records } => self.append(nonce, records),
            Message::Read { nonce, from } => {
                let page = match self.log.out {
                    true => Err(LogCallError::Unavailable),
                    false => Ok(self.log.read(from, PAGE)),
                };
                self.net.push(Message::Owner { nonce, event: Event::Read(page) });
            }
            Message::Submit { nonce, attempt } => self.submit(nonce, attempt),
            Message::Ask { nonce, attempt, endpoint, epoch } => {
                let report = self.ask(attempt, &endpoint, epoch);
                self.net.push(Message::Owner { nonce, event: Event::Report { attempt, report } });
            }
            Message::Reply { call, reply } => {
                self.check_recorded(call, &reply);
                if let Some((program, turn)) = self.callers.told(call, reply) {
                    let ran = self.executions.contains_key(&(program.clone(), TurnNo(turn)));
                    let refused_all = !self.callers.may_have_run(&program, turn);
                    assert!(!(ran && refused_all), "{program} turn {turn} ran, all refused");
                }
            }
        }
    }

    fn tell_owner(&mut self, nonce: u64, event: Event) {
        let Some(index) = self.entries.iter().position(|entry| entry.nonce == nonce) else {
            return;
        };
        self.handle(index, event);
    }

    fn append(&mut self, nonce: u64, records: Vec<Record>) {
        let result = if self.log.out {
            Err(LogCallError::Unavailable)
        } else if self.delay_next_append.take().is_some() {
            self.delayed.push(records);
            Err(LogCallError::NoAnswer)
        } else {
            let at = self.log.append(self.now, &records);
            match std::mem::take(&mut self.lose_next_append) {
                true => Err(LogCallError::NoAnswer),
                false => Ok(at),
            }
        };
        self.net.push(Message::Owner { nonce, event: Event::Appended(result) });
    }

    /// Appends whose answer was given up on take effect late.
    pub fn land_delayed(&mut self) {
        if !self.delayed.is_empty() && !self.log.out {
            let records = self.delayed.remove(0);
            self.log.append(self.now, &records);
        }
    }
}
