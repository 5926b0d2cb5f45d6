use std::convert::Infallible;
use std::time::Duration;

use futures_util::{FutureExt, StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Bytes, Frame};

use super::fakes;
use crate::gateway::Refusal;
use crate::gateway::owned_shard::{ACCOUNT_BYTES, OwnedShard, TURN_OVERHEAD_BYTES};
use crate::gateway::read_body::read_body;
use crate::gateway::state::Gateway;
use crate::http::{BodyLimits, CallerContext, Eviction, ServedConnection, ServerMemory};
use crate::load::CallerLimits;
use crate::prelude::*;
use crate::turns::{ProgramKey, Turn, TurnKey};

const LIMITS: BodyLimits = BodyLimits { max_bytes: 4 << 20, time_ms: 20_000, silence_ms: 5_000 };

const REFUSED: Refusal = Refusal::NoRoom { retry_after_ms: 300 };

/// A connection, and what closes it for another one.
fn connect(gateway: &Gateway) -> (ServedConnection, Eviction) {
    let eviction = Eviction::default();
    let connection = gateway.caller_memory.open_connection(gateway.now(), eviction.clone());
    (connection.expect("there is room"), eviction)
}

fn open(gateway: &Gateway, connection: &ServedConnection) -> Arc<CallerContext> {
    CallerContext::open(connection, &Eviction::default(), gateway.clock())
}

async fn read(
    caller: &CallerContext,
    body: impl Body<Data = Bytes> + Unpin,
) -> Result<Bytes, Refusal> {
    read_body(caller, &"w".into(), body, LIMITS).await
}

fn frames(
    chunks: usize,
    bytes: usize,
) -> impl stream::Stream<Item = Result<Frame<Bytes>, Infallible>> {
    stream::repeat_with(move || Ok(Frame::data(Bytes::from(vec![b'x'; bytes])))).take(chunks)
}

/// A gateway whose callers' requests may take 10 MiB.
fn small_gateway() -> std::rc::Rc<Gateway> {
    let mut gateway = fakes::gateway(fakes::FakeStore::default());
    let limits = CallerLimits::of_process(16 << 20, 1_000);
    let shared = std::rc::Rc::get_mut(&mut gateway).expect("not shared yet");
    shared.caller_memory = ServerMemory::open(limits);
    gateway
}

// A body must not be read beyond the room that its workspace has, and its bytes must be released on every
// way out; or in time everyone would be refused.
#[tokio::test(start_paused = true)]
async fn no_body_is_read_beyond_its_room() {
    let gateway = small_gateway();
    let (first, _) = connect(&gateway);
    let held = read(&open(&gateway, &first), Full::from(vec![0; 4 << 20])).await;
    assert_eq!(held.as_ref().map(Bytes::len), Ok(4 << 20));
    let (second, _) = connect(&gateway);
    let caller = open(&gateway, &second);
    let refused = read(&caller, StreamBody::new(frames(100, 40_000))).await;
    assert_eq!(refused, Err(REFUSED));
    assert!(caller.is_body_unread(), "the caller is still sending");
    drop(caller);
    assert_eq!(gateway.caller_memory.usage().request_bytes, 4 << 20);
    drop(held);
    assert_eq!(gateway.caller_memory.usage().request_bytes, 0);
    let caller = open(&gateway, &second);
    let read = read(&caller, StreamBody::new(frames(100, 40_000))).await;
    assert_eq!(read.map(|body| body.len()), Ok(4_000_000));
}

// What is counted of a body in very small frames must be what it takes, with the room in which it grows.
#[tokio::test(start_paused = true)]
async fn a_body_in_small_frames_counts_as_what_it_takes() {
    let gateway = small_gateway();
    let (connection, _) = connect(&gateway);
    let caller = open(&gateway, &connection);
    let body = read(&caller, StreamBody::new(frames(100_000, 1))).await;
    let counted = gateway.caller_memory.usage().request_bytes;
    assert!((100_000..=125_000).contains(&counted), "{counted}");
    assert_eq!(body.map(|body| body.len()), Ok(100_000));
}

// Bodies were read up to the limit although their length was announced as larger.
#[tokio::test(start_paused = true)]
async fn a_body_announced_as_too_large_is_refused_unread() {
    let gateway = small_gateway();
    let (connection, _) = connect(&gateway);
    let caller = open(&gateway, &connection);
    let body = Full::from(vec![0; (4 << 20) + 1]);
    assert_eq!(read(&caller, body).now_or_never(), Some(Err(Refusal::TooLarge)));
    let sent = StreamBody::new(frames(200, 40_000));
    assert_eq!(read(&caller, sent).await, Err(Refusal::TooLarge));
    drop(caller);
    assert_eq!(gateway.caller_memory.usage().request_bytes, 0);
}

// A body that never ends held its place for as long as its connection was open.
#[tokio::test(start_paused = true)]
async fn a_body_that_never_ends_gives_its_place_back() {
    let gateway = small_gateway();
    let (connection, _) = connect(&gateway);
    let silent = frames(1, 100).chain(stream::pending());
    let caller = open(&gateway, &connection);
    let started = tokio::time::Instant::now();
    assert_eq!(read(&caller, StreamBody::new(silent)).await, Err(Refusal::BodyTimedOut));
    assert_eq!(started.elapsed(), Duration::from_millis(LIMITS.silence_ms));
    let dripping = stream::unfold((), |()| async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        Some((Ok::<_, Infallible>(Frame::data(Bytes::from_static(b"x"))), ()))
    });
    let started = tokio::time::Instant::now();
    let dripping = StreamBody::new(Box::pin(dripping));
    assert_eq!(read(&caller, dripping).await, Err(Refusal::BodyTimedOut));
    assert_eq!(started.elapsed(), Duration::from_millis(LIMITS.time_ms));
    assert!(Refusal::BodyTimedOut.guarantees_not_run());
    drop(caller);
    assert_eq!(gateway.caller_memory.usage().request_bytes, 0);
}

// The body that gives way to another must be refused, and its connection be closed.
#[tokio::test(start_paused = true)]
async fn a_body_that_gives_way_is_refused() {
    let gateway = small_gateway();
    let (stalled, eviction) = connect(&gateway);
    let caller = open(&gateway, &stalled);
    let body = StreamBody::new(frames(100, 40_000).chain(stream::pending()));
    let mut stalled_read = Box::pin(read(&caller, body));
    assert!(stalled_read.as_mut().now_or_never().is_none());
    let (other, _) = connect(&gateway);
    let whole = Full::from(vec![0; 2 << 20]);
    let read = read(&open(&gateway, &other), whole.boxed()).await;
    assert!(read.is_ok());
    assert!(eviction.requested().now_or_never().is_some());
    let usage = gateway.caller_memory.usage();
    assert_eq!((usage.evicted, usage.connections), (1, 1));
}

// Histories would stay counted after they have expired, or after the shard has gone to another owner, and
// in time no turn would be served.
#[tokio::test]
async fn histories_count_until_they_expire_or_the_shard_is_lost() {
    let gateway = small_gateway();
    let shard = OwnedShard::open(0, 1);
    let key = TurnKey::of("w", "t");
    let turn = Turn {
        parent: None,
        input: Bytes::from_static(b"input"),
        output: Bytes::from_static(b"output"),
        kept_until: UnixMs(1_000),
        ran_at: "e".to_string(),
    };
    let bytes = turn.bytes();
    drop(shard.change(|ledger, records| records.push(ledger.complete(key, turn))));
    for _ in 0..2 {
        shard.count_history(&gateway.caller_memory, &"w".into(), key, bytes);
    }
    let counted = (bytes + TURN_OVERHEAD_BYTES) as u64;
    assert_eq!(gateway.caller_memory.usage().history_bytes, counted, "a turn counts once");
    shard.remove_expired(UnixMs(2_000));
    assert_eq!(gateway.caller_memory.usage().history_bytes, counted);
    shard.remove_expired(UnixMs(1_000_000));
    assert_eq!(gateway.caller_memory.usage().history_bytes, 0);
    shard.count_history(&gateway.caller_memory, &"w".into(), key, bytes);
    drop(shard);
    assert_eq!(gateway.caller_memory.usage().history_bytes, 0);
}

// Programs with new IDs, each with a small turn, added accounts that were counted nowhere.
#[tokio::test]
async fn accounts_count_until_they_expire() {
    let gateway = small_gateway();
    let shard = OwnedShard::open(0, 1);
    for number in 0..10 {
        let program = ProgramKey::of("w", &format!("p{number}"));
        let (reserved, _) = shard.change(|ledger, _| ledger.reserve(program, 100, 10, UnixMs(0)));
        assert!(reserved.is_ok());
        shard.count_account(&gateway.caller_memory, &"w".into(), program);
        shard.count_account(&gateway.caller_memory, &"w".into(), program);
        drop(shard.change(|ledger, _| ledger.settle(program, 10, 1)));
    }
    assert_eq!(gateway.caller_memory.usage().history_bytes, 10 * ACCOUNT_BYTES as u64);
    shard.remove_expired(UnixMs(1_000_000));
    assert_eq!(gateway.caller_memory.usage().history_bytes, 0);
}
