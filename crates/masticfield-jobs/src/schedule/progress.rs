//! Whether a run gets on as its estimate says.

use std::time::Duration;

/// Time that a run has to be under way before anything is said about it.
const FIRST_LOOK: Duration = Duration::from_millis(400);

/// Share of the expected progress below which a run is slow. Data on another rack and rough
/// estimates account for half of it.
const SLOW_SHARE: f64 = 0.3;

/// Factor by which the rest of a run must be longer than the run from its start elsewhere.
const WORTH_FACTOR: f64 = 1.5;

/// Whether a run gets on as its estimate says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It does, or it is too early to tell.
    OnTrack,
    /// It does not; it would be done later than if it were stopped and started elsewhere, or
    /// not.
    Slow {
        /// Whether starting it elsewhere is quicker.
        quicker_elsewhere: bool,
    },
}

/// Judges a run that has been under way for a time, by the percentage that it has done.
///
/// `stop` is the time that it takes to stop it.
pub fn assess_progress(
    estimate: Duration,
    under_way: Duration,
    percent: u32,
    stop: Duration,
) -> Progress {
    let expected = under_way.as_secs_f64() / estimate.as_secs_f64().max(0.001);
    let done = f64::from(percent.min(100)) / 100.0;
    if under_way < FIRST_LOOK.max(estimate / 2) || done >= expected * SLOW_SHARE {
        return Progress::OnTrack;
    }
    let rate = done / under_way.as_secs_f64();
    let left = if rate > 0.0 {
        (1.0 - done) / rate
    } else {
        f64::INFINITY
    };
    let elsewhere = (estimate + stop).as_secs_f64();
    Progress::Slow {
        quicker_elsewhere: left > elsewhere * WORTH_FACTOR,
    }
}

/// When a run that gets on well has ended, as far as its estimate tells.
pub fn expected_end(started: Duration, estimate: Duration) -> Duration {
    started + estimate.mul_f64(1.0 + ROUGH) + FIRST_LOOK / 2
}

/// Share by which estimates may be too short.
const ROUGH: f64 = 0.5;
