use std::sync::atomic::{AtomicBool, Ordering};

use proptest::prelude::*;

use crate::load::{
    CallerConnection, CallerLimits, CallerMemory, CallerRequest, Evict, HeldRequestBytes, NoRoom,
};
use crate::prelude::*;

const LIMITS: CallerLimits =
    CallerLimits { connections: 12, request_bytes: 160_000, history_bytes: 50_000 };

/// The size of an ordinary request's head and body.
const ORDINARY_BYTES: usize = 500;

/// Callers of the model's crowd.
const CALLERS: usize = 16;

#[derive(Debug, Clone, Default)]
struct Handle(Arc<AtomicBool>);

impl Handle {
    fn is_evicted(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

impl Evict for Handle {
    fn evict(&self) {
        assert!(!self.0.swap(true, Ordering::SeqCst), "evicted twice");
    }
}

fn memory() -> CallerMemory<Handle> {
    CallerMemory::open(LIMITS)
}

/// A caller whose connection is open, and what it has sent of a request.
struct Caller {
    handle: Handle,
    request: Option<CallerRequest<Handle>>,
    is_known: bool,
    in_service: bool,
    body: Option<HeldRequestBytes<Handle>>,
    connection: CallerConnection<Handle>,
}

fn connect(memory: &CallerMemory<Handle>, now: TimeMs) -> Result<Caller, NoRoom> {
    let handle = Handle::default();
    let connection = memory.open_connection(now, handle.clone())?;
    Ok(Caller { handle, request: None, is_known: false, in_service: false, body: None, connection })
}

impl Caller {
    /// Sends a whole request of a workspace, and has it served.
    fn send(&mut self, now: TimeMs, workspace: &str, bytes: usize) -> Result<(), NoRoom> {
        self.connection.receive_outside_body(now, bytes)?;
        let request = self.connection.begin_request();
        request.set_workspace(now, &workspace.into())?;
        request.receive_body(now, bytes)?;
        self.body = Some(request.end_body()?);
        request.begin_service(now, &workspace.into())?;
        (self.request, self.in_service) = (Some(request), true);
        Ok(())
    }
}

/// Something that a caller of the crowd does. What does not fit its state is left out.
#[derive(Debug, Clone)]
enum Step {
    Connect,
    Head(usize),
    Begin,
    Workspace(usize),
    Body(usize),
    EndBody,
    Service(usize),
    Blocked(bool),
    EndRequest,
    Close,
}

fn steps() -> impl Strategy<Value = Vec<(usize, u64, Step)>> {
    let step = prop_oneof![
        3 => Just(Step::Connect),
        3 => (1..70_000_usize).prop_map(Step::Head),
        3 => Just(Step::Begin),
        2 => (0..3_usize).prop_map(Step::Workspace),
        5 => (1..90_000_usize).prop_map(Step::Body),
        1 => Just(Step::EndBody),
        2 => (0..3_usize).prop_map(Step::Service),
        1 => any::<bool>().prop_map(Step::Blocked),
        1 => Just(Step::EndRequest),
        1 => Just(Step::Close),
    ];
    prop::collection::vec((0..CALLERS, 0..3_000_u64, step), 1..300)
}

fn workspace(number: usize) -> Arc<str> {
    ["a", "b", ""][number].into()
}

/// Does a step of a caller. One whose request is refused loses its connection.
fn act(memory: &CallerMemory<Handle>, now: TimeMs, caller: &mut Option<Caller>, step: &Step) {
    if let Step::Connect = step {
        if caller.is_none() {
            *caller = connect(memory, now).ok();
        }
        return;
    }
    let Some(open) = caller else {
        return;
    };
    let done = match (step, &open.request) {
        (Step::Head(bytes), None) => open.connection.receive_outside_body(now, *bytes),
        (Step::Begin, None) => {
            open.request = Some(open.connection.begin_request());
            Ok(())
        }
        (Step::Workspace(number), Some(request)) if !open.in_service => {
            open.is_known = true;
            request.set_workspace(now, &workspace(*number))
        }
        (Step::Body(bytes), Some(request)) if !open.in_service => request.receive_body(now, *bytes),
        (Step::EndBody, Some(request)) if open.is_known => {
            request.end_body().map(|body| open.body = Some(body))
        }
        (Step::Service(number), Some(request)) if !open.in_service => {
            let begun = request.begin_service(now, &workspace(*number));
            (open.is_known, open.in_service) = (true, begun.is_ok());
            begun
        }
        (Step::Blocked(is_blocked), Some(_)) => {
            open.connection.set_blocked(is_blocked.then_some(now));
            Ok(())
        }
        (Step::EndRequest, Some(_)) => {
            (open.request, open.is_known, open.in_service, open.body) = (None, false, false, None);
            Ok(())
        }
        (Step::Close, _) => Err(NoRoom),
        _ => Ok(()),
    };
    // A request that is refused ends with its connection.
    if done.is_err() {
        *caller = None;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    // Over any order of events at many callers, nothing exceeds its limit, no request in service is given up
    // unless its caller takes nothing of the response, an ordinary request of another workspace is served,
    // and nothing stays counted.
    #[test]
    fn limits_hold_and_an_ordinary_request_is_served_over_any_order_of_events(steps in steps()) {
        let memory = memory();
        let mut callers: Vec<Option<Caller>> = (0..CALLERS).map(|_| None).collect();
        let mut blocked = [false; CALLERS];
        let mut now = TimeMs(0);
        for (number, pause_ms, step) in &steps {
            now = now.plus(*pause_ms);
            match step {
                Step::Blocked(is_blocked) => blocked[*number] = *is_blocked,
                Step::Connect if callers[*number].is_none() => blocked[*number] = false,
                _ => {}
            }
            act(&memory, now, &mut callers[*number], step);
            for (caller, blocked) in callers.iter_mut().zip(blocked) {
                if let Some(open) = caller.as_ref().filter(|open| open.handle.is_evicted()) {
                    prop_assert!(blocked || !open.in_service, "a request in service is given up");
                    *caller = None;
                }
            }
            let usage = memory.usage();
            prop_assert!(usage.connections <= LIMITS.connections, "{usage:?}");
            prop_assert!(usage.in_service <= LIMITS.connections, "{usage:?}");
            prop_assert!(usage.request_bytes <= LIMITS.request_bytes, "{usage:?}");
            let mut ordinary = connect(&memory, now).expect("one that is not in service gives way");
            prop_assert_eq!(ordinary.send(now, "ordinary", ORDINARY_BYTES), Ok(()));
            for (caller, blocked) in callers.iter_mut().zip(blocked) {
                let evicted = caller.take_if(|open| open.handle.is_evicted());
                prop_assert!(evicted.is_none_or(|open| blocked || !open.in_service));
            }
        }
        callers.clear();
        let usage = memory.usage();
        prop_assert_eq!((usage.connections, usage.in_service, usage.request_bytes), (0, 0, 0));
    }
}

// Bodies that stop short of their end filled the limit for as long as their callers stayed, and everyone
// else was refused.
#[test]
fn the_body_of_which_nothing_has_arrived_for_the_longest_gives_way() {
    let memory = memory();
    let mut stalled = Vec::new();
    for number in 0..4 {
        let caller = connect(&memory, TimeMs(number)).expect("there is room");
        let request = caller.connection.begin_request();
        request.receive_body(TimeMs(number), 20_000).expect("there is room");
        stalled.push((caller, request));
    }
    // The oldest goes on.
    stalled[0].1.receive_body(TimeMs(8), 1).expect("there is room");
    let mut ordinary = connect(&memory, TimeMs(9)).expect("there is room");
    assert_eq!(ordinary.send(TimeMs(9), "", 10_000), Ok(()));
    let evicted: Vec<_> = stalled.iter().map(|(caller, _)| caller.handle.is_evicted()).collect();
    assert_eq!(evicted, [false, true, false, false]);
    assert_eq!(stalled[1].1.receive_body(TimeMs(9), 1), Err(NoRoom), "its request is refused");
    assert_eq!((memory.usage().evicted, memory.usage().refused), (1, 0));
}

// The bodies of one workspace must not take the room of another, nor cost another its unfinished body.
#[test]
fn a_workspace_that_takes_all_it_gets_closes_only_its_own() {
    let memory = memory();
    let other = connect(&memory, TimeMs(0)).expect("there is room");
    let other_request = other.connection.begin_request();
    other_request.set_workspace(TimeMs(0), &"other".into()).expect("there is room");
    other_request.receive_body(TimeMs(0), 30_000).expect("there is room");
    let mut crowd = Vec::new();
    for number in 1..11 {
        let caller = connect(&memory, TimeMs(number)).expect("there is room");
        let request = caller.connection.begin_request();
        request.set_workspace(TimeMs(number), &"crowd".into()).expect("there is room");
        request.receive_body(TimeMs(number), 30_000).expect("others of its workspace give way");
        crowd.push((caller, request));
    }
    assert!(!other.handle.is_evicted());
    assert!(memory.usage().request_bytes <= LIMITS.request_bytes / 2 + 30_000);
    // What is whole is kept, and further bodies of the workspace are refused.
    let whole: Vec<_> = crowd.iter().filter_map(|(_, request)| request.end_body().ok()).collect();
    let served = crowd
        .iter()
        .filter(|(_, request)| request.begin_service(TimeMs(20), &"crowd".into()).is_ok());
    assert_eq!((whole.len(), served.count()), (2, 2));
    let mut refused = connect(&memory, TimeMs(21)).expect("there is room");
    assert_eq!(refused.send(TimeMs(21), "crowd", 30_000), Err(NoRoom));
    assert_eq!(other_request.receive_body(TimeMs(22), 10_000), Ok(()));
}

// Connections without a request took all places. One that was of use before is closed last, and one
// with a request in service not at all.
#[test]
fn connections_without_a_request_give_way_before_those_of_use() {
    let memory = memory();
    let mut in_service = connect(&memory, TimeMs(0)).expect("there is room");
    in_service.send(TimeMs(0), "a", ORDINARY_BYTES).expect("there is room");
    let mut of_use = connect(&memory, TimeMs(1)).expect("there is room");
    of_use.send(TimeMs(1), "a", ORDINARY_BYTES).expect("there is room");
    of_use.request = None;
    let mut idle = Vec::new();
    for now in 2..100 {
        idle.push(connect(&memory, TimeMs(now)).expect("an idle one gives way"));
    }
    assert!(!in_service.handle.is_evicted() && !of_use.handle.is_evicted());
    assert_eq!(idle.iter().filter(|caller| !caller.handle.is_evicted()).count(), 10);
    assert!(!idle[97].handle.is_evicted(), "the newest stays");
    assert_eq!(memory.usage().connections, LIMITS.connections);
}

// Callers that never read a response would keep their places for good.
#[test]
fn a_caller_that_takes_nothing_of_its_response_gives_way_in_the_end() {
    let memory = memory();
    let names: Vec<Arc<str>> = (0..11).map(|number| format!("w{number}").into()).collect();
    let mut callers = Vec::new();
    for name in &names {
        let mut caller = connect(&memory, TimeMs(0)).expect("there is room");
        caller.send(TimeMs(0), name, 10).expect("there is room");
        callers.push(caller);
    }
    callers[3].connection.set_blocked(Some(TimeMs(0)));
    let mut ordinary = connect(&memory, TimeMs(9_999)).expect("one place is not in service");
    assert_eq!(ordinary.send(TimeMs(9_999), "ordinary", 10), Err(NoRoom));
    let mut ordinary = connect(&memory, TimeMs(10_000)).expect("it was closed");
    assert_eq!(ordinary.send(TimeMs(10_000), "ordinary", 10), Ok(()));
    assert!(callers[3].handle.is_evicted());
}

// The requests of one workspace that wait took all places of the process.
#[test]
fn half_of_the_places_in_service_are_left_to_other_workspaces() {
    let memory = memory();
    let mut served = Vec::new();
    for _ in 0..12 {
        let mut caller = connect(&memory, TimeMs(0)).expect("there is room");
        if caller.send(TimeMs(0), "crowd", 10).is_ok() {
            served.push(caller);
        }
    }
    assert_eq!(served.len() as u64, LIMITS.connections / 2);
    let mut other = connect(&memory, TimeMs(1)).expect("there is room");
    assert_eq!(other.send(TimeMs(1), "other", 10), Ok(()));
}

// Histories grew without bound. One workspace's must leave room for another's, and what an earlier owner
// kept counts too.
#[test]
fn histories_are_shared_and_released() {
    let memory = memory();
    let crowd: Arc<str> = "crowd".into();
    let mut kept = Vec::new();
    while let Ok(history) = memory.hold_history(&crowd, 1_000) {
        kept.push(history);
    }
    assert_eq!(memory.usage().history_bytes, LIMITS.history_bytes / 2);
    let other = memory.hold_history(&"other".into(), 10_000);
    assert!(other.is_ok());
    let loaded = memory.hold_kept_history(&"".into(), 100_000);
    assert!(memory.hold_history(&"third".into(), 1).is_err());
    assert!(
        memory.hold_history(&crowd, 0).is_ok(),
        "a turn of which nothing more is kept is served"
    );
    drop((loaded, other, kept));
    assert_eq!(memory.usage().history_bytes, 0);
    assert!(memory.hold_history(&crowd, 1_000).is_ok());
}

// A single body of the largest size that configurations allow by default must fit a small process.
#[test]
fn the_largest_body_fits_a_small_process() {
    for memory_bytes in [16 << 20, 88_000_000, 512_000_000] {
        let memory: CallerMemory<Handle> =
            CallerMemory::open(CallerLimits::of_process(memory_bytes, 3_000));
        let mut caller = connect(&memory, TimeMs(0)).expect("there is room");
        caller.connection.receive_outside_body(TimeMs(0), 16_384).expect("there is room");
        let request = caller.connection.begin_request();
        request.set_workspace(TimeMs(0), &"w".into()).expect("there is room");
        for _ in 0..64 {
            request.receive_body(TimeMs(0), 64 << 10).expect("there is room");
        }
        caller.request = Some(request);
    }
}
