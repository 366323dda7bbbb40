//! Retry budget of a service.

/// Maximum balance of a budget, which is also its initial balance.
const MAX_BALANCE: f64 = 10.0;

/// Limits the retries to a fraction of the first attempts.
///
/// Every first attempt adds a fraction of a retry to the balance, and every retry takes a whole
/// one from it.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    ratio: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget that earns `ratio` retries per first attempt.
    pub const fn new(ratio: f64) -> Self {
        Self {
            ratio,
            balance: MAX_BALANCE,
        }
    }

    /// Adds the share of one first attempt.
    pub const fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(MAX_BALANCE);
    }

    /// Withdraws one retry; returns whether the balance allowed it.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
