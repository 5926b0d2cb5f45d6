use std::collections::{BTreeSet, HashMap};

use slotmap::{SlotMap, new_key_type};

use super::cold::Sends;
use super::{
    Announcement, AnswerCounts, ColdLimits, ColdShare, EndpointChange, Evacuations, Health,
};
use crate::prelude::*;

/// How long after an outage of the list an entry that has lapsed stays in use. Entries lapse while
/// their owners can't reach the list; those alive are back about two seconds after its return, so
/// that dropping them at once would leave no endpoint at all. Counted from the outage's end: an
/// endpoint that leaves soon after it must not be used for longer than others that leave.
const LAPSE_GRACE_MS: u64 = 2_200;

new_key_type! {
    /// An endpoint's place in the directory.
    pub struct ReplicaKey;
}

/// One endpoint.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Its identity; each start has a new one, mostly.
    pub id: Arc<str>,
    /// Stands for the identity in messages between entries.
    pub hash: u64,
    /// What it said last.
    pub announcement: Announcement,
    /// Requests that this process has running there.
    pub in_flight: u32,
    /// Requests that the other entries have running there, as they told last.
    pub others_in_flight: u32,
    /// Its entry has lapsed: it stays in use until then.
    lapses_at: Option<TimeMs>,
    /// It is cold until then, as far as is known.
    cold_until: TimeMs,
    sends: Sends,
    health: Health,
}

impl Replica {
    /// Requests of all entries running there.
    pub fn load(&self) -> u32 {
        self.in_flight + self.others_in_flight
    }

    /// What the other entries should hear of its answers.
    pub fn answers_to_share(&self, now: TimeMs) -> Option<AnswerCounts> {
        self.health.to_tell(now)
    }

    /// Whether new requests may be sent to it, as far as its own state goes.
    pub fn usable(&self, now: TimeMs) -> bool {
        let on_trial = self.health.is_on_trial() && self.in_flight > 0;
        !self.announcement.draining && !self.health.is_ejected(now) && !on_trial
    }

    /// Whether it has started, or lost its caches, of late.
    pub fn is_cold(&self, now: TimeMs) -> bool {
        now < self.cold_until
    }

    fn becomes_cold(&mut self, now: TimeMs, cold_ms: u64) {
        if cold_ms > 0 && !self.is_cold(now) {
            log::info!(endpoint:% = self.id, cold_ms; "an endpoint is cold");
        }
        self.cold_until = self.cold_until.max(now.plus(cold_ms));
    }
}

/// All endpoints known.
#[derive(Debug, Default)]
pub struct Directory {
    /// Tells this process's choices apart from those of the others.
    seed: u64,
    replicas: SlotMap<ReplicaKey, Replica>,
    by_id: HashMap<Arc<str>, ReplicaKey>,
    by_hash: HashMap<u64, ReplicaKey>,
    by_service: HashMap<Arc<str>, Vec<ReplicaKey>>,
    list_back_at: Option<TimeMs>,
    evacuations: Evacuations,
    cold_limits: HashMap<Arc<str>, ColdLimits>,
    cold_share: ColdShare,
}

impl Directory {
    /// An empty directory. Processes with different seeds try an endpoint that has failed again at
    /// different moments.
    pub fn open(seed: u64) -> Directory {
        Directory { seed, cold_share: ColdShare::open(seed), ..Directory::default() }
    }

    /// Takes a change in; `false` if it is older than what is known.
    pub fn apply(&mut self, now: TimeMs, change: EndpointChange) -> bool {
        match change {
            EndpointChange::Announcement(id, announcement) => self.announce(now, id, announcement),
            EndpointChange::Removed(id) | EndpointChange::Unreadable(id) => self.lapse(now, &id),
        }
    }

    /// The list can be read again after an outage.
    pub fn record_list_recovery(&mut self, now: TimeMs) {
        self.list_back_at = Some(now);
    }

    /// What is evacuated as of `as_of` in the operator's record. Endpoints of domains that may be used
    /// again count as cold: nothing ran there, and they say so only later.
    pub fn update_evacuations(&mut self, now: TimeMs, as_of: u64, domains: BTreeSet<Arc<str>>) {
        let restored = self.evacuations.replace(as_of, domains);
        let keys: Vec<_> = self.replicas.keys().collect();
        for key in keys {
            if restored.contains(&self.replicas[key].announcement.failure_domain) {
                self.assume_cold(now, key);
            }
        }
    }

    /// What is evacuated.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// What the endpoints of each service bear while they are cold.
    pub fn set_cold_limits(&mut self, rules: HashMap<Arc<str>, ColdLimits>) {
        self.cold_limits = rules;
    }

    /// The other entries that send to these endpoints, known `now`, counted from the start.
    pub fn update_entries(&mut self, now: TimeMs, others: Vec<u64>) {
        self.cold_share.know(now.0, others);
    }

    /// Whether an endpoint is in a failure domain that may be used, and if it is cold, whether this entry's
    /// share of what it bears has room.
    pub fn may_send(&self, now: TimeMs, key: ReplicaKey) -> bool {
        self.replicas
            .get(key)
            .is_some_and(|replica| !self.is_evacuated(replica) && self.has_room(now, replica))
    }

    /// Whether an endpoint is in a failure domain that may not be used.
    pub fn is_evacuated(&self, replica: &Replica) -> bool {
        self.evacuations.contains(&replica.announcement.failure_domain)
    }

    fn has_room(&self, now: TimeMs, replica: &Replica) -> bool {
        if !replica.is_cold(now) {
            return true;
        }
        let rule = self.cold_limits.get(&replica.announcement.service);
        rule.is_none_or(|rule| {
            replica.sends.within_window(now) < self.cold_share.of(replica.hash, rule)
        })
    }

    /// An endpoint may have started anew or lost its caches, and has not said so yet.
    pub fn assume_cold(&mut self, now: TimeMs, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            let rule = self.cold_limits.get(&replica.announcement.service);
            replica.becomes_cold(now, rule.map_or(0, |rule| rule.duration_ms));
        }
    }

    fn announce(&mut self, now: TimeMs, id: Arc<str>, announcement: Announcement) -> bool {
        let cold_ms = announcement.cold_left_ms;
        let mut sends = Sends::default();
        if let Some(key) = self.by_id.get(&id).copied() {
            let known = &self.replicas[key].announcement;
            let at = (announcement.started_at_ms, announcement.sequence);
            if at < (known.started_at_ms, known.sequence) {
                return false;
            }
            let same_life = announcement.started_at_ms == known.started_at_ms;
            if same_life
                && announcement.service == known.service
                && announcement.address == known.address
            {
                let replica = &mut self.replicas[key];
                replica.announcement = announcement;
                replica.lapses_at = None;
                replica.becomes_cold(now, cold_ms);
                return true;
            }
            // What was sent to its address of late may have reached the new life.
            sends = self.remove(key).map(|earlier| earlier.sends).unwrap_or_default();
        }
        let service = announcement.service.clone();
        let hash = Digest::of(&[id.as_bytes()]).prefix();
        let mut replica = Replica {
            id: id.clone(),
            hash,
            announcement,
            in_flight: 0,
            others_in_flight: 0,
            lapses_at: None,
            cold_until: TimeMs::default(),
            sends,
            health: Health::open(self.seed ^ hash),
        };
        replica.becomes_cold(now, cold_ms);
        let key = self.replicas.insert(replica);
        self.by_id.insert(id, key);
        self.by_hash.insert(hash, key);
        self.by_service.entry(service).or_default().push(key);
        true
    }

    fn lapse(&mut self, now: TimeMs, id: &str) -> bool {
        let Some(key) = self.by_id.get(id).copied() else {
            return false;
        };
        match self.list_back_at.map(|back_at| back_at.plus(LAPSE_GRACE_MS)) {
            Some(lapses_at) if now < lapses_at => {
                self.replicas[key].lapses_at = Some(lapses_at);
            }
            _ => drop(self.remove(key)),
        }
        true
    }

    /// Drops the entries whose grace is over.
    pub fn remove_expired(&mut self, now: TimeMs) {
        let record_finished = |replica: &Replica| replica.lapses_at.is_some_and(|at| now > at);
        let gone: Vec<_> =
            self.replicas.iter().filter(|(_, r)| record_finished(r)).map(|(key, _)| key).collect();
        gone.into_iter().for_each(|key| drop(self.remove(key)));
    }

    fn remove(&mut self, key: ReplicaKey) -> Option<Replica> {
        let replica = self.replicas.remove(key)?;
        self.by_id.remove(&replica.id);
        self.by_hash.remove(&replica.hash);
        if let Some(of_service) = self.by_service.get_mut(&replica.announcement.service) {
            of_service.retain(|other| *other != key);
        }
        Some(replica)
    }

    /// The endpoint at `key`, unless it is gone.
    pub fn get(&self, key: ReplicaKey) -> Option<&Replica> {
        self.replicas.get(key)
    }

    /// The endpoint named `id`, unless it is gone.
    pub fn find(&self, id: &str) -> Option<ReplicaKey> {
        self.by_id.get(id).copied()
    }

    /// The endpoint that `hash` stands for, unless it is not known.
    pub fn find_by_hash(&self, hash: u64) -> Option<ReplicaKey> {
        self.by_hash.get(&hash).copied()
    }

    /// All endpoints of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (ReplicaKey, &Replica)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.replicas.get(*key).map(|replica| (*key, replica)))
    }

    /// All endpoints.
    pub fn all(&self) -> impl Iterator<Item = (ReplicaKey, &Replica)> {
        self.replicas.iter()
    }

    /// A request was sent there.
    pub fn record_sent(&mut self, now: TimeMs, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.in_flight += 1;
            replica.sends.add(now);
        }
    }

    /// A request that was sent there is over.
    pub fn record_finished(&mut self, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.in_flight = replica.in_flight.saturating_sub(1);
        }
    }

    /// What the other entries have running there.
    pub fn set_others_in_flight(&mut self, key: ReplicaKey, in_flight: u32) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.others_in_flight = in_flight;
        }
    }

    /// It answered a request as it should.
    pub fn record_success(&mut self, now: TimeMs, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.health.record_success(now);
        }
    }

    /// It broke a request off, failed it, or can't be reached.
    pub fn record_failure(&mut self, now: TimeMs, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.health.record_failure(now);
        }
    }

    /// Another entry, in the life `life`, had these answers from it; `first` if that entry is heard
    /// for the first time.
    pub fn merge_answers(
        &mut self,
        now: TimeMs,
        key: ReplicaKey,
        life: u64,
        answers: AnswerCounts,
        first: bool,
    ) {
        match self.replicas.get_mut(key) {
            Some(replica) if first => replica.health.meet(now, life, answers),
            Some(replica) => replica.health.told(now, life, answers),
            None => {}
        }
    }
}
