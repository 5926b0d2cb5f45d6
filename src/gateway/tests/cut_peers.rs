//! Other entries that break off their answers, at any byte.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use http::{HeaderMap, Method, Uri};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use test_case::test_matrix;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

use super::fakes::{FakeStore, gateway, routing_decision};
use crate::catalog::Regions;
use crate::gateway::Refusal;
use crate::gateway::find_turn::find_chain;
use crate::gateway::forward::{ForwardTarget, ForwardedRequest, SendOutcome, send};
use crate::gateway::handoff::{TurnHandoff, hand_off};
use crate::gateway::in_flight::Progress;
use crate::gateway::message::FoundTurn;
use crate::gateway::owned_shard::OwnedShard;
use crate::gateway::shard_table::Owner;
use crate::gateway::state::Gateway;
use crate::prelude::*;
use crate::turns::{ProgramKey, TurnKey};

/// What an entry sends when it accepts a forwarded request, and asks for its body.
const ACCEPTED: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The response of an entry to a forwarded turn.
const STREAM: &[u8] =
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n";

/// The body of [`STREAM`].
const EVENT: &str = "id: 1\ndata: x\n\n";

/// The body of a forwarded request.
const INPUT: &[u8] = b"input";

/// How long a handoff whose answer is cut is repeated.
const CUT_HANDOFF_MS: u64 = 5;

/// How long a handoff is repeated that is answered at once.
const WHOLE_HANDOFF_MS: u64 = 20_000;

/// How the connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Closed,
    Reset,
}

impl Ending {
    fn apply(self, connection: TcpStream) {
        if self == Ending::Reset {
            connection.set_zero_linger().expect("the socket is open");
        }
    }
}

/// Another entry, whose answers to the requests on a connection are cut.
struct Peer {
    listener: TcpListener,
    /// All that was received on the last connection.
    received: RefCell<Vec<u8>>,
}

impl Peer {
    async fn open() -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        Peer { listener, received: RefCell::default() }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Answers forwarded requests with the first `sent` bytes of [`ACCEPTED`] and [`STREAM`].
    async fn cut_stream(&self, sent: usize, ending: Ending) {
        loop {
            let (mut connection, _) = self.listener.accept().await.expect("connected");
            self.received.borrow_mut().clear();
            self.receive_until(&mut connection, b"\r\n\r\n").await;
            let accepted = &ACCEPTED[..sent.min(ACCEPTED.len())];
            connection.write_all(accepted).await.expect("sent");
            if sent >= ACCEPTED.len() {
                self.receive_until(&mut connection, INPUT).await;
                let answer = &STREAM[..sent - ACCEPTED.len()];
                connection.write_all(answer).await.expect("sent");
            }
            ending.apply(connection);
        }
    }

    /// Answers requests with `answer`, of which it sends as much as is given.
    async fn cut(&self, answer: &[u8], ending: Ending) {
        loop {
            let (mut connection, _) = self.listener.accept().await.expect("connected");
            let mut request = Vec::new();
            while !is_complete(&request) {
                connection.read_buf(&mut request).await.expect("received");
            }
            connection.write_all(answer).await.expect("sent");
            ending.apply(connection);
        }
    }

    async fn receive_until(&self, connection: &mut TcpStream, end: &[u8]) {
        let mut received = self.received.take();
        while !received.windows(end.len()).any(|bytes| bytes == end) {
            let read = connection.read_buf(&mut received).await.expect("received");
            assert_ne!(read, 0, "the request is incomplete");
        }
        self.received.replace(received);
    }

    fn has_received_input(&self) -> bool {
        self.received.borrow().windows(INPUT.len()).any(|bytes| bytes == INPUT)
    }
}

fn is_complete(request: &[u8]) -> bool {
    let Some(end) = request.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&request[..end]);
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    request.len() >= end + 4 + length.map_or(0, |text| text.parse().expect("a number"))
}

/// Runs `asking` beside `serving`, which never ends.
async fn beside<T>(serving: impl Future<Output = ()>, asking: impl Future<Output = T>) -> T {
    let both = async {
        tokio::select! {
            asked = asking => asked,
            () = serving => unreachable!("it never ends"),
        }
    };
    LocalSet::new().run_until(both).await
}

fn forwarded_turn() -> ForwardedRequest {
    ForwardedRequest {
        request: "r".into(),
        workspace: "w".into(),
        method: Method::POST,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::from_static(INPUT),
        target: ForwardTarget::Owner(routing_decision()),
        deadline: TimeMs(60_000),
        progress: Progress::open(TimeMs(0)),
    }
}

/// A gateway that knows the entry at `address` as the owner of its only shard.
fn gateway_beside(address: SocketAddr) -> Rc<Gateway> {
    let gateway = gateway(FakeStore::default());
    gateway.shards.update_remote_owner(0, Owner { address, epoch: 1 });
    gateway
}

/// What became of a turn that was forwarded.
#[derive(Debug, PartialEq, Eq)]
enum Forwarded {
    /// It has not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
    /// The response, as far as it reached the caller, and whether that was all.
    Responded(String, bool),
}

async fn forward(gateway: &Rc<Gateway>, address: SocketAddr) -> Forwarded {
    let response = match send(gateway, address, &forwarded_turn()).await {
        Ok(SendOutcome::Responded(response)) => response,
        Ok(SendOutcome::NotServed | SendOutcome::NotAccepted) => return Forwarded::NotRun,
        Ok(SendOutcome::ConnectFailed(fault)) => panic!("{fault:?}"),
        Err(refusal) => {
            assert_eq!(refusal, Refusal::OutcomeUnknown);
            return Forwarded::Unknown;
        }
    };
    let (mut body, mut passed_on) = (response.into_body(), Vec::new());
    let is_whole = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => passed_on.extend(frame.into_data().expect("no trailers")),
        }
    };
    Forwarded::Responded(String::from_utf8(passed_on).expect("ASCII"), is_whole)
}

// An entry broke off its answer to a turn that was forwarded to it. The turn may be sent to another one
// only if its body was not sent, and what reached the caller must not look complete.
#[test_matrix([Ending::Closed, Ending::Reset])]
#[tokio::test]
async fn a_cut_answer_to_a_forwarded_turn_does_not_pass_for_a_whole_one(ending: Ending) {
    for sent in 0..ACCEPTED.len() + STREAM.len() {
        let peer = Peer::open().await;
        let gateway = gateway(FakeStore::default());
        let asking = forward(&gateway, peer.address());
        let forwarded = beside(peer.cut_stream(sent, ending), asking).await;
        let answer = &STREAM[..sent.saturating_sub(ACCEPTED.len())];
        let has_head = answer.windows(4).any(|bytes| bytes == b"\r\n\r\n");
        match &forwarded {
            Forwarded::NotRun => assert!(!peer.has_received_input(), "{sent}"),
            Forwarded::Unknown => assert!(!has_head && sent >= ACCEPTED.len(), "{sent}"),
            Forwarded::Responded(passed_on, is_whole) => {
                assert!(has_head && !is_whole, "{sent}");
                assert!(EVENT.starts_with(passed_on), "{sent}: {passed_on}");
            }
        }
    }
}

// The same for an answer that lacks nothing.
#[tokio::test]
async fn the_whole_answer_to_a_forwarded_turn_is_passed_on() {
    let peer = Peer::open().await;
    let gateway = gateway(FakeStore::default());
    let serving = peer.cut_stream(ACCEPTED.len() + STREAM.len(), Ending::Closed);
    let forwarded = beside(serving, forward(&gateway, peer.address())).await;
    assert_eq!(forwarded, Forwarded::Responded(EVENT.to_string(), true));
}

// A handoff whose answer is cut is not confirmed: the end of the turn must not reach its caller.
#[test_matrix([Ending::Closed, Ending::Reset])]
#[tokio::test]
async fn a_cut_answer_to_a_handoff_does_not_confirm_it(ending: Ending) {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let handoff = TurnHandoff {
        turn: None,
        program: ProgramKey::of("w", "p"),
        budget: 1,
        unreserved: 0,
        kept_until: UnixMs(1),
    };
    for sent in 0..=answer.len() {
        let is_whole = sent == answer.len();
        let ending = if is_whole { Ending::Closed } else { ending };
        let peer = Peer::open().await;
        let gateway = gateway_beside(peer.address());
        let ends_at = gateway.now().plus(if is_whole { WHOLE_HANDOFF_MS } else { CUT_HANDOFF_MS });
        let regions = Regions::default();
        let asking = hand_off(&gateway, &handoff, &regions, ends_at);
        let is_recorded = beside(peer.cut(&answer[..sent], ending), asking).await;
        assert_eq!(is_recorded, is_whole, "{sent}");
    }
}

// A lookup whose answer is cut leaves the peer's shards unsearched: the turn must not be denied.
#[test_matrix([Ending::Closed, Ending::Reset], ["", "content-length: 3\r\n"])]
#[tokio::test]
async fn a_cut_answer_to_a_lookup_denies_no_turn(ending: Ending, framing: &str) {
    let found = postcard::to_allocvec(&FoundTurn { chain: None, searched: vec![0] });
    let found = found.expect("it can be encoded");
    assert_eq!(found.len(), 3);
    let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n");
    let answer = [head.as_bytes(), &found].concat();
    let places = [0, 9, head.len() - 2, head.len(), head.len() + 1, answer.len() - 1];
    let lookups = places.iter().map(|sent| look_up(&answer[..*sent], ending));
    for refusal in futures_util::future::join_all(lookups).await {
        assert!(matches!(refusal, Refusal::Unavailable { .. }), "{refusal:?}");
    }
    assert_eq!(look_up(&answer, Ending::Closed).await, Refusal::NoSuchTurn);
}

/// Why a turn that does not exist here was not found at a peer that answers lookups with `answer`.
async fn look_up(answer: &[u8], ending: Ending) -> Refusal {
    let peer = Peer::open().await;
    let gateway = gateway_beside(peer.address());
    let shard = OwnedShard::open(0, 1);
    let asking = find_chain(&gateway, &shard, TurnKey::of("w", "t"));
    let found = beside(peer.cut(answer, ending), asking).await;
    found.expect_err("the peer does not have the turn")
}
