//! Retry budget: limits retries to a fraction of all requests.

/// Tokens earned by each request, in thousandths.
const EARNED_PER_REQUEST: u32 = 100;
/// Tokens that a retry costs, in thousandths.
const COST_PER_RETRY: u32 = 1_000;
/// Maximum number of tokens, in thousandths.
const MAX_TOKENS: u32 = 10_000;

/// A token bucket that allows one retry per ten requests, with a burst of ten.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes a retry out of the budget. Returns whether there was one.
    pub fn take_retry(&mut self) -> bool {
        let is_allowed = self.tokens >= COST_PER_RETRY;
        if is_allowed {
            self.tokens -= COST_PER_RETRY;
        }
        is_allowed
    }
}
