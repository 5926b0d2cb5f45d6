//! Seeded random numbers, the same on every run and machine.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// A seeded random number generator.
pub struct Random(SmallRng);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(SmallRng::seed_from_u64(seed))
    }

    /// A number from 0 to `bound - 1`; 0 if the bound is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.random_range(0..bound.max(1))
    }

    /// A number from 0 to 1, exclusive.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }
}
