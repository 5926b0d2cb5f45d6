//! How a request is admitted: entries ask hubs, and a hub that counts decides.

use std::net::SocketAddr;

use rand::RngExt;

use super::super::limit::WINDOW_MS;
use super::{Hub, Refund, World, address, index};
use crate::gateway::attach_message::Decision;
use crate::gateway::count_here::Count;
use crate::gateway::hubs::{
    AskedQuestion, CountingCandidate, Inquiry, InquiryStep, counting_order,
};
use crate::gateway::rates::workspace_hash;
use crate::quota::Claim;

/// How long it may take until a leaf finds a hub that has started.
const LEAF_SEARCH_MS: u64 = 1_000;

impl World {
    pub(super) fn serve(&mut self, entry: usize) {
        let is_hub = entry < self.hubs.len();
        if is_hub && !self.is_up(entry) {
            return;
        }
        self.next_question += 1;
        match self.admit(entry, is_hub) {
            None => self.counts.refused += 1,
            Some(refund) => {
                self.counts.admitted += 1;
                match self.random.random_bool(self.refunded) {
                    true => {
                        let at = self.now.plus(self.random.random_range(0..15_000));
                        self.refunds_due.insert((at, self.next_question), refund);
                    }
                    false => self.ran_at.push(self.now),
                }
            }
        }
    }

    /// How a request at an entry is refunded, if it is admitted.
    fn admit(&mut self, entry: usize, is_hub: bool) -> Option<Refund> {
        if is_hub && !self.hubs[entry].peers.peer_counts(self.now).hears_half() {
            return self.count_own(entry).ok();
        }
        let question = AskedQuestion { asking: address(entry), number: self.next_question };
        let mut asked = Vec::new();
        let admitted = self.inquire(entry, is_hub, question, &mut asked);
        for (hub, instance) in asked {
            self.refund(Refund::ByHub { hub, instance, question });
        }
        admitted
    }

    /// Asks until a hub decides. `asked` are then the hubs that were asked, but for the one whose grant
    /// is used.
    fn inquire(
        &mut self,
        entry: usize,
        is_hub: bool,
        question: AskedQuestion,
        asked: &mut Vec<(usize, u64)>,
    ) -> Option<Refund> {
        let own = address(entry);
        let mut inquiry = Inquiry::open();
        loop {
            let order = counting_order(workspace_hash("w"), self.candidates(entry, is_hub));
            let (hub, refusal) = match inquiry.next_step(order, own) {
                InquiryStep::End(_) => return None,
                InquiryStep::CountHere => match self.count_own(entry) {
                    Ok(refund) => return Some(refund),
                    Err(refusal) => (own, refusal),
                },
                InquiryStep::Ask { hubs, .. } => {
                    for hub in hubs.iter().map(|hub| index(*hub)) {
                        asked.push((hub, self.hubs[hub].instance));
                    }
                    match self.ask(entry, is_hub, &hubs, question) {
                        Some((hub, Decision::Admitted)) => {
                            let (hub, instance) = (index(hub), self.hubs[index(hub)].instance);
                            asked.retain(|(other, _)| *other != hub);
                            return Some(Refund::ByHub { hub, instance, question });
                        }
                        Some(refusal) => refusal,
                        None => continue,
                    }
                }
            };
            if inquiry.record_refusal(hub, refusal).is_some() {
                return None;
            }
        }
    }

    fn candidates(&self, entry: usize, is_hub: bool) -> Vec<CountingCandidate> {
        let candidate = |hub: usize, knows_windows| CountingCandidate {
            address: address(hub),
            cpu_millicores: None,
            knows_windows,
        };
        match is_hub {
            true => {
                let peers = &self.hubs[entry].peers;
                let mut candidates = peers.counting_candidates(self.now);
                if peers.may_count_here() {
                    candidates.push(candidate(entry, self.knows_windows(entry)));
                }
                candidates
            }
            false => self.known_to_leaves().into_iter().map(|hub| candidate(hub, true)).collect(),
        }
    }

    /// The hubs that leaves ask. If those that they have known for long all leave, a leaf may take some
    /// time to find one that has started since.
    fn known_to_leaves(&self) -> Vec<usize> {
        let is_known = |hub: &usize| self.is_up(*hub) && self.hubs[*hub].cut_until <= self.now;
        let known: Vec<_> = (0..self.hubs.len()).filter(is_known).collect();
        let (leaving, staying): (Vec<_>, Vec<_>) =
            known.into_iter().partition(|hub| self.is_leaving(*hub));
        let is_old = |hub: &usize| self.now.since(self.hubs[*hub].since) >= LEAF_SEARCH_MS;
        match staying.iter().any(is_old) || leaving.is_empty() {
            true => staying,
            false => leaving,
        }
    }

    pub(super) fn knows_windows(&self, hub: usize) -> bool {
        !self.is_recent(hub) && self.hubs[hub].rates.knows_windows(self.now)
    }

    fn is_leaving(&self, hub: usize) -> bool {
        self.hubs[hub].stop.is_some_and(|stop| stop.begins_at <= self.now)
    }

    pub(super) fn is_recent(&self, hub: usize) -> bool {
        self.now.since(self.hubs[hub].since) < WINDOW_MS
    }

    fn count_own(&mut self, hub: usize) -> Result<Refund, Decision> {
        let granted = self.count(hub).decide();
        let instance = self.hubs[hub].instance;
        granted.map(|grant| Refund::Here { hub, instance, grant }).map_err(Decision::from)
    }

    fn count(&mut self, hub: usize) -> Count<'_> {
        let (now, knows_windows) = (self.now, self.knows_windows(hub));
        let Hub { peers, rates, .. } = &mut self.hubs[hub];
        let workspace = workspace_hash("w");
        Count { now, peers, rates, knows_windows, workspace, claim: Claim::Call }
    }

    /// The first answer of these hubs that arrives.
    fn ask(
        &mut self,
        entry: usize,
        is_hub: bool,
        hubs: &[SocketAddr],
        question: AskedQuestion,
    ) -> Option<(SocketAddr, Decision)> {
        let is_cut = is_hub && self.hubs[entry].cut_until > self.now;
        let mut answer = None;
        for hub in hubs {
            let at = index(*hub);
            let is_reached = self.is_up(at) && !is_cut && self.hubs[at].cut_until <= self.now;
            if is_reached && !self.random.random_bool(self.loss) {
                let decision = self.decide_for_other(at, question);
                let arrives = !self.random.random_bool(self.loss);
                answer = answer.or(arrives.then_some((*hub, decision)));
            }
        }
        answer
    }

    fn decide_for_other(&mut self, hub: usize, question: AskedQuestion) -> Decision {
        if self.hubs[hub].granted.contains(question) {
            return Decision::Admitted;
        }
        match self.count(hub).decide_for_other() {
            Ok(grant) => {
                let now = self.now;
                self.hubs[hub].granted.record(now, question, workspace_hash("w"), grant);
                Decision::Admitted
            }
            Err(not_granted) => not_granted.into(),
        }
    }
}
