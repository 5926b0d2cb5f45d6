//! Log line and metrics of the limits on what is held for callers.

use metrics::{counter, gauge};

use crate::load::CallerUsage;

/// Logs what was refused or closed for want of room: at most one line per check, however many callers
/// there are.
#[derive(Debug, Default)]
pub struct PressureLog {
    logged: CallerUsage,
}

impl PressureLog {
    /// Logs what has happened since the last check, if anything.
    pub fn check(&mut self, usage: CallerUsage) {
        let closed = usage.evicted - self.logged.evicted;
        let refused = usage.refused - self.logged.refused;
        if closed + refused > 0 {
            log::warn!(closed, refused, connections = usage.connections,
                in_service = usage.in_service, request_bytes = usage.request_bytes,
                history_bytes = usage.history_bytes;
                "limits on what is held for callers reached; connections closed for others, and refusals");
        }
        self.logged = usage;
    }
}

/// Sets the metrics of what is held for callers.
pub fn set_caller_metrics(usage: &CallerUsage) {
    gauge!("trefoil_caller_connections").set(usage.connections as f64);
    gauge!("trefoil_requests_in_service").set(usage.in_service as f64);
    gauge!("trefoil_request_bytes").set(usage.request_bytes as f64);
    gauge!("trefoil_history_bytes").set(usage.history_bytes as f64);
    counter!("trefoil_connections_closed_for_others_total").absolute(usage.evicted);
    counter!("trefoil_no_room_refusals_total").absolute(usage.refused);
}
