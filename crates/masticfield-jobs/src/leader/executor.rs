//! What the leader knows of an executor beyond the state.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::job::{Resources, RunId};
use crate::schedule::{ClockReading, Reliability, ReliabilityStatus, expected_end};

/// Percentage of a lasting task that is at work.
pub(super) const SERVING_PERCENT: u32 = 100;

/// Shortest wait for an end, so that rough estimates do not cause many looks.
const MIN_POLL_WAIT: Duration = Duration::from_millis(300);

/// What the leader knows of an executor beyond the state.
#[derive(Debug, Clone)]
pub(super) struct ExecutorView {
    /// When it last told of itself to this leader.
    pub(super) last_announced: Option<Duration>,
    /// Number of that announcement.
    pub(super) sequence: u64,
    pub(super) clock: Option<ClockReading>,
    /// Latest end of the lease that was sent, on the executor's clock.
    pub(super) deadline_ms: u64,
    /// Before this moment a lease of an earlier leader may last.
    pub(super) former_leases_end: Duration,
    /// Whether it has answered the leader's fence since the last failure.
    pub(super) responsive: bool,
    /// Calls that failed in a row.
    pub(super) failed_calls: u32,
    pub(super) hold: HoldPhase,
    /// Number of the last end that is in the state.
    pub(super) acknowledged: u64,
    /// Runs in the state that may be there.
    pub(super) runs: BTreeMap<RunId, RunView>,
    /// What those runs take.
    pub(super) used: Resources,
    /// How many of them serve users, and how many fill.
    pub(super) serving: u32,
    pub(super) best_effort: u32,
    /// Runs there that the state does not know, and when they were last told to stop.
    pub(super) unknown_runs: BTreeMap<RunId, Duration>,
    /// No task starts there before this moment, as it rejected one.
    pub(super) backoff_until: Duration,
    /// Whether no task starts there, as its host is to be emptied.
    pub(super) cordoned: bool,
    /// When it has said that it ends.
    pub(super) left_at: Option<Duration>,
    /// How it has treated the tasks that it was given.
    pub(super) reliability: Reliability,
}

/// Whether the executor is being asked what runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HoldPhase {
    /// Not before this moment.
    Due(Duration),
    /// Since this moment.
    InFlight(Duration),
}

/// A run that may be on an executor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RunView {
    pub(super) phase: RunPhase,
    /// When it was placed.
    pub(super) placed_at: Duration,
    /// What the executor's clock showed when the run was first known to be there, in
    /// milliseconds, and the percentage that it had done.
    pub(super) baseline: Option<(u64, u32)>,
    /// Estimated time of its work.
    pub(super) estimate: Duration,
    pub(super) reserved: Resources,
    /// Tries of the order that may yet be carried out.
    pub(super) pending_starts: u32,
    /// Whether the run lasts, and whether it fills.
    pub(super) long_running: bool,
    pub(super) best_effort: bool,
    pub(super) percent: u32,
}

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// In the state; it is not known whether it was ordered.
    Inherited,
    /// Ordered, and not answered.
    Ordered,
    /// To be ordered again at this moment.
    Retry(Duration),
    /// The executor had it at this moment.
    Confirmed(Duration),
    /// Told to stop at this moment.
    Stopping(Duration),
    /// The executor took the order to stop at this moment.
    StopAcknowledged(Duration),
}

impl ExecutorView {
    pub(super) fn new(former_leases_end: Duration) -> Self {
        Self {
            last_announced: None,
            sequence: 0,
            clock: None,
            deadline_ms: 0,
            former_leases_end,
            responsive: false,
            failed_calls: 0,
            hold: HoldPhase::Due(Duration::ZERO),
            acknowledged: 0,
            runs: BTreeMap::new(),
            used: Resources::default(),
            serving: 0,
            best_effort: 0,
            unknown_runs: BTreeMap::new(),
            backoff_until: Duration::ZERO,
            cordoned: false,
            left_at: None,
            reliability: Reliability::default(),
        }
    }

    /// Takes a newer reading of the executor's clock.
    pub(super) fn record_clock(&mut self, now: Duration, clock_ms: u64) {
        let newer = self.clock.is_none_or(|clock| clock_ms >= clock.clock_ms);
        if newer {
            let received = now;
            self.clock = Some(ClockReading { clock_ms, received });
        }
    }

    /// Adds a run.
    pub(super) fn add_run(&mut self, run: RunId, view: RunView) {
        self.used = self.used.saturating_add(view.reserved);
        self.serving += u32::from(view.long_running && !view.best_effort);
        self.best_effort += u32::from(view.best_effort);
        self.runs.insert(run, view);
    }

    /// Takes a run out.
    pub(super) fn remove_run(&mut self, run: RunId) -> Option<RunView> {
        let view = self.runs.remove(&run)?;
        self.used = self.used.saturating_sub(view.reserved);
        self.serving -= u32::from(view.long_running && !view.best_effort);
        self.best_effort -= u32::from(view.best_effort);
        Some(view)
    }

    /// Whether its track record lets a task be started; on trial, one at a time, and none that has
    /// failed before. With nothing better in the pool, all are on trial.
    pub(super) fn allows_start(&self, now: Duration, has_failed: bool, any_better: bool) -> bool {
        match self.reliability.status(now) {
            ReliabilityStatus::Good => true,
            ReliabilityStatus::Suspended if any_better => false,
            ReliabilityStatus::Probation | ReliabilityStatus::Suspended => {
                let spare = !has_failed || !any_better;
                spare && self.runs.values().all(|run| run.long_running)
            }
        }
    }

    /// Time until the first of its passing runs should have ended; then its progress tells.
    pub(super) fn next_poll_wait(&self, now: Duration) -> Option<Duration> {
        let passing = self.runs.values().filter(|run| !run.long_running);
        let ends = passing.map(|run| expected_end(run.placed_at, run.estimate));
        let next = ends.filter(|end| *end > now).min()?;
        Some(next.saturating_sub(now).max(MIN_POLL_WAIT))
    }

    /// Whether every lease there has run out for certain.
    pub(super) fn leases_expired(&self, now: Duration) -> bool {
        let clock = self.clock;
        let past = clock.is_none_or(|clock| clock.is_past(self.deadline_ms, now));
        past && now > self.former_leases_end
    }
}
