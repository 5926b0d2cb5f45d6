//! The process beside an endpoint: fences, orders and runs attempts, and frees engine memory.

mod backend;
mod finished;
mod leases;
mod order;
mod process;
mod scheduler;
mod server;

pub use backend::{Backend, BackendRun};
pub use finished::{Finished, Recall};
pub use leases::CacheLeases;
pub use order::{OrderPolicy, QueueOrder, SchedulingKey};
pub use process::run;
pub use scheduler::{AttemptScheduler, SchedulerAction, SchedulerLimits, Submission};
pub use server::ATTEMPTS_PATH;

#[cfg(test)]
mod tests;
