//! The process beside an endpoint, which is a model engine or a service. It rejects attempts from
//! replaced owners, queues and runs the others, and frees conversations in the engine's cache.

mod backend;
mod crash_suspects;
mod finished;
mod leases;
mod order;
mod process;
mod scheduler;
mod server;

pub use backend::{Backend, CompletionReader};
pub use finished::{FinishedAttempts, FinishedLookup};
pub use leases::CacheLeases;
pub use order::{OrderPolicy, QueueOrder, SchedulingKey};
pub use process::run;
pub use scheduler::{AttemptScheduler, SchedulerAction, SchedulerLimits, Submission};
pub use server::ATTEMPTS_PATH;

#[cfg(test)]
mod tests;
