//! The datagrams between a leaf and the hub that it is attached to, and between any entry and the hub that
//! counts a workspace's requests.

use std::net::SocketAddr;

use super::feed_message::FeedStatus;
use super::message::{ClearedReport, EvacuationState};
use super::suspects::CrashKey;
use crate::prelude::*;
use crate::quota::Claim;

/// How each of these datagrams begins. No gossip message does: the number that it begins with is
/// never encoded this way.
const TAG: [u8; 2] = [0x80, 0x00];

/// A datagram between an entry and a hub, other than gossip.
#[wire]
pub(super) enum AttachMessage {
    /// A leaf attaches to a hub, or stays attached.
    Attach(Attach),
    /// The hub's answer if its state has changed since the one that the leaf has, and what it sends
    /// by itself when its state changes.
    State {
        /// The state.
        state: HubState,
        /// How far the hub has read the feeds, if this is an answer.
        feeds: Option<FeedStatus>,
    },
    /// The hub's answer if the leaf has its state.
    Unchanged {
        /// The version that both have.
        version: u64,
        /// How far the hub has read the feeds.
        feeds: FeedStatus,
    },
    /// The answer of an entry that is no hub, or is shutting down.
    NotHub,
    /// An entry asks a hub for the admission of a request.
    Question(Question),
    /// The hub's answer to it.
    Answer {
        /// The number of the question.
        number: u64,
        /// The decision.
        decision: Decision,
    },
    /// An entry returns an admission, as the request has not run and never will.
    Refund {
        /// The number of the question that was answered with the admission.
        number: u64,
    },
    /// What the sender, a leaf or its hub, knows of crashes that had another cause.
    Cleared(ClearedReport),
}

/// What a leaf tells the hub that it is attached to.
#[wire]
pub(super) struct Attach {
    /// The version of the hub's state that the leaf has; zero if it has none.
    pub(super) version: u64,
    /// When the leaf sends this, by its clock, which counts time during which it is suspended.
    pub(super) sent_at_ms: u64,
    /// Requests suspected of crashing endpoints: hash of the request, crashes.
    pub(super) suspects: Vec<(CrashKey, u32)>,
}

/// What a hub tells the leaves that are attached to it.
#[wire]
#[derive(Default)]
pub(super) struct HubState {
    /// Identifies this state.
    pub(super) version: u64,
    /// The hubs that the hub hears, itself among them.
    pub(super) hubs: Vec<HubRow>,
    /// The shards that are served: number, epoch, and the position of the owner in `hubs`.
    pub(super) shards: Vec<(u32, u64, u16)>,
    /// The evacuated failure domains, as far as the hub knows.
    pub(super) evacuated: EvacuationState,
    /// Requests suspected of crashing endpoints: hash of the request, crashes.
    pub(super) suspects: Vec<(CrashKey, u32)>,
}

/// One of the hubs.
#[wire]
#[derive(Copy)]
pub(super) struct HubRow {
    /// Its address for messages and forwarded requests.
    pub(super) address: SocketAddr,
    /// Whether it is shutting down.
    pub(super) leaving: bool,
    /// Whether it can't reach the store.
    pub(super) store_unreachable: bool,
}

/// Asks for the admission of one request.
#[wire]
#[derive(Copy)]
pub(super) struct Question {
    /// Identifies the question among all of the entry, also of its earlier process instances. A
    /// question that is asked again keeps its number.
    pub(super) number: u64,
    /// The hash of the workspace's name.
    pub(super) workspace: u64,
    /// How the request relates to a program.
    pub(super) claim: Claim,
}

/// A hub's decision on a [`Question`].
#[wire]
#[derive(Copy)]
pub(super) enum Decision {
    /// The request is admitted, and counted.
    Admitted,
    /// The workspace's rate has no room for it.
    NoRoom {
        /// Time until there may be room.
        retry_after_ms: u64,
    },
    /// The hub has not admitted it, as it does not know yet what the workspace has used. Another one
    /// may.
    Unknown {
        /// Time until there is room here, even if the workspace has used all of its rate.
        retry_after_ms: u64,
    },
}

impl AttachMessage {
    /// The datagram with this message.
    ///
    /// # Errors
    /// If the message can't be encoded.
    pub(super) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, TAG.to_vec())
    }

    /// Whether a datagram is one of these, and not a gossip message.
    pub(super) fn is_in(datagram: &[u8]) -> bool {
        datagram.starts_with(&TAG)
    }

    /// The message in a datagram.
    ///
    /// # Errors
    /// If it can't be decoded.
    pub(super) fn decode(datagram: &[u8]) -> Result<AttachMessage, postcard::Error> {
        postcard::from_bytes(datagram.strip_prefix(&TAG).unwrap_or(datagram))
    }
}
