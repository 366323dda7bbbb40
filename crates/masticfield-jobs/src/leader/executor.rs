//! The leader's view of an executor.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Defect;
use super::quarantine::Quarantine;
use crate::job::{Resources, RunId};
use crate::relay::CALL_VALIDITY;
use crate::schedule::{ClockReading, Reliability, ReliabilityStatus, expected_end, lease_end};

/// Time by which the clock of an announcement may differ from what is expected, in milliseconds.
/// Announcements are delayed by several seconds at times.
const MAX_CLOCK_DEVIATION_MS: u64 = 10_000;

/// Longest lease that an executor grants whatever is asked for, in milliseconds; the platform sets
/// 10 s.
const LONGEST_LEASE_MS: u64 = 60_000;

/// Progress of a long-running task that serves, in percent.
pub(super) const SERVING_PERCENT: u32 = 100;

/// Time without a report of its runs after which an executor that has reported its end is retired.
const LEAVE_GRACE: Duration = Duration::from_secs(1);

/// Minimum time for which a poll waits for an end, so that rough estimates do not cause many polls.
const MIN_POLL_WAIT: Duration = Duration::from_millis(300);

/// Time within which the leader handles a reading of an executor's clock.
const MAX_READING_AGE: Duration = Duration::from_secs(5);

/// Difference between two readings of an executor's clock, less the time between them, up to which they
/// are taken to be of one incarnation; the times that readings are on their way differ by less as a rule.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_millis(500);

/// The leader's view of an executor, beyond what the replicated state holds.
#[derive(Debug, Clone)]
pub(super) struct ExecutorView {
    /// Time of the latest announcement to this leader.
    pub(super) last_announced: Option<Duration>,
    /// Number of the latest announcement.
    pub(super) sequence: u64,
    /// Latest reading of the executor's clock.
    pub(super) clock: Option<ClockReading>,
    /// Time at which an announcement contradicted the clock, until an answer settles it.
    pub(super) disputed_at: Option<Duration>,
    /// Latest end of the lease that was sent, on the executor's clock.
    pub(super) deadline_ms: u64,
    /// Time of the latest call that extends the lease.
    pub(super) lease_extended_at: Duration,
    /// Time until which a lease may last that a former leader granted, or calls for a former
    /// incarnation.
    pub(super) former_leases_end: Duration,
    /// Whether the executor has answered a hold of this leader since the last failed one.
    pub(super) responsive: bool,
    /// Number of consecutive holds that failed.
    pub(super) failed_holds: u32,
    /// Whether any hold of this leader has failed.
    pub(super) was_silent: bool,
    pub(super) hold: HoldPhase,
    /// Number of the last end that is in the state; 0 if the next poll may reach another incarnation
    /// of the executor, whose ends it would acknowledge unseen.
    pub(super) acknowledged: u64,
    /// Runs in the state that may be on the executor.
    pub(super) runs: BTreeMap<RunId, RunView>,
    /// Resources that these runs reserve.
    pub(super) used: Resources,
    /// Resources that the long-running ones of these runs reserve.
    pub(super) long_running_used: Resources,
    /// Number of these runs that are long-running and not best-effort.
    pub(super) serving: u32,
    /// Number of these runs that are best-effort.
    pub(super) best_effort: u32,
    /// Runs on the executor that the state does not have, and when each was last ordered to stop.
    pub(super) unknown_runs: BTreeMap<RunId, Duration>,
    /// Time until which no task starts on the executor, because it rejected one.
    pub(super) backoff_until: Duration,
    /// Whether no task starts on the executor, because its host is draining.
    pub(super) cordoned: bool,
    /// Time until which no long-running task starts on the executor, as its host is not listed yet
    /// and may be one that the platform has been asked to take away.
    pub(super) host_unknown_until: Duration,
    /// Time since which another incarnation of the executor is known to answer, which has not
    /// announced itself yet and may have runs of this one. Nothing is sent meanwhile.
    pub(super) superseded_at: Option<Duration>,
    /// Longest lease that a call for a former incarnation may still grant; `None` once such calls are
    /// refused, as this incarnation has answered a poll, or if none can be on their way. See
    /// [`ExecutorCall::fence`](crate::relay::ExecutorCall::fence).
    pub(super) pending_former_lease: Option<Duration>,
    /// Time at which this incarnation last reported its runs.
    pub(super) reported_at: Duration,
    pub(super) departure: Option<ReportedEnd>,
    pub(super) reliability: Reliability,
    /// Number of these runs that may crash the executor; see [`RunView::suspicion`].
    pub(super) suspects: u32,
    /// Set while only the tasks of one job are started on the executor.
    pub(super) quarantine: Option<Quarantine>,
}

/// Report of an executor that it is about to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReportedEnd {
    /// Time at which the report arrived.
    pub(super) at: Duration,
    /// Whether the report names this incarnation, so that it cannot be one of a former one.
    pub(super) names_incarnation: bool,
}

/// State of the executor's poll; see [`Call::Hold`](super::Call::Hold).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HoldPhase {
    /// The next poll is due at this time.
    Due(Duration),
    /// A poll was sent at this time and is not answered.
    InFlight(Duration),
}

/// How an announcement relates to the earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnnouncementOrder {
    /// It is the latest one.
    New,
    /// A later one has arrived before.
    Late,
    /// It contradicts the known clock; the executor's answer to a call shows which is right.
    Disputed,
}

/// A run that may be on an executor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RunView {
    pub(super) phase: RunPhase,
    pub(super) placed_at: Duration,
    /// The executor's clock in milliseconds, and the run's progress in percent, when the run was
    /// first confirmed to be on the executor.
    pub(super) baseline: Option<(u64, u32)>,
    /// Estimated running time.
    pub(super) estimate: Duration,
    pub(super) reserved: Resources,
    /// Number of orders to start that may still be carried out.
    pub(super) pending_starts: u32,
    pub(super) long_running: bool,
    pub(super) best_effort: bool,
    pub(super) origin: RunOrigin,
    pub(super) location: RunLocation,
    pub(super) suspicion: Suspicion,
    /// Latest progress, in percent.
    pub(super) percent: u32,
    /// Time of the latest report, if that report shows that the task serves.
    pub(super) served_at: Option<Duration>,
}

/// Whether the task of a run may crash the executor, which has not outlived its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// Nothing suggests it, or the executor has outlived the start.
    None,
    /// An executor has crashed that had just started the task.
    Suspected,
    /// The same, and the run was placed in quarantine for its job.
    Isolated,
}

impl Suspicion {
    pub(super) fn is_suspected(self) -> bool {
        self != Self::None
    }
}

/// Which incarnation of an executor may have a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunLocation {
    /// This one, or a later one that answers to the same identifier.
    ThisOrLater,
    /// Only this one: a report has listed the run, or the clock in the answer to the order shows it;
    /// see [`ExecutorView::is_same_incarnation`].
    This,
    /// Only this one, and the state says so for the next leader; see
    /// [`Command::Located`](crate::state::Command::Located).
    Recorded,
}

impl RunView {
    /// Records that the run is on this incarnation.
    pub(super) fn locate(&mut self) {
        if self.location == RunLocation::ThisOrLater {
            self.location = RunLocation::This;
        }
    }

    /// Returns whether the run may be on a later incarnation of its executor: no report has located
    /// it, or an order to start it may still be carried out.
    pub(super) fn may_be_on_later(&self) -> bool {
        self.location == RunLocation::ThisOrLater || self.pending_starts > 0
    }
}

/// Who placed a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunOrigin {
    /// This leader.
    Placed,
    /// A former leader; how long ago is not known.
    Inherited,
    /// This leader, on a former incarnation of the executor.
    Reassigned,
}

/// Progress of a run's orders to start and to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// A former leader placed the run; it is not known whether the order to start was sent.
    Inherited,
    /// The order to start was sent and is not answered.
    Ordered,
    /// The order to start is to be repeated at this time.
    Retry(Duration),
    /// The run was on the executor at this time.
    Confirmed(Duration),
    /// The order to stop was sent at this time.
    Stopping(Duration),
    /// The executor accepted the order to stop; answered at this time.
    StopAcknowledged(Duration),
}

impl ExecutorView {
    pub(super) fn new(former_leases_end: Duration) -> Self {
        Self {
            last_announced: None,
            sequence: 0,
            clock: None,
            disputed_at: None,
            deadline_ms: 0,
            lease_extended_at: Duration::ZERO,
            former_leases_end,
            responsive: false,
            failed_holds: 0,
            was_silent: false,
            hold: HoldPhase::Due(Duration::ZERO),
            acknowledged: 0,
            runs: BTreeMap::new(),
            used: Resources::default(),
            long_running_used: Resources::default(),
            serving: 0,
            best_effort: 0,
            unknown_runs: BTreeMap::new(),
            backoff_until: Duration::ZERO,
            cordoned: false,
            host_unknown_until: Duration::ZERO,
            superseded_at: None,
            pending_former_lease: None,
            reported_at: Duration::ZERO,
            departure: None,
            reliability: Reliability::default(),
            suspects: 0,
            quarantine: None,
        }
    }

    /// Returns how to treat an announcement, which another process may have sent.
    pub(super) fn check_announcement(
        &self,
        now: Duration,
        sequence: u64,
        clock_ms: u64,
    ) -> AnnouncementOrder {
        if self.contradicts_clock(now, clock_ms) {
            return AnnouncementOrder::Disputed;
        }
        // The sequence of an odd announcement may be higher than any of the executor.
        let is_newer = self.clock.is_none_or(|clock| clock_ms > clock.clock_ms);
        if self.last_announced.is_some() && sequence <= self.sequence && !is_newer {
            return AnnouncementOrder::Late;
        }
        AnnouncementOrder::New
    }

    /// Returns whether a reading is so far from the latest one that one of them is not of the
    /// executor.
    fn contradicts_clock(&self, now: Duration, clock_ms: u64) -> bool {
        self.clock.is_some_and(|clock| {
            let latest = clock.estimate(now).saturating_add(MAX_CLOCK_DEVIATION_MS);
            let earliest = clock.clock_ms.saturating_sub(MAX_CLOCK_DEVIATION_MS);
            clock_ms > latest || clock_ms < earliest
        })
    }

    /// Records the executor's clock from its report, which settles what its clock is.
    pub(super) fn record_reported_clock(&mut self, now: Duration, clock_ms: u64) {
        if self.contradicts_clock(now, clock_ms) {
            self.clock = None;
            self.sequence = 0;
            // A lease by the wrong clock ends no later than the longest one by the right clock.
            let latest = clock_ms.saturating_add(LONGEST_LEASE_MS);
            self.deadline_ms = self.deadline_ms.min(latest);
        }
        self.disputed_at = None;
        self.record_clock(now, clock_ms);
    }

    /// Records a reading of the executor's clock unless it is older than the latest one.
    pub(super) fn record_clock(&mut self, now: Duration, clock_ms: u64) {
        let newer = self.clock.is_none_or(|clock| clock_ms >= clock.clock_ms);
        if newer {
            let received = now;
            self.clock = Some(ClockReading { clock_ms, received });
        }
    }

    /// Lets polls acknowledge no ends until the next report, as they may reach another incarnation of
    /// the executor, whose ends have the same numbers.
    pub(super) fn withhold_acknowledgement(&mut self, defect: Option<Defect>) {
        if defect != Some(Defect::AcknowledgeOtherIncarnation) {
            self.acknowledged = 0;
        }
    }

    /// Adds a run and the resources that it reserves.
    pub(super) fn add_run(&mut self, run: RunId, view: RunView) {
        self.used = self.used.saturating_add(view.reserved);
        if view.long_running {
            self.long_running_used = self.long_running_used.saturating_add(view.reserved);
        }
        self.serving += u32::from(view.long_running && !view.best_effort);
        self.best_effort += u32::from(view.best_effort);
        self.suspects += u32::from(view.suspicion.is_suspected());
        self.runs.insert(run, view);
    }

    /// Removes a run and the resources that it reserves.
    pub(super) fn remove_run(&mut self, run: RunId) -> Option<RunView> {
        let view = self.runs.remove(&run)?;
        self.used = self.used.saturating_sub(view.reserved);
        if view.long_running {
            self.long_running_used = self.long_running_used.saturating_sub(view.reserved);
        }
        self.serving -= u32::from(view.long_running && !view.best_effort);
        self.best_effort -= u32::from(view.best_effort);
        self.suspects -= u32::from(view.suspicion.is_suspected());
        Some(view)
    }

    /// Returns whether the executor's reliability allows a task to start.
    ///
    /// On probation this is one finite task at a time, and none that has failed before
    /// (`has_failed`). If no executor of the pool is in good standing (`any_better`), suspended ones
    /// are treated as on probation and may try any task.
    pub(super) fn allows_start(&self, now: Duration, has_failed: bool, any_better: bool) -> bool {
        match self.reliability.status(now) {
            ReliabilityStatus::Good => true,
            ReliabilityStatus::Suspended if any_better => false,
            ReliabilityStatus::Probation | ReliabilityStatus::Suspended => {
                let may_try = !has_failed || !any_better;
                may_try && self.runs.values().all(|run| run.long_running)
            }
        }
    }

    /// Returns the time until the first of the finite runs should have ended, after which its
    /// progress is worth checking; `None` if no such end is expected.
    pub(super) fn next_poll_wait(&self, now: Duration) -> Option<Duration> {
        let finite = self.runs.values().filter(|run| !run.long_running);
        let ends = finite.map(|run| expected_end(run.placed_at, run.estimate));
        let next = ends.filter(|end| *end > now).min()?;
        Some(next.saturating_sub(now).max(MIN_POLL_WAIT))
    }

    /// Returns whether a long-running task is not known to serve yet.
    pub(super) fn is_starting_long_running(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.long_running && run.percent < SERVING_PERCENT)
    }

    /// Returns whether an answer is of the incarnation that gave the latest reading of the clock.
    ///
    /// The clock of a later one may start at any value, which hardly continues the latest reading, or at
    /// zero, so that it shows how long ago the later one started, which is after that reading.
    pub(super) fn is_same_incarnation(&self, now: Duration, clock_ms: u64) -> bool {
        self.clock.is_some_and(|clock| {
            let age = now.saturating_sub(clock.received) + MAX_READING_AGE;
            let is_later_from_zero = Duration::from_millis(clock_ms) <= age;
            self.continues_clock(now, clock_ms) && !is_later_from_zero
        })
    }

    /// Returns whether a reading of a clock may continue the latest one; always, if there is none.
    pub(super) fn continues_clock(&self, now: Duration, clock_ms: u64) -> bool {
        self.clock.is_none_or(|clock| {
            let difference = Duration::from_millis(clock.estimate(now).abs_diff(clock_ms));
            difference <= MAX_CLOCK_DIFFERENCE
        })
    }

    /// Returns the time by which every lease has certainly expired that a later incarnation of the
    /// executor may have got from calls that were made by `called`.
    pub(super) fn later_leases_end(&self, called: Duration, max_lease: Duration) -> Duration {
        lease_end(called + CALL_VALIDITY, self.longest_later_lease(max_lease))
    }

    /// Returns the longest lease that a later incarnation grants by a call for this one.
    ///
    /// Its clock starts anew, so that it shortens a lease only to the longest that it grants, or to the
    /// latest end that was sent, which is known if no former leader sent one.
    pub(super) fn longest_later_lease(&self, max_lease: Duration) -> Duration {
        if self.former_leases_end.is_zero() {
            max_lease.min(Duration::from_millis(self.deadline_ms))
        } else {
            max_lease
        }
    }

    /// Returns whether the executor has ended by its own report, and its runs with it.
    ///
    /// A report that names no incarnation may be one of a former one, so that runs end with their
    /// leases.
    pub(super) fn has_left(&self, now: Duration) -> bool {
        self.departure.is_some_and(|departure| {
            let is_silent = now > departure.at.max(self.reported_at) + LEAVE_GRACE;
            is_silent && (departure.names_incarnation || self.runs.is_empty())
        })
    }

    /// Returns whether every lease on the executor has certainly expired.
    pub(super) fn leases_expired(&self, now: Duration) -> bool {
        let clock = self.clock;
        let deadline_passed = clock.is_none_or(|clock| clock.is_past(self.deadline_ms, now));
        deadline_passed && now > self.former_leases_end
    }
}
