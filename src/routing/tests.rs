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

struct TestRouter {
    router: Router,
    target: ModelName,
}

impl TestRouter {
    fn new() -> TestRouter {
        let router = Router::new(RoutingPolicy::CacheAffinity, 1);
        TestRouter { router, target: ModelName::parse("small").unwrap() }
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
fn a_program_stays_on_its_endpoint_until_the_load_there_is_far_above_the_mean() {
    let mut router = TestRouter::new();
    let first = router.place(0, "w:p", (true, false), &[0, 0, 0]).unwrap();
    let index: usize = first[1..].parse().unwrap();
    let mut loads = [2, 2, 2];
    loads[index] = 5;
    assert_eq!(router.place(10, "w:p", (false, false), &loads).unwrap(), first);
    loads[index] = 20;
    assert_ne!(router.place(20, "w:p", (false, false), &loads).unwrap(), first);
}

/// One endpoint has reported that it is idle and does not report again during a burst. Dispatches
/// since the report must count as its load, or the whole burst would go to it.
#[test]
fn a_burst_is_not_all_sent_to_an_endpoint_last_reported_as_idle() {
    let mut router = TestRouter::new();
    let placements =
        (0..12).map(|n| router.place(1, &format!("w:p{n}"), (false, false), &[3, 3, 0]));
    let on_idle_endpoint = placements.filter(|place| place.as_ref().unwrap() == "m2").count();
    assert!((3..=7).contains(&on_idle_endpoint), "{on_idle_endpoint} of 12");
}

/// Entries that see different loads must place a suspect call on the same endpoint, or one engine
/// could crash for each entry.
#[test]
fn entries_with_different_reports_place_a_suspect_call_on_the_same_endpoint() {
    let loads = [[0, 5, 9], [9, 0, 5], [5, 9, 0]];
    let placements =
        loads.map(|loads| TestRouter::new().place(0, "w:p", (true, true), &loads).unwrap());
    assert!(placements.iter().all(|place| *place == placements[0]), "{placements:?}");
}

/// The endpoints are nearly full and one workspace has started many programs recently. Its next
/// program must be refused, but neither a program of another workspace nor a call of a running one.
#[test]
fn near_capacity_workspaces_above_their_share_are_refused_first() {
    let mut router = TestRouter::new();
    for number in 0..8 {
        router.place(number, &format!("greedy:p{number}"), (true, false), &[0, 0]).unwrap();
    }
    router.place(9, "other:p", (true, false), &[0, 0]).unwrap();
    let nearly_full_loads = [7, 7];
    let later = 2_000;
    let refused = router.place(later, "greedy:new", (true, false), &nearly_full_loads);
    assert_eq!(refused, Err(PlaceRefusal::Overloaded));
    assert!(router.place(later, "other:new", (true, false), &nearly_full_loads).is_ok());
    assert!(router.place(later, "greedy:p1", (false, false), &nearly_full_loads).is_ok());
    let overloaded_loads = [40, 40];
    assert_eq!(
        router.place(later, "greedy:p1", (false, false), &overloaded_loads),
        Err(PlaceRefusal::Overloaded)
    );
}

#[test]
fn placement_without_endpoints_is_refused() {
    let mut router = TestRouter::new();
    assert_eq!(router.place(0, "w:p", (true, false), &[]), Err(PlaceRefusal::NoEndpoint));
    let without_shedding =
        Router::new(RoutingPolicy::Random, 1).with_shedding(SheddingPolicy::None);
    router.router = without_shedding;
    assert_eq!(router.place(0, "w:p", (true, false), &[]), Err(PlaceRefusal::NoEndpoint));
}

#[test]
fn program_counts_are_weighted_and_decay() {
    let mut shares = ProgramShares::default();
    let (large, small) = (WorkspaceId::parse("l").unwrap(), WorkspaceId::parse("s").unwrap());
    (0..9).for_each(|at| shares.record_admitted(TimeMs(at), &large, 10));
    (0..2).for_each(|at| shares.record_admitted(TimeMs(at), &small, 1));
    assert!(!shares.is_above_share(TimeMs(10), &large));
    assert!(shares.is_above_share(TimeMs(10), &small));
    assert!(!shares.is_above_share(TimeMs(600_000), &small));
}

/// When every attempt fails, a workspace may use only its initial budget of retries. It regains one
/// for ten successes. Other workspaces have budgets of their own.
#[test]
fn retries_are_limited_to_a_tenth_of_successes() {
    let mut budget = RetryBudget::default();
    let (failing, other) = (WorkspaceId::parse("f").unwrap(), WorkspaceId::parse("o").unwrap());
    assert_eq!((0..100).filter(|_| budget.try_acquire(&failing)).count(), 10);
    assert!(budget.try_acquire(&other));
    (0..20).for_each(|_| budget.record_success(&failing));
    assert_eq!((0..100).filter(|_| budget.try_acquire(&failing)).count(), 2);
}
