//! Client of the platform's log: streams of records with offsets.

mod client;
mod pacer;

pub use client::{LogClient, LogFault, Page};
pub use pacer::Pacer;

#[cfg(test)]
mod tests;
