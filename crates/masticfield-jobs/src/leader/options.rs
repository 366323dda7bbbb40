//! Periods of the leader.

use std::time::Duration;

use crate::schedule::JobOrder;

/// Time by which a host is taken to be away longer than the platform says.
pub(super) const AWAY_MARGIN: Duration = Duration::from_millis(400);

/// Periods of the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderOptions {
    /// Time for which what runs on an executor may go on without news from the leader.
    pub lease: Duration,
    /// Longest time that an executor may be asked to wait for an end.
    pub max_wait: Duration,
    /// Time between two announcements of an executor.
    pub announce_every: Duration,
    /// Time for which the state of an ended job is kept.
    pub keep_ended: Duration,
    /// Longest time that a stop takes.
    pub stop_time: Duration,
    /// The rule by which waiting jobs get room.
    pub order: JobOrder,
    /// What is known of the platform's hosts, if it lets them be moved.
    pub hosts: Option<HostOptions>,
    /// A guard that is left out.
    #[doc(hidden)]
    pub defect: Option<Defect>,
}

/// A guard that is left out, to show that the checks notice it.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Tasks are placed as if nothing ran on the executor.
    PlaceWithoutCapacity,
    /// An order to start without an answer is taken for one that was not carried out.
    UnansweredNeverRan,
    /// Steps start before those that they depend on are done.
    StepsInAnyOrder,
    /// Leases are taken for over as soon as an executor does not answer.
    LapseAtOnce,
    /// A host that was refused is asked for again without being emptied.
    RepeatRefused,
    /// Orders about hosts that a former leader may still order about.
    HandoverAtOnce,
}

/// Periods of the platform's hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostOptions {
    /// Time from an order to move a host until it is back.
    pub move_time: Duration,
    /// Time from an order to begin upkeep until the host is back.
    pub upkeep_time: Duration,
    /// Time for which a new leader leaves hosts to the former one.
    pub handover: Duration,
}

impl HostOptions {
    /// Time after which no upkeep that a former leader has begun may last.
    pub(super) fn upkeep_over(&self) -> Duration {
        self.handover.max(self.upkeep_time + AWAY_MARGIN)
    }
}

impl LeaderOptions {
    /// Creates the options with a lease.
    pub const fn new(lease: Duration) -> Self {
        Self {
            lease,
            max_wait: Duration::from_secs(2),
            announce_every: Duration::from_millis(1_500),
            keep_ended: Duration::from_secs(150),
            stop_time: Duration::from_millis(500),
            order: JobOrder::OnTimeFirst,
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

    /// Leaves out a guard, to show that the checks notice it.
    #[doc(hidden)]
    #[must_use]
    pub const fn with_defect(mut self, defect: Option<Defect>) -> Self {
        self.defect = defect;
        self
    }

    /// Sets the rule by which waiting jobs get room.
    #[must_use]
    pub const fn order(mut self, order: JobOrder) -> Self {
        self.order = order;
        self
    }

    /// Sets the time that a stop may take.
    #[must_use]
    pub const fn stop_time(mut self, time: Duration) -> Self {
        self.stop_time = time;
        self
    }

    /// Lets hosts be moved and taken for upkeep.
    #[must_use]
    pub const fn hosts(mut self, hosts: HostOptions) -> Self {
        self.hosts = Some(hosts);
        self
    }

    /// Sets the time for which the state of an ended job is kept.
    #[must_use]
    pub const fn keep_ended(mut self, time: Duration) -> Self {
        self.keep_ended = time;
        self
    }
}
