//! Crowds of callers that do not behave, against real gateways with little memory and few descriptors.
//!
//! The bounds are those of the gateways' own settings: the memory and the descriptors that their VM has.
//! While the crowd stays connected, an ordinary caller of another workspace and one without a key must
//! be served.

mod common;

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Mutex, MutexGuard};
use trefoil_soak::{Answer, Caller, Crowd, CrowdRequest, EndpointFault, Turn, World, WorldLimits};

use common::{turn, world_with_limits};

/// Memory of a gateway, in megabytes.
const MEMORY_MB: u64 = 64;

/// File descriptors of a gateway.
const MAX_FDS: u64 = 400;

/// File descriptors of a gateway where the crowd's connections are to exceed its memory first.
const MANY_FDS: u64 = 800;

/// Maximum size of a request's body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Callers of a crowd: their bodies together exceed the memory of a gateway.
const CROWD: usize = 128;

/// Callers of a crowd that sends very small chunks.
const SMALL_CHUNK_CROWD: usize = 64;

/// Size of the bodies in very small chunks.
const SMALL_CHUNK_BODY_BYTES: usize = 64 << 10;

/// Callers of a crowd that sends heads.
const HEAD_CROWD: usize = 640;

/// Size of a head that stops short of its end.
const LONG_HEAD_BYTES: usize = 60_000;

/// Connections of a crowd that exceeds the descriptors of a gateway.
const CONNECTION_CROWD: usize = 600;

/// Callers of a crowd that does not read its responses, of 6 MiB each.
const UNREAD_CROWD: usize = 96;

/// Turns of a workspace whose inputs together exceed the memory of a gateway.
const KEPT_TURNS: usize = 640;

/// How many of them are sent at a time.
const KEPT_AT_A_TIME: usize = 8;

/// Size of the input of each of these turns.
const KEPT_INPUT_BYTES: usize = 200_000;

/// Size of a piece in which a body is sent.
const PIECE_BYTES: usize = 16 << 10;

/// Size of a large chunk.
const LARGE_CHUNK_BYTES: usize = 64 << 10;

/// A gateway whose memory has not grown for this long has taken all that it was sent.
const SETTLED_AFTER: Duration = Duration::from_millis(400);

/// How often an ordinary caller tries. Callers repeat a request that was refused.
const TRIES: usize = 3;

/// The key of the crowd's workspace.
const CROWD_KEY: &str = "secret-key-in-force";

/// The key of an ordinary caller's workspace.
const ORDINARY_KEY: &str = "other-key";

/// Held by each test: a crowd runs apart from other load.
static ALONE: Mutex<()> = Mutex::const_new(());

async fn limited_world(gateways: usize) -> (World, MutexGuard<'static, ()>) {
    world_with_descriptors(gateways, MAX_FDS).await
}

async fn world_with_descriptors(gateways: usize, max_fds: u64) -> (World, MutexGuard<'static, ()>) {
    let alone = ALONE.lock().await;
    let limits = WorldLimits {
        memory_mb: Some(MEMORY_MB),
        max_fds: Some(max_fds),
        max_body_bytes: Some(MAX_BODY_BYTES as u64),
    };
    (world_with_limits(gateways, limits).await, alone)
}

/// The head of a request whose body is framed by `framing`.
fn head(path: &str, id: usize, framing: &str) -> Vec<u8> {
    format!(
        "POST /{path}/1 HTTP/1.1\r\nhost: soak.example\r\nauthorization: Bearer {CROWD_KEY}\r\n\
        trefoilproxy-request-id: crowd-{id}\r\ntrefoilproxy-program-id: crowd-{id}\r\n\
        trefoilproxy-token-budget: 1000\r\ntrefoilproxy-token-count: 10,60\r\n\
        trefoilproxy-deadline-ms: 30000\r\n{framing}\r\n\r\n"
    )
    .into_bytes()
}

/// The head of a request with a body of a stated length.
fn head_of_length(path: &str, id: usize, length: usize) -> Vec<u8> {
    head(path, id, &format!("content-length: {length}"))
}

fn chunked_head(path: &str, id: usize) -> Vec<u8> {
    head(path, id, "transfer-encoding: chunked")
}

fn chunk(bytes: usize) -> Vec<u8> {
    [format!("{bytes:x}\r\n").as_bytes(), &vec![b'x'; bytes], b"\r\n"].concat()
}

/// The bytes of a body in pieces.
fn pieces(bytes: usize) -> impl Iterator<Item = Vec<u8>> {
    (0..bytes).step_by(PIECE_BYTES).map(move |at| vec![b'x'; PIECE_BYTES.min(bytes - at)])
}

fn crowd_of(size: usize, request: impl Fn(usize) -> CrowdRequest) -> Vec<CrowdRequest> {
    (0..size).map(request).collect()
}

/// Waits until the memory of no gateway grows any more.
async fn wait_settled(world: &World) {
    let peak = || {
        let peaks = world.gateways.iter().filter_map(|gateway| gateway.peak_memory_bytes().ok());
        peaks.sum::<u64>()
    };
    let mut before = 0;
    while before != peak() {
        before = peak();
        tokio::time::sleep(SETTLED_AFTER).await;
    }
}

/// Checks that each gateway runs within the memory and the descriptors of its VM.
fn assert_within_limits(world: &mut World) {
    for gateway in &mut world.gateways {
        let exit = gateway.wait_for_exit(Duration::ZERO).expect("its state is known");
        assert!(exit.is_none(), "{} has ended: {exit:?}", gateway.name);
        let peak = gateway.peak_memory_bytes().expect("it runs");
        assert!(peak <= MEMORY_MB * 1_000_000, "{}: {peak} bytes of memory", gateway.name);
        let descriptors = gateway.open_descriptors().expect("it runs");
        assert!(descriptors <= gateway.max_fds, "{}: {descriptors} descriptors", gateway.name);
    }
}

/// Checks that an ordinary request is served at each gateway, of another workspace and without a key.
async fn assert_ordinary_served(world: &World) {
    let ordinary = Caller { key: ORDINARY_KEY.to_string() };
    for (number, gateway) in world.gateways.iter().enumerate() {
        let mut answers = Vec::new();
        for attempt in 0..TRIES {
            let id = format!("ordinary-{number}-{attempt}");
            answers.push(ordinary.look_up(gateway.callers, &id).await);
            if answers.last().is_some_and(|answer| answer.is_served()) {
                break;
            }
        }
        assert!(answers.iter().any(|answer| answer.is_served()), "with a key: {answers:?}");
        let mut answers = Vec::new();
        for attempt in 0..TRIES {
            let id = format!("public-{number}-{attempt}");
            answers.push(ordinary.read_notice(gateway.callers, &id).await);
            if answers.last().is_some_and(|answer| answer.is_served()) {
                break;
            }
        }
        assert!(answers.iter().any(|answer| answer.is_served()), "without a key: {answers:?}");
    }
}

/// Has a crowd send its requests to the first gateway, and checks what must hold meanwhile and while the
/// crowd stays connected.
async fn assert_stands(world: &mut World, requests: Vec<CrowdRequest>) -> Crowd {
    assert_within_limits(world);
    let crowd = Crowd::spawn(world.entry(0), requests);
    crowd.wait_read().await;
    wait_settled(world).await;
    assert_within_limits(world);
    assert_ordinary_served(world).await;
    assert_within_limits(world);
    crowd
}

// Guards against memory that many bodies of legal size take, all but their last byte sent at once.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_of_their_end() {
    let (mut world, _alone) = limited_world(1).await;
    let crowd = crowd_of(CROWD, |id| {
        let body = vec![b'x'; MAX_BODY_BYTES - 1];
        CrowdRequest::new([[head_of_length("actions", id, MAX_BODY_BYTES), body].concat()])
    });
    assert_stands(&mut world, crowd).await;
}

// As above, with bodies that arrive piece by piece.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_pieces_that_stop_short_of_their_end() {
    let (mut world, _alone) = limited_world(1).await;
    let crowd = crowd_of(CROWD, |id| {
        let head = head_of_length("actions", id, MAX_BODY_BYTES);
        CrowdRequest::new(std::iter::once(head).chain(pieces(MAX_BODY_BYTES - 1)))
    });
    assert_stands(&mut world, crowd).await;
}

// Guards against memory that bodies of legal size take while each waits for a silent endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_that_wait_for_an_endpoint() {
    let (mut world, _alone) = limited_world(1).await;
    let engines = world.endpoints.iter().filter(|endpoint| endpoint.id.starts_with("llm"));
    engines.for_each(|endpoint| endpoint.set_fault(EndpointFault::Silent));
    let crowd = crowd_of(CROWD, |id| {
        let body = vec![b'x'; MAX_BODY_BYTES];
        CrowdRequest::new([[head_of_length("long-turns", id, MAX_BODY_BYTES), body].concat()])
    });
    assert_stands(&mut world, crowd).await;
}

// As above at two gateways, one of which forwards the bodies to the other.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_that_wait_at_their_owner() {
    let (mut world, _alone) = limited_world(2).await;
    let engines = world.endpoints.iter().filter(|endpoint| endpoint.id.starts_with("llm"));
    engines.for_each(|endpoint| endpoint.set_fault(EndpointFault::Silent));
    let crowd = crowd_of(CROWD, |id| {
        let body = vec![b'x'; MAX_BODY_BYTES];
        CrowdRequest::new([[head_of_length("long-turns", id, MAX_BODY_BYTES), body].concat()])
    });
    assert_stands(&mut world, crowd).await;
}

// Guards against memory that chunked bodies of legal size take, all but their end sent in large chunks.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_that_stop_short_of_their_end() {
    let (mut world, _alone) = limited_world(1).await;
    let large: Bytes = chunk(LARGE_CHUNK_BYTES).into();
    let crowd = crowd_of(CROWD, |id| {
        let chunks = std::iter::repeat_n(large.clone(), MAX_BODY_BYTES / LARGE_CHUNK_BYTES);
        CrowdRequest::new(std::iter::once(chunked_head("actions", id).into()).chain(chunks))
    });
    assert_stands(&mut world, crowd).await;
}

// Guards against memory that chunks of one byte take: what is kept of each is many times its length.
#[tokio::test(flavor = "multi_thread")]
async fn very_small_chunks_that_stop_short_of_their_end() {
    let (mut world, _alone) = limited_world(1).await;
    let chunks: Bytes = chunk(1).repeat(SMALL_CHUNK_BODY_BYTES).into();
    let crowd = crowd_of(SMALL_CHUNK_CROWD, |id| {
        CrowdRequest::new([chunked_head("actions", id).into(), chunks.clone()])
    });
    assert_stands(&mut world, crowd).await;
}

// Guards against bodies that are read although their announced length is over the limit.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_announced_far_over_the_limit() {
    let (mut world, _alone) = limited_world(1).await;
    let crowd = crowd_of(CROWD, |id| {
        let head = head_of_length("actions", id, 1 << 40);
        CrowdRequest::new(std::iter::once(head).chain(pieces(MAX_BODY_BYTES - 1)))
    });
    let crowd = assert_stands(&mut world, crowd).await;
    let statuses = crowd.statuses();
    assert!(!statuses.is_empty(), "none was answered");
    assert!(statuses.iter().all(|status| *status == 413), "{statuses:?}");
}

// Guards against memory that bodies far over the limit take, sent in chunks without an end.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_far_over_the_limit() {
    let (mut world, _alone) = limited_world(1).await;
    let large: Bytes = chunk(LARGE_CHUNK_BYTES).into();
    let crowd = crowd_of(CROWD, |id| {
        let chunks = std::iter::repeat_n(large.clone(), 8 * MAX_BODY_BYTES / LARGE_CHUNK_BYTES);
        CrowdRequest::new(std::iter::once(chunked_head("actions", id).into()).chain(chunks))
    });
    assert_stands(&mut world, crowd).await;
}

// Guards against memory that bodies without a key take: nothing tells who sends them.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_without_a_key_that_stop_short_of_their_end() {
    let (mut world, _alone) = limited_world(1).await;
    let crowd = crowd_of(CROWD, |id| {
        let head = format!(
            "POST /notices/1 HTTP/1.1\r\nhost: soak.example\r\n\
            trefoilproxy-request-id: crowd-{id}\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n"
        );
        let body = vec![b'x'; MAX_BODY_BYTES - 1];
        CrowdRequest::new([[head.into_bytes(), body].concat()])
    });
    assert_stands(&mut world, crowd).await;
}

// Guards against memory that heads take which never end.
#[tokio::test(flavor = "multi_thread")]
async fn heads_that_stop_short_of_their_end() {
    let (mut world, _alone) = world_with_descriptors(1, MANY_FDS).await;
    let crowd = crowd_of(HEAD_CROWD, |_| {
        let head = format!("GET /lookups/1 HTTP/1.1\r\nx-long: {}", "x".repeat(LONG_HEAD_BYTES));
        CrowdRequest::new([head])
    });
    assert_stands(&mut world, crowd).await;
}

// Guards against long heads that are kept while their bodies stop short of their end.
#[tokio::test(flavor = "multi_thread")]
async fn long_heads_of_bodies_that_stop_short_of_their_end() {
    let (mut world, _alone) = world_with_descriptors(1, MANY_FDS).await;
    let crowd = crowd_of(HEAD_CROWD, |id| {
        let long = format!("x-long: {}\r\ncontent-length: 2", "x".repeat(LONG_HEAD_BYTES));
        CrowdRequest::new([head("actions", id, &long), b"x".to_vec()])
    });
    assert_stands(&mut world, crowd).await;
}

// Guards against connections that take all descriptors, so that no endpoint can be reached.
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_request() {
    let (mut world, _alone) = limited_world(1).await;
    let crowd = crowd_of(CONNECTION_CROWD, |_| CrowdRequest::new([b"GET /lookups/1 HT".to_vec()]));
    assert_stands(&mut world, crowd).await;
}

// As above at the listener of the readiness check and at that of the other entries.
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_request_at_the_other_listeners() {
    let (mut world, _alone) = limited_world(1).await;
    let crowd = || crowd_of(CONNECTION_CROWD / 2, |_| CrowdRequest::new([b"GET / HT".to_vec()]));
    let at_ready = Crowd::spawn(world.gateways[0].ready, crowd());
    let at_peers = Crowd::spawn(world.gateways[0].peers, crowd());
    at_ready.wait_read().await;
    at_peers.wait_read().await;
    assert_within_limits(&mut world);
    assert_ordinary_served(&world).await;
    assert_within_limits(&mut world);
}

// Guards against memory that responses take which their callers do not read.
#[tokio::test(flavor = "multi_thread")]
async fn responses_that_are_not_read() {
    let (mut world, _alone) = limited_world(1).await;
    let crowd = crowd_of(UNREAD_CROWD, |id| {
        let input = "say at length";
        let head = head_of_length("asks", id, input.len());
        CrowdRequest::new([[head, input.as_bytes().to_vec()].concat()]).unread()
    });
    assert_stands(&mut world, crowd).await;
}

// Guards against memory that the histories of one workspace take. Another workspace's are kept as before.
#[tokio::test(flavor = "multi_thread")]
async fn histories_of_one_workspace() {
    let (mut world, _alone) = limited_world(1).await;
    let requests = (0..KEPT_TURNS).map(|id| {
        let input = vec![b'x'; KEPT_INPUT_BYTES];
        CrowdRequest::new([[head_of_length("turns", id, KEPT_INPUT_BYTES), input].concat()])
    });
    let requests: Vec<_> = requests.collect();
    for part in requests.chunks(CROWD) {
        let crowd = Crowd::spawn(world.entry(0), part.to_vec());
        crowd.wait_answered().await;
        let statuses = crowd.statuses();
        assert!(statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    }
    assert_histories_stand(&mut world).await;
}

// As above, with turns of which each is read to its end, and kept.
#[tokio::test(flavor = "multi_thread")]
async fn histories_of_turns_that_end() {
    let (mut world, _alone) = limited_world(1).await;
    for first in (0..KEPT_TURNS).step_by(KEPT_AT_A_TIME) {
        let mut turns = tokio::task::JoinSet::new();
        for number in first..first + KEPT_AT_A_TIME {
            let (caller, entry) = (world.caller.clone(), world.entry(0));
            let id = format!("kept-{number}");
            let input = "x".repeat(KEPT_INPUT_BYTES);
            let asked = Turn { input, ..turn(&id, &id, None) };
            turns.spawn(async move { caller.turn(entry, &asked).await });
        }
        let answers = turns.join_all().await;
        let expected = |answer: &Answer| answer.is_served() || answer.status == Some(503);
        assert!(answers.iter().all(expected), "{answers:?}");
    }
    assert_histories_stand(&mut world).await;
}

/// Checks that the turns of an ordinary workspace are served and kept.
async fn assert_histories_stand(world: &mut World) {
    assert_within_limits(world);
    assert_ordinary_served(world).await;
    let ordinary = Caller { key: ORDINARY_KEY.to_string() };
    let first = ordinary.turn(world.entry(0), &turn("first", "ordinary", None)).await;
    assert!(first.is_served(), "{first:?}");
    let second = turn("second", "ordinary", Some("first"));
    let second = ordinary.turn(world.entry(0), &second).await;
    assert!(second.is_served(), "{second:?}");
    assert_within_limits(world);
}

// Guards against bodies without an end at the listener of the other entries.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bodies_at_the_listener_of_the_other_entries() {
    let (mut world, _alone) = limited_world(1).await;
    let large: Bytes = chunk(LARGE_CHUNK_BYTES).into();
    for path in ["find-turn", "trefoil/feeds", "record-turn", "turns/1"] {
        let head = format!(
            "POST /{path} HTTP/1.1\r\nhost: soak.example\r\nx-trefoil-relayed: 30000\r\n\
            trefoilproxy-request-id: crowd\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        let crowd = crowd_of(CROWD / 8, |_| {
            let chunks =
                std::iter::repeat_n(large.clone(), 16 * MAX_BODY_BYTES / LARGE_CHUNK_BYTES);
            CrowdRequest::new(std::iter::once(head.clone().into_bytes().into()).chain(chunks))
        });
        let crowd = Crowd::spawn(world.gateways[0].peers, crowd);
        crowd.wait_read().await;
        assert_within_limits(&mut world);
        assert_ordinary_served(&world).await;
    }
}
