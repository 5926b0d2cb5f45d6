//! Logs as JSON lines on standard error, and metrics for scraping.

mod logs;
mod numbers;

pub use logs::{LogsError, start_logs};
pub use numbers::{Metrics, start_metrics};
