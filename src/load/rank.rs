use crate::prelude::*;

/// The number of route priorities that are told apart within one workspace priority.
const ROUTE_LEVELS: u8 = 3;

/// The highest rank that an endpoint is told.
const MAX_RANK: u8 = 9;

/// How urgent a request is; a lower rank is more urgent. The workspace's priority goes first, then
/// the route's: requests of a workspace with priority 0 are all more urgent than those of one with
/// priority 1.
#[key]
pub struct Rank(u8);

impl Rank {
    /// The number of ranks.
    pub const COUNT: usize = MAX_RANK as usize + 1;

    /// The rank of a request on a route with priority `route` of a workspace with priority
    /// `workspace`, if it has one.
    pub fn of(workspace: Option<u8>, route: u8) -> Rank {
        let workspace = workspace.unwrap_or(0);
        let level = workspace.saturating_mul(ROUTE_LEVELS);
        Rank(level.saturating_add(route.min(ROUTE_LEVELS - 1)).min(MAX_RANK))
    }

    /// The rank with this number, as carried in a message.
    pub fn from_number(number: u8) -> Rank {
        Rank(number.min(MAX_RANK))
    }

    /// The index of the rank in an array of [`Rank::COUNT`] elements.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// The number, from 0 to 9.
    pub fn number(self) -> u8 {
        self.0
    }
}
