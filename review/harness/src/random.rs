//! Random numbers for the choice of machines.

/// A xorshift generator.
pub struct Random(u64);

impl Random {
    /// Creates a generator whose seed differs from run to run.
    pub fn new() -> Self {
        Self(u64::from(std::process::id()).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Draws a number below `limit`.
    pub fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as usize % limit
    }
}
