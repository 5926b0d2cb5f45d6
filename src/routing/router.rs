use std::collections::HashMap;

use crate::prelude::*;
use crate::programs::{PlaceRefusal, PlaceRequest};
use crate::routing::{EndpointView, ProgramShares};

/// How an endpoint is chosen. The baselines stay for comparison.
#[value]
#[derive(Copy)]
pub enum RoutingPolicy {
    /// Any.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The least load, as last reported.
    LeastReported,
    /// The endpoint that holds the program's cache, unless its load is out of bounds; else the
    /// least load with own dispatches counted in.
    CacheAffinity,
}

/// What is refused when calls would wait too long. The baselines stay for comparison.
#[value]
#[derive(Copy)]
pub enum SheddingPolicy {
    /// Nothing.
    None,
    /// Programs that have not begun.
    NewPrograms,
    /// The same, and first those of workspaces that had more than their part.
    Fair,
}

/// How far above the mean load the endpoint that holds the cache may be, as a fraction of the
/// mean in eighths.
const AFFINITY_SLACK_EIGHTHS: u32 = 4;
/// Load that never counts as out of bounds: on an idle fleet the mean says nothing.
const AFFINITY_FREE_LOAD: u32 = 4;
/// An estimate of one dispatch stands until a report that can have seen it, and no longer.
const DISPATCH_MEMORY_MS: u64 = 1_000;
/// Load up to which programs are let in, in eighths of what runs at once.
const FIRST_CALL_ROOM_EIGHTHS: u32 = 10;
/// The same for workspaces that had more than their part lately.
const GREEDY_ROOM_EIGHTHS: u32 = 7;
/// The same where workspaces are not told apart.
const BLIND_ROOM_EIGHTHS: u32 = 8;
/// Load up to which programs under way go on, in multiples of what runs at once.
const LATER_CALL_ROOM: u32 = 4;
/// Programs whose last endpoint is remembered.
const MAX_REMEMBERED: usize = 200_000;

/// Chooses endpoints.
pub struct Router {
    policy: RoutingPolicy,
    shedding: SheddingPolicy,
    shares: ProgramShares,
    turn: usize,
    random: u64,
    last: HashMap<ProgramId, EndpointRef>,
    dispatches: HashMap<EndpointRef, Vec<TimeMs>>,
}

impl Router {
    /// A router; `seed` feeds its random choices.
    pub fn new(policy: RoutingPolicy, seed: u64) -> Router {
        Router {
            policy,
            shedding: SheddingPolicy::Fair,
            shares: ProgramShares::default(),
            turn: 0,
            random: seed | 1,
            last: HashMap::new(),
            dispatches: HashMap::new(),
        }
    }

    /// The same router with another way of shedding.
    pub fn with_shedding(self, shedding: SheddingPolicy) -> Router {
        Router { shedding, ..self }
    }

    /// Chooses among live endpoints that serve the call.
    pub fn place(
        &mut self,
        now: TimeMs,
        request: &PlaceRequest<'_>,
        endpoints: &[EndpointView],
    ) -> Result<EndpointRef, PlaceRefusal> {
        if request.is_suspect {
            // Every entry picks the same one: callers that send one crashing call at once must
            // not crash an engine each.
            let chosen = endpoints.iter().min_by_key(|view| rank(request, view));
            return chosen.map(|view| view.endpoint.clone()).ok_or(PlaceRefusal::NoEndpoint);
        }
        let avoided = |view: &&EndpointView| Some(&view.endpoint.vm) != request.avoid;
        let mut candidates: Vec<&EndpointView> = endpoints.iter().filter(avoided).collect();
        if candidates.is_empty() {
            candidates = endpoints.iter().collect();
        }
        let chosen = match self.policy {
            RoutingPolicy::Random => self.pick_random(&candidates),
            RoutingPolicy::RoundRobin => self.pick_next(&candidates),
            RoutingPolicy::LeastReported => {
                candidates.iter().min_by_key(|v| v.reported_load).copied()
            }
            RoutingPolicy::CacheAffinity => self.pick_affine(now, request, &candidates),
        };
        let chosen = chosen.ok_or(PlaceRefusal::NoEndpoint)?;
        if self.shedding != SheddingPolicy::None && self.is_overloaded(now, request, chosen) {
            return Err(PlaceRefusal::Overloaded);
        }
        if request.is_first {
            self.shares.let_in(now, &request.program.workspace, request.weight);
        }
        let endpoint = chosen.endpoint.clone();
        self.remember(now, request.program, &endpoint);
        Ok(endpoint)
    }

    /// Whether a call would wait too long even where it is best placed.
    ///
    /// Beyond capacity something has to be refused. A program that has not begun loses nothing by
    /// it; one under way has its history, its cache and its caller's time in it. So programs are
    /// let in only while calls can start soon, and those under way may queue. Without this all
    /// of them grow slower together until each misses its deadline.
    ///
    /// Workspaces that had more than their part lately are turned away first: a flood of one would
    /// otherwise shut out the others in proportion.
    fn is_overloaded(
        &mut self,
        now: TimeMs,
        request: &PlaceRequest<'_>,
        chosen: &EndpointView,
    ) -> bool {
        let load = self.load(now, chosen);
        if !request.is_first {
            return load >= (chosen.concurrency * LATER_CALL_ROOM).max(1);
        }
        let workspace = &request.program.workspace;
        let is_fair = self.shedding == SheddingPolicy::Fair;
        let eighths = match is_fair && self.shares.is_above_share(now, workspace) {
            true => GREEDY_ROOM_EIGHTHS,
            false if is_fair => FIRST_CALL_ROOM_EIGHTHS,
            false => BLIND_ROOM_EIGHTHS,
        };
        load >= (chosen.concurrency * eighths / 8).max(1)
    }

    /// Forgets a program that has ended; returns the endpoint that may hold its cache.
    pub fn remove_program(&mut self, program: &ProgramId) -> Option<EndpointRef> {
        self.last.remove(program)
    }

    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    fn pick_random<'a>(&mut self, candidates: &[&'a EndpointView]) -> Option<&'a EndpointView> {
        let index = self.next_random() as usize % candidates.len().max(1);
        candidates.get(index).copied()
    }

    fn pick_next<'a>(&mut self, candidates: &[&'a EndpointView]) -> Option<&'a EndpointView> {
        self.turn += 1;
        candidates.get(self.turn % candidates.len().max(1)).copied()
    }

    fn pick_affine<'a>(
        &mut self,
        now: TimeMs,
        request: &PlaceRequest<'_>,
        candidates: &[&'a EndpointView],
    ) -> Option<&'a EndpointView> {
        let loads: Vec<u32> = candidates.iter().map(|view| self.load(now, view)).collect();
        let total: u32 = loads.iter().sum();
        let mean = total / (loads.len().max(1) as u32);
        let bound = mean + mean * AFFINITY_SLACK_EIGHTHS / 8 + AFFINITY_FREE_LOAD;
        if request.is_first {
            // The same call sent by several callers meets at one endpoint: its prompt is cached
            // there, and if it crashes engines it crashes one and not one for each caller.
            let fits = candidates.iter().zip(&loads).filter(|(_, load)| **load <= bound);
            let first = fits.min_by_key(|(view, _)| rank(request, view)).map(|(view, _)| *view);
            return first.or_else(|| self.pick_least(request, candidates, &loads));
        }
        let holder = self.last.get(request.program);
        let held = candidates.iter().zip(&loads).find(|(view, _)| Some(&view.endpoint) == holder);
        match held {
            Some((view, load)) if *load <= bound => Some(view),
            _ => self.pick_least(request, candidates, &loads),
        }
    }

    /// The least load; among equals the nearer one, then one that depends on the call, so that
    /// several entries with the same reports don't all choose the same for different calls.
    fn pick_least<'a>(
        &self,
        request: &PlaceRequest<'_>,
        candidates: &[&'a EndpointView],
        loads: &[u32],
    ) -> Option<&'a EndpointView> {
        let ranked = candidates.iter().zip(loads);
        let least =
            ranked.min_by_key(|(view, load)| (**load, !view.in_same_domain, rank(request, view)));
        least.map(|(view, _)| *view)
    }

    /// The reported load and the own dispatches that the report can't have seen.
    fn load(&self, now: TimeMs, view: &EndpointView) -> u32 {
        let recent =
            |at: &&TimeMs| **at >= view.reported_at && now.since(**at) < DISPATCH_MEMORY_MS;
        let dispatched = self.dispatches.get(&view.endpoint);
        let unseen = dispatched.map_or(0, |times| times.iter().filter(recent).count());
        view.reported_load + unseen as u32
    }

    fn remember(&mut self, now: TimeMs, program: &ProgramId, endpoint: &EndpointRef) {
        if self.last.len() >= MAX_REMEMBERED {
            self.last.clear();
        }
        self.last.insert(program.clone(), endpoint.clone());
        let times = self.dispatches.entry(endpoint.clone()).or_default();
        times.retain(|at| now.since(*at) < DISPATCH_MEMORY_MS);
        times.push(now);
    }
}

/// Orders endpoints in a way of its own for each call, the same on every entry.
fn rank(request: &PlaceRequest<'_>, view: &EndpointView) -> u64 {
    // The finalizer of SplitMix64 (Steele et al., 2014): without it, near seeds rank alike.
    let mixed = request.digest.prefix() ^ view.vm_hash;
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
