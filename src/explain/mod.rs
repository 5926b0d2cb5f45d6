//! Offline analysis of entry logs, from any number of entries: the timeline of a request or a program,
//! and a report of the requests that were refused, failed or answered late, by cause.

mod line;
mod load_line;
mod load_report;
mod loss_report;
mod plot;
mod program_start;
mod reader;
mod slow_readers;
mod timeline;

pub use line::{LineError, LogLine};
pub use loss_report::{LossCause, LossReport};
pub use plot::{PlotError, plot};
pub use reader::{ReadStats, read_lines};
pub use timeline::{Subject, Timeline};

#[cfg(test)]
mod tests;
