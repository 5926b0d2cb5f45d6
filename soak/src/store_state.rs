use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Answers of a producer that are repeated when it repeats their calls.
const ANSWERS_KEPT: usize = 5;

/// What became of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Appended {
    /// It is done: the offset of the first record, and the end behind the last.
    Done(u64, u64),
    /// A later epoch was seen.
    Fenced,
    /// Another sequence number is due.
    OutOfSequence(u64),
}

/// Who appends, if it says so.
#[derive(Debug, Clone)]
pub(crate) struct Producer {
    pub(crate) name: String,
    pub(crate) epoch: u64,
    pub(crate) sequence: u64,
}

#[derive(Debug, Default)]
struct Known {
    epoch: u64,
    last: Option<u64>,
    answers: VecDeque<(u64, Appended)>,
}

/// One partition of a keyed topic.
#[derive(Debug, Default)]
pub(crate) struct Partition {
    /// Keys and values by offset; without a value, the key is dropped.
    pub(crate) records: Vec<(String, Option<Vec<u8>>)>,
    producers: HashMap<String, Known>,
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
            *known = Known { epoch: producer.epoch, ..Known::default() };
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
            if known.answers.len() > ANSWERS_KEPT {
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

/// A group that deals partitions evenly. One that was dealt to another stays with its holder until
/// the holder has shown the new generation, has left, or has fallen silent.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) generation: u64,
    members: BTreeMap<String, Instant>,
    holders: Vec<Option<String>>,
    dealt: Vec<Option<String>>,
}

impl Group {
    pub(crate) fn open(parts: usize) -> Group {
        Group { holders: vec![None; parts], dealt: vec![None; parts], ..Group::default() }
    }

    pub(crate) fn join(&mut self, member: &str, generation: u64, ttl: Duration) -> Vec<u32> {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|name, seen| name == member || now.duration_since(*seen) < ttl);
        let known = self.members.insert(member.to_string(), now).is_some();
        if !known || self.members.len() != before {
            self.deal();
        }
        for part in 0..self.holders.len() {
            let mine = self.dealt[part].as_deref() == Some(member);
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
            mine(&self.holders[*part]) && mine(&self.dealt[*part])
        });
        held.map(|part| part as u32).collect()
    }

    pub(crate) fn leave(&mut self, member: &str) {
        if self.members.remove(member).is_some() {
            self.deal();
        }
    }

    /// Deals all partitions anew.
    pub(crate) fn deal(&mut self) {
        self.generation += 1;
        let members: Vec<&String> = self.members.keys().collect();
        let turn = self.generation as usize;
        for part in 0..self.dealt.len() {
            let chosen = members.get((part + turn) % members.len().max(1));
            self.dealt[part] = chosen.map(|name| name.to_string());
            let alive = self.holders[part].as_ref().is_some_and(|h| self.members.contains_key(h));
            if !alive {
                self.holders[part] = None;
            }
        }
    }
}
