//! Options of the leader.

use std::time::Duration;

use crate::schedule::JobOrder;

/// Margin on the platform's figure of how long a host is away.
pub(super) const AWAY_MARGIN: Duration = Duration::from_millis(400);

/// Options of the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderOptions {
    /// Time for which runs on an executor may continue without contact to the leader.
    pub lease: Duration,
    /// Longest lease that an executor grants, whatever it is asked for.
    pub max_lease: Duration,
    /// Maximum time for which an executor may delay its answer to a hold.
    pub max_wait: Duration,
    /// Time between two announcements of an executor.
    pub announce_every: Duration,
    /// Time for which ended jobs are kept.
    pub keep_ended: Duration,
    /// Maximum time to stop a run.
    pub stop_time: Duration,
    /// Order in which waiting jobs get free capacity.
    pub order: JobOrder,
    /// Whether waiting and new jobs compete by their value when capacity is scarce, provided that
    /// the configuration has workspaces or queues of different priorities.
    pub load_shedding: bool,
    /// Whether hosts are moved ahead of surges that recur, and released early when a surge ends.
    pub pool_forecast: bool,
    /// Timing of the platform's hosts; `None` disables moves and upkeep.
    pub hosts: Option<HostOptions>,
    /// Guard to leave out, in tests.
    #[doc(hidden)]
    pub defect: Option<Defect>,
}

/// A guard to leave out, so that a test can show that the checks detect it.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Tasks are placed without regard to the executor's free capacity.
    PlaceWithoutCapacity,
    /// An order to start that gets no answer is treated as never carried out.
    UnansweredNeverRan,
    /// Steps start before the steps that they depend on are done.
    StepsInAnyOrder,
    /// Leases are treated as expired as soon as an executor does not answer.
    LapseAtOnce,
    /// A request about a host is repeated without draining the host again, and tasks start on it
    /// meanwhile.
    RepeatRefused,
    /// Requests about hosts are sent while a former leader's may still be in effect.
    HandoverAtOnce,
    /// Crashes of executors are not counted against the tasks that they ran.
    IgnoreCrashes,
    /// Any crashes of the executors of a task count against its job, as in earlier versions.
    GiveUpEarly,
    /// Tasks start again at once after crashes of their executors.
    RestartAtOnce,
    /// Runs start regardless of the quota of their workspace.
    IgnoreQuota,
    /// Only runs whose order to start was answered count towards a quota.
    CountOnlyAnswered,
    /// Keys of the configuration before the one in force are still accepted.
    KeyOfOldConfig,
    /// The runs of an executor are taken for gone when it has started again under its identifier.
    GoneWithIncarnation,
    /// A poll acknowledges ends also where it may reach another incarnation of the executor.
    AcknowledgeOtherIncarnation,
    /// A poll acknowledges ends before they are committed; left out by the emulator.
    AcknowledgeBeforeCommit,
    /// A report that an executor ends is taken for one of its latest incarnation.
    DepartureOfLatest,
    /// Executors hold no leases by calls for their former incarnations.
    IgnoreFormerLeases,
    /// Runs that may be on a later incarnation end with the leases of the known one.
    IgnoreLaterLeases,
    /// Calls are sent, and their leases dated, as if no time had passed since they were decided on.
    SendAfterRemoval,
    /// Tasks start on an incarnation that was removed and has announced itself again, or of which a former
    /// one was removed, though it has not reported its runs.
    TrustRemoved,
    /// Calls for all incarnations of an executor have the same fence; left out by the emulator.
    CommonFence,
    /// Long-running tasks are stopped without regard to the other tasks of their step.
    StopWithoutCount,
}

/// Timing of the platform's hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostOptions {
    /// Time from a request to move a host until the host is back.
    pub move_time: Duration,
    /// Time from a request for upkeep until the host is back.
    pub upkeep_time: Duration,
    /// Time for which a new leader leaves a host to the former one; the lease of a leader's
    /// requests at the platform.
    pub handover: Duration,
    /// Number of requests about hosts that the platform accepts per second; `None` if not known.
    pub orders_per_s: Option<u32>,
}

impl HostOptions {
    /// Returns the time after which no upkeep that a former leader requested can still be running.
    pub(super) fn upkeep_over(&self) -> Duration {
        self.handover.max(self.upkeep_time + AWAY_MARGIN)
    }
}

impl LeaderOptions {
    /// Creates the options with a lease, and defaults for the rest.
    pub const fn new(lease: Duration) -> Self {
        Self {
            lease,
            max_lease: Duration::from_secs(10),
            max_wait: Duration::from_secs(2),
            announce_every: Duration::from_millis(1_500),
            keep_ended: Duration::from_secs(150),
            stop_time: Duration::from_millis(500),
            order: JobOrder::OnTimeFirst,
            load_shedding: false,
            pool_forecast: false,
            hosts: None,
            defect: None,
        }
    }

    /// Sets the time between two announcements of an executor.
    #[must_use]
    pub const fn announce_every(mut self, every: Duration) -> Self {
        self.announce_every = every;
        self
    }

    /// Sets the longest lease that an executor grants.
    #[must_use]
    pub const fn max_lease(mut self, max_lease: Duration) -> Self {
        self.max_lease = max_lease;
        self
    }

    /// Leaves out a guard.
    #[doc(hidden)]
    #[must_use]
    pub const fn with_defect(mut self, defect: Option<Defect>) -> Self {
        self.defect = defect;
        self
    }

    /// Sets the order in which waiting jobs get free capacity.
    #[must_use]
    pub const fn order(mut self, order: JobOrder) -> Self {
        self.order = order;
        self
    }

    /// Sets whether jobs compete by their value; see [`LeaderOptions::load_shedding`].
    #[must_use]
    pub const fn load_shedding(mut self, enabled: bool) -> Self {
        self.load_shedding = enabled;
        self
    }

    /// Sets the maximum time to stop a run.
    #[must_use]
    pub const fn stop_time(mut self, time: Duration) -> Self {
        self.stop_time = time;
        self
    }

    /// Sets whether hosts are moved ahead of surges that recur, and released early when a surge ends.
    #[must_use]
    pub const fn pool_forecast(mut self, enabled: bool) -> Self {
        self.pool_forecast = enabled;
        self
    }

    /// Enables moves and upkeep of hosts.
    #[must_use]
    pub const fn hosts(mut self, hosts: HostOptions) -> Self {
        self.hosts = Some(hosts);
        self
    }

    /// Sets the time for which ended jobs are kept.
    #[must_use]
    pub const fn keep_ended(mut self, time: Duration) -> Self {
        self.keep_ended = time;
        self
    }
}
