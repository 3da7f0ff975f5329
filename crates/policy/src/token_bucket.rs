//! Budgets for attempts beyond the needed ones.

/// Allows extra attempts as a share of first attempts.
///
/// Every extra attempt spends licensed capacity, so it must have been earned by
/// useful work before; a failing service then cannot multiply its own load.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_earn: f64,
    tokens: f64,
}

const BURST_TOKENS: f64 = 10.0;

impl TokenBucket {
    /// Creates a bucket that allows `percent` extra attempts, with one to start with.
    #[must_use]
    pub fn new(percent: f64) -> Self {
        Self { per_earn: percent / 100.0, tokens: if percent > 0.0 { 1.0 } else { 0.0 } }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.per_earn).min(BURST_TOKENS);
    }

    /// Takes one extra attempt out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        let affordable = self.tokens >= 1.0;
        if affordable {
            self.tokens -= 1.0;
        }
        affordable
    }

    /// Returns the extra attempts that are left.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
