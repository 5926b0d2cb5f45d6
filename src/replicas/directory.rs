use std::collections::{BTreeSet, HashMap};

use slotmap::{SlotMap, new_key_type};

use super::cold_limits::RecentSends;
use super::outdated_run::OutdatedRun;
use super::{
    Announcement, AnswerCounts, ChangeOutcome, ColdLimits, EndpointChange, Evacuations, Health,
    ListOutage, Replica, SenderQuota,
};
use crate::load::{Correction, EndpointReport, ReportOutcome, ReportedLoad};
use crate::prelude::*;

new_key_type! {
    /// Key of an endpoint in the directory.
    pub struct ReplicaKey;
}

/// All known endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    /// Hash of this entry's name. Makes its retry times differ from those of the other entries.
    seed: u64,
    replicas: SlotMap<ReplicaKey, Replica>,
    by_id: HashMap<Arc<str>, ReplicaKey>,
    by_hash: HashMap<u64, ReplicaKey>,
    by_service: HashMap<Arc<str>, Vec<ReplicaKey>>,
    list_outage: ListOutage,
    evacuations: Evacuations,
    cold_limits: HashMap<Arc<str>, ColdLimits>,
    sender_quota: SenderQuota,
}

impl Directory {
    /// An empty directory for the entry whose name has the hash `seed`. Entries with different
    /// seeds retry a failed endpoint at different times.
    pub fn open(seed: u64) -> Directory {
        Directory { seed, sender_quota: SenderQuota::open(seed), ..Directory::default() }
    }

    /// Applies a change of the endpoint list.
    pub fn apply(&mut self, now: TimeMs, change: EndpointChange) -> ChangeOutcome {
        match change {
            EndpointChange::Announcement(id, announcement) => {
                self.apply_announcement(now, id, announcement)
            }
            EndpointChange::Removed(id) | EndpointChange::Unreadable(id) => {
                self.apply_removal(now, &id)
            }
        }
    }

    /// Records a failed read of the list. `is_general` tells whether the store is unreachable for
    /// most entries rather than for this one only.
    pub fn record_list_failure(&mut self, is_general: bool) {
        self.list_outage.record_failure(is_general);
    }

    /// Records a successful read of the list that began at `read_at`, before its changes are
    /// applied.
    pub fn record_list_read(&mut self, now: TimeMs, read_at: TimeMs) {
        self.list_outage.record_read(now, read_at);
    }

    /// Replaces the evacuated failure domains by those at position `as_of` of the operator's log,
    /// unless a later state is known. Endpoints of restored domains are treated as cold: they have
    /// served no requests meanwhile, and their announcements show that only later.
    pub fn update_evacuations(&mut self, now: TimeMs, as_of: u64, domains: BTreeSet<Arc<str>>) {
        let restored = self.evacuations.replace(as_of, domains);
        if restored.is_empty() {
            return;
        }
        let keys: Vec<_> = self.replicas.keys().collect();
        for key in keys {
            if restored.contains(&self.replicas[key].announcement.failure_domain) {
                self.assume_cold(now, key);
            }
        }
    }

    /// The evacuated failure domains.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Sets the limits for cold endpoints, by service.
    pub fn set_cold_limits(&mut self, limits: HashMap<Arc<str>, ColdLimits>) {
        self.cold_limits = limits;
    }

    /// Updates the other entries that send to these endpoints. `now` is the time since process
    /// start.
    pub fn update_entries(&mut self, now: TimeMs, others: Vec<u64>) {
        self.sender_quota.update_others(now.0, others);
    }

    /// Whether an endpoint has not left, is outside the evacuated failure domains and, if it is
    /// cold, this entry's quota for it is not used up.
    pub fn may_send(&self, now: TimeMs, key: ReplicaKey) -> bool {
        self.replicas.get(key).is_some_and(|replica| {
            !replica.has_left(now)
                && !self.is_evacuated(replica)
                && self.within_cold_limits(now, replica)
        })
    }

    /// Whether an endpoint may be asked for its load: it has not left, and is outside the evacuated
    /// failure domains.
    pub fn may_poll(&self, now: TimeMs, key: ReplicaKey) -> bool {
        let replica = self.replicas.get(key);
        replica.is_some_and(|replica| !replica.has_left(now) && !self.is_evacuated(replica))
    }

    /// Whether an endpoint is in an evacuated failure domain.
    pub fn is_evacuated(&self, replica: &Replica) -> bool {
        self.evacuations.contains(&replica.announcement.failure_domain)
    }

    fn within_cold_limits(&self, now: TimeMs, replica: &Replica) -> bool {
        if !replica.is_cold(now) {
            return true;
        }
        let limits = self.cold_limits.get(&replica.announcement.service);
        limits.is_none_or(|limits| {
            replica.recent_sends.count_in_window(now)
                < self.sender_quota.quota_for(replica.hash, limits)
        })
    }

    /// Treats an endpoint as cold that may have restarted or lost its caches without having
    /// announced it yet.
    pub fn assume_cold(&mut self, now: TimeMs, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            let limits = self.cold_limits.get(&replica.announcement.service);
            replica.assume_cold(now, limits.map_or(0, |limits| limits.duration_ms));
        }
    }

    fn apply_announcement(
        &mut self,
        now: TimeMs,
        id: Arc<str>,
        announcement: Announcement,
    ) -> ChangeOutcome {
        let cold_ms = announcement.cold_left_ms;
        let mut recent_sends = RecentSends::default();
        let mut outcome = ChangeOutcome::Announced;
        if let Some(key) = self.by_id.get(&id).copied() {
            let replica = &mut self.replicas[key];
            let (version, known) = (announcement.version(), replica.announcement.version());
            if version < known {
                if !replica.outdated.record(now, version) {
                    return ChangeOutcome::Outdated;
                }
                outcome = ChangeOutcome::Reinstated;
            }
            if version != known {
                replica.outdated = OutdatedRun::default();
            }
            let known = &replica.announcement;
            let same_instance = announcement.started_at_ms == known.started_at_ms;
            if same_instance
                && announcement.service == known.service
                && announcement.address == known.address
            {
                replica.announcement = announcement;
                replica.remove_at = None;
                replica.announce_cold(now, cold_ms);
                return outcome;
            }
            // Requests recently sent to this address may have reached the new process instance.
            recent_sends =
                self.remove(key).map(|previous| previous.recent_sends).unwrap_or_default();
        }
        let service = announcement.service.clone();
        let hash = Digest::of(&[id.as_bytes()]).prefix();
        let mut replica = Replica {
            id: id.clone(),
            hash,
            announcement,
            in_flight: 0,
            others_in_flight: 0,
            reported: None,
            remove_at: None,
            announced_cold_until: TimeMs::default(),
            assumed_cold_until: TimeMs::default(),
            recent_sends,
            outdated: OutdatedRun::default(),
            health: Health::open(self.seed ^ hash),
        };
        replica.announce_cold(now, cold_ms);
        let key = self.replicas.insert(replica);
        self.by_id.insert(id, key);
        self.by_hash.insert(hash, key);
        self.by_service.entry(service).or_default().push(key);
        outcome
    }

    fn apply_removal(&mut self, now: TimeMs, id: &str) -> ChangeOutcome {
        let Some(key) = self.by_id.get(id).copied() else {
            return ChangeOutcome::Unknown;
        };
        match self.list_outage.lapse_grace(now) {
            Some(remove_at) => {
                self.replicas[key].remove_at = Some(remove_at);
                ChangeOutcome::Lapsed { keep_ms: remove_at.since(now) }
            }
            None => {
                self.remove(key);
                ChangeOutcome::Removed
            }
        }
    }

    /// Removes lapsed endpoints whose grace period is over, and returns their ids.
    pub fn remove_expired(&mut self, now: TimeMs) -> Vec<Arc<str>> {
        let is_expired = |replica: &Replica| replica.remove_at.is_some_and(|at| now > at);
        let expired: Vec<_> =
            self.replicas.iter().filter(|(_, r)| is_expired(r)).map(|(key, _)| key).collect();
        let removed = expired.into_iter().filter_map(|key| self.remove(key));
        let ids: Vec<_> = removed.map(|replica| replica.id).collect();
        for id in &ids {
            log::info!(endpoint:% = id; "lapsed endpoint was not listed again; removed");
        }
        ids
    }

    fn remove(&mut self, key: ReplicaKey) -> Option<Replica> {
        let replica = self.replicas.remove(key)?;
        self.by_id.remove(&replica.id);
        self.by_hash.remove(&replica.hash);
        let service = &replica.announcement.service;
        if let Some(service_keys) = self.by_service.get_mut(service) {
            service_keys.retain(|other| *other != key);
            // Other writers may name ever new services.
            if service_keys.is_empty() {
                self.by_service.remove(service);
            }
        }
        Some(replica)
    }

    /// The endpoint with this key, if it is still known.
    pub fn get(&self, key: ReplicaKey) -> Option<&Replica> {
        self.replicas.get(key)
    }

    /// The key of the endpoint with this identifier, if it is known.
    pub fn find(&self, id: &str) -> Option<ReplicaKey> {
        self.by_id.get(id).copied()
    }

    /// The key of the endpoint whose identifier has this hash, if it is known.
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

    /// Counts a request sent to an endpoint as in flight.
    pub fn record_sent(&mut self, now: TimeMs, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.in_flight += 1;
            replica.record_count(now);
            replica.recent_sends.record(now);
        }
    }

    /// Counts a request to an endpoint as no longer in flight.
    pub fn record_finished(&mut self, now: TimeMs, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.in_flight = replica.in_flight.saturating_sub(1);
            replica.record_count(now);
        }
    }

    /// Sets the number of requests that the other entries have in flight at an endpoint.
    pub fn set_others_in_flight(&mut self, now: TimeMs, key: ReplicaKey, in_flight: u32) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.others_in_flight = in_flight;
            replica.record_count(now);
        }
    }

    /// Records an endpoint's report of its load, for which it was asked at `taken_at`.
    pub fn record_report(
        &mut self,
        now: TimeMs,
        key: ReplicaKey,
        taken_at: TimeMs,
        report: EndpointReport,
    ) -> ReportOutcome {
        let Some(replica) = self.replicas.get_mut(key) else {
            return ReportOutcome::UnknownEndpoint;
        };
        let count = replica.counted_load();
        let reported =
            replica.reported.get_or_insert_with(|| Box::new(ReportedLoad::open(now, count)));
        reported.record(now, taken_at, report)
    }

    /// Compares the newest reports with the counts of requests, and returns the endpoints whose
    /// correction has changed.
    pub fn settle_reports(&mut self, now: TimeMs) -> Vec<(ReplicaKey, Correction)> {
        let replicas = self.replicas.iter_mut();
        let changed = replicas
            .filter_map(|(key, replica)| Some((key, replica.reported.as_mut()?.settle(now)?)));
        changed.collect()
    }

    /// Whether any endpoint of a service has a fresh report.
    pub fn has_fresh_report(&self, now: TimeMs, service: &str) -> bool {
        self.of_service(service).any(|(_, replica)| replica.fresh_report(now).is_some())
    }

    /// Records that an endpoint answered a request correctly.
    pub fn record_success(&mut self, now: TimeMs, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.health.record_success(now);
        }
    }

    /// Records that an endpoint broke off or failed a request, or is unreachable.
    pub fn record_failure(&mut self, now: TimeMs, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.health.record_failure(now);
        }
    }

    /// Merges the answer counts that the entry with process instance `instance` reports for an
    /// endpoint. `is_first_message` marks the first message from that entry, whose counts serve as
    /// the baseline for later ones.
    pub fn merge_answers(
        &mut self,
        now: TimeMs,
        key: ReplicaKey,
        instance: u64,
        answers: AnswerCounts,
        is_first_message: bool,
    ) {
        match self.replicas.get_mut(key) {
            Some(replica) if is_first_message => {
                replica.health.record_baseline(now, instance, answers)
            }
            Some(replica) => replica.health.merge_answers(now, instance, answers),
            None => {}
        }
    }
}
