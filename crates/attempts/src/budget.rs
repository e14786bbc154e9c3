//! A budget that keeps retries a small share of all requests.

/// Tokens earned by each request, in thousandths.
const EARNED_PER_REQUEST: u32 = 100;
/// Tokens that a retry costs, in thousandths.
const COST_PER_RETRY: u32 = 1_000;
/// Most tokens saved, in thousandths.
const MOST_SAVED: u32 = 10_000;

/// Allows one retry for every ten requests, and a few more after a quiet time.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MOST_SAVED }
    }
}

impl RetryBudget {
    /// Notes a first try.
    pub fn note_request(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MOST_SAVED);
    }

    /// Takes a retry out of the budget, if there is one.
    pub fn take_retry(&mut self) -> bool {
        let affordable = self.saved >= COST_PER_RETRY;
        if affordable {
            self.saved -= COST_PER_RETRY;
        }
        affordable
    }
}
