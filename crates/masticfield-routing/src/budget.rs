//! The retry budget.

/// Retries that may be saved up while nothing fails.
const MAX_SAVED: f64 = 10.0;

/// Keeps the retries to a share of the first attempts.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget of `share` retries per first attempt.
    pub const fn new(share: f64) -> Self {
        Self {
            share,
            saved: MAX_SAVED,
        }
    }

    /// Notes a first attempt.
    pub const fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Takes one retry from the budget, if there is one.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
