//! The cases. Each returns whether its rule held.

pub mod early_fresh;
pub mod false_402;
pub mod large_turn;
pub mod late_record;
pub mod long_history;
pub mod lost_parent;
pub mod poison;
