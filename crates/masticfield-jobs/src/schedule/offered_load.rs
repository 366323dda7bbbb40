//! Rate at which submitted jobs bring work.

use std::time::Duration;

/// Time constant of the current rate; short compared with the seconds that a surge lasts.
const SHORT: Duration = Duration::from_millis(500);

/// Time constant of the earlier rate that the current one is compared with.
const LONG: Duration = Duration::from_millis(1_300);

/// Forecast horizon: a host that is requested now accepts tasks after this time.
const HORIZON: Duration = Duration::from_millis(1_500);

/// Weighted number of jobs from which on the rate has full confidence. A few large jobs do not
/// establish a rate.
const CONFIDENT_JOBS: f64 = 8.0;

/// Maximum ratio of the forecast rate to the current one.
const MAX_GROWTH: f64 = 2.0;

/// Exponentially decaying averages of the work that submitted jobs bring.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OfferedLoad {
    /// Average over [`SHORT`], in cores.
    short: f64,
    /// Average over [`LONG`], in cores.
    long: f64,
    /// Number of jobs, decaying over [`SHORT`].
    jobs: f64,
    /// Time of the last job.
    updated: Duration,
}

impl OfferedLoad {
    /// Records a submitted job with `work` core-seconds.
    pub fn add(&mut self, now: Duration, work: f64) {
        let short = decay(now.saturating_sub(self.updated), SHORT);
        let long = decay(now.saturating_sub(self.updated), LONG);
        self.short = self.short * short + work / SHORT.as_secs_f64();
        self.long = self.long * long + work / LONG.as_secs_f64();
        self.jobs = self.jobs * short + 1.0;
        self.updated = now;
    }

    /// Returns the rate to expect when a host that is requested now becomes usable, in cores.
    ///
    /// A rising rate is extrapolated; a falling one is assumed to stay as it is now. The rate is reduced
    /// while few jobs support it.
    pub fn forecast(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated);
        let short = self.short * decay(elapsed, SHORT);
        let long = self.long * decay(elapsed, LONG);
        let confidence = (self.jobs * decay(elapsed, SHORT) / CONFIDENT_JOBS).min(1.0);
        let slope = (short - long).max(0.0) / LONG.saturating_sub(SHORT).as_secs_f64();
        let ahead = (HORIZON + SHORT).as_secs_f64();
        (short + slope * ahead).min(short * MAX_GROWTH) * confidence
    }
}

fn decay(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
