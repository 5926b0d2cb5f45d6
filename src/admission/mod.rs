//! Admission: no workspace exceeds its rate and burst over all entries together.

mod bucket;
mod split;

pub use bucket::Bucket;
pub use split::StaticSplit;

#[cfg(test)]
mod tests;
