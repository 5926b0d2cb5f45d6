//! Logs as JSON lines on standard output, and metrics for scraping.

mod logs;
mod numbers;

pub use logs::{LogsError, Writing, flush_logs, start_logs};
pub use numbers::{Metrics, start_metrics};
