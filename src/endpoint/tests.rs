use super::{
    AttemptScheduler, Finished, OrderPolicy, Recall, SchedulerAction, SchedulerLimits, Submission,
};
use crate::prelude::*;
use crate::programs::{
    Attempt, AttemptFrame, AttemptReport, AttemptWork, FailureCause, TurnResult,
};

fn me() -> EndpointRef {
    EndpointRef { vm: VmName::parse("m0").unwrap(), instance: Instance(7) }
}

fn scheduler() -> AttemptScheduler {
    let limits =
        SchedulerLimits { concurrency: 2, queue: 8, cache_lease_ms: 1_000, finished_bytes: 10_000 };
    AttemptScheduler::new(me(), limits, OrderPolicy::FairThenAttained)
}

fn attempt(epoch: u64, sequence: u64) -> Attempt {
    let workspace = WorkspaceId::parse("w").unwrap();
    Attempt {
        id: AttemptId { shard: ShardId(1), epoch: Epoch(epoch), sequence },
        target: me(),
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

/// A paused owner's attempt arrives after its successor asked about another of the shard, and one
/// that was meant for the run of this process before. Neither may start.
#[test]
fn attempts_of_replaced_owners_and_for_earlier_runs_are_rejected() {
    let mut scheduler = scheduler();
    let asked = attempt(5, 9).id;
    assert_eq!(scheduler.query(asked, Instance(7), Epoch(6)), AttemptReport::NeverSeen);
    assert_eq!(scheduler.submit(TimeMs(0), attempt(5, 1)), Submission::Rejected);
    assert_eq!(scheduler.submit(TimeMs(0), attempt(6, 1)), Submission::Accepted);
    let target = EndpointRef { instance: Instance(6), ..me() };
    let earlier = Attempt { target, ..attempt(6, 2) };
    assert_eq!(scheduler.submit(TimeMs(0), earlier), Submission::Rejected);
    assert_eq!(scheduler.query(asked, Instance(6), Epoch(6)), AttemptReport::Forgotten);
}

/// The owner asks before its own attempt arrives, and is told that it was never seen. The attempt
/// then comes late: the answer must stay true.
#[test]
fn an_attempt_that_was_reported_as_never_seen_never_starts() {
    let mut scheduler = scheduler();
    let late = attempt(5, 1);
    assert_eq!(scheduler.query(late.id, Instance(7), Epoch(5)), AttemptReport::NeverSeen);
    assert_eq!(scheduler.submit(TimeMs(0), late), Submission::Rejected);
}

/// The ends of attempts are dropped to bound memory. One whose end was dropped is "forgotten",
/// never "not seen": it may have run.
#[test]
fn a_dropped_end_is_not_mistaken_for_one_that_never_came() {
    let mut finished = Finished::new(500);
    let done = AttemptFrame::Done { result: TurnResult::Unknown };
    (1..=10).for_each(|sequence| finished.remember(attempt(5, sequence).id, done.clone()));
    assert_eq!(finished.recall(attempt(5, 1).id), Recall::Forgotten);
    assert_eq!(finished.recall(attempt(5, 10).id), Recall::Over(done));
    assert_eq!(finished.recall(attempt(5, 11).id), Recall::NeverSeen);
    assert_eq!(finished.recall(attempt(6, 1).id), Recall::NeverSeen);
}

/// A suspect starts on an empty engine and nothing starts beside it. It crashes the engine; the
/// same call of another caller, waiting behind it, is ended without being run.
#[test]
fn a_suspect_runs_alone_and_its_like_are_not_run_after_it_crashed() {
    let mut scheduler = scheduler();
    scheduler.submit(TimeMs(0), attempt(5, 1));
    assert_eq!(started(&scheduler.schedule(TimeMs(0))), [1]);
    let suspect = Attempt { alone: true, ..attempt(5, 2) };
    let like = Attempt { id: attempt(5, 3).id, ..suspect.clone() };
    scheduler.submit(TimeMs(1), suspect.clone());
    scheduler.submit(TimeMs(2), like.clone());
    assert_eq!(started(&scheduler.schedule(TimeMs(3))), [0; 0]);
    scheduler.record_end(
        TimeMs(4),
        attempt(5, 1).id,
        AttemptFrame::Done { result: TurnResult::Unknown },
    );
    assert_eq!(started(&scheduler.schedule(TimeMs(5))), [2]);
    scheduler.record_end(TimeMs(6), suspect.id, crashed());
    let actions = scheduler.schedule(TimeMs(7));
    assert_eq!(actions, [SchedulerAction::End(like.id, crashed_unstarted())]);
}

fn crashed_unstarted() -> AttemptFrame {
    AttemptFrame::Failed { cause: FailureCause::Crashed { run: 3 }, spent_tokens: Some(0) }
}

/// The message that a program has ended was lost with its sender: its lease runs out, and the
/// engine's memory is freed.
#[test]
fn the_cache_of_a_program_that_nobody_uses_is_freed() {
    let mut scheduler = scheduler();
    scheduler.submit(TimeMs(0), attempt(5, 1));
    scheduler.schedule(TimeMs(0));
    assert!(scheduler.schedule(TimeMs(3_000)).is_empty(), "it still runs");
    scheduler.record_end(TimeMs(3_100), attempt(5, 1).id, crashed());
    assert_eq!(scheduler.schedule(TimeMs(4_100)), [SchedulerAction::FreeCache("w:p1".into())]);
    scheduler.found_cached(TimeMs(5_000), "left-by-an-earlier-run");
    let freed = scheduler.schedule(TimeMs(6_000));
    assert_eq!(freed, [SchedulerAction::FreeCache("left-by-an-earlier-run".into())]);
}

/// Short programs of one workspace keep coming. Another's attempt has waited for the longest time
/// allowed: it goes first, whatever fairness says.
#[test]
fn nobody_waits_for_ever() {
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

/// Two programs make the same call. The first crashes the engine; the second finds it down and is
/// turned away before the crash was noted. It waits for the first one's end and is reported as
/// crashed with it, so that its owner runs it alone next, and not on the next engine beside others.
#[test]
fn a_call_turned_away_by_a_crash_of_its_like_shares_the_suspicion() {
    let mut scheduler = scheduler();
    let first = attempt(5, 1);
    let second = Attempt { digest: first.digest, ..attempt(5, 2) };
    scheduler.submit(TimeMs(0), first.clone());
    scheduler.submit(TimeMs(0), second.clone());
    assert_eq!(started(&scheduler.schedule(TimeMs(0))), [1, 2]);
    assert!(scheduler.turned_away(second.id));
    scheduler.record_end(TimeMs(1), first.id, crashed());
    assert!(!scheduler.turned_away(second.id));
    let rejected = AttemptFrame::Failed { cause: FailureCause::Rejected, spent_tokens: Some(0) };
    assert_eq!(scheduler.record_end(TimeMs(2), second.id, rejected), crashed_unstarted());
}
