//! Turns and their histories over real gateways, and the owners of their shards.

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

// A caller goes on from a turn of another program while the shards change their owners. The turn is
// kept, but the store is slow, and the search for it meets shards that nobody serves for a moment.
// Refused for that, the caller would lose a turn that is found a little later.
#[tokio::test(flavor = "multi_thread")]
async fn a_turn_of_another_program_is_found_while_shards_are_dealt_anew() {
    let world = world(3).await;
    assert!(world.caller.turn(world.entry(0), &turn("t0", "p", None)).await.is_served());
    world.store.set_fault(StoreFault::Slow(60));
    for number in 0..8 {
        world.store.deal_anew();
        tokio::time::sleep(Duration::from_millis(number as u64 * 60)).await;
        let asked = turn(&format!("n{number}"), &format!("another-{number}"), Some("t0"));
        let answer = world.caller.turn(world.entry(number), &asked).await;
        assert!(answer.is_served(), "{number}: {answer:?}");
    }
}

// A caller sees the end of a turn, and all processes are killed at that moment. They start again and
// the caller goes on: the turn must be known, since its end was passed on only once it was recorded.
#[tokio::test(flavor = "multi_thread")]
async fn a_turn_whose_end_was_seen_outlives_all_processes() {
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

// A process starts again while the store is away, so that it can't sign its earlier life off, and is
// dealt its shards under the epoch that it had. Its first batches bore the numbers of the earlier life's,
// and the store took them for repeats: turns were acknowledged, seen to end, and never stored.
#[tokio::test(flavor = "multi_thread")]
async fn a_life_that_is_taken_for_the_earlier_one_loses_no_turn() {
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

// The store does appends and loses their answers. An owner that wrote them again under another number
// would record turns twice; one that gave up would lose turns that are recorded.
#[tokio::test(flavor = "multi_thread")]
async fn turns_end_though_the_store_loses_answers() {
    let world = world(2).await;
    world.store.set_fault(StoreFault::LosesAnswers(3));
    let mut previous = None;
    for number in 0..4 {
        let asked = turn(&format!("t{number}"), "p", previous.as_deref());
        previous = Some(served(&world, number, asked).await);
    }
}

// One entry is cut off from the store while it owns the program's shard. Its turns can't be recorded,
// so none may end there; another entry takes the shard over and knows all turns that ended.
#[tokio::test(flavor = "multi_thread")]
async fn shards_move_on_from_an_entry_that_is_cut_off_from_the_store() {
    let world = world(3).await;
    assert!(world.caller.turn(world.entry(0), &turn("t0", "p", None)).await.is_served());
    world.links[0].set(LinkFault::Silent);
    let mut previous = "t0".to_string();
    for number in 1..4 {
        previous = served(&world, 1, turn(&format!("t{number}"), "p", Some(&previous))).await;
    }
    world.links[0].set(LinkFault::None);
    let last = served(&world, 0, turn("t4", "p", Some(&previous))).await;
    assert_eq!(prompt_of(&world, &last).matches("say t").count(), 5);
}

// An owner is cut off from the store alone while turns of its programs come. It runs them and can't
// record them; waiting for its membership to lapse cost callers their turns. The others see that the
// store is sound, take its shards over, and record what it has run: no caller has to ask again.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_cut_off_from_the_store_costs_no_turn() {
    let world = world(3).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    for victim in 0..3 {
        world.links[victim].set(LinkFault::Silent);
        for number in 0..12 {
            let id = format!("cut-{victim}-{number}");
            let answer = world.caller.turn(world.entry(victim + 1), &turn(&id, &id, None)).await;
            assert!(answer.is_served(), "{id}: {answer:?}");
        }
        world.links[victim].set(LinkFault::None);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn shards_dealt_anew_lose_no_turn() {
    let world = world(3).await;
    let mut previous = None;
    for number in 0..6 {
        world.store.deal_anew();
        let asked = turn(&format!("t{number}"), "p", previous.as_deref());
        previous = Some(served(&world, number, asked).await);
    }
    let last = previous.expect("six turns");
    assert_eq!(prompt_of(&world, &last).matches("say t").count(), 6);
}

// The owner dies in the middle of a program. What it may have handed out counts as spent, so that the
// program's turns hand out no more than its budget and one turn.
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

// An owner stands still while turns of its programs come through other entries. The connections to it
// stand and take bytes, so that a turn sent to it may run whenever it wakes, and could go nowhere
// else. It gets the head only; the turn goes to its shard's next owner, and runs once.
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
