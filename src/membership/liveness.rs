use statig::prelude::*;

use crate::prelude::*;

/// An observation that changes a peer's liveness.
#[key]
pub enum LivenessEvent {
    /// A heartbeat arrived; the peer accepts new work.
    HeartbeatLive,
    /// A heartbeat arrived; the peer is leaving.
    HeartbeatLeaving,
    /// No heartbeat arrived within [`suspect_ms`](super::LivenessTimeouts::suspect_ms).
    SuspectTimeout,
    /// No heartbeat arrived within [`dead_ms`](super::LivenessTimeouts::dead_ms), or the peer's
    /// address refused a connection.
    Failed,
}

/// State machine for a peer's liveness, as observed by this process.
#[derive(Debug, Default)]
pub struct LivenessMachine;

/// A peer is suspected before it is considered dead. A suspected peer gets no new work, but keeps
/// the work and the shards that it has, so that a short pause or a lost datagram only reroutes new
/// work and causes no takeover.
#[state_machine(initial = "State::live()", state(derive(Debug, Clone, Copy, PartialEq, Eq)))]
impl LivenessMachine {
    #[state]
    fn live(event: &LivenessEvent) -> Outcome<State> {
        match event {
            LivenessEvent::HeartbeatLive => Handled,
            LivenessEvent::HeartbeatLeaving => Transition(State::leaving()),
            LivenessEvent::SuspectTimeout => Transition(State::suspect()),
            LivenessEvent::Failed => Transition(State::dead()),
        }
    }

    #[state]
    fn suspect(event: &LivenessEvent) -> Outcome<State> {
        match event {
            LivenessEvent::HeartbeatLive => Transition(State::live()),
            LivenessEvent::HeartbeatLeaving => Transition(State::leaving()),
            LivenessEvent::SuspectTimeout => Handled,
            LivenessEvent::Failed => Transition(State::dead()),
        }
    }

    /// Heartbeats don't bring a leaving peer back. Only a new process instance on its VM accepts work
    /// again.
    #[state]
    fn leaving(event: &LivenessEvent) -> Outcome<State> {
        match event {
            LivenessEvent::Failed => Transition(State::dead_while_leaving()),
            LivenessEvent::HeartbeatLive
            | LivenessEvent::HeartbeatLeaving
            | LivenessEvent::SuspectTimeout => Handled,
        }
    }

    /// A dead peer gets the state that its next heartbeat reports.
    #[state]
    fn dead(event: &LivenessEvent) -> Outcome<State> {
        match event {
            LivenessEvent::HeartbeatLive => Transition(State::live()),
            LivenessEvent::HeartbeatLeaving => Transition(State::leaving()),
            LivenessEvent::SuspectTimeout | LivenessEvent::Failed => Handled,
        }
    }

    /// A peer that was leaving when it was considered dead is still leaving if it is heard again.
    #[state]
    fn dead_while_leaving(event: &LivenessEvent) -> Outcome<State> {
        match event {
            LivenessEvent::HeartbeatLive | LivenessEvent::HeartbeatLeaving => {
                Transition(State::leaving())
            }
            LivenessEvent::SuspectTimeout | LivenessEvent::Failed => Handled,
        }
    }
}

/// The liveness of a peer.
pub struct Liveness(statig::blocking::StateMachine<LivenessMachine>);

impl Liveness {
    /// The state of a peer whose first heartbeat has just arrived.
    pub fn new() -> Liveness {
        Liveness(LivenessMachine.state_machine())
    }

    /// Applies an observation.
    pub fn handle(&mut self, event: LivenessEvent) {
        self.0.handle(&event);
    }

    /// Whether the peer accepts new work.
    pub fn is_live(&self) -> bool {
        matches!(self.0.state(), State::Live {})
    }

    /// Whether the peer is considered dead.
    pub fn is_dead(&self) -> bool {
        matches!(self.0.state(), State::Dead {} | State::DeadWhileLeaving {})
    }
}

impl Default for Liveness {
    fn default() -> Liveness {
        Liveness::new()
    }
}
