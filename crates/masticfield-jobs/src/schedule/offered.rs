//! The work that jobs bring, as a rate.

use std::time::Duration;

/// Time over which arrivals are averaged: long enough for a dozen jobs of a surge, short against
/// the seconds that a surge lasts.
const WINDOW: Duration = Duration::from_millis(700);

/// A rate of work that fades with time, in cores.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Offered {
    cores: f64,
    at: Duration,
}

impl Offered {
    /// Adds work in core-seconds.
    pub fn add(&mut self, now: Duration, work: f64) {
        self.cores = self.cores(now) + work / WINDOW.as_secs_f64();
        self.at = now;
    }

    /// The rate now.
    pub fn cores(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at).as_secs_f64();
        self.cores * (-since / WINDOW.as_secs_f64()).exp()
    }
}
