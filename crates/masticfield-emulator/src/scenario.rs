//! What happens on a day.

use masticfield_jobs::leader::Defect;
use masticfield_jobs::schedule::JobOrder;

use crate::fleet::Fleet;

/// A day to play.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// The fleet and its load.
    pub fleet: Fleet,
    /// Length of the load, in milliseconds.
    pub load_ms: u64,
    /// Time after the load within which every job must have ended, in milliseconds.
    pub settle_ms: u64,
    /// Time in which half of the hosts are due for upkeep, in milliseconds; none if 0.
    pub upkeep_window_ms: u64,
    /// What goes wrong.
    pub faults: Faults,
    /// Whether callers send the same whatever is done with it, so that orders can be compared.
    pub fixed_load: bool,
    /// The rule by which waiting jobs get room.
    pub order: JobOrder,
    /// A guard of the leader that is left out.
    pub defect: Option<Defect>,
}

/// What goes wrong, as shares of calls or as mean times between events.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Faults {
    /// Share of orders without an answer that are carried out seconds later.
    pub delayed_orders: f64,
    /// Share of calls that are carried out and whose answer is lost.
    pub lost_answers: f64,
    /// Mean time between crashes of executors, in milliseconds; none if 0.
    pub crash_interval_ms: u64,
    /// Mean time between two changes of the leader, in milliseconds; none if 0.
    pub leader_change_interval_ms: u64,
    /// Mean time between two cuts of an executor, in milliseconds; none if 0.
    pub partition_interval_ms: u64,
    /// Share of runs that fail.
    pub failing_runs: f64,
    /// Share of jobs that are cancelled.
    pub cancelled_jobs: f64,
    /// Share by which executors' clocks are slow.
    pub max_clock_drift: f64,
    /// Share of executors that fail all that they start, from a second into the load to its end.
    pub failing_executors: f64,
    /// Share of executors on which work takes `slowdown` times as long, for the same time.
    pub slow_executors: f64,
    /// How much longer work takes there; tasks stand still with a large one.
    pub slowdown: u32,
}

impl Scenario {
    /// A day without faults.
    pub const fn new(fleet: Fleet) -> Self {
        Self {
            fleet,
            load_ms: 10_000,
            settle_ms: 60_000,
            upkeep_window_ms: 0,
            fixed_load: false,
            order: JobOrder::OnTimeFirst,
            defect: None,
            faults: Faults {
                delayed_orders: 0.0,
                lost_answers: 0.0,
                crash_interval_ms: 0,
                leader_change_interval_ms: 0,
                partition_interval_ms: 0,
                failing_runs: 0.0,
                cancelled_jobs: 0.0,
                max_clock_drift: 0.0,
                failing_executors: 0.0,
                slow_executors: 0.0,
                slowdown: 0,
            },
        }
    }

    /// Sets the mean rate of jobs of each queue.
    #[must_use]
    pub fn jobs_per_s(mut self, rate: f64) -> Self {
        self.fleet
            .queues
            .iter_mut()
            .for_each(|queue| queue.jobs_per_s = rate);
        self
    }

    /// Sets the length of the load, in milliseconds.
    #[must_use]
    pub const fn load_ms(mut self, duration: u64) -> Self {
        self.load_ms = duration;
        self
    }

    /// Lets callers send the same whatever is done with it.
    #[must_use]
    pub const fn fixed_load(mut self) -> Self {
        self.fixed_load = true;
        self
    }

    /// Sets the rule by which waiting jobs get room.
    #[must_use]
    pub const fn order(mut self, order: JobOrder) -> Self {
        self.order = order;
        self
    }

    /// Leaves out a guard of the leader, to show that the checks notice it.
    #[must_use]
    pub const fn defect(mut self, defect: Defect) -> Self {
        self.defect = Some(defect);
        self
    }

    /// Lets half of the hosts be due for upkeep from the start of the load on, in 20 s.
    #[must_use]
    pub const fn upkeep(self) -> Self {
        self.upkeep_within(20_000)
    }

    /// The same within a time in milliseconds.
    #[must_use]
    pub const fn upkeep_within(mut self, time: u64) -> Self {
        self.upkeep_window_ms = time;
        self
    }

    /// Sets what goes wrong.
    #[must_use]
    pub const fn faults(mut self, faults: Faults) -> Self {
        self.faults = faults;
        self
    }
}
