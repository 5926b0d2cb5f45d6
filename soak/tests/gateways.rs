//! The real gateways as processes over stand-ins of the platform.

use std::path::PathBuf;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use trefoil_soak::{
    Answer, Caller, EndpointFault, LinkFault, StoreFault, Turn, World, WorldSettings,
};

const REVOKE_MS: u64 = 2_000;

/// An endpoint that leaves gets nothing new after this.
const DRAIN_MS: u64 = 2_000;

fn program() -> PathBuf {
    // Tests lie in target/PROFILE/deps, programs beside that folder.
    let test = std::env::current_exe().expect("a running test has a path");
    test.parent().and_then(|deps| deps.parent()).expect("deps").join("trefoilproxyd-platform")
}

async fn world(gateways: usize) -> World {
    let settings = WorldSettings { program: program(), gateways, revoke_ms: REVOKE_MS };
    World::start(&settings).await.expect("the world starts")
}

fn turn(request: &str, program: &str, previous: Option<&str>) -> Turn {
    Turn {
        request: request.to_string(),
        program: program.to_string(),
        previous: previous.map(str::to_string),
        input: format!("say {request};"),
        budget: 10_000,
    }
}

fn output(request: &str) -> String {
    (0..3).map(|event| format!("{request}-{event}\n")).collect()
}

fn prompt_of(world: &World, request: &str) -> String {
    let runs = world.journal.runs();
    let run = runs.iter().find(|run| run.request == request).expect("it has run");
    String::from_utf8(run.body.clone()).expect("text")
}

/// Asks until it is served, with a new id each time, as callers do.
async fn served(world: &World, entry: usize, mut asked: Turn) -> String {
    let first = asked.request.clone();
    for attempt in 0..40 {
        asked.request = format!("{first}.{attempt}");
        if world.caller.turn(world.entry(entry + attempt), &asked).await.is_served() {
            return asked.request;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{first} was never served; {:?}", world.gateways[0].lines());
}

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

// An endpoint runs an action and its answer is lost. The caller is told that the outcome is unknown;
// a second run would pay twice. A lookup is simply asked again at another endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_repeats_lookups_and_never_actions() {
    let world = world(1).await;
    world.endpoints.iter().for_each(|e| e.set_fault(EndpointFault::BreaksOneIn(2)));
    let mut unknown = 0;
    for number in 0..20 {
        let answer = world.caller.act(world.entry(0), &format!("act-{number}")).await;
        assert!(answer.is_served() || answer.status == Some(502), "{answer:?}");
        unknown += u32::from(!answer.is_served());
    }
    assert!(unknown > 0);
    let counts = world.journal.counts();
    let acts = counts.iter().filter(|(id, _)| id.starts_with("act-"));
    assert!(acts.clone().all(|(_, runs)| *runs == 1), "{:?}", acts.collect::<Vec<_>>());
}

// A key is withdrawn while the store is out of reach of one entry. That entry can't know; it must
// stop to serve keys by itself before the bound, and must not call the key unknown on its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_runs_nothing_at_an_entry_that_cannot_know() {
    let mut world = world(2).await;
    world.links[0].set(LinkFault::Silent);
    world.configure(&["a-new-key"], &["other-key"]);
    tokio::time::sleep(Duration::from_millis(REVOKE_MS + 100)).await;
    let answer = world.caller.look_up(world.entry(0), "late-0").await;
    assert_eq!(answer.status, Some(503), "{answer:?}");
    let answer = world.caller.look_up(world.entry(1), "late-1").await;
    assert_eq!(answer.status, Some(401), "{answer:?}");
    assert!(!world.journal.counts().keys().any(|id| id.starts_with("late-")));
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

// An entry is stopped while callers keep sending to it. Each request is answered, by it or by the
// owner that has taken its shards over, and its process ends by itself.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_an_entry_loses_no_request() {
    let mut world = world(2).await;
    let (caller, entry) = (world.caller.clone(), world.entry(0));
    let asking = tokio::spawn(async move {
        let mut answers = Vec::new();
        for number in 0..60 {
            let asked = turn(&format!("t{number}"), &format!("p{number}"), None);
            answers.push(caller.turn(entry, &asked).await);
        }
        answers
    });
    tokio::time::sleep(Duration::from_millis(150)).await;
    world.gateways[0].signal("TERM").expect("sent");
    let answers = asking.await.expect("no panic");
    let cut = answers.iter().filter(|answer| answer.status.is_some() && !answer.whole);
    assert_eq!(cut.count(), 0);
    let unknown = answers.iter().filter(|answer| matches!(answer.status, Some(502 | 504)));
    assert_eq!(unknown.count(), 0);
    let status = world.gateways[0].wait_end(Duration::from_secs(6)).expect("waited");
    assert!(status.is_some_and(|status| status.success()));
}

// An entry is stopped while callers keep opening connections to it until it is gone. A request that
// was read in the last moment was sent to an endpoint and cut by the end of the process: its caller
// got no answer though it had run.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_read_in_the_last_moment_is_answered() {
    let mut world = world(1).await;
    let entry = world.entry(0);
    let callers = (0..24).map(|line| {
        let caller = world.caller.clone();
        tokio::spawn(async move {
            let mut unanswered = Vec::new();
            for number in 0.. {
                let request = format!("last-{line}-{number}");
                let answer = caller.look_up(entry, &request).await;
                if answer.status.is_none() {
                    unanswered.push(request);
                }
                if unanswered.len() >= 20 {
                    break;
                }
            }
            unanswered
        })
    });
    let callers: Vec<_> = callers.collect();
    world.gateways[0].signal("TERM").expect("sent");
    let status = world.gateways[0].wait_end(Duration::from_secs(6)).expect("waited");
    assert!(status.is_some_and(|status| status.success()));
    let mut unanswered = Vec::new();
    for caller in callers {
        unanswered.extend(caller.await.expect("no panic"));
    }
    let counts = world.journal.counts();
    let cut: Vec<_> = unanswered.iter().filter(|id| counts.contains_key(*id)).collect();
    assert!(cut.is_empty(), "ran and not answered: {cut:?}");
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

// The store is away for longer than callers wait. Turns run, and their first tokens wait for the store
// until their callers leave. That is not the endpoints' silence: counted against them, sound endpoints
// were left out just when the store was back.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_is_not_the_endpoints_silence() {
    let world = world(1).await;
    world.store.set_fault(StoreFault::Down);
    let turns = (0..8).map(|number| {
        let (caller, entry) = (world.caller.clone(), world.entry(0));
        tokio::spawn(async move {
            let id = format!("t{number}");
            let asked = turn(&id, &id, None);
            let leaves = Duration::from_millis(1_200);
            tokio::time::timeout(leaves, caller.turn(entry, &asked)).await.is_ok()
        })
    });
    for asked in turns.collect::<Vec<_>>() {
        assert!(!asked.await.expect("no panic"), "no turn may end while the store is away");
    }
    world.store.set_fault(StoreFault::None);
    served(&world, 0, turn("after", "after", None)).await;
    // Lines are written a few times a second.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let lines = world.gateways[0].lines();
    let blamed: Vec<_> = lines.iter().filter(|line| line.contains("endpoint is silent")).collect();
    assert!(blamed.is_empty(), "{blamed:?}");
}

// One of the endpoints of each service says nothing, and its entry in the list is sound. Callers of
// lookups are served by another endpoint; callers of turns lose those that reach it until it is left
// out, and no more, though no connection ever breaks.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_endpoint_is_left_out() {
    let world = world(1).await;
    let silent: Vec<_> = ["llm", "desk"]
        .iter()
        .filter_map(|service| world.endpoints.iter().find(|e| e.id.starts_with(service)))
        .collect();
    assert_eq!(silent.len(), 2);
    silent.iter().for_each(|endpoint| endpoint.set_fault(EndpointFault::Silent));
    let mut lost = 0;
    for number in 0..30 {
        let looked_up = world.caller.look_up(world.entry(0), &format!("look-{number}")).await;
        assert!(looked_up.is_served(), "{number}: {looked_up:?}");
        let id = format!("t{number}");
        lost +=
            u32::from(!world.caller.turn(world.entry(0), &turn(&id, &id, None)).await.is_served());
    }
    assert!(lost <= 6, "{lost}");
}

// An endpoint answers every request with a fault of its own. Lookups are served by another, and turns
// no longer reach it after a few.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_answers_with_faults_is_left_out() {
    let world = world(1).await;
    for service in ["llm", "desk"] {
        let faulty = world.endpoints.iter().find(|e| e.id.starts_with(service));
        faulty.expect("one of each").set_fault(EndpointFault::FailsOneIn(1));
    }
    let mut failed = 0;
    for number in 0..40 {
        let looked_up = world.caller.look_up(world.entry(0), &format!("look-{number}")).await;
        assert!(looked_up.is_served(), "{number}: {looked_up:?}");
        let id = format!("t{number}");
        failed +=
            u32::from(!world.caller.turn(world.entry(0), &turn(&id, &id, None)).await.is_served());
    }
    assert!(failed <= 8, "{failed}");
}

// An endpoint says that it is leaving. Requests that reach it later than the platform allows are cut
// when it ends, so that from then on none may.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_leaves_gets_nothing_new() {
    let mut world = world(2).await;
    let at = world.endpoints.iter().position(|e| e.id.starts_with("desk")).expect("one");
    let leaving = world.endpoints[at].id.clone();
    world.endpoints[at].drain("desk");
    tokio::time::sleep(Duration::from_millis(DRAIN_MS)).await;
    for number in 0..40 {
        let answer = world.caller.look_up(world.entry(number), &format!("after-{number}")).await;
        assert!(answer.is_served(), "{answer:?}");
    }
    let runs = world.journal.runs();
    let late =
        runs.iter().filter(|run| run.endpoint == leaving && run.request.starts_with("after"));
    assert_eq!(late.count(), 0);
}

// An endpoint dies, and its address is given to one of another service while its entry is still in the
// list. Turns must not run at a service that their route does not name, and lookups are served there.
#[tokio::test(flavor = "multi_thread")]
async fn a_reused_address_runs_nothing_of_the_old_service() {
    let mut world = world(2).await;
    let at = world.endpoints.iter().position(|e| e.id.starts_with("desk")).expect("one");
    world.endpoints[at].replace("llm-reborn", "llm");
    for number in 0..30 {
        let looked_up = world.caller.look_up(world.entry(number), &format!("look-{number}")).await;
        assert!(looked_up.is_served(), "{looked_up:?}");
    }
    let runs = world.journal.runs();
    let strayed =
        runs.iter().filter(|r| r.endpoint == "llm-reborn" && r.request.starts_with("look"));
    assert_eq!(strayed.count(), 0);
}

// One workspace floods all entries, while one of them is killed and starts again. The rate holds over
// all entries in any window, and the others go on.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_holds_over_all_entries_through_the_death_of_one() {
    const RATE_PER_S: u64 = 40;
    const WINDOW: Duration = Duration::from_secs(5);
    let mut world = world(3).await;
    world.rate_per_s = RATE_PER_S;
    world.configure(&["secret-key-in-force"], &["other-key"]);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let flood = (0..3).map(|entry| {
        let (caller, address) = (world.caller.clone(), world.entry(entry));
        tokio::spawn(async move {
            for number in 0..400 {
                caller.look_up(address, &format!("flood-{entry}-{number}")).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
    });
    let flood: Vec<_> = flood.collect();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    world.gateways[1].kill().expect("killed");
    world.gateways[1].start().expect("started");
    for line in flood {
        line.await.expect("no panic");
    }
    let mut at: Vec<_> =
        world.journal.runs().into_iter().filter(|r| r.request.starts_with("flood")).collect();
    at.sort_by_key(|run| run.at);
    let windows = at.iter().map(|first| {
        at.iter().filter(|run| run.at >= first.at && run.at < first.at + WINDOW).count()
    });
    let most = windows.max().unwrap_or(0) as u64;
    let allowed = (RATE_PER_S * 5 + RATE_PER_S) * 11 / 10 + 20;
    assert!(most <= allowed, "{most} of {allowed}");
    assert!(most >= RATE_PER_S, "{most}");
}

// A request that names its length twice, once as chunks, could carry a second one inside it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_inside_another_never_runs() {
    let world = world(1).await;
    let inner = "GET /lookups/1 HTTP/1.1\r\nhost: soak.example\r\n\
        authorization: Bearer secret-key-in-force\r\ntrefoilproxy-request-id: smuggled\r\n\r\n";
    let outer = format!(
        "POST /actions/1 HTTP/1.1\r\nhost: soak.example\r\n\
        authorization: Bearer secret-key-in-force\r\ntrefoilproxy-request-id: outer\r\n\
        trefoilproxy-deadline-ms: 1000\r\ncontent-length: {}\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\n{inner}",
        inner.len() + 5
    );
    let mut stream = tokio::net::TcpStream::connect(world.entry(0)).await.expect("connected");
    stream.write_all(outer.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    drop(tokio::time::timeout(Duration::from_millis(1_500), reading).await);
    assert!(!world.journal.counts().contains_key("smuggled"));
    assert!(world.caller.look_up(world.entry(0), "after").await.is_served());
}

// A head larger than any configuration allows is refused, and costs other callers nothing.
#[tokio::test(flavor = "multi_thread")]
async fn an_oversized_head_is_refused() {
    let world = world(1).await;
    let head = format!("GET /lookups/1 HTTP/1.1\r\nx-long: {}\r\n\r\n", "x".repeat(200_000));
    let mut stream = tokio::net::TcpStream::connect(world.entry(0)).await.expect("connected");
    drop(stream.write_all(head.as_bytes()).await);
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    drop(tokio::time::timeout(Duration::from_millis(1_500), reading).await);
    assert!(!answer.starts_with(b"HTTP/1.1 2"), "{:?}", String::from_utf8_lossy(&answer));
    assert!(world.caller.look_up(world.entry(0), "after").await.is_served());
}
