use statig::prelude::*;

use crate::prelude::*;

/// What moves an entry's tenure of one shard.
#[key]
pub enum OwnershipEvent {
    /// The entry wants the shard.
    Claim,
    /// Its own claim was read from the log.
    ClaimRead(Epoch),
    /// It has read up to the end of the log.
    CaughtUp,
    /// A claim of another was read.
    OtherClaimRead,
    /// It wants to give the shard up once nothing is under way.
    Release,
    /// Its own release was read.
    ReleaseRead,
}

/// The life of one entry's ownership of one shard.
#[derive(Debug, Default)]
pub struct OwnershipMachine;

#[state_machine(initial = "State::idle()", state(derive(Debug, Clone, Copy, PartialEq, Eq)))]
impl OwnershipMachine {
    #[state]
    fn idle(event: &OwnershipEvent) -> Outcome<State> {
        match event {
            OwnershipEvent::Claim => Transition(State::claiming()),
            _ => Handled,
        }
    }

    #[state]
    fn claiming(event: &OwnershipEvent) -> Outcome<State> {
        match event {
            OwnershipEvent::ClaimRead(epoch) => Transition(State::recovering(*epoch)),
            _ => Handled,
        }
    }

    #[state]
    fn recovering(epoch: &Epoch, event: &OwnershipEvent) -> Outcome<State> {
        match event {
            OwnershipEvent::CaughtUp => Transition(State::owning(*epoch)),
            OwnershipEvent::OtherClaimRead => Transition(State::lost()),
            _ => Handled,
        }
    }

    #[state]
    fn owning(epoch: &Epoch, event: &OwnershipEvent) -> Outcome<State> {
        match event {
            OwnershipEvent::OtherClaimRead => Transition(State::lost()),
            OwnershipEvent::Release => Transition(State::leaving(*epoch)),
            _ => Handled,
        }
    }

    #[state]
    fn leaving(epoch: &Epoch, event: &OwnershipEvent) -> Outcome<State> {
        let _ = epoch;
        match event {
            OwnershipEvent::OtherClaimRead | OwnershipEvent::ReleaseRead => {
                Transition(State::lost())
            }
            _ => Handled,
        }
    }

    #[state]
    fn lost(event: &OwnershipEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }
}

/// An entry's ownership of one shard, from the claim to its loss. A lost tenure stays lost: the
/// entry starts another, with another claim.
pub struct ShardOwnership(statig::blocking::StateMachine<OwnershipMachine>);

impl ShardOwnership {
    /// A tenure that has not been claimed.
    pub fn new() -> ShardOwnership {
        ShardOwnership(OwnershipMachine.state_machine())
    }

    /// Moves it.
    pub fn handle(&mut self, event: OwnershipEvent) {
        self.0.handle(&event);
    }

    /// Whether nothing was claimed yet.
    pub fn is_unclaimed(&self) -> bool {
        matches!(self.0.state(), State::Idle {})
    }

    /// The epoch, while the log is known to hold the claim and no newer one.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.0.state() {
            State::Recovering { epoch } | State::Owning { epoch } | State::Leaving { epoch } => {
                Some(*epoch)
            }
            State::Idle {} | State::Claiming {} | State::Lost {} => None,
        }
    }

    /// Whether new turns may start.
    pub fn is_owning(&self) -> bool {
        matches!(self.0.state(), State::Owning { .. })
    }

    /// Whether the claim or the read that follows it is still under way.
    pub fn is_starting(&self) -> bool {
        matches!(self.0.state(), State::Claiming {} | State::Recovering { .. })
    }

    /// Whether it is being given up.
    pub fn is_releasing(&self) -> bool {
        matches!(self.0.state(), State::Leaving { .. })
    }

    /// Whether it is over.
    pub fn is_lost(&self) -> bool {
        matches!(self.0.state(), State::Lost {})
    }
}

impl Default for ShardOwnership {
    fn default() -> ShardOwnership {
        ShardOwnership::new()
    }
}
