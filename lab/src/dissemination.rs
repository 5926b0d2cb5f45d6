//! Compares ways to tell all entries of a rare fact, such as a shard's new owner: messages from each to
//! all, messages between hubs that pass it on to their leaves, and messages to random peers that pass
//! it on (epidemic, as in Demers et al., 1987). Some datagrams are lost, and some entries are frozen.

use crate::random::Random;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const ENTRIES: [usize; 5] = [30, 100, 350, 620, 1_240];
/// Time step: the latency between two entries and the time that they take to act on a message.
const STEP_MS: u64 = 10;
const LOST_FRACTION: f64 = 0.02;
const RUN_MS: u64 = 20_000;
const GOSSIP_INTERVAL_MS: u64 = 200;
const ATTACH_INTERVAL_MS: u64 = 250;
/// When a leaf gives up a silent hub.
const HUB_SILENT_MS: u64 = 700;
const MAX_HUBS: usize = 48;
/// Random peers that an entry sends to in each interval.
const FANOUT: usize = 3;
/// Bytes of a message between entries that each say all of their own state, of a hub's short answer
/// to a leaf, and of what a datagram holds at most.
const STATE_BYTES: f64 = 300.0;
const ATTACH_BYTES: f64 = 60.0;
const DATAGRAM_BYTES: f64 = 1_400.0;
/// Requests that an entry admits in a second, and bytes of the row that tells of one.
const ADMITTED_PER_S: f64 = 1.3;
const ROW_BYTES: f64 = 16.0;

#[derive(Clone, Copy)]
enum Way {
    EachToAll,
    Hubs,
    RandomPeers,
}

/// What an entry sends and receives in a second.
struct Load {
    messages: f64,
    bytes: f64,
}

/// The load of an entry in the middle and of the busiest.
fn loads(way: Way, entries: usize) -> (Load, Load) {
    let per_s = 1_000.0 / GOSSIP_INTERVAL_MS as f64;
    let others = entries as f64 - 1.0;
    match way {
        Way::EachToAll => {
            let load = || Load {
                messages: 2.0 * others * per_s,
                bytes: 2.0 * others * per_s * STATE_BYTES,
            };
            (load(), load())
        }
        Way::Hubs => {
            let hubs = entries.min(MAX_HUBS) as f64;
            let leaves = (entries as f64 - hubs) / hubs;
            let attach = 2.0 * 1_000.0 / ATTACH_INTERVAL_MS as f64 + 2.0 * ADMITTED_PER_S;
            let rows = ADMITTED_PER_S * (1.0 + leaves) / per_s * ROW_BYTES;
            let among_hubs = 2.0 * (hubs - 1.0) * per_s;
            let busiest = Load {
                messages: among_hubs + leaves * attach,
                bytes: among_hubs * (STATE_BYTES + rows) + leaves * attach * ATTACH_BYTES,
            };
            let middle = match entries > 2 * MAX_HUBS {
                true => Load { messages: attach, bytes: attach * ATTACH_BYTES },
                false => Load { ..busiest },
            };
            (middle, busiest)
        }
        Way::RandomPeers => {
            // Every entry needs each row once, and gets it more than once.
            let rows = ADMITTED_PER_S * others * ROW_BYTES * FANOUT as f64;
            let datagrams = (rows / DATAGRAM_BYTES).max(FANOUT as f64 * per_s);
            let load =
                || Load { messages: 2.0 * datagrams, bytes: 2.0 * rows.max(datagrams * 60.0) };
            (load(), load())
        }
    }
}

/// The entries that know the fact, and those that take part in nothing.
struct Fleet {
    knows: Vec<bool>,
    frozen: Vec<bool>,
    random: Random,
}

impl Fleet {
    fn open(entries: usize, frozen_fraction: f64, seed: u64) -> Fleet {
        let mut random = Random::new(seed);
        let mut frozen: Vec<_> = (0..entries).map(|_| random.unit() < frozen_fraction).collect();
        frozen[0] = false;
        let mut knows = vec![false; entries];
        knows[0] = true;
        Fleet { knows, frozen, random }
    }

    fn is_done(&self) -> bool {
        self.knows.iter().zip(&self.frozen).all(|(knows, frozen)| *knows || *frozen)
    }

    /// Whether a message from one entry reaches the other.
    fn reaches(&mut self, from: usize, to: usize) -> bool {
        !self.frozen[from] && !self.frozen[to] && self.random.unit() >= LOST_FRACTION
    }

    /// The entries that know the fact and whose turn to send it is in this step, a new one at once.
    fn senders(&self, step: u64, known_before: &[bool]) -> Vec<usize> {
        let steps = GOSSIP_INTERVAL_MS / STEP_MS;
        let is_due = |entry: &usize| {
            self.knows[*entry]
                && (!known_before[*entry] || (step + *entry as u64).is_multiple_of(steps))
        };
        (0..self.knows.len()).filter(is_due).collect()
    }

    fn tell(&mut self, from: usize, to: usize) {
        if self.reaches(from, to) {
            self.knows[to] = true;
        }
    }
}

/// Time until the last live entry knows the fact.
fn time_to_last_ms(way: Way, entries: usize, frozen_fraction: f64, seed: u64) -> u64 {
    let mut fleet = Fleet::open(entries, frozen_fraction, seed);
    let hubs = entries.min(MAX_HUBS);
    // When a leaf, by its number, has given up its first hubs.
    let hub_of = |leaf: usize, now_ms: u64| (leaf + (now_ms / HUB_SILENT_MS) as usize) % hubs;
    let mut attached: Vec<Option<usize>> = vec![None; entries];
    let mut known_before = vec![false; entries];
    for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        if fleet.is_done() {
            return now_ms;
        }
        let senders = fleet.senders(now_ms / STEP_MS, &known_before);
        known_before.clone_from(&fleet.knows);
        for from in senders {
            match way {
                Way::EachToAll => (0..entries).for_each(|to| fleet.tell(from, to)),
                Way::Hubs if from == 0 => (0..hubs).for_each(|to| fleet.tell(from, to)),
                Way::Hubs => {}
                Way::RandomPeers => {
                    for _ in 0..FANOUT {
                        let to = fleet.random.below(entries as u64) as usize;
                        fleet.tell(from, to);
                    }
                }
            }
        }
        if matches!(way, Way::Hubs) {
            let steps = ATTACH_INTERVAL_MS / STEP_MS;
            for (leaf, attached) in attached.iter_mut().enumerate().skip(hubs) {
                let hub = attached.unwrap_or_else(|| hub_of(leaf, now_ms));
                let is_due = (now_ms / STEP_MS + leaf as u64).is_multiple_of(steps);
                if is_due && fleet.reaches(hub, leaf) {
                    *attached = Some(hub);
                    fleet.knows[leaf] |= fleet.knows[hub];
                }
            }
        }
    }
    RUN_MS
}

fn worst_ms(way: Way, entries: usize, frozen_fraction: f64) -> u64 {
    let times = SEEDS.map(|seed| time_to_last_ms(way, entries, frozen_fraction, seed));
    times.into_iter().max().unwrap_or_default()
}

/// Prints what each way costs an entry, and the time until the last one knows a fact.
pub fn run() {
    println!(
        "{:<13} {:>7} {:>10} {:>10} {:>10} {:>10} {:>10} {:>12}",
        "way",
        "entries",
        "middle/s",
        "busiest/s",
        "middle B",
        "busiest B",
        "last ms",
        "a third frozen"
    );
    let ways =
        [("each to all", Way::EachToAll), ("hubs", Way::Hubs), ("random peers", Way::RandomPeers)];
    for (name, way) in ways {
        for entries in ENTRIES {
            let (middle, busiest) = loads(way, entries);
            println!(
                "{name:<13} {entries:>7} {:>10.0} {:>10.0} {:>10.0} {:>10.0} {:>10} {:>12}",
                middle.messages,
                busiest.messages,
                middle.bytes,
                busiest.bytes,
                worst_ms(way, entries, 0.0),
                worst_ms(way, entries, 1.0 / 3.0),
            );
        }
    }
}
