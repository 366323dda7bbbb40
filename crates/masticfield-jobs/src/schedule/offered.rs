//! The work that jobs bring, as a rate.

use std::time::Duration;

/// Time over which arrivals are averaged: short against the seconds that a surge lasts.
const WINDOW: Duration = Duration::from_millis(600);

/// Jobs in the window from which their rate is taken at its word. A few large jobs show no rate.
const SURE_JOBS: f64 = 8.0;

/// A rate of work that fades with time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Offered {
    cores: f64,
    jobs: f64,
    at: Duration,
}

impl Offered {
    /// Adds a job with its work in core-seconds.
    pub fn add(&mut self, now: Duration, work: f64) {
        let fade = self.fade(now);
        self.cores = self.cores * fade + work / WINDOW.as_secs_f64();
        self.jobs = self.jobs * fade + 1.0;
        self.at = now;
    }

    /// The rate in cores, which is core-seconds in each second; less if few jobs show it.
    pub fn cores(&self, now: Duration) -> f64 {
        let fade = self.fade(now);
        let sure = (self.jobs * fade / SURE_JOBS).min(1.0);
        self.cores * fade * sure
    }

    fn fade(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at).as_secs_f64();
        (-since / WINDOW.as_secs_f64()).exp()
    }
}
