//! Turns whose history is not kept, on real gateways: token budgets and the resumption of streams.

mod common;

use trefoil_soak::{EndpointFault, LinkFault, StoreFault, Turn};

use common::{ask, data, output, turn, world};

/// Number of tokens of a response, which has three events.
const ANSWER_TOKENS: u64 = 60;

// An endpoint breaks off a response at each byte of its events in turn. The caller of a resumable stream
// must receive each event once, in one response, and no part of an incomplete event.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_at_any_byte_goes_on_at_another_endpoint() {
    let world = world(2).await;
    let most = 3 * "id: 0\ndata: cut-00-0\n\n".len();
    for bytes in 0..=most {
        world.endpoints.iter().for_each(|e| e.set_fault(EndpointFault::CutsFirstRunAfter(bytes)));
        let id = format!("cut-{bytes:02}");
        let answer = world.caller.turn(world.entry(bytes), &ask(&id, &id)).await;
        assert!(answer.is_served(), "{id}: {answer:?}");
        assert_eq!(data(&answer), output(&id));
    }
    let counts = world.journal.counts();
    assert!(counts.iter().filter(|(id, _)| id.starts_with("cut-")).all(|(_, runs)| *runs <= 2));
}

// An endpoint breaks off the response to a turn that must run at most once: the caller's response must
// break off too, without a second run.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_may_not_be_resumed_breaks_off_and_runs_once() {
    let world = world(1).await;
    for bytes in [0, 5, 21, 22, 30, 65] {
        world.endpoints.iter().for_each(|e| e.set_fault(EndpointFault::CutsFirstRunAfter(bytes)));
        let id = format!("cut-{bytes:02}");
        let answer = world.caller.turn(world.entry(0), &turn(&id, &id, None)).await;
        assert!(!answer.is_served(), "{id}: {answer:?}");
        assert!(!answer.guarantees_not_run(), "{id}: {answer:?}");
        assert_eq!(world.journal.counts()[&id], 1);
    }
}

// An endpoint stalls in the middle of a response while its connection stays open. The caller would give
// up after two seconds unless another endpoint resumes the stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_stalls_goes_on_at_another_endpoint() {
    let world = world(1).await;
    world.endpoints.iter().for_each(|e| e.set_fault(EndpointFault::StallsFirstRun));
    let answer = world.caller.turn(world.entry(0), &ask("stall", "stall")).await;
    assert!(answer.is_served(), "{answer:?}");
    assert_eq!(data(&answer), output("stall"));
}

// A program without history loops endlessly, with each turn through another entry. No entry sees more
// than a few of its turns, but the one owner of its token account must stop it.
#[tokio::test(flavor = "multi_thread")]
async fn a_program_without_history_is_stopped_at_its_budget() {
    let world = world(3).await;
    let (budget, mut tokens, mut refused) = (300, 0, 0);
    for number in 0..12 {
        let asked = Turn { budget, ..ask(&format!("t{number}"), "loops") };
        let answer = world.caller.turn(world.entry(number), &asked).await;
        tokens += answer.events() * 20;
        refused += u32::from(answer.status == Some(402));
    }
    assert!(tokens <= budget + ANSWER_TOKENS, "{tokens}");
    assert!(tokens >= budget, "{tokens}");
    assert_eq!(refused, 7);
}

// The turns of a program arrive concurrently, as those of sub-agents do.
#[tokio::test(flavor = "multi_thread")]
async fn turns_at_once_share_one_budget() {
    let world = world(3).await;
    let budget = 300;
    let asked = (0..20).map(|number| {
        let turn = Turn { budget, ..ask(&format!("t{number}"), "fans-out") };
        let (caller, entry) = (world.caller.clone(), world.entry(number));
        tokio::spawn(async move { caller.turn(entry, &turn).await })
    });
    let mut tokens = 0;
    for asked in asked.collect::<Vec<_>>() {
        tokens += asked.await.expect("no panic").events() * 20;
    }
    assert!(tokens <= budget + ANSWER_TOKENS, "{tokens}");
}

// A program has used up its budget, and then all processes are killed at once. It must still be refused
// afterwards: its account is in the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_program_that_was_stopped_stays_stopped_though_all_entries_died() {
    let mut world = world(2).await;
    let budget = 120;
    let asked = |id: &str| Turn { budget, ..ask(id, "loops") };
    for number in 0..4 {
        world.caller.turn(world.entry(number), &asked(&format!("t{number}"))).await;
    }
    world.gateways.iter_mut().for_each(|gateway| gateway.kill().expect("killed"));
    world.gateways.iter_mut().for_each(|gateway| gateway.start().expect("started"));
    world.wait_serving().await.expect("it serves again");
    for number in 0..4 {
        let answer = world.caller.turn(world.entry(number), &asked(&format!("late{number}"))).await;
        assert_eq!(answer.status, Some(402), "{answer:?}");
    }
}

// During a program, owners are killed or cut off from the store, and the store loses answers. Tokens that
// a dead owner may have delivered must count as used.
#[tokio::test(flavor = "multi_thread")]
async fn a_budget_without_history_holds_through_lost_owners_and_answers() {
    let mut world = world(3).await;
    let (budget, mut tokens) = (600, 0);
    for number in 0..30 {
        match number % 10 {
            3 => {
                let victim = number / 10 % 3;
                world.gateways[victim].kill().expect("killed");
                world.gateways[victim].start().expect("started");
            }
            5 => world.store.set_fault(StoreFault::LosesAnswers(3)),
            7 => world.links[number / 10 % 3].set_fault(LinkFault::Silent),
            9 => {
                world.store.set_fault(StoreFault::None);
                world.links.iter().for_each(|link| link.set_fault(LinkFault::None));
            }
            _ => {}
        }
        let asked = Turn { budget, ..ask(&format!("t{number}"), "loops") };
        tokens += world.caller.turn(world.entry(number), &asked).await.events() * 20;
    }
    assert!(tokens <= budget + ANSWER_TOKENS, "{tokens}");
    assert!(tokens > 0);
}

// During an outage of the store, turns can't be charged: they must deliver no tokens, and callers must be
// refused in time.
#[tokio::test(flavor = "multi_thread")]
async fn no_token_passes_that_can_not_be_charged() {
    let world = world(1).await;
    world.store.set_fault(StoreFault::Down);
    for number in 0..3 {
        let id = format!("t{number}");
        let answer = world.caller.turn(world.entry(0), &ask(&id, &id)).await;
        assert_eq!(answer.events(), 0, "{answer:?}");
    }
}
