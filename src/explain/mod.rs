//! What the logs of any number of entries tell: the way of a request, the course of a program, and
//! what was lost, for which causes.

mod line;
mod lost;
mod plot;
mod reader;
mod way;

pub use line::{Broken, LogLine};
pub use lost::{Cause, Lost};
pub use plot::{PlotFault, plot};
pub use reader::{Reading, read};
pub use way::{Subject, Way};

#[cfg(test)]
mod tests;
