//! Stand-ins for the platform's store, runners and clients, and the start of daemons as processes.

pub mod daemon;
pub mod http;
pub mod record;
pub mod store;

/// Exit codes of a case.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case couldn't run.
pub const COULD_NOT_RUN: i32 = 2;

/// Returns whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small generator of pseudo-random numbers, so that the cases need no crate for them.
#[derive(Debug, Clone)]
pub struct Random(u64);

impl Random {
    /// Creates a generator.
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns the next number.
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// Returns a number from 0 to 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}
