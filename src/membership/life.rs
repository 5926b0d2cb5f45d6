use statig::prelude::*;

use crate::prelude::*;

/// What moves a peer's life.
#[key]
pub enum LifeEvent {
    /// A heartbeat that says it takes new work.
    HeardLive,
    /// A heartbeat that says it is leaving.
    HeardLeaving,
    /// It has been silent for the time that makes it suspect.
    Silent,
    /// It has been silent for the time that makes it dead.
    SilentLong,
}

/// The life of a peer as one process sees it.
#[derive(Debug, Default)]
pub struct LifeMachine;

/// Suspicion comes before death: a suspect gets no new work, but what it holds is not taken from
/// it. A short pause or a lost datagram so costs a detour, not a takeover.
#[state_machine(initial = "State::live()", state(derive(Debug, Clone, Copy, PartialEq, Eq)))]
impl LifeMachine {
    #[state]
    fn live(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::HeardLive => Handled,
            LifeEvent::HeardLeaving => Transition(State::leaving()),
            LifeEvent::Silent => Transition(State::suspect()),
            LifeEvent::SilentLong => Transition(State::dead()),
        }
    }

    #[state]
    fn suspect(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::HeardLive => Transition(State::live()),
            LifeEvent::HeardLeaving => Transition(State::leaving()),
            LifeEvent::Silent => Handled,
            LifeEvent::SilentLong => Transition(State::dead()),
        }
    }

    /// Only a new run takes work again.
    #[state]
    fn leaving(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::SilentLong => Transition(State::dead()),
            LifeEvent::HeardLive | LifeEvent::HeardLeaving | LifeEvent::Silent => Handled,
        }
    }

    #[state]
    fn dead(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::HeardLive => Transition(State::live()),
            LifeEvent::HeardLeaving => Transition(State::leaving()),
            LifeEvent::Silent | LifeEvent::SilentLong => Handled,
        }
    }
}

/// A peer's life.
pub struct Life(statig::blocking::StateMachine<LifeMachine>);

impl Life {
    /// The life of a peer that was just heard.
    pub fn new() -> Life {
        Life(LifeMachine.state_machine())
    }

    /// Moves it.
    pub fn handle(&mut self, event: LifeEvent) {
        self.0.handle(&event);
    }

    /// Whether it takes new work.
    pub fn is_live(&self) -> bool {
        matches!(self.0.state(), State::Live {})
    }

    /// Whether it counts as gone.
    pub fn is_dead(&self) -> bool {
        matches!(self.0.state(), State::Dead {})
    }
}

impl Default for Life {
    fn default() -> Life {
        Life::new()
    }
}
