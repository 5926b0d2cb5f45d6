//! Which entries exchange messages each to all, and how the others take part.
//!
//! If every entry told every other one its state, what an entry sends and receives would grow with
//! the number of entries. A bounded number of entries, the hubs, do so; only they own shards and
//! count the workspaces' rates. All other entries are leaves: a leaf is attached to one hub in its
//! failure domain, from which it learns the owners of the shards. While the entries are few, all of them
//! are hubs.
//!
//! One hub counts the requests of a workspace, and all entries ask it to admit them. A hub that is
//! shutting down does so only once no entry stays: it still knows what the windows hold.

mod attachment;
mod counting;
mod election;
mod granted;
mod inquiry;
mod roster;

pub(super) use attachment::Attachment;
pub(super) use counting::{CountingCandidate, counting_order};
pub(super) use election::{HubLimit, Recruitment, Role};
pub(super) use granted::{AskedQuestion, GrantedQuestions};
pub(super) use inquiry::{Inquiry, InquiryStep, NotAdmitted};
pub(super) use roster::Roster;
