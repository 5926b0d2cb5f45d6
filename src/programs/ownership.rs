use statig::prelude::*;

use crate::prelude::*;

/// An event in an entry's ownership of one shard.
#[key]
pub enum OwnershipEvent {
    /// The entry starts to claim the shard.
    Claim,
    /// The entry's own claim was read from the log; the epoch is the claim's offset.
    ClaimRead(Epoch),
    /// The stream has been read to its end.
    CaughtUp,
    /// Another claim was read, or records expired before this entry read them.
    Lost,
    /// The entry is to release the shard once no turn is in flight.
    Release,
    /// The entry's own release was read from the log.
    ReleaseRead,
}

/// The state machine behind [`ShardOwnership`].
#[derive(Debug, Default)]
pub struct OwnershipMachine;

#[state_machine(initial = "State::unclaimed()", state(derive(Debug, Clone, Copy, PartialEq, Eq)))]
impl OwnershipMachine {
    #[state]
    fn unclaimed(event: &OwnershipEvent) -> Outcome<State> {
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
            OwnershipEvent::Lost => Transition(State::lost()),
            _ => Handled,
        }
    }

    #[state]
    fn owning(epoch: &Epoch, event: &OwnershipEvent) -> Outcome<State> {
        match event {
            OwnershipEvent::Lost => Transition(State::lost()),
            OwnershipEvent::Release => Transition(State::releasing(*epoch)),
            _ => Handled,
        }
    }

    #[state]
    fn releasing(epoch: &Epoch, event: &OwnershipEvent) -> Outcome<State> {
        let _ = epoch;
        match event {
            OwnershipEvent::Lost | OwnershipEvent::ReleaseRead => Transition(State::lost()),
            _ => Handled,
        }
    }

    #[state]
    fn lost(event: &OwnershipEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }
}

/// An entry's ownership of one shard, from its claim until the shard is released or claimed by
/// another. `lost` is final: to own the shard again, the entry needs a new `ShardOwnership` with a
/// new claim.
pub struct ShardOwnership(statig::blocking::StateMachine<OwnershipMachine>);

impl ShardOwnership {
    /// Ownership of a shard that has not been claimed yet.
    pub fn new() -> ShardOwnership {
        ShardOwnership(OwnershipMachine.state_machine())
    }

    /// Applies an event. One that does not fit the current state is ignored.
    pub fn handle(&mut self, event: OwnershipEvent) {
        self.0.handle(&event);
    }

    /// Whether no claim was made yet.
    pub fn is_unclaimed(&self) -> bool {
        matches!(self.0.state(), State::Unclaimed {})
    }

    /// The epoch, once the entry's claim was read and as long as no newer claim was.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.0.state() {
            State::Recovering { epoch } | State::Owning { epoch } | State::Releasing { epoch } => {
                Some(*epoch)
            }
            State::Unclaimed {} | State::Claiming {} | State::Lost {} => None,
        }
    }

    /// Whether new turns may start.
    pub fn is_owning(&self) -> bool {
        matches!(self.0.state(), State::Owning { .. })
    }

    /// Whether the claim, or the replay of the stream after it, is not complete yet.
    pub fn is_starting(&self) -> bool {
        matches!(self.0.state(), State::Claiming {} | State::Recovering { .. })
    }

    /// Whether the shard is to be released once no turn is in flight.
    pub fn is_releasing(&self) -> bool {
        matches!(self.0.state(), State::Releasing { .. })
    }

    /// Whether ownership has ended.
    pub fn is_lost(&self) -> bool {
        matches!(self.0.state(), State::Lost {})
    }
}

impl Default for ShardOwnership {
    fn default() -> ShardOwnership {
        ShardOwnership::new()
    }
}
