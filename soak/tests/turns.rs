//! Turns with history and the owners of their shards, on real gateways.

mod common;

use std::time::Duration;

use trefoil_soak::{Answer, Caller, LinkFault, StoreFault, Turn};

use common::{output, prompt_of, served, turn, world};

#[tokio::test(flavor = "multi_thread")]
async fn a_program_goes_on_at_every_entry_with_its_whole_history() {
    let world = world(3).await;
    let mut previous: Option<String> = None;
    let mut said = String::new();
    for number in 0..4 {
        let id = format!("t{number}");
        let asked = turn(&id, "p", previous.as_deref());
        let answer = world.caller.turn(world.entry(number), &asked).await;
        assert!(answer.is_served(), "{answer:?}");
        assert_eq!(prompt_of(&world, &id), format!("{said}say {id};"));
        said += &format!("say {id};{}", output(&id));
        previous = Some(id);
    }
    let runs = world.journal.runs();
    assert!(runs.iter().all(|run| run.workspace == "ours" && !run.had_key));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_turn_of_another_program_or_none_or_another_workspace() {
    let world = world(3).await;
    assert!(world.caller.turn(world.entry(0), &turn("t0", "p", None)).await.is_served());
    let elsewhere = turn("t1", "another-program", Some("t0"));
    let answer = world.caller.turn(world.entry(1), &elsewhere).await;
    assert!(answer.is_served(), "{answer:?}");
    assert_eq!(prompt_of(&world, "t1"), format!("say t0;{}say t1;", output("t0")));
    let none = world.caller.turn(world.entry(2), &turn("t2", "p", Some("never"))).await;
    assert_eq!(none.status, Some(404));
    let other = Caller { key: "other-key".to_string() };
    let foreign = other.turn(world.entry(2), &turn("t3", "p", Some("t0"))).await;
    assert_eq!(foreign.status, Some(404));
}

// A caller continues a turn of another program while shards are reassigned and the store is slow. The
// lookup finds some shards without an owner for a moment. If the request were refused for that, the
// caller would lose a turn that is still stored.
#[tokio::test(flavor = "multi_thread")]
async fn a_turn_of_another_program_is_found_while_shards_are_reassigned() {
    let world = world(3).await;
    assert!(world.caller.turn(world.entry(0), &turn("t0", "p", None)).await.is_served());
    world.store.set_fault(StoreFault::Slow(60));
    for number in 0..8 {
        world.store.reassign_shards();
        tokio::time::sleep(Duration::from_millis(number as u64 * 60)).await;
        let asked = turn(&format!("n{number}"), &format!("another-{number}"), Some("t0"));
        let answer = world.caller.turn(world.entry(number), &asked).await;
        assert!(answer.is_served(), "{number}: {answer:?}");
    }
}

// All processes are killed at the moment at which a caller receives the end of a turn. After their restart
// the turn must be known: its end is passed on only after the turn is durable.
#[tokio::test(flavor = "multi_thread")]
async fn a_completed_turn_survives_the_death_of_all_processes() {
    let mut world = world(3).await;
    assert!(world.caller.turn(world.entry(0), &turn("t0", "p", None)).await.is_served());
    for gateway in &mut world.gateways {
        gateway.kill().expect("killed");
    }
    for gateway in &mut world.gateways {
        gateway.start().expect("started");
    }
    let next = served(&world, 1, turn("t1", "p", Some("t0"))).await;
    assert_eq!(prompt_of(&world, &next), format!("say t0;{}say t1;", output("t0")));
}

// Copies of another program's turn that a refused turn left in the owner's memory alone were lost with it, and
// with them the turns that continue them.
#[tokio::test(flavor = "multi_thread")]
async fn a_turn_refused_for_its_budget_costs_no_later_turn_its_history() {
    let mut world = world(3).await;
    assert!(world.caller.turn(world.entry(0), &turn("t0", "p", None)).await.is_served());
    for number in 0..12 {
        let program = format!("spent-{number}");
        let first = Turn { budget: 1, ..turn(&format!("{program}-0"), &program, None) };
        assert!(world.caller.turn(world.entry(number), &first).await.is_served());
        let next = Turn { budget: 1, ..turn(&format!("{program}-1"), &program, Some("t0")) };
        let refused = world.caller.turn(world.entry(number), &next).await;
        assert_eq!(refused.status, Some(402), "{refused:?}");
    }
    for number in 0..12 {
        let id = format!("n{number}");
        let answer = world.caller.turn(world.entry(number), &turn(&id, &id, Some("t0"))).await;
        assert!(answer.is_served(), "{answer:?}");
    }
    for gateway in &mut world.gateways {
        gateway.kill().expect("killed");
        gateway.start().expect("started");
    }
    world.wait_serving().await.expect("it serves again");
    for number in 0..12 {
        let (id, previous) = (format!("m{number}"), format!("n{number}"));
        let next = turn(&id, &previous, Some(&previous));
        let answer = world.caller.turn(world.entry(number), &next).await;
        assert!(answer.is_served(), "{id}: {answer:?}");
        let history = format!("say t0;{}say {previous};{}", output("t0"), output(&previous));
        assert_eq!(prompt_of(&world, &id), format!("{history}say {id};"));
    }
}

// A process restarts while the store is unreachable, so that it can't deregister its earlier process
// instance, and is assigned its shards under the same epoch. Its first batches had the sequence numbers
// of the earlier instance's, and the store took them for repeats: turns were acknowledged and completed
// but never stored.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_instance_taken_for_the_earlier_one_loses_no_turn() {
    let mut world = world(1).await;
    world.gateways[0].kill().expect("killed");
    world.gateways[0].start().expect("started");
    served(&world, 0, turn("t0", "p", None)).await;
    world.gateways[0].kill().expect("killed");
    world.store.set_fault(StoreFault::Down);
    world.gateways[0].start().expect("started");
    tokio::time::sleep(Duration::from_millis(300)).await;
    world.store.set_fault(StoreFault::None);
    let kept = served(&world, 0, turn("t1", "p", None)).await;
    world.gateways[0].kill().expect("killed");
    world.gateways[0].start().expect("started");
    let next = served(&world, 0, turn("t2", "p", Some(&kept))).await;
    assert_eq!(prompt_of(&world, &next), format!("say t1;{}say t2;", output(&kept)));
}

// The store executes appends and loses the answers. An owner that repeated them under another sequence
// number would record turns twice; one that gave up would lose turns that are stored.
#[tokio::test(flavor = "multi_thread")]
async fn turns_complete_although_the_store_loses_answers() {
    let world = world(2).await;
    world.store.set_fault(StoreFault::LosesAnswers(3));
    let mut previous = None;
    for number in 0..4 {
        let asked = turn(&format!("t{number}"), "p", previous.as_deref());
        previous = Some(served(&world, number, asked).await);
    }
}

// The owner of a program's shard is cut off from the store. Its turns can't be recorded, so none may
// complete there; another entry must take over the shard with all completed turns.
#[tokio::test(flavor = "multi_thread")]
async fn shards_move_on_from_an_entry_that_is_cut_off_from_the_store() {
    let world = world(3).await;
    assert!(world.caller.turn(world.entry(0), &turn("t0", "p", None)).await.is_served());
    world.links[0].set_fault(LinkFault::Silent);
    let mut previous = "t0".to_string();
    for number in 1..4 {
        previous = served(&world, 1, turn(&format!("t{number}"), "p", Some(&previous))).await;
    }
    world.links[0].set_fault(LinkFault::None);
    let last = served(&world, 0, turn("t4", "p", Some(&previous))).await;
    assert_eq!(prompt_of(&world, &last).matches("say t").count(), 5);
}

// An owner alone is cut off from the store while it runs turns that it can't record. When its shards were
// reassigned only after its membership had expired, callers lost these turns. The other entries must take
// over its shards and record the turns, without a retry by the callers.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_cut_off_from_the_store_costs_no_turn() {
    let world = world(3).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    for victim in 0..3 {
        world.links[victim].set_fault(LinkFault::Silent);
        for number in 0..12 {
            let id = format!("cut-{victim}-{number}");
            let answer = world.caller.turn(world.entry(victim + 1), &turn(&id, &id, None)).await;
            assert!(answer.is_served(), "{id}: {answer:?}");
        }
        world.links[victim].set_fault(LinkFault::None);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reassigned_shards_lose_no_turn() {
    let world = world(3).await;
    let mut previous = None;
    for number in 0..6 {
        world.store.reassign_shards();
        let asked = turn(&format!("t{number}"), "p", previous.as_deref());
        previous = Some(served(&world, number, asked).await);
    }
    let last = previous.expect("six turns");
    assert_eq!(prompt_of(&world, &last).matches("say t").count(), 6);
}

// Owners are killed in the middle of a program. Tokens that they may have delivered must count as used, so
// that the program gets at most its budget plus the tokens of one turn.
#[tokio::test(flavor = "multi_thread")]
async fn a_budget_holds_through_the_death_of_owners() {
    let mut world = world(2).await;
    let (budget, mut tokens, mut refused) = (300, 0, 0);
    for number in 0..16 {
        if number % 4 == 3 {
            let victim = number / 4 % 2;
            world.gateways[victim].kill().expect("killed");
            world.gateways[victim].start().expect("started");
            world.wait_serving().await.expect("it serves again");
        }
        let asked = Turn { budget, ..turn(&format!("t{number}"), "p", None) };
        let answer: Answer = world.caller.turn(world.entry(number), &asked).await;
        tokens += answer.events() * 20;
        refused += u32::from(answer.status == Some(402));
    }
    assert!(tokens <= budget + 60, "{tokens}");
    assert!(refused > 0);
}

// An owner is frozen while other entries forward turns to it. Connections to it still accept bytes, so a
// complete turn could run when it resumes, and could not be sent elsewhere. It must get only the head, and
// the turn must run once, at the shard's next owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_owner_costs_no_turn() {
    let world = world(3).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    for victim in 0..3 {
        world.gateways[victim].signal("STOP").expect("sent");
        for number in 0..12 {
            let id = format!("frozen-{victim}-{number}");
            let answer = world.caller.turn(world.entry(victim + 1), &turn(&id, &id, None)).await;
            assert!(answer.is_served(), "{id}: {answer:?}");
        }
        world.gateways[victim].signal("CONT").expect("sent");
        tokio::time::sleep(Duration::from_millis(2_000)).await;
    }
    let counts = world.journal.counts();
    let twice: Vec<_> = counts.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(twice.is_empty(), "{twice:?}");
}
