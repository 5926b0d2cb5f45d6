use crate::prelude::*;

/// A workspace's use counts as usual up to this multiple of the mean. Workspaces of usual size differ
/// by less from one window to the next.
const USUAL_FACTOR: f64 = 1.5;

/// The highest level. Above it, workspaces are not told apart.
const MAX_LEVEL: u8 = 7;

/// How far a workspace's use of its contracted rate lies above the mean use of all workspaces, in
/// doublings; 0 if it does not.
///
/// Load: one workspace sends many times its usual traffic while capacity is short. Programs of
/// workspaces at a lower level start first, which approximates weighted max-min fairness by
/// progressive filling, in steps of a factor of two. Capacity that the lower levels leave unused goes
/// to the next one.
#[key]
#[derive(Default)]
pub struct UseLevel(u8);

impl UseLevel {
    /// The level of a workspace that has used `used` where the mean use would be `mean`.
    pub fn of(used: f64, mean: f64) -> UseLevel {
        let usual = mean * USUAL_FACTOR;
        if used <= usual {
            return UseLevel(0);
        }
        let doublings = (used / usual.max(f64::EPSILON)).log2().floor();
        UseLevel(doublings.clamp(0.0, f64::from(MAX_LEVEL - 1)) as u8 + 1)
    }

    /// Whether the use is above the usual.
    pub fn is_over_share(self) -> bool {
        self.0 > 0
    }

    /// The number, from 0 to 7.
    pub fn number(self) -> u8 {
        self.0
    }
}
