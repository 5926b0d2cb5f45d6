//! Logs as JSON lines on standard output, and metrics in the Prometheus format.

mod caller_pressure;
mod logs;
mod metrics;

pub use caller_pressure::{PressureLog, set_caller_metrics};
pub use logs::{LogsError, WriteMode, flush_logs, flush_logs_before_exit, start_logs};
pub use metrics::{Metrics, start_metrics};
