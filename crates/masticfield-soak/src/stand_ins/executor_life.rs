//! One life of an executor.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_jobs::job::{Resources, RunId, TaskId};
use masticfield_jobs::leader::{Announcement, HoldReport, ListedEnd, ListedRun, Rejection};
use masticfield_jobs::state::{EndKind, ExecutorIncarnation};

use crate::checker::{ExecutorNumber, Observation};
use crate::programs::MAX_LEASE_MS;

/// Maximum number of ends in one list.
const MAX_LISTED_ENDS: usize = 500;

/// A run in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct ActiveRun {
    pub(super) started: Instant,
    pub(super) ends_at: Instant,
    /// How the run ends.
    pub(super) kind: EndKind,
}

/// One life of an executor, from its start to its end.
#[derive(Debug)]
pub(super) struct ExecutorLife {
    pub(super) number: ExecutorNumber,
    pub(super) incarnation: ExecutorIncarnation,
    pub(super) leaving: bool,
    pub(super) sequence: u64,
    started: Instant,
    /// Rate of the executor's clock, which may be slow.
    clock_rate: f64,
    /// What the executor's clock showed at its start, in milliseconds.
    clock_offset: u64,
    fence: u64,
    /// End of the lease.
    lease_end: Option<Instant>,
    running: BTreeMap<RunId, ActiveRun>,
    /// Highest run of each task that has ended or was stopped here.
    highest: BTreeMap<TaskId, u32>,
    ends: Vec<ListedEnd>,
    last_end: u64,
}

impl ExecutorLife {
    pub(super) fn new(
        number: ExecutorNumber,
        incarnation: ExecutorIncarnation,
        clock_rate: f64,
        clock_offset: u64,
    ) -> Self {
        Self {
            number,
            incarnation,
            leaving: false,
            sequence: 0,
            started: Instant::now(),
            clock_rate,
            clock_offset,
            fence: 0,
            lease_end: None,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    pub(super) const fn capacity(&self) -> Resources {
        self.incarnation.capacity
    }

    /// The executor's clock, in milliseconds.
    pub(super) fn clock_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.started);
        let elapsed = Duration::from_secs_f64(elapsed.as_secs_f64() * self.clock_rate);
        self.clock_offset + u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    pub(super) const fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// The highest number of the runs in progress.
    pub(super) fn latest_run(&self) -> Option<u32> {
        self.running.keys().map(|run| run.number).max()
    }

    /// The next announcement.
    pub(super) fn announce(&mut self, now: Instant) -> Announcement {
        self.sequence += 1;
        Announcement {
            incarnation: self.incarnation.clone(),
            sequence: self.sequence,
            clock_ms: self.clock_ms(now),
            leaving: self.leaving,
        }
    }

    /// Ends the runs that are over, and all that run beyond the lease.
    pub(super) fn advance(&mut self, now: Instant, observed: &mut Vec<Observation>) {
        let expired = self.lease_end.filter(|lease_end| *lease_end <= now);
        let until = expired.unwrap_or(now);
        let mut over: Vec<_> = self
            .running
            .iter()
            .filter(|(_, active)| active.ends_at <= until)
            .map(|(run, active)| (active.ends_at, *run, active.kind))
            .collect();
        over.sort_by_key(|(ends_at, ..)| *ends_at);
        for (_, run, kind) in over {
            self.end(run, kind, observed);
        }
        if expired.is_none() {
            return;
        }
        self.lease_end = None;
        let executor = self.number;
        observed.push(Observation::LeaseExpired { executor });
        let running: Vec<_> = self.running.keys().copied().collect();
        for run in running {
            self.end(run, EndKind::Lapsed, observed);
        }
    }

    /// Begins a run, unless the order is rejected.
    pub(super) fn start(
        &mut self,
        now: Instant,
        (run, payload): (RunId, Arc<str>),
        (fence, deadline_ms): (u64, u64),
        active: ActiveRun,
        observed: &mut Vec<Observation>,
    ) -> Result<(), Rejection> {
        self.accept(now, fence, Some(deadline_ms))?;
        if self.running.contains_key(&run) {
            return Ok(());
        }
        let highest = self.highest.get(&run.task);
        if highest.is_some_and(|highest| run.number <= *highest) {
            return Err(Rejection::StaleRun);
        }
        if self.lease_end.is_none_or(|lease_end| lease_end <= now) {
            return Err(Rejection::LeaseExpired);
        }
        self.running.insert(run, active);
        observed.push(Observation::RunStarted {
            executor: self.number,
            run,
            payload,
        });
        Ok(())
    }

    /// Stops a run after a time, and rejects later starts of it.
    pub(super) fn stop(
        &mut self,
        now: Instant,
        run: RunId,
        fence: u64,
        takes: Duration,
    ) -> Result<(), Rejection> {
        self.accept(now, fence, None)?;
        let highest = self.highest.entry(run.task).or_default();
        *highest = (*highest).max(run.number);
        if let Some(active) = self.running.get_mut(&run)
            && now + takes < active.ends_at
        {
            active.ends_at = now + takes;
            active.kind = EndKind::Stopped;
        }
        Ok(())
    }

    /// Renews the lease and forgets acknowledged ends.
    pub(super) fn hold(
        &mut self,
        now: Instant,
        (fence, deadline_ms): (u64, Option<u64>),
        acknowledged: u64,
        observed: &mut Vec<Observation>,
    ) -> Result<(), Rejection> {
        self.accept(now, fence, deadline_ms)?;
        let mut forgotten = self.ends.iter().filter(|end| end.number <= acknowledged);
        if let Some(last) = forgotten.next_back() {
            observed.push(Observation::EndsAcknowledged {
                executor: self.number,
                up_to: last.number,
            });
        }
        self.ends.retain(|end| end.number > acknowledged);
        Ok(())
    }

    /// The lists of runs and ends.
    pub(super) fn report(&self, now: Instant) -> HoldReport {
        let running = self.running.iter().map(|(run, active)| ListedRun {
            run: *run,
            saved: None,
            percent: active.percent(now),
            load: None,
        });
        HoldReport {
            clock_ms: self.clock_ms(now),
            started_ms: Some(self.incarnation.started_ms),
            running: running.collect(),
            finished: self.ends.iter().take(MAX_LISTED_ENDS).cloned().collect(),
        }
    }

    /// Checks the fence of an order and extends the lease to a deadline on the executor's clock.
    fn accept(
        &mut self,
        now: Instant,
        fence: u64,
        deadline_ms: Option<u64>,
    ) -> Result<(), Rejection> {
        if fence < self.fence {
            return Err(Rejection::Fence);
        }
        self.fence = fence;
        if let Some(deadline_ms) = deadline_ms {
            let clock_ms = self.clock_ms(now);
            let left_ms = deadline_ms.saturating_sub(clock_ms).min(MAX_LEASE_MS);
            let left = Duration::from_millis(left_ms).as_secs_f64() / self.clock_rate;
            let lease_end = now + Duration::from_secs_f64(left);
            if left_ms > 0 {
                self.lease_end = self.lease_end.max(Some(lease_end));
            }
        }
        Ok(())
    }

    fn end(&mut self, run: RunId, kind: EndKind, observed: &mut Vec<Observation>) {
        self.running.remove(&run);
        let highest = self.highest.entry(run.task).or_default();
        *highest = (*highest).max(run.number);
        self.last_end += 1;
        self.ends.push(ListedEnd {
            number: self.last_end,
            run,
            kind,
            saved: None,
        });
        observed.push(Observation::RunEnded {
            executor: self.number,
            run,
            number: self.last_end,
            kind,
        });
    }
}

impl ActiveRun {
    /// Progress in percent.
    fn percent(&self, now: Instant) -> u32 {
        let total = self.ends_at.saturating_duration_since(self.started);
        let done = now.saturating_duration_since(self.started).as_millis() * 100;
        u32::try_from(done / total.as_millis().max(1)).map_or(99, |percent| percent.min(99))
    }
}
