//! The work that jobs bring, as a rate.

use std::time::Duration;

/// Time over which the rate now is averaged: short against the seconds that a surge lasts.
const SHORT: Duration = Duration::from_millis(500);

/// Time over which the rate of a while ago is averaged.
const LONG: Duration = Duration::from_millis(1_300);

/// Time by which the rate is foretold: a host that is asked for now takes tasks then.
const AHEAD: Duration = Duration::from_millis(1_500);

/// Jobs in the short average from which the rate is taken at its word. A few large jobs show none.
const SURE_JOBS: f64 = 8.0;

/// Most that the foretold rate may be of the rate now.
const MOST_RISE: f64 = 2.0;

/// A rate of work that fades with time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OfferedLoad {
    /// Average over the short time, in cores.
    short: f64,
    /// Average over the long time, in cores.
    long: f64,
    jobs: f64,
    at: Duration,
}

impl OfferedLoad {
    /// Adds a job with its work in core-seconds.
    pub fn add(&mut self, now: Duration, work: f64) {
        let short = fade(now.saturating_sub(self.at), SHORT);
        let long = fade(now.saturating_sub(self.at), LONG);
        self.short = self.short * short + work / SHORT.as_secs_f64();
        self.long = self.long * long + work / LONG.as_secs_f64();
        self.jobs = self.jobs * short + 1.0;
        self.at = now;
    }

    /// The rate that is to be expected when a host has come, in cores.
    ///
    /// A rate that rises is taken to rise on; one that falls is taken as it is now. Few jobs count
    /// for less.
    pub fn forecast(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at);
        let short = self.short * fade(since, SHORT);
        let long = self.long * fade(since, LONG);
        let sure = (self.jobs * fade(since, SHORT) / SURE_JOBS).min(1.0);
        let slope = (short - long).max(0.0) / LONG.saturating_sub(SHORT).as_secs_f64();
        let ahead = (AHEAD + SHORT).as_secs_f64();
        (short + slope * ahead).min(short * MOST_RISE) * sure
    }
}

fn fade(since: Duration, over: Duration) -> f64 {
    (-since.as_secs_f64() / over.as_secs_f64()).exp()
}
