//! Processor time of the leader's loop, by part.

use std::time::{Duration, Instant};

use prometheus::{CounterVec, Opts, Registry};

/// Interval at which the times are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A part of the loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WorkPart {
    /// Committed commands are applied to the state.
    Apply,
    /// Effects of committed decisions are sent out.
    Execute,
    /// Events are handled.
    Handle,
    /// The next decision is made.
    Decide,
    /// The decision is encoded and proposed.
    Propose,
}

/// Parts, in the order of their indices.
const PARTS: [WorkPart; 5] = [
    WorkPart::Apply,
    WorkPart::Execute,
    WorkPart::Handle,
    WorkPart::Decide,
    WorkPart::Propose,
];

/// Adds up how long the parts of the loop take; none of them waits.
#[derive(Debug)]
pub(super) struct WorkTimes {
    times: [Duration; PARTS.len()],
    counters: CounterVec,
    logged_at: Duration,
}

impl WorkTimes {
    pub(super) fn new(counters: CounterVec) -> Self {
        Self {
            times: [Duration::ZERO; PARTS.len()],
            counters,
            logged_at: Duration::ZERO,
        }
    }

    /// Creates the counters and registers them.
    pub(super) fn register(registry: &Registry) -> Result<CounterVec, prometheus::Error> {
        let opts = Opts::new(
            "masticfield_leader_work_seconds_total",
            "Time that the leader's loop has worked, by part",
        );
        let counters = CounterVec::new(opts, &["part"])?;
        registry.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    /// Adds the time since `started` to a part.
    pub(super) fn add(&mut self, part: WorkPart, started: Instant) {
        self.times[part as usize] += started.elapsed();
    }

    /// Adds the times to the counters, and logs them from time to time.
    pub(super) fn report(&mut self, now: Duration) {
        if now < self.logged_at + LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        let [apply_ms, execute_ms, handle_ms, decide_ms, propose_ms] =
            self.times.map(|time| time.as_millis());
        if self.times.iter().any(|time| !time.is_zero()) {
            log::info!(apply_ms, execute_ms, handle_ms, decide_ms, propose_ms; "time of the leader's loop");
        }
        for (part, time) in PARTS.iter().zip(std::mem::take(&mut self.times)) {
            let counter = self.counters.with_label_values(&[part.name()]);
            counter.inc_by(time.as_secs_f64());
        }
    }
}

impl WorkPart {
    const fn name(self) -> &'static str {
        match self {
            Self::Apply => "apply",
            Self::Execute => "execute",
            Self::Handle => "handle",
            Self::Decide => "decide",
            Self::Propose => "propose",
        }
    }
}
