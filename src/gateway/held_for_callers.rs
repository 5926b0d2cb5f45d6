use super::Refusal;
use crate::http::Eviction;
use crate::load::{HeldHistory, HeldRequestBytes, NoRoom};

/// Retry delay of a request for which there is no room. Whoever stops short of the end of a request gives
/// way to others at once, so there is room again soon.
const NO_ROOM_RETRY_MS: u64 = 300;

/// Counted bytes of a request.
pub(super) type RequestBytes = HeldRequestBytes<Eviction>;

/// A counted history.
pub(super) type History = HeldHistory<Eviction>;

impl From<NoRoom> for Refusal {
    fn from(NoRoom: NoRoom) -> Refusal {
        Refusal::NoRoom { retry_after_ms: NO_ROOM_RETRY_MS }
    }
}
