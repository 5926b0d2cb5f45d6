//! The process beside an endpoint: fences, orders and runs attempts, and frees engine memory.

mod backend;
mod desk;
mod finished;
mod leases;
mod order;
mod process;
mod server;

pub use backend::{Backend, BackendRun};
pub use desk::{Desk, DeskAction, DeskLimits, Submission};
pub use finished::{Finished, Recall};
pub use leases::CacheLeases;
pub use order::{OrderPolicy, ServiceOrder, Waiting};
pub use process::run;
pub use server::ATTEMPTS;

#[cfg(test)]
mod tests;
