use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Number of a producer's latest appends whose repeats get the first answer again.
const MAX_REPEATABLE_APPENDS: usize = 5;

/// The outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Appended {
    /// Stored: the offset of the first record, and the offset after the last one.
    Done(u64, u64),
    /// Rejected: the partition has seen a later epoch.
    Fenced,
    /// Rejected: this sequence number is the next one.
    OutOfSequence(u64),
}

/// The producer of an append, if stated.
#[derive(Debug, Clone)]
pub(crate) struct Producer {
    pub(crate) name: String,
    pub(crate) epoch: u64,
    pub(crate) sequence: u64,
}

/// What a partition remembers of a producer.
#[derive(Debug, Default)]
struct ProducerState {
    epoch: u64,
    last: Option<u64>,
    answers: VecDeque<(u64, Appended)>,
}

/// One partition of a keyed topic.
#[derive(Debug, Default)]
pub(crate) struct Partition {
    /// Keys and values by offset; a record without a value deletes its key.
    pub(crate) records: Vec<(String, Option<Vec<u8>>)>,
    producers: HashMap<String, ProducerState>,
}

impl Partition {
    pub(crate) fn append(
        &mut self,
        records: Vec<(String, Option<Vec<u8>>)>,
        producer: Option<Producer>,
    ) -> Appended {
        let Some(producer) = producer else {
            return self.add(records);
        };
        let known = self.producers.entry(producer.name.clone()).or_default();
        if producer.epoch < known.epoch {
            return Appended::Fenced;
        }
        if producer.epoch > known.epoch {
            *known = ProducerState { epoch: producer.epoch, ..ProducerState::default() };
        }
        if records.is_empty() {
            return self.add(records);
        }
        if let Some((_, answer)) = known.answers.iter().find(|(at, _)| *at == producer.sequence) {
            return *answer;
        }
        if known.last.is_some_and(|last| producer.sequence != last + 1) {
            return Appended::OutOfSequence(known.last.map_or(0, |last| last + 1));
        }
        let answer = self.add(records);
        if let Some(known) = self.producers.get_mut(&producer.name) {
            known.last = Some(producer.sequence);
            known.answers.push_back((producer.sequence, answer));
            if known.answers.len() > MAX_REPEATABLE_APPENDS {
                known.answers.pop_front();
            }
        }
        answer
    }

    fn add(&mut self, records: Vec<(String, Option<Vec<u8>>)>) -> Appended {
        let first = self.records.len() as u64;
        self.records.extend(records);
        Appended::Done(first, self.records.len() as u64)
    }

    /// The newest value of each key.
    pub(crate) fn newest(&self) -> BTreeMap<&str, (&[u8], u64)> {
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in self.records.iter().enumerate() {
            match value {
                Some(value) => newest.insert(key.as_str(), (value.as_slice(), offset as u64)),
                None => newest.remove(key.as_str()),
            };
        }
        newest
    }
}

/// A group that distributes partitions evenly among its members. A partition that is reassigned stays
/// with its holder until that member joins with the new generation, leaves, or expires.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) generation: u64,
    members: BTreeMap<String, Instant>,
    holders: Vec<Option<String>>,
    assigned: Vec<Option<String>>,
}

impl Group {
    pub(crate) fn open(parts: usize) -> Group {
        Group { holders: vec![None; parts], assigned: vec![None; parts], ..Group::default() }
    }

    pub(crate) fn join(&mut self, member: &str, generation: u64, ttl: Duration) -> Vec<u32> {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|name, seen| name == member || now.duration_since(*seen) < ttl);
        let known = self.members.insert(member.to_string(), now).is_some();
        if !known || self.members.len() != before {
            self.reassign();
        }
        for part in 0..self.holders.len() {
            let mine = self.assigned[part].as_deref() == Some(member);
            if self.holders[part].as_deref() == Some(member)
                && !mine
                && generation >= self.generation
            {
                self.holders[part] = None;
            }
            if mine && self.holders[part].is_none() {
                self.holders[part] = Some(member.to_string());
            }
        }
        let held = (0..self.holders.len()).filter(|part| {
            let mine = |name: &Option<String>| name.as_deref() == Some(member);
            mine(&self.holders[*part]) && mine(&self.assigned[*part])
        });
        held.map(|part| part as u32).collect()
    }

    pub(crate) fn leave(&mut self, member: &str) {
        if self.members.remove(member).is_some() {
            self.reassign();
        }
    }

    /// Reassigns all partitions.
    pub(crate) fn reassign(&mut self) {
        self.generation += 1;
        let members: Vec<&String> = self.members.keys().collect();
        let turn = self.generation as usize;
        for part in 0..self.assigned.len() {
            let chosen = members.get((part + turn) % members.len().max(1));
            self.assigned[part] = chosen.map(|name| name.to_string());
            let alive = self.holders[part].as_ref().is_some_and(|h| self.members.contains_key(h));
            if !alive {
                self.holders[part] = None;
            }
        }
    }
}
