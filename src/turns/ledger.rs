use std::collections::{HashMap, VecDeque};
use std::fmt;

use super::record::{DecodedRecord, account_record, decode, turn_record};
use super::{Account, ProgramKey, Record, RecordFault, Turn, TurnKey};
use crate::prelude::*;

/// How long a record is kept beyond its `kept_until`. The clocks of VMs differ, and the next owner
/// of the shard compares with its own; this is twice the difference that the platform allows for.
const RETENTION_GRACE_MS: u64 = 10_000;

/// The program's token budget is exhausted; the turn is not run.
#[value]
#[derive(Copy)]
pub struct BudgetExhausted {
    /// Tokens delivered to callers, plus tokens reserved for turns in flight.
    pub used: u64,
    /// The program's budget, in tokens.
    pub budget: u64,
}

impl fmt::Display for BudgetExhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "token budget exhausted: {} of {} tokens are spent or reserved",
            self.used, self.budget
        )
    }
}

impl std::error::Error for BudgetExhausted {}

/// Sequence number of a record of one account.
#[key]
pub struct AccountVersion(u64);

/// In-memory state of a program's account while this entry owns the shard.
#[derive(Debug, Default)]
struct AccountState {
    spent: u64,
    /// Maximum number of tokens that the turns in flight may generate.
    in_flight: u64,
    kept_until: UnixMs,
    /// Spent and reserved tokens in the newest record known to be durable. The next owner of the
    /// shard counts both as spent.
    durable_total: u64,
    /// The same sum for each record that is not known to be durable yet, oldest first.
    pending: VecDeque<(AccountVersion, u64)>,
    /// Version of the newest record, durable or not.
    last_version: u64,
}

impl AccountState {
    /// The least that the next owner counts as spent, whichever record turns out to be the last in
    /// the log.
    fn min_total(&self) -> u64 {
        let pending = self.pending.iter().map(|(_, total)| *total);
        pending.fold(self.durable_total, u64::min)
    }

    /// Creates the next record of the account, with `ahead` tokens reserved for a future turn.
    fn next_record(&mut self, key: ProgramKey, ahead: u64) -> (Record, AccountVersion) {
        let reserved = self.in_flight + ahead;
        self.last_version += 1;
        let version = AccountVersion(self.last_version);
        self.pending.push_back((version, self.spent + reserved));
        let account = Account { spent: self.spent, reserved, kept_until: self.kept_until };
        (account_record(key, Some(&account)), version)
    }
}

/// The turns and accounts of one shard.
#[derive(Debug, Default)]
pub struct Ledger {
    turns: HashMap<TurnKey, Turn>,
    /// Turns that are not in the ledger, but continued by turns that are, and how long those are
    /// kept. Records are not loaded in the order in which turns continue each other.
    missing_parents: HashMap<TurnKey, UnixMs>,
    accounts: HashMap<ProgramKey, AccountState>,
}

impl Ledger {
    /// Loads a record from the log, and returns the turn if it is one. Tokens that an earlier owner
    /// reserved count as spent, since it may have delivered them.
    pub fn load(&mut self, key: &str, value: &[u8]) -> Result<Option<TurnKey>, RecordFault> {
        match decode(key, value)? {
            DecodedRecord::Turn(key, turn) => {
                self.insert_turn(key, turn);
                Ok(Some(key))
            }
            DecodedRecord::Account(key, Account { spent, reserved, kept_until }) => {
                let spent = spent + reserved;
                let durable_total = spent;
                self.accounts.insert(
                    key,
                    AccountState { spent, durable_total, kept_until, ..AccountState::default() },
                );
                Ok(None)
            }
        }
    }

    /// Whether a program has begun: its account exists from its first turn on, and is kept in the
    /// log for the next owners.
    pub fn has_account(&self, key: ProgramKey) -> bool {
        self.accounts.contains_key(&key)
    }

    /// The tokens that a program has spent or reserved for turns in flight.
    fn used(&self, key: ProgramKey) -> u64 {
        self.accounts.get(&key).map_or(0, |account| account.spent + account.in_flight)
    }

    /// The completed turn with this key, if it is in the ledger.
    pub fn turn(&self, key: TurnKey) -> Option<&Turn> {
        self.turns.get(&key)
    }

    /// The turn and all its predecessors, oldest first; none if any of them is missing.
    pub fn chain(&self, last: TurnKey) -> Option<Vec<(TurnKey, &Turn)>> {
        let mut chain = Vec::new();
        let mut next = Some(last);
        while let Some(key) = next {
            let turn = self.turns.get(&key)?;
            chain.push((key, turn));
            next = turn.parent;
        }
        chain.reverse();
        Some(chain)
    }

    /// Reserves the maximum number of tokens that a turn may generate. Returns the record that must
    /// be durable before the turn's first token is delivered, or none if an earlier record already
    /// covers the reservation.
    ///
    /// A turn may start while any budget is left, so a program can exceed its budget by less than
    /// one turn. What turns in flight may still generate counts as spent until they end. Each
    /// record reserves one turn ahead: a program that runs its turns in sequence needs one record
    /// per turn instead of two, and loses at most one turn's tokens when the owner crashes.
    pub fn reserve(
        &mut self,
        key: ProgramKey,
        budget: u64,
        max_tokens: u64,
        kept_until: UnixMs,
    ) -> Result<Option<(Record, AccountVersion)>, BudgetExhausted> {
        let used = self.used(key);
        if used >= budget {
            return Err(BudgetExhausted { used, budget });
        }
        let account = self.accounts.entry(key).or_default();
        account.in_flight += max_tokens;
        account.kept_until = account.kept_until.max(kept_until);
        // Tokens spent by earlier turns count too: their records may not be durable yet.
        let is_covered = account.spent + account.in_flight <= account.min_total();
        Ok((!is_covered).then(|| account.next_record(key, max_tokens)))
    }

    /// Ends a turn that reserved `max_tokens` tokens and delivered `used` of them. Returns the
    /// account's next record, which reserves `max_tokens` ahead for the program's next turn.
    pub fn settle(
        &mut self,
        key: ProgramKey,
        max_tokens: u64,
        used: u64,
    ) -> (Record, AccountVersion) {
        let account = self.accounts.entry(key).or_default();
        account.in_flight = account.in_flight.saturating_sub(max_tokens);
        account.spent += used;
        account.next_record(key, max_tokens)
    }

    /// Charges tokens that another process generated without writing a record of this account.
    /// Returns the record, or none if there is nothing to charge. Unlike a turn that starts here,
    /// the tokens must fit completely into the remaining budget: the one turn by which a program
    /// may exceed its budget may already be in flight here.
    pub fn charge(
        &mut self,
        key: ProgramKey,
        budget: u64,
        tokens: u64,
        kept_until: UnixMs,
    ) -> Result<Option<Record>, BudgetExhausted> {
        if tokens == 0 {
            return Ok(None);
        }
        let used = self.used(key);
        if used + tokens > budget {
            return Err(BudgetExhausted { used, budget });
        }
        let account = self.accounts.entry(key).or_default();
        account.spent += tokens;
        account.kept_until = account.kept_until.max(kept_until);
        Ok(Some(account.next_record(key, 0).0))
    }

    /// Marks a record of the account, and all earlier ones, as durable.
    pub fn mark_durable(&mut self, key: ProgramKey, version: AccountVersion) {
        let Some(account) = self.accounts.get_mut(&key) else {
            return;
        };
        while let Some((oldest, total)) = account.pending.front().copied() {
            if oldest > version {
                return;
            }
            account.pending.pop_front();
            account.durable_total = total;
        }
    }

    /// Stores a completed turn. The turns before it are kept for at least as long.
    pub fn complete(&mut self, key: TurnKey, turn: Turn) -> Record {
        let record = turn_record(key, Some(&turn));
        self.insert_turn(key, turn);
        record
    }

    /// Inserts a turn, which is kept for at least as long as the turns that continue it. The log
    /// doesn't say how long that is: each owner derives it from the records of those turns.
    fn insert_turn(&mut self, key: TurnKey, mut turn: Turn) {
        let before = self.turns.get(&key).map(|turn| turn.kept_until);
        let needed = self.missing_parents.remove(&key);
        turn.kept_until = turn.kept_until.max(before.max(needed).unwrap_or_default());
        let (kept_until, parent) = (turn.kept_until, turn.parent);
        self.turns.insert(key, turn);
        self.keep_chain(parent, kept_until);
    }

    /// Keeps a turn and all before it for at least as long. A turn that runs keeps those that it
    /// continues, although it is in the log only after its end.
    pub fn keep_chain(&mut self, last: Option<TurnKey>, kept_until: UnixMs) {
        let mut next = last;
        while let Some(key) = next {
            let Some(parent) = self.turns.get_mut(&key) else {
                let needed = self.missing_parents.entry(key).or_default();
                *needed = kept_until.max(*needed);
                return;
            };
            // The turns before this one are kept for as long as it is.
            if parent.kept_until >= kept_until {
                return;
            }
            parent.kept_until = kept_until;
            next = parent.parent;
        }
    }

    /// Copies turns that another shard holds, so that this one holds the complete chain. Returns
    /// the records of those that were missing.
    pub fn import_turns(&mut self, turns: Vec<(TurnKey, Turn)>) -> Vec<Record> {
        let missing = turns.into_iter().filter(|(key, _)| !self.turns.contains_key(key));
        let missing: Vec<_> = missing.collect();
        missing.into_iter().map(|(key, turn)| self.complete(key, turn)).collect()
    }

    /// Removes expired turns and accounts, and returns the records that delete them from the log.
    pub fn expire(&mut self, now: UnixMs) -> Vec<Record> {
        let is_expired = |kept_until: UnixMs| now.since(kept_until) > RETENTION_GRACE_MS;
        let turns: Vec<_> = self
            .turns
            .iter()
            .filter(|(_, t)| is_expired(t.kept_until))
            .map(|(key, _)| *key)
            .collect();
        let accounts: Vec<_> = self
            .accounts
            .iter()
            .filter(|(_, a)| is_expired(a.kept_until) && a.in_flight == 0)
            .map(|(key, _)| *key)
            .collect();
        self.turns.retain(|_, turn| !is_expired(turn.kept_until));
        self.missing_parents.retain(|_, kept_until| !is_expired(*kept_until));
        accounts.iter().for_each(|key| {
            self.accounts.remove(key);
        });
        let turns = turns.into_iter().map(|key| turn_record(key, None));
        turns.chain(accounts.into_iter().map(|key| account_record(key, None))).collect()
    }
}
