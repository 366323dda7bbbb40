//! Progress of a run compared with its estimate.

use std::time::Duration;

/// Minimum running time before a run's progress is judged.
const MIN_OBSERVATION: Duration = Duration::from_millis(400);

/// Share of the expected progress below which a run is slow.
///
/// Data on another rack and rough estimates can halve the progress of a healthy run.
const SLOW_SHARE: f64 = 0.3;

/// A slow run is moved only if its remaining time exceeds that of a fresh start by this factor.
const RESTART_FACTOR: f64 = 1.5;

/// Share by which estimates may be too short.
const ESTIMATE_ERROR: f64 = 0.5;

/// Progress of a run compared with its estimate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The run progresses as expected, or has not run long enough to judge.
    OnTrack,
    /// The run progresses much more slowly than its estimate says.
    Slow {
        /// Whether stopping the run and starting it elsewhere would complete the task earlier.
        quicker_elsewhere: bool,
    },
}

/// Judges the progress of a run that has worked for `elapsed` and has done `percent` of its work.
///
/// `stop` is the time that it takes to stop the run.
pub fn assess_progress(
    estimate: Duration,
    elapsed: Duration,
    percent: u32,
    stop: Duration,
) -> Progress {
    let expected = elapsed.as_secs_f64() / estimate.as_secs_f64().max(0.001);
    let done = f64::from(percent.min(100)) / 100.0;
    if elapsed < MIN_OBSERVATION.max(estimate / 2) || done >= expected * SLOW_SHARE {
        return Progress::OnTrack;
    }
    let rate = done / elapsed.as_secs_f64();
    let remaining = if rate > 0.0 {
        (1.0 - done) / rate
    } else {
        f64::INFINITY
    };
    let elsewhere = (estimate + stop).as_secs_f64();
    Progress::Slow {
        quicker_elsewhere: remaining > elsewhere * RESTART_FACTOR,
    }
}

/// Returns the time by which a run that is on track has ended, allowing for a rough estimate.
pub fn expected_end(started: Duration, estimate: Duration) -> Duration {
    started + estimate.mul_f64(1.0 + ESTIMATE_ERROR) + MIN_OBSERVATION / 2
}
