use std::collections::{HashMap, VecDeque};
use std::fmt;

use super::record::{Entry, account_record, decode, turn_record};
use super::{Account, ProgramKey, Record, RecordFault, Turn, TurnKey};
use crate::prelude::*;

/// How much longer than promised a record is kept: clocks of VMs differ, and a successor judges by
/// its own: twice the difference that the platform allows for.
const KEPT_LONGER_MS: u64 = 10_000;

/// A program has spent its budget: the turn is not run.
#[value]
#[derive(Copy)]
pub struct Spent {
    /// Tokens handed out or promised to turns under way.
    pub used: u64,
    /// The program's budget.
    pub budget: u64,
}

impl fmt::Display for Spent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} tokens are spent or promised", self.used, self.budget)
    }
}

impl std::error::Error for Spent {}

/// Numbers the records of one account.
#[key]
pub struct AccountVersion(u64);

/// A program's account while its shard is owned.
#[derive(Debug, Default)]
struct Running {
    spent: u64,
    /// The most that the turns under way may generate.
    under_way: u64,
    kept_until: UnixMs,
    /// What the newest record known to be durable counts: spent and reserved. A successor takes it all
    /// for spent.
    counted: u64,
    /// What the records count that are not known to be durable yet, oldest first.
    pending: VecDeque<(AccountVersion, u64)>,
    newest: u64,
}

impl Running {
    /// What a successor counts whichever of the records turns out to be the last that was written.
    fn counted_for_sure(&self) -> u64 {
        let pending = self.pending.iter().map(|(_, counted)| *counted);
        pending.fold(self.counted, u64::min)
    }

    /// Writes the account, with `ahead` reserved for a turn to come.
    fn write(&mut self, key: ProgramKey, ahead: u64) -> (Record, AccountVersion) {
        let reserved = self.under_way + ahead;
        self.newest += 1;
        let version = AccountVersion(self.newest);
        self.pending.push_back((version, self.spent + reserved));
        let account = Account { spent: self.spent, reserved, kept_until: self.kept_until };
        (account_record(key, Some(&account)), version)
    }
}

/// The turns and accounts of one shard.
#[derive(Debug, Default)]
pub struct Ledger {
    turns: HashMap<TurnKey, Turn>,
    accounts: HashMap<ProgramKey, Running>,
}

impl Ledger {
    /// Takes in a record of the log. What an earlier owner had reserved counts as spent, since it
    /// may have handed it out.
    pub fn load(&mut self, key: &str, value: &[u8]) -> Result<(), RecordFault> {
        match decode(key, value)? {
            Entry::Turn(key, turn) => {
                self.turns.insert(key, turn);
            }
            Entry::Account(key, Account { spent, reserved, kept_until }) => {
                let spent = spent + reserved;
                let counted = spent;
                self.accounts
                    .insert(key, Running { spent, counted, kept_until, ..Running::default() });
            }
        }
        Ok(())
    }

    /// A turn that was answered whole.
    pub fn turn(&self, key: TurnKey) -> Option<&Turn> {
        self.turns.get(&key)
    }

    /// The turn and all before it, oldest first; nothing unless the chain is whole.
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

    /// Reserves the most that a turn may generate; yields the record that has to be durable before
    /// its first token is handed out, unless an earlier one has reserved ahead.
    ///
    /// A turn starts while anything is left, so that a program may pass its budget by less than one
    /// turn; what turns under way may still generate counts as spent until they are over. Each
    /// record reserves one turn ahead: a program whose turns follow each other needs one record a
    /// turn instead of two, and loses at most one turn's tokens when its owner dies.
    pub fn reserve(
        &mut self,
        key: ProgramKey,
        budget: u64,
        most: u64,
        kept_until: UnixMs,
    ) -> Result<Option<(Record, AccountVersion)>, Spent> {
        let account = self.accounts.entry(key).or_default();
        let used = account.spent + account.under_way;
        if used >= budget {
            return Err(Spent { used, budget });
        }
        account.under_way += most;
        account.kept_until = account.kept_until.max(kept_until);
        // What turns before have used counts too: their records may not be durable yet.
        let covered = account.spent + account.under_way <= account.counted_for_sure();
        Ok((!covered).then(|| account.write(key, most)))
    }

    /// A turn is over: `used` of the `most` that it had reserved was handed out.
    pub fn settle(&mut self, key: ProgramKey, most: u64, used: u64) -> (Record, AccountVersion) {
        let account = self.accounts.entry(key).or_default();
        account.under_way = account.under_way.saturating_sub(most);
        account.spent += used;
        account.write(key, most)
    }

    /// Charges tokens that another process has generated without a record of this account; yields the
    /// record, if there is anything to charge. Unlike a turn that starts here, they must fit what is
    /// left whole: the one turn by which a program may pass its budget may be under way here already.
    pub fn charge(
        &mut self,
        key: ProgramKey,
        budget: u64,
        tokens: u64,
        kept_until: UnixMs,
    ) -> Result<Option<Record>, Spent> {
        if tokens == 0 {
            return Ok(None);
        }
        let account = self.accounts.entry(key).or_default();
        let used = account.spent + account.under_way;
        if used + tokens > budget {
            return Err(Spent { used, budget });
        }
        account.spent += tokens;
        account.kept_until = account.kept_until.max(kept_until);
        Ok(Some(account.write(key, 0).0))
    }

    /// A record of the account is durable, and so are those before it.
    pub fn mark_durable(&mut self, key: ProgramKey, version: AccountVersion) {
        let Some(account) = self.accounts.get_mut(&key) else {
            return;
        };
        while let Some((oldest, counted)) = account.pending.front().copied() {
            if oldest > version {
                return;
            }
            account.pending.pop_front();
            account.counted = counted;
        }
    }

    /// A turn was answered whole. Its chain is kept as long as it is.
    pub fn complete(&mut self, key: TurnKey, turn: Turn) -> Record {
        let record = turn_record(key, Some(&turn));
        let kept_until = turn.kept_until;
        let mut next = turn.parent;
        self.turns.insert(key, turn);
        while let Some(parent) = next.and_then(|parent| self.turns.get_mut(&parent)) {
            parent.kept_until = parent.kept_until.max(kept_until);
            next = parent.parent;
        }
        record
    }

    /// Takes over turns that another shard holds, so that this one holds the whole chain.
    pub fn import_turns(&mut self, turns: Vec<(TurnKey, Turn)>) -> Vec<Record> {
        let missing = turns.into_iter().filter(|(key, _)| !self.turns.contains_key(key));
        let missing: Vec<_> = missing.collect();
        missing.into_iter().map(|(key, turn)| self.complete(key, turn)).collect()
    }

    /// Forgets what is kept no longer, and yields the records that drop it from the log.
    pub fn expire(&mut self, now: UnixMs) -> Vec<Record> {
        let over = |kept_until: UnixMs| now.since(kept_until) > KEPT_LONGER_MS;
        let turns: Vec<_> =
            self.turns.iter().filter(|(_, t)| over(t.kept_until)).map(|(key, _)| *key).collect();
        let accounts: Vec<_> = self
            .accounts
            .iter()
            .filter(|(_, a)| over(a.kept_until) && a.under_way == 0)
            .map(|(key, _)| *key)
            .collect();
        self.turns.retain(|_, turn| !over(turn.kept_until));
        accounts.iter().for_each(|key| {
            self.accounts.remove(key);
        });
        let turns = turns.into_iter().map(|key| turn_record(key, None));
        turns.chain(accounts.into_iter().map(|key| account_record(key, None))).collect()
    }
}
