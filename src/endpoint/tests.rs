mod cut_replies;

use super::{
    AttemptScheduler, FinishedAttempts, FinishedLookup, OrderPolicy, SchedulerAction,
    SchedulerLimits, Submission,
};
use crate::prelude::*;
use crate::programs::{
    Attempt, AttemptFrame, AttemptReport, AttemptWork, FailureCause, TurnResult,
};

fn this_endpoint() -> EndpointRef {
    EndpointRef { vm: VmName::parse("m0").unwrap(), instance: Instance(7) }
}

fn scheduler() -> AttemptScheduler {
    let limits =
        SchedulerLimits { concurrency: 2, queue: 8, cache_lease_ms: 1_000, finished_bytes: 10_000 };
    AttemptScheduler::new(this_endpoint(), limits, OrderPolicy::FairThenAttained)
}

fn attempt(epoch: u64, sequence: u64) -> Attempt {
    let workspace = WorkspaceId::parse("w").unwrap();
    Attempt {
        id: AttemptId { shard: ShardId(1), epoch: Epoch(epoch), sequence },
        target: this_endpoint(),
        program: ProgramId::parse(workspace, &format!("p{sequence}")).unwrap(),
        turn: TurnNo(1),
        digest: Digest::of(&[&sequence.to_le_bytes()]),
        work: AttemptWork::Model {
            model: ModelName::parse("small").unwrap(),
            messages: Vec::new(),
            resume_text: "".into(),
            max_tokens: 10,
            parameters: serde_json::Map::new(),
        },
        attained_tokens: 0,
        deadline_in_ms: 5_000,
        alone: false,
    }
}

fn started(actions: &[SchedulerAction]) -> Vec<u64> {
    let sequence = |action: &SchedulerAction| match action {
        SchedulerAction::Start(attempt) => Some(attempt.id.sequence),
        _ => None,
    };
    actions.iter().filter_map(sequence).collect()
}

fn crashed() -> AttemptFrame {
    AttemptFrame::Failed { cause: FailureCause::Crashed { run: 3 }, spent_tokens: None }
}

/// Two attempts must not start: one from a paused owner that arrives after its successor queried
/// another attempt of the shard, and one meant for an earlier instance of this process.
#[test]
fn attempts_from_replaced_owners_or_for_earlier_instances_are_rejected() {
    let mut scheduler = scheduler();
    let queried = attempt(5, 9).id;
    assert_eq!(scheduler.query(queried, Instance(7), Epoch(6)), AttemptReport::NeverSeen);
    assert_eq!(scheduler.submit(TimeMs(0), attempt(5, 1)), Submission::Rejected);
    assert_eq!(scheduler.submit(TimeMs(0), attempt(6, 1)), Submission::Accepted);
    let target = EndpointRef { instance: Instance(6), ..this_endpoint() };
    let earlier = Attempt { target, ..attempt(6, 2) };
    assert_eq!(scheduler.submit(TimeMs(0), earlier), Submission::Rejected);
    assert_eq!(scheduler.query(queried, Instance(6), Epoch(6)), AttemptReport::Forgotten);
}

/// An owner queries its attempt before the attempt arrives, and is told that it was never seen. The
/// attempt that arrives afterwards must not start, or the report would be wrong.
#[test]
fn attempt_reported_as_never_seen_is_rejected_later() {
    let mut scheduler = scheduler();
    let late = attempt(5, 1);
    assert_eq!(scheduler.query(late.id, Instance(7), Epoch(5)), AttemptReport::NeverSeen);
    assert_eq!(scheduler.submit(TimeMs(0), late), Submission::Rejected);
}

/// Results of attempts are dropped to bound memory. An attempt whose result was dropped may have
/// run, so it must be reported as forgotten, not as never seen.
#[test]
fn attempt_with_dropped_result_is_reported_as_forgotten() {
    let mut finished = FinishedAttempts::new(500);
    let done = AttemptFrame::Done { result: TurnResult::Unknown };
    (1..=10).for_each(|sequence| finished.insert_result(attempt(5, sequence).id, done.clone()));
    assert_eq!(finished.lookup(attempt(5, 1).id), FinishedLookup::Forgotten);
    assert_eq!(finished.lookup(attempt(5, 10).id), FinishedLookup::Ended(done));
    assert_eq!(finished.lookup(attempt(5, 11).id), FinishedLookup::NeverSeen);
    assert_eq!(finished.lookup(attempt(6, 1).id), FinishedLookup::NeverSeen);
}

/// A suspected call runs alone: it starts only on an idle engine, and nothing starts beside it.
/// When it crashes the engine, the same call of another caller, queued behind it, must be ended
/// without being run.
#[test]
fn suspected_call_runs_alone_and_the_same_call_is_not_run_after_its_crash() {
    let mut scheduler = scheduler();
    scheduler.submit(TimeMs(0), attempt(5, 1));
    assert_eq!(started(&scheduler.schedule(TimeMs(0))), [1]);
    let suspect = Attempt { alone: true, ..attempt(5, 2) };
    let same_call = Attempt { id: attempt(5, 3).id, ..suspect.clone() };
    scheduler.submit(TimeMs(1), suspect.clone());
    scheduler.submit(TimeMs(2), same_call.clone());
    assert_eq!(started(&scheduler.schedule(TimeMs(3))), [0; 0]);
    scheduler.record_end(
        TimeMs(4),
        attempt(5, 1).id,
        AttemptFrame::Done { result: TurnResult::Unknown },
    );
    assert_eq!(started(&scheduler.schedule(TimeMs(5))), [2]);
    scheduler.record_end(TimeMs(6), suspect.id, crashed());
    let actions = scheduler.schedule(TimeMs(7));
    assert_eq!(actions, [SchedulerAction::End(same_call.id, crashed_unstarted())]);
}

fn crashed_unstarted() -> AttemptFrame {
    AttemptFrame::Failed { cause: FailureCause::Crashed { run: 3 }, spent_tokens: Some(0) }
}

/// The message that a program has ended is lost because its sender fails. The program's cache must
/// still be freed, when its lease expires.
#[test]
fn unused_cache_is_freed_when_its_lease_expires() {
    let mut scheduler = scheduler();
    scheduler.submit(TimeMs(0), attempt(5, 1));
    scheduler.schedule(TimeMs(0));
    assert!(scheduler.schedule(TimeMs(3_000)).is_empty(), "freed while the attempt is running");
    scheduler.record_end(TimeMs(3_100), attempt(5, 1).id, crashed());
    assert_eq!(scheduler.schedule(TimeMs(4_100)), [SchedulerAction::FreeCache("w:p1".into())]);
    scheduler.adopt_cached(TimeMs(5_000), "left-by-an-earlier-run");
    let freed = scheduler.schedule(TimeMs(6_000));
    assert_eq!(freed, [SchedulerAction::FreeCache("left-by-an-earlier-run".into())]);
}

/// A steady flow of short programs must not starve a long one: an attempt that has waited for the
/// maximum time goes first, whatever the fairness rules say.
#[test]
fn overdue_attempt_goes_first_despite_fairness() {
    let mut scheduler = scheduler();
    let starving = Attempt { attained_tokens: 1_000_000, deadline_in_ms: 60_000, ..attempt(5, 1) };
    scheduler.submit(TimeMs(0), attempt(5, 2));
    scheduler.submit(TimeMs(0), attempt(5, 3));
    scheduler.schedule(TimeMs(0));
    scheduler.submit(TimeMs(1), starving);
    scheduler.submit(TimeMs(4_900), attempt(5, 4));
    scheduler.record_end(TimeMs(5_200), attempt(5, 2).id, crashed());
    assert_eq!(started(&scheduler.schedule(TimeMs(5_200))), [1]);
}

/// Two programs make the same call. The first crashes the engine; the second finds the engine down
/// and is rejected before the crash is recorded. It must wait for the first one's end and be
/// reported as crashed too. Otherwise its owner would run it on the next engine beside other calls
/// instead of alone.
#[test]
fn call_rejected_after_a_crash_of_the_same_call_is_reported_as_crashed() {
    let mut scheduler = scheduler();
    let first = attempt(5, 1);
    let second = Attempt { digest: first.digest, ..attempt(5, 2) };
    scheduler.submit(TimeMs(0), first.clone());
    scheduler.submit(TimeMs(0), second.clone());
    assert_eq!(started(&scheduler.schedule(TimeMs(0))), [1, 2]);
    assert!(scheduler.mark_engine_rejected(second.id));
    scheduler.record_end(TimeMs(1), first.id, crashed());
    assert!(!scheduler.mark_engine_rejected(second.id));
    let rejected = AttemptFrame::Failed { cause: FailureCause::Rejected, spent_tokens: Some(0) };
    assert_eq!(scheduler.record_end(TimeMs(2), second.id, rejected), crashed_unstarted());
}
