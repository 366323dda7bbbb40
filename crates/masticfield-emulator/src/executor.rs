//! Simulated executors.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use masticfield_jobs::job::{Resources, RunId};
use masticfield_jobs::leader::{HoldReport, ListedEnd, ListedRun, Rejection};
use masticfield_jobs::state::{EndKind, ExecutorIncarnation};

/// Maximum time by which a call can extend the lease, in milliseconds.
const MAX_LEASE_MS: u64 = 10_000;

/// A simulated incarnation of an executor.
#[derive(Debug, Clone)]
pub(crate) struct Executor {
    pub(crate) incarnation: ExecutorIncarnation,
    pub(crate) up: bool,
    /// Time until which a network partition separates the executor from the leader.
    pub(crate) partitioned_until: u64,
    /// Time at which the latest network partition began.
    pub(crate) partitioned_since: u64,
    /// Whether the executor announces that it is leaving.
    pub(crate) leaving: bool,
    /// Index of the host.
    pub(crate) host: usize,
    pub(crate) health: Health,
    /// Number of the last announcement.
    pub(crate) sequence: u64,
    started: u64,
    /// Value at which the executor's clock started, in milliseconds.
    first_clock: u64,
    /// Rate of the executor's clock relative to simulated time.
    clock_rate: f64,
    /// Highest fence of a call; calls with a lower one are rejected.
    fence: u64,
    /// Whether a call for this incarnation was carried out.
    pub(crate) was_called: bool,
    /// End of the lease on the executor's clock, in milliseconds.
    deadline: u64,
    pub(crate) running: BTreeMap<RunId, ActiveRun>,
    ended: BTreeSet<RunId>,
    /// Highest number of a run of each task that has ended or was stopped; starts up to it are
    /// rejected.
    highest_ended: BTreeMap<masticfield_jobs::job::TaskId, u32>,
    /// Ends that the leader has not acknowledged, in order.
    unacknowledged: Vec<ListedEnd>,
    /// Number of the last end.
    last_end: u64,
    /// Numbers up to this one had ended when the lease expired last; acknowledging them counts for
    /// nothing.
    lapsed_ends: u64,
    /// Completed runs that were acknowledged and not taken yet.
    noted: Vec<RunId>,
    /// Former capacities, each with the time at which it ended.
    former_capacities: Vec<(u64, Resources)>,
}

/// Whether an executor works as it should.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Health {
    /// Runs take their usual time.
    Healthy,
    /// Every run that the executor starts fails soon.
    Failing,
    /// Runs take this many times as long.
    Slow(u32),
}

/// A run in progress on an executor.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ActiveRun {
    pub(crate) need: Resources,
    pub(crate) started: u64,
    /// Time at which the run ends by itself; `None` for a long-running task that does not fail.
    pub(crate) ends_at: Option<u64>,
    /// Whether the run fails when it ends.
    pub(crate) fails: bool,
}

impl Health {
    /// Returns the factor on the duration of runs.
    pub(crate) fn slowdown(self) -> u64 {
        match self {
            Self::Healthy | Self::Failing => 1,
            Self::Slow(factor) => u64::from(factor),
        }
    }
}

impl ActiveRun {
    /// Returns the progress in percent as executors report it; 100 for a long-running task.
    fn percent(&self, now: u64) -> u32 {
        let Some(ends_at) = self.ends_at else {
            return 100;
        };
        let done = now.saturating_sub(self.started) * 100 / (ends_at - self.started).max(1);
        u32::try_from(done.min(99)).unwrap_or(99)
    }
}

impl Executor {
    pub(crate) fn new(
        incarnation: ExecutorIncarnation,
        host: usize,
        now: u64,
        (first_clock, clock_rate): (u64, f64),
    ) -> Self {
        Self {
            incarnation,
            up: true,
            partitioned_until: 0,
            partitioned_since: 0,
            leaving: false,
            host,
            health: Health::Healthy,
            sequence: 0,
            started: now,
            first_clock,
            clock_rate,
            fence: 0,
            was_called: false,
            deadline: 0,
            running: BTreeMap::new(),
            ended: BTreeSet::new(),
            highest_ended: BTreeMap::new(),
            unacknowledged: Vec::new(),
            last_end: 0,
            lapsed_ends: 0,
            noted: Vec::new(),
            former_capacities: Vec::new(),
        }
    }

    /// Changes the capacity, which the next announcement shows.
    pub(crate) fn set_capacity(&mut self, now: u64, capacity: Resources) {
        let former = std::mem::replace(&mut self.incarnation.capacity, capacity);
        self.former_capacities.push((now, former));
    }

    /// Returns, for each resource, the largest capacity since a time.
    pub(crate) fn largest_capacity_since(&self, since: u64) -> Resources {
        let former = self.former_capacities.iter();
        let recent = former.filter(|(ended, _)| *ended >= since);
        recent.fold(self.incarnation.capacity, |most, (_, capacity)| {
            most.most(*capacity)
        })
    }

    /// Returns the executor's clock, in milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "milliseconds of a simulation"
    )]
    pub(crate) fn clock(&self, now: u64) -> u64 {
        self.first_clock + ((now - self.started) as f64 * self.clock_rate) as u64
    }

    /// Returns the resources that runs reserve.
    pub(crate) fn used(&self) -> Resources {
        let runs = self.running.values();
        runs.fold(Resources::default(), |used, run| {
            used.saturating_add(run.need)
        })
    }

    /// Returns the resources that runs reserve that do not end by themselves.
    pub(crate) fn used_by_long_running(&self) -> Resources {
        let runs = self.running.values().filter(|run| run.ends_at.is_none());
        runs.fold(Resources::default(), |used, run| {
            used.saturating_add(run.need)
        })
    }

    /// Checks the fence of a call, and extends the lease to `deadline` if given.
    fn accept_call(
        &mut self,
        now: u64,
        fence: u64,
        deadline: Option<u64>,
    ) -> Result<(), Rejection> {
        if fence < self.fence {
            return Err(Rejection::Fence);
        }
        self.fence = fence;
        if let Some(deadline) = deadline {
            let latest = self.clock(now) + MAX_LEASE_MS;
            self.deadline = self.deadline.max(deadline.min(latest));
        }
        Ok(())
    }

    /// Starts a run; returns `false` if it was already in progress.
    pub(crate) fn start(
        &mut self,
        now: u64,
        fence: u64,
        deadline: u64,
        run: RunId,
        active: ActiveRun,
    ) -> Result<bool, Rejection> {
        self.accept_call(now, fence, Some(deadline))?;
        if self.running.contains_key(&run) {
            return Ok(false);
        }
        let highest = self
            .highest_ended
            .get(&run.task)
            .copied()
            .unwrap_or_default();
        if run.number <= highest || self.ended.contains(&run) {
            return Err(Rejection::StaleRun);
        }
        if deadline <= self.clock(now) {
            return Err(Rejection::LeaseExpired);
        }
        self.running.insert(run, active);
        Ok(true)
    }

    /// Stops a run, and rejects later starts of it.
    pub(crate) fn stop(&mut self, now: u64, fence: u64, run: RunId) -> Result<(), Rejection> {
        self.accept_call(now, fence, None)?;
        let highest = self.highest_ended.entry(run.task).or_default();
        *highest = (*highest).max(run.number);
        if self.running.contains_key(&run) {
            self.end(run, EndKind::Stopped);
        }
        Ok(())
    }

    /// Renews the lease, forgets acknowledged ends, and reports runs and the other ends.
    pub(crate) fn hold(
        &mut self,
        now: u64,
        fence: u64,
        deadline: Option<u64>,
        last_acknowledged: u64,
    ) -> Result<HoldReport, Rejection> {
        self.accept_call(now, fence, deadline)?;
        let acknowledged = self
            .unacknowledged
            .extract_if(.., |end| end.number <= last_acknowledged);
        let done = acknowledged
            .filter(|end| end.kind == EndKind::Done && end.number > self.lapsed_ends)
            .map(|end| end.run);
        self.noted.extend(done);
        Ok(HoldReport {
            clock_ms: self.clock(now),
            started_ms: Some(self.incarnation.started_ms),
            running: self
                .running
                .iter()
                .map(|(run, running)| ListedRun {
                    run: *run,
                    saved: None,
                    percent: running.percent(now),
                    load: None,
                })
                .collect(),
            finished: self
                .unacknowledged
                .iter()
                .take(HoldReport::MAX_ENDS)
                .cloned()
                .collect(),
        })
    }

    /// Returns the completed runs that were acknowledged since the last call.
    ///
    /// Those are left out whose end was followed by the end of the lease.
    pub(crate) fn take_noted(&mut self) -> Vec<RunId> {
        std::mem::take(&mut self.noted)
    }

    /// Changes the health; the remaining time of runs changes with it, unless they are to fail.
    pub(crate) fn set_health(&mut self, now: u64, health: Health) {
        let previous = std::mem::replace(&mut self.health, health);
        for run in self.running.values_mut() {
            if let Some(ends_at) = run.ends_at.as_mut().filter(|_| !run.fails) {
                let remaining = ends_at.saturating_sub(now) / previous.slowdown();
                *ends_at = now + remaining * health.slowdown();
            }
        }
    }

    /// Returns whether there are ends with higher numbers.
    pub(crate) fn has_ends_after(&self, number: u64) -> bool {
        self.unacknowledged.iter().any(|end| end.number > number)
    }

    fn end(&mut self, run: RunId, end_kind: EndKind) {
        self.running.remove(&run);
        self.ended.insert(run);
        let highest = self.highest_ended.entry(run.task).or_default();
        *highest = (*highest).max(run.number);
        self.last_end += 1;
        self.unacknowledged.push(ListedEnd {
            number: self.last_end,
            run,
            kind: end_kind,
            saved: (end_kind == EndKind::Stopped).then(|| Arc::from("saved")),
        });
    }

    /// Ends the runs whose time is over, and all runs if the lease has expired.
    ///
    /// Returns the runs that completed or failed.
    pub(crate) fn advance(&mut self, now: u64) -> Vec<(RunId, EndKind)> {
        let over = self
            .running
            .iter()
            .filter(|(_, run)| run.ends_at.is_some_and(|ends_at| ends_at <= now));
        let over: Vec<_> = over.map(|(run, running)| (*run, running.fails)).collect();
        let mut ended = Vec::new();
        for (run, fails) in over {
            let kind = if fails {
                EndKind::Failed
            } else {
                EndKind::Done
            };
            ended.push((run, kind));
            self.end(run, kind);
        }
        if self.clock(now) > self.deadline {
            let all: Vec<_> = self.running.keys().copied().collect();
            for run in all {
                self.end(run, EndKind::Lapsed);
            }
            self.lapsed_ends = self.last_end;
        }
        ended
    }
}
