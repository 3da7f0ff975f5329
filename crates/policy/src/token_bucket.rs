//! The token bucket that limits hedges and retries of a service.

/// A token bucket that limits extra attempts to a share of the first attempts.
///
/// Every extra attempt uses licensed capacity, so earlier first attempts must have
/// earned it; this way a failing service cannot multiply its own load.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_attempt: f64,
    tokens: f64,
}

/// The most tokens that accumulate for a burst.
const TOKENS_MAX: f64 = 10.0;

impl TokenBucket {
    /// Creates a bucket that allows `percent` extra attempts and starts with one token.
    #[must_use]
    pub fn new(percent: f64) -> Self {
        Self { tokens_per_attempt: percent / 100.0, tokens: if percent > 0.0 { 1.0 } else { 0.0 } }
    }

    /// Adds the tokens that a first attempt earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_attempt).min(TOKENS_MAX);
    }

    /// Takes a token for one extra attempt; returns false where there is none.
    pub fn spend(&mut self) -> bool {
        let affordable = self.tokens >= 1.0;
        if affordable {
            self.tokens -= 1.0;
        }
        affordable
    }

    /// Returns the tokens that are left.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
