use super::{EndpointView, ProgramShares, RetryBudget, Router, RoutingPolicy, SheddingPolicy};
use crate::prelude::*;
use crate::programs::{PlaceRefusal, PlaceRequest};

fn views(loads: &[u32]) -> Vec<EndpointView> {
    let view = |(index, load): (usize, &u32)| {
        let vm = VmName::parse(&format!("m{index}")).unwrap();
        EndpointView {
            vm_hash: EndpointView::vm_hash(&vm),
            endpoint: EndpointRef { vm, instance: Instance(1) },
            reported_load: *load,
            concurrency: 8,
            reported_at: TimeMs(0),
            in_same_domain: index == 0,
        }
    };
    loads.iter().enumerate().map(view).collect()
}

struct Calls {
    router: Router,
    target: ModelName,
}

impl Calls {
    fn new() -> Calls {
        let router = Router::new(RoutingPolicy::CacheAffinity, 1);
        Calls { router, target: ModelName::parse("small").unwrap() }
    }

    fn place(
        &mut self,
        at: u64,
        name: &str,
        (is_first, is_suspect): (bool, bool),
        loads: &[u32],
    ) -> Result<String, PlaceRefusal> {
        let (workspace, name) = name.split_once(':').unwrap();
        let program = ProgramId::parse(WorkspaceId::parse(workspace).unwrap(), name).unwrap();
        let request = PlaceRequest {
            program: &program,
            target: &self.target,
            digest: &Digest::of(&[b"the same call"]),
            weight: 1,
            is_first,
            is_suspect,
            avoid: None,
        };
        let placed = self.router.place(TimeMs(at), &request, &views(loads));
        placed.map(|endpoint| endpoint.vm.to_string())
    }
}

#[test]
fn a_program_stays_where_its_cache_is_until_that_endpoint_is_far_above_the_others() {
    let mut calls = Calls::new();
    let first = calls.place(0, "w:p", (true, false), &[0, 0, 0]).unwrap();
    let index: usize = first[1..].parse().unwrap();
    let mut loads = [2, 2, 2];
    loads[index] = 5;
    assert_eq!(calls.place(10, "w:p", (false, false), &loads).unwrap(), first);
    loads[index] = 20;
    assert_ne!(calls.place(20, "w:p", (false, false), &loads).unwrap(), first);
}

/// One endpoint has just reported that it is idle, and reports lag. A burst must not all go
/// there: what was dispatched since the report counts as its load.
#[test]
fn no_herd_runs_to_an_endpoint_that_was_idle_when_it_reported() {
    let mut calls = Calls::new();
    let places = (0..12).map(|n| calls.place(1, &format!("w:p{n}"), (false, false), &[3, 3, 0]));
    let on_idle = places.filter(|place| place.as_ref().unwrap() == "m2").count();
    assert!((3..=7).contains(&on_idle), "{on_idle} of 12");
}

/// Several entries, with different loads in view, place a suspected call: all at one endpoint.
#[test]
fn every_entry_places_a_suspect_at_the_same_endpoint() {
    let loads = [[0, 5, 9], [9, 0, 5], [5, 9, 0]];
    let places = loads.map(|loads| Calls::new().place(0, "w:p", (true, true), &loads).unwrap());
    assert!(places.iter().all(|place| *place == places[0]), "{places:?}");
}

/// The endpoints are nearly full and one workspace has begun many programs lately. Its next one
/// is refused; one of another workspace and a call of a program under way are not.
#[test]
fn when_it_gets_tight_greedy_workspaces_are_turned_away_first() {
    let mut calls = Calls::new();
    for number in 0..8 {
        calls.place(number, &format!("greedy:p{number}"), (true, false), &[0, 0]).unwrap();
    }
    calls.place(9, "other:p", (true, false), &[0, 0]).unwrap();
    let tight = [7, 7];
    let later = 2_000;
    let greedy = calls.place(later, "greedy:new", (true, false), &tight);
    assert_eq!(greedy, Err(PlaceRefusal::Overloaded));
    assert!(calls.place(later, "other:new", (true, false), &tight).is_ok());
    assert!(calls.place(later, "greedy:p1", (false, false), &tight).is_ok());
    let full = [40, 40];
    assert_eq!(
        calls.place(later, "greedy:p1", (false, false), &full),
        Err(PlaceRefusal::Overloaded)
    );
}

#[test]
fn without_endpoints_there_is_no_place() {
    let mut calls = Calls::new();
    assert_eq!(calls.place(0, "w:p", (true, false), &[]), Err(PlaceRefusal::NoEndpoint));
    let blind = Router::new(RoutingPolicy::Random, 1).with_shedding(SheddingPolicy::None);
    calls.router = blind;
    assert_eq!(calls.place(0, "w:p", (true, false), &[]), Err(PlaceRefusal::NoEndpoint));
}

#[test]
fn shares_are_by_weight_and_forgotten_with_time() {
    let mut shares = ProgramShares::default();
    let (large, small) = (WorkspaceId::parse("l").unwrap(), WorkspaceId::parse("s").unwrap());
    (0..9).for_each(|at| shares.let_in(TimeMs(at), &large, 10));
    (0..2).for_each(|at| shares.let_in(TimeMs(at), &small, 1));
    assert!(!shares.is_above_share(TimeMs(10), &large));
    assert!(shares.is_above_share(TimeMs(10), &small));
    assert!(!shares.is_above_share(TimeMs(600_000), &small));
}

/// Every attempt fails. A workspace's retries end after what it had saved up, and come back at a
/// tenth of its successes; another workspace's are its own.
#[test]
fn retries_are_a_tenth_of_successes() {
    let mut budget = RetryBudget::default();
    let (failing, other) = (WorkspaceId::parse("f").unwrap(), WorkspaceId::parse("o").unwrap());
    assert_eq!((0..100).filter(|_| budget.try_acquire(&failing)).count(), 10);
    assert!(budget.try_acquire(&other));
    (0..20).for_each(|_| budget.record_success(&failing));
    assert_eq!((0..100).filter(|_| budget.try_acquire(&failing)).count(), 2);
}
