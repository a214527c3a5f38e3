//! A token bucket that bounds the retries of a client.

use std::time::{Duration, Instant};

/// The most retries that the budget holds.
const MAX_TOKENS: f64 = 40.0;
/// The time in which the budget regains one retry.
const REFILL_INTERVAL: Duration = Duration::from_millis(100);

/// A token bucket with one token for each retry.
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Instant,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MAX_TOKENS, refilled_at: Instant::now() }
    }
}

impl RetryBudget {
    /// Takes one retry from the budget. Returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.refilled_at).as_secs_f64() / REFILL_INTERVAL.as_secs_f64();
        (self.tokens, self.refilled_at) = ((self.tokens + gained).min(MAX_TOKENS), now);
        let is_allowed = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(is_allowed));
        is_allowed
    }
}
