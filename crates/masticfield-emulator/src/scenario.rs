//! Scenarios to simulate.

use masticfield_jobs::leader::Defect;
use masticfield_jobs::schedule::JobOrder;

use crate::fleet::Fleet;

/// A fleet, its load and the faults to simulate.
#[derive(Debug, Clone, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent settings, each off by default"
)]
pub struct Scenario {
    /// Hosts, queues and the load of each queue.
    pub fleet: Fleet,
    /// Time for which callers submit jobs, in milliseconds.
    pub load_ms: u64,
    /// Time after the load within which every accepted job must end, in milliseconds.
    pub settle_ms: u64,
    /// Further time for jobs with a task that crashes executors, in milliseconds.
    pub give_up_ms: u64,
    /// Time within which half of the hosts are due for upkeep, in milliseconds; 0 for no upkeep.
    pub upkeep_window_ms: u64,
    /// Maximum number of hosts in upkeep at the same time.
    pub upkeep_cap: u32,
    /// Faults to inject.
    pub faults: Faults,
    /// Whether the callers' jobs depend only on the seed and not on the leader's decisions, so that
    /// job orders can be compared under the same load.
    pub fixed_load: bool,
    /// When queues surge.
    pub shape: LoadShape,
    /// Whether the leader forecasts the load of pools.
    pub pool_forecast: bool,
    /// Number of requests about hosts that the platform accepts per second; 0 for no limit.
    pub orders_per_s: u32,
    /// Order in which waiting jobs get free capacity.
    pub order: JobOrder,
    /// Whether the leader may shed load; see `LeaderOptions::load_shedding`.
    pub load_shedding: bool,
    /// Whether callers whose jobs are refused submit them again after the time that they are told,
    /// as long as the result is of use.
    pub retries: bool,
    /// Number of workspaces of equal weight, which together are entitled to the rate of all queues,
    /// or with four queues to their mean rate; with 0 there are no workspaces.
    pub sharing_workspaces: u32,
    /// Factor on the rate of the first workspace during the load.
    pub greed: f64,
    /// Number of relays; with 0 the leader calls executors itself.
    pub relays: usize,
    /// Guard of the relays to leave out.
    pub relay_defect: Option<RelayDefect>,
    /// Guard of the leader to leave out; `None` for the leader as it is.
    pub defect: Option<Defect>,
    /// Number of workspaces, whose keys and quotas change during the load; with 0 no keys are needed.
    pub workspaces: usize,
}

/// When queues surge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadShape {
    /// Each queue surges once, for a quarter of the load.
    Once,
    /// Queues surge in turn, each for a quarter of a cycle of this length in milliseconds.
    Turns(u64),
    /// Queues surge at random times, each for 2 to 6 s after 4 to 24 s.
    Random,
    /// The mean rate of each queue does not change.
    Steady,
}

/// A guard of the relays to leave out, so that a test can show that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayDefect {
    /// Calls are sent however old they are.
    SendExpired,
    /// Calls of ended connections and of deposed leaders are sent.
    SendDeposed,
    /// Orders to start whose relay is lost are treated as never carried out.
    LostNeverRan,
}

/// Faults to inject.
///
/// Shares are between 0 and 1. Crashes, leader changes and network partitions cease with the load;
/// their intervals are spread evenly from half to one and a half times the mean.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Faults {
    /// Share of orders to start or stop a run that get no answer and arrive 2 to 12 s late.
    pub delayed_orders: f64,
    /// Whether orders that arrive late are carried out by the incarnation that then answers to the
    /// executor's identifier. Otherwise they are lost with the incarnation that they were sent to.
    pub late_orders_reach_successors: bool,
    /// Whether the clocks of executors start at any value; otherwise at zero.
    pub arbitrary_clocks: bool,
    /// Share of calls to executors and to the platform whose answer is lost after the call was
    /// carried out.
    pub lost_answers: f64,
    /// Mean time between crashes of executors, in milliseconds; 0 for none.
    pub crash_interval_ms: u64,
    /// Share of executors that crash, or report their end, and are back under their identifier after
    /// 20 to 1,500 ms.
    pub reborn_executors: f64,
    /// Share of executors that are back under their identifier and are separated from the leader for 5
    /// to 12 s soon after, from 0.2 to 3 s after their start. With any, executors that end do not close
    /// their connections, so that polls of them time out.
    pub cut_off_reborn: f64,
    /// Share of decisions whose commit takes 0.1 to 2 s.
    pub slow_commits: f64,
    /// Mean time between changes of the leader, in milliseconds; 0 for none.
    pub leader_change_interval_ms: u64,
    /// Mean time between network partitions of executors, in milliseconds; 0 for none.
    ///
    /// A partition separates one executor from the leader for 0.5 to 9 s.
    pub partition_interval_ms: u64,
    /// Mean time until a relay is paused, muted or restarted, in milliseconds; 0 for never.
    pub relay_fault_interval_ms: u64,
    /// Share of calls that take 0.3 to 3 s to their relay.
    pub late_relay_messages: f64,
    /// Share of runs of finite tasks that fail at their end, on any executor.
    pub failing_runs: f64,
    /// Share of jobs that their callers cancel, up to 2 s after the submission.
    pub cancelled_jobs: f64,
    /// Maximum share by which the clock of an executor runs slow.
    pub max_clock_drift: f64,
    /// Share of executors that fail every run that they start, from 1 s into the load to its end.
    pub failing_executors: f64,
    /// Share of executors on which work takes `slowdown` times as long, during the same time.
    pub slow_executors: f64,
    /// Factor on the duration of work on slow executors; a large one stalls their tasks.
    pub slowdown: u32,
    /// Mean time between changes of the capacity of executors, in milliseconds; 0 for none.
    ///
    /// The capacity shrinks to a third to two thirds and grows back after 2 to 8 s.
    pub capacity_change_interval_ms: u64,
    /// Share of jobs with one task that crashes each executor that starts it.
    pub crashing_jobs: f64,
    /// Mean time between executors that announce that they are leaving, in milliseconds; 0 for none.
    ///
    /// Such an executor ends after 6 to 10 s, whether or not its tasks have been moved.
    pub leave_interval_ms: u64,
    /// Share of executors that leave whose report that they end is held up, for 0.3 to 12 s; the
    /// others report it in time. Half of the reports name the incarnation. With 0.0, none reports
    /// its end.
    pub held_up_departures: f64,
    /// Share of announcements of executors that take 0.05 to 12 s.
    pub held_up_announcements: f64,
    /// Share by which estimates may be off in either direction; 0 for the usual 0.15.
    pub estimate_error: f64,
    /// Share of the runs of finite tasks that take seven times as long.
    pub long_runs: f64,
    /// Share of hosts whose executor crashes just before the first request for their upkeep, so
    /// that it is refused; the host has another executor after 0.3 to 0.9 s.
    pub crashes_before_upkeep: f64,
    /// Limits `crashing_jobs` to one queue and a part of the load; `None` for neither limit.
    pub crashing_limits: Option<CrashingLimits>,
}

/// Limits of the jobs that crash executors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashingLimits {
    /// Index of the queue whose jobs crash executors.
    pub queue: usize,
    /// Start and end of the submissions concerned, in milliseconds from the start of the load.
    pub submitted_ms: (u64, u64),
    /// Shortest and longest time until an executor is back that a task has crashed, in
    /// milliseconds.
    pub return_ms: (u64, u64),
}

impl Scenario {
    /// Creates a scenario with 10 s of load, 60 s to settle, and neither faults nor upkeep.
    pub const fn new(fleet: Fleet) -> Self {
        Self {
            fleet,
            load_ms: 10_000,
            settle_ms: 60_000,
            give_up_ms: 0,
            upkeep_window_ms: 0,
            upkeep_cap: 3,
            load_shedding: false,
            retries: false,
            sharing_workspaces: 0,
            greed: 1.0,
            relays: 0,
            relay_defect: None,
            fixed_load: false,
            shape: LoadShape::Once,
            pool_forecast: false,
            orders_per_s: 0,
            order: JobOrder::OnTimeFirst,
            defect: None,
            workspaces: 0,
            faults: Faults {
                delayed_orders: 0.0,
                late_orders_reach_successors: false,
                arbitrary_clocks: false,
                lost_answers: 0.0,
                crash_interval_ms: 0,
                reborn_executors: 0.0,
                cut_off_reborn: 0.0,
                slow_commits: 0.0,
                leader_change_interval_ms: 0,
                partition_interval_ms: 0,
                relay_fault_interval_ms: 0,
                late_relay_messages: 0.0,
                failing_runs: 0.0,
                cancelled_jobs: 0.0,
                max_clock_drift: 0.0,
                failing_executors: 0.0,
                slow_executors: 0.0,
                slowdown: 0,
                capacity_change_interval_ms: 0,
                crashing_jobs: 0.0,
                leave_interval_ms: 0,
                held_up_departures: 0.0,
                held_up_announcements: 0.0,
                estimate_error: 0.0,
                long_runs: 0.0,
                crashes_before_upkeep: 0.0,
                crashing_limits: None,
            },
        }
    }

    /// Sets the mean number of jobs per second of each queue; see [`QueueLoad::jobs_per_s`].
    ///
    /// [`QueueLoad::jobs_per_s`]: crate::QueueLoad::jobs_per_s
    #[must_use]
    pub fn jobs_per_s(mut self, rate: f64) -> Self {
        self.fleet
            .queues
            .iter_mut()
            .for_each(|queue| queue.jobs_per_s = rate);
        self
    }

    /// Sets the time for which callers submit jobs, in milliseconds.
    #[must_use]
    pub const fn load_ms(mut self, duration: u64) -> Self {
        self.load_ms = duration;
        self
    }

    /// Makes the callers' jobs depend only on the seed and not on the leader's decisions.
    #[must_use]
    pub const fn fixed_load(mut self) -> Self {
        self.fixed_load = true;
        self
    }

    /// Sets when queues surge.
    #[must_use]
    pub const fn shape(mut self, shape: LoadShape) -> Self {
        self.shape = shape;
        self
    }

    /// Lets the leader forecast the load of pools.
    #[must_use]
    pub const fn pool_forecast(mut self, enabled: bool) -> Self {
        self.pool_forecast = enabled;
        self
    }

    /// Sets the number of requests about hosts that the platform accepts per second.
    #[must_use]
    pub const fn orders_per_s(mut self, limit: u32) -> Self {
        self.orders_per_s = limit;
        self
    }

    /// Sets the order in which waiting jobs get free capacity.
    #[must_use]
    pub const fn order(mut self, order: JobOrder) -> Self {
        self.order = order;
        self
    }

    /// Sets whether the leader may shed load.
    #[must_use]
    pub const fn load_shedding(mut self, enabled: bool) -> Self {
        self.load_shedding = enabled;
        self
    }

    /// Lets callers whose jobs are refused submit them again.
    #[must_use]
    pub const fn retries(mut self) -> Self {
        self.retries = true;
        self
    }

    /// Adds workspaces of equal weight, of which the first sends `greed` times its usual load.
    #[must_use]
    pub const fn sharing_workspaces(mut self, count: u32, greed: f64) -> Self {
        self.sharing_workspaces = count;
        self.greed = greed;
        self
    }

    /// Returns the factor by which the first workspace's surplus raises the rate of jobs.
    pub(crate) fn greed_factor(&self) -> f64 {
        if self.sharing_workspaces == 0 {
            return 1.0;
        }
        1.0 + (self.greed - 1.0) / f64::from(self.sharing_workspaces)
    }

    /// Leaves out a guard of the leader, to show that the checks detect its absence.
    #[must_use]
    pub const fn defect(mut self, defect: Defect) -> Self {
        self.defect = Some(defect);
        self
    }

    /// Makes half of the hosts due for upkeep within 20 s from the start of the load.
    #[must_use]
    pub const fn upkeep(self) -> Self {
        self.upkeep_within(20_000)
    }

    /// Makes half of the hosts due for upkeep within `window` milliseconds from the start of the
    /// load.
    #[must_use]
    pub const fn upkeep_within(mut self, window: u64) -> Self {
        self.upkeep_window_ms = window;
        self
    }

    /// Lets relays carry the leader's calls to executors.
    #[must_use]
    pub const fn relays(mut self, count: usize) -> Self {
        self.relays = count;
        self
    }

    /// Leaves out a guard of the relays, to show that the checks detect its absence.
    #[must_use]
    pub const fn relay_defect(mut self, defect: RelayDefect) -> Self {
        self.relay_defect = Some(defect);
        self
    }

    /// Sets the maximum number of hosts in upkeep at the same time.
    #[must_use]
    pub const fn upkeep_cap(mut self, cap: u32) -> Self {
        self.upkeep_cap = cap;
        self
    }

    /// Divides the jobs between workspaces, whose keys and quotas change during the load.
    #[must_use]
    pub const fn workspaces(mut self, count: usize) -> Self {
        self.workspaces = count;
        self
    }

    /// Sets the faults to inject.
    #[must_use]
    pub const fn faults(mut self, faults: Faults) -> Self {
        self.faults = faults;
        self
    }
}
