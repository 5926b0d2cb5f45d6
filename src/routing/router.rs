use std::collections::HashMap;

use crate::prelude::*;
use crate::programs::{PlaceRefusal, PlaceRequest};
use crate::routing::{EndpointView, ProgramShares};

/// How an endpoint is chosen. All but `CacheAffinity` are baselines for comparison.
#[value]
#[derive(Copy)]
pub enum RoutingPolicy {
    /// A random endpoint.
    Random,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the lowest reported load.
    LeastReported,
    /// For a program's first call, the endpoint that ranks first for the call's digest among those
    /// whose load is within a bound. For a later call, the endpoint that holds the program's cache,
    /// unless its load exceeds the bound; otherwise the endpoint with the lowest load. Loads
    /// include this router's dispatches since the last report.
    CacheAffinity,
}

/// Which calls are refused under overload. All but `Fair` are baselines for comparison.
#[value]
#[derive(Copy)]
pub enum SheddingPolicy {
    /// No calls.
    None,
    /// The first calls of new programs, and other calls only at a much higher load.
    NewPrograms,
    /// As `NewPrograms`, but first calls are refused at a lower load for workspaces above their
    /// fair share, and at a higher load for the others.
    Fair,
}

/// How far the load of the endpoint that cache affinity prefers may exceed the mean load, in
/// eighths of the mean.
const MAX_LOAD_ABOVE_MEAN_EIGHTHS: u32 = 4;
/// Load allowed in addition to that bound: when the endpoints are idle, the mean load is too small
/// to be meaningful.
const MIN_LOAD_ALLOWANCE: u32 = 4;
/// Time after which a dispatch is no longer added to the reported load, even if no report that can
/// include it has been received.
const DISPATCH_COUNTED_MS: u64 = 1_000;
/// Load below which new programs are admitted, in eighths of the endpoint's concurrency.
const FIRST_CALL_LOAD_LIMIT_EIGHTHS: u32 = 10;
/// The same for workspaces that are above their fair share.
const ABOVE_SHARE_LOAD_LIMIT_EIGHTHS: u32 = 7;
/// The same where the policy does not distinguish workspaces.
const UNIFORM_LOAD_LIMIT_EIGHTHS: u32 = 8;
/// Load below which later calls of a program are accepted, in multiples of the concurrency.
const LATER_CALL_LOAD_LIMIT_FACTOR: u32 = 4;
/// Maximum number of programs whose last endpoint is stored; all are removed when it is reached.
const MAX_TRACKED_PROGRAMS: usize = 200_000;

/// Chooses the endpoint for each attempt.
pub struct Router {
    policy: RoutingPolicy,
    shedding: SheddingPolicy,
    shares: ProgramShares,
    round_robin_index: usize,
    random_state: u64,
    last_endpoints: HashMap<ProgramId, EndpointRef>,
    dispatches: HashMap<EndpointRef, Vec<TimeMs>>,
}

impl Router {
    /// Creates a router. `seed` initialises the generator for `RoutingPolicy::Random`.
    pub fn new(policy: RoutingPolicy, seed: u64) -> Router {
        Router {
            policy,
            shedding: SheddingPolicy::Fair,
            shares: ProgramShares::default(),
            round_robin_index: 0,
            random_state: seed | 1,
            last_endpoints: HashMap::new(),
            dispatches: HashMap::new(),
        }
    }

    /// Sets the shedding policy.
    pub fn with_shedding(self, shedding: SheddingPolicy) -> Router {
        Router { shedding, ..self }
    }

    /// Chooses one of `endpoints`, which have to be live and able to serve the call. Unless the
    /// call is suspected of crashing engines, counts it as dispatched there, or refuses it if the
    /// shedding policy rules out the load at that endpoint.
    pub fn place(
        &mut self,
        now: TimeMs,
        request: &PlaceRequest<'_>,
        endpoints: &[EndpointView],
    ) -> Result<EndpointRef, PlaceRefusal> {
        if request.is_suspect {
            // Every entry chooses the same endpoint, so that a crashing call sent by several
            // callers at the same time does not crash one engine for each of them.
            let chosen = endpoints.iter().min_by_key(|view| rank(request, view));
            return chosen.map(|view| view.endpoint.clone()).ok_or(PlaceRefusal::NoEndpoint);
        }
        let is_allowed = |view: &&EndpointView| Some(&view.endpoint.vm) != request.avoid;
        let mut candidates: Vec<&EndpointView> = endpoints.iter().filter(is_allowed).collect();
        if candidates.is_empty() {
            candidates = endpoints.iter().collect();
        }
        let chosen = match self.policy {
            RoutingPolicy::Random => self.pick_random(&candidates),
            RoutingPolicy::RoundRobin => self.pick_round_robin(&candidates),
            RoutingPolicy::LeastReported => {
                candidates.iter().min_by_key(|v| v.reported_load).copied()
            }
            RoutingPolicy::CacheAffinity => self.pick_by_affinity(now, request, &candidates),
        };
        let chosen = chosen.ok_or(PlaceRefusal::NoEndpoint)?;
        if self.shedding != SheddingPolicy::None && self.is_overloaded(now, request, chosen) {
            return Err(PlaceRefusal::Overloaded);
        }
        if request.is_first {
            self.shares.record_admitted(now, &request.program.workspace, request.weight);
        }
        let endpoint = chosen.endpoint.clone();
        self.record_dispatch(now, request.program, &endpoint);
        Ok(endpoint)
    }

    /// Whether a call would wait too long even at the chosen endpoint.
    ///
    /// Above capacity some calls have to be refused. Refusing a new program loses nothing, while a
    /// running one has a history, cached state and its caller's time invested in it. New programs
    /// are therefore admitted only while calls can start soon, and calls of running programs may
    /// queue. Otherwise all programs would slow down together until each misses its deadline.
    ///
    /// Workspaces above their fair share are refused first. Otherwise a flood from one workspace
    /// would crowd out the others in proportion.
    fn is_overloaded(
        &mut self,
        now: TimeMs,
        request: &PlaceRequest<'_>,
        chosen: &EndpointView,
    ) -> bool {
        let load = self.load(now, chosen);
        if !request.is_first {
            return load >= (chosen.concurrency * LATER_CALL_LOAD_LIMIT_FACTOR).max(1);
        }
        let workspace = &request.program.workspace;
        let is_fair = self.shedding == SheddingPolicy::Fair;
        let eighths = match is_fair && self.shares.is_above_share(now, workspace) {
            true => ABOVE_SHARE_LOAD_LIMIT_EIGHTHS,
            false if is_fair => FIRST_CALL_LOAD_LIMIT_EIGHTHS,
            false => UNIFORM_LOAD_LIMIT_EIGHTHS,
        };
        load >= (chosen.concurrency * eighths / 8).max(1)
    }

    /// Removes a program that has ended; returns the endpoint that may still hold its cache.
    pub fn remove_program(&mut self, program: &ProgramId) -> Option<EndpointRef> {
        self.last_endpoints.remove(program)
    }

    fn next_random(&mut self) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state
    }

    fn pick_random<'a>(&mut self, candidates: &[&'a EndpointView]) -> Option<&'a EndpointView> {
        let index = self.next_random() as usize % candidates.len().max(1);
        candidates.get(index).copied()
    }

    fn pick_round_robin<'a>(
        &mut self,
        candidates: &[&'a EndpointView],
    ) -> Option<&'a EndpointView> {
        self.round_robin_index += 1;
        candidates.get(self.round_robin_index % candidates.len().max(1)).copied()
    }

    fn pick_by_affinity<'a>(
        &mut self,
        now: TimeMs,
        request: &PlaceRequest<'_>,
        candidates: &[&'a EndpointView],
    ) -> Option<&'a EndpointView> {
        let loads: Vec<u32> = candidates.iter().map(|view| self.load(now, view)).collect();
        let total: u32 = loads.iter().sum();
        let mean = total / (loads.len().max(1) as u32);
        let bound = mean + mean * MAX_LOAD_ABOVE_MEAN_EIGHTHS / 8 + MIN_LOAD_ALLOWANCE;
        if request.is_first {
            // Identical calls from several callers go to one endpoint: their prompt is cached
            // there, and a call that crashes engines crashes one instead of one for each caller.
            let within_bound = candidates.iter().zip(&loads).filter(|(_, load)| **load <= bound);
            let first =
                within_bound.min_by_key(|(view, _)| rank(request, view)).map(|(view, _)| *view);
            return first.or_else(|| self.pick_least_loaded(request, candidates, &loads));
        }
        let last_endpoint = self.last_endpoints.get(request.program);
        let cached =
            candidates.iter().zip(&loads).find(|(view, _)| Some(&view.endpoint) == last_endpoint);
        match cached {
            Some((view, load)) if *load <= bound => Some(view),
            _ => self.pick_least_loaded(request, candidates, &loads),
        }
    }

    /// Picks the endpoint with the lowest load. Ties go to the router's own failure domain, then to
    /// the lowest rank, which depends on the call: entries that hold the same reports spread
    /// different calls over several endpoints.
    fn pick_least_loaded<'a>(
        &self,
        request: &PlaceRequest<'_>,
        candidates: &[&'a EndpointView],
        loads: &[u32],
    ) -> Option<&'a EndpointView> {
        let ranked = candidates.iter().zip(loads);
        let least_loaded =
            ranked.min_by_key(|(view, load)| (**load, !view.in_same_domain, rank(request, view)));
        least_loaded.map(|(view, _)| *view)
    }

    /// Returns the reported load plus this router's dispatches since the report.
    fn load(&self, now: TimeMs, view: &EndpointView) -> u32 {
        let recent =
            |at: &&TimeMs| **at >= view.reported_at && now.since(**at) < DISPATCH_COUNTED_MS;
        let dispatched = self.dispatches.get(&view.endpoint);
        let unreported = dispatched.map_or(0, |times| times.iter().filter(recent).count());
        view.reported_load + unreported as u32
    }

    fn record_dispatch(&mut self, now: TimeMs, program: &ProgramId, endpoint: &EndpointRef) {
        if self.last_endpoints.len() >= MAX_TRACKED_PROGRAMS {
            self.last_endpoints.clear();
        }
        self.last_endpoints.insert(program.clone(), endpoint.clone());
        let times = self.dispatches.entry(endpoint.clone()).or_default();
        times.retain(|at| now.since(*at) < DISPATCH_COUNTED_MS);
        times.push(now);
    }
}

/// Ranks endpoints in a different order for each call, identically on every entry.
fn rank(request: &PlaceRequest<'_>, view: &EndpointView) -> u64 {
    // The finalizer of SplitMix64 (Steele et al., 2014). Without it, similar VM hashes would get
    // similar ranks.
    let mixed = request.digest.prefix() ^ view.vm_hash;
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
