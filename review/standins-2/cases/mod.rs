//! The cases. Each returns whether its rule held.

pub mod false_402;
pub mod innocent;
pub mod late_record;
pub mod lost_parent;
pub mod poison;
