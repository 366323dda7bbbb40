//! The model of an executor.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use masticfield_jobs::job::{Resources, RunId};
use masticfield_jobs::leader::{HoldReport, ListedEnd, ListedRun, Rejection};
use masticfield_jobs::state::{EndKind, ExecutorIncarnation};

/// Longest lease that an executor grants, in milliseconds.
const MAX_LEASE_MS: u64 = 10_000;

/// Ends that one answer lists, at most.
const MAX_LISTED: usize = 500;

/// One life of an executor.
#[derive(Debug, Clone)]
pub(crate) struct Executor {
    pub(crate) life: ExecutorIncarnation,
    pub(crate) up: bool,
    pub(crate) cut_until: u64,
    pub(crate) host: usize,
    pub(crate) conduct: Conduct,
    pub(crate) sequence: u64,
    started: u64,
    /// Share of true time that its clock counts.
    rate: f64,
    fence: u64,
    deadline: u64,
    pub(crate) running: BTreeMap<RunId, Running>,
    ended: BTreeSet<RunId>,
    highest: BTreeMap<masticfield_jobs::job::TaskId, u32>,
    finished: Vec<ListedEnd>,
    last_end: u64,
}

/// How an executor treats what it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Conduct {
    /// As it should.
    Sound,
    /// It fails all that it starts.
    Fails,
    /// Work takes so many times as long.
    Slow(u32),
}

/// A run under way.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Running {
    pub(crate) need: Resources,
    pub(crate) began: u64,
    /// When it ends by itself; none if it lasts.
    pub(crate) ends: Option<u64>,
    pub(crate) fails: bool,
}

impl Conduct {
    /// How much longer work takes.
    pub(crate) fn factor(self) -> u64 {
        match self {
            Self::Sound | Self::Fails => 1,
            Self::Slow(factor) => u64::from(factor),
        }
    }
}

impl Running {
    /// Progress as executors list it; 100 for what lasts.
    fn percent(&self, now: u64) -> u32 {
        let Some(ends) = self.ends else {
            return 100;
        };
        let done = now.saturating_sub(self.began) * 100 / (ends - self.began).max(1);
        u32::try_from(done.min(99)).unwrap_or(99)
    }
}

impl Executor {
    pub(crate) fn new(life: ExecutorIncarnation, host: usize, now: u64, rate: f64) -> Self {
        Self {
            life,
            up: true,
            cut_until: 0,
            host,
            conduct: Conduct::Sound,
            sequence: 0,
            started: now,
            rate,
            fence: 0,
            deadline: 0,
            running: BTreeMap::new(),
            ended: BTreeSet::new(),
            highest: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
        }
    }

    /// What its clock shows.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "milliseconds of a simulated day"
    )]
    pub(crate) fn clock(&self, now: u64) -> u64 {
        ((now - self.started) as f64 * self.rate) as u64
    }

    pub(crate) fn used(&self) -> Resources {
        let runs = self.running.values();
        runs.fold(Resources::default(), |used, run| {
            used.saturating_add(run.need)
        })
    }

    /// Takes a fence and a deadline; says whether the order counts.
    fn obey(&mut self, now: u64, fence: u64, deadline: Option<u64>) -> Result<(), Rejection> {
        if fence < self.fence {
            return Err(Rejection::Fence);
        }
        self.fence = fence;
        if let Some(deadline) = deadline {
            let most = self.clock(now) + MAX_LEASE_MS;
            self.deadline = self.deadline.max(deadline.min(most));
        }
        Ok(())
    }

    /// Starts a run; `true` if it is new there.
    pub(crate) fn start(
        &mut self,
        now: u64,
        fence: u64,
        deadline: u64,
        run: RunId,
        begin: Running,
    ) -> Result<bool, Rejection> {
        self.obey(now, fence, Some(deadline))?;
        if self.running.contains_key(&run) {
            return Ok(false);
        }
        let highest = self.highest.get(&run.task).copied().unwrap_or_default();
        if run.number <= highest || self.ended.contains(&run) {
            return Err(Rejection::StaleRun);
        }
        if deadline <= self.clock(now) {
            return Err(Rejection::LeaseExpired);
        }
        self.running.insert(run, begin);
        Ok(true)
    }

    pub(crate) fn stop(&mut self, now: u64, fence: u64, run: RunId) -> Result<(), Rejection> {
        self.obey(now, fence, None)?;
        let highest = self.highest.entry(run.task).or_default();
        *highest = (*highest).max(run.number);
        if self.running.contains_key(&run) {
            self.end(run, EndKind::Stopped);
        }
        Ok(())
    }

    pub(crate) fn hold(
        &mut self,
        now: u64,
        fence: u64,
        deadline: Option<u64>,
        noted: u64,
    ) -> Result<HoldReport, Rejection> {
        self.obey(now, fence, deadline)?;
        self.finished.retain(|end| end.number > noted);
        Ok(HoldReport {
            clock_ms: self.clock(now),
            started_ms: Some(self.life.started_ms),
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
            finished: self.finished.iter().take(MAX_LISTED).cloned().collect(),
        })
    }

    /// Changes how it treats what it runs; what has begun goes on from where it is.
    pub(crate) fn behave(&mut self, now: u64, conduct: Conduct) {
        let before = std::mem::replace(&mut self.conduct, conduct);
        for run in self.running.values_mut() {
            if let Some(ends) = run.ends.as_mut().filter(|_| !run.fails) {
                let left = ends.saturating_sub(now) / before.factor();
                *ends = now + left * conduct.factor();
            }
        }
    }

    pub(crate) fn has_ends_after(&self, noted: u64) -> bool {
        self.finished.iter().any(|end| end.number > noted)
    }

    fn end(&mut self, run: RunId, how: EndKind) {
        self.running.remove(&run);
        self.ended.insert(run);
        let highest = self.highest.entry(run.task).or_default();
        *highest = (*highest).max(run.number);
        self.last_end += 1;
        self.finished.push(ListedEnd {
            number: self.last_end,
            run,
            kind: how,
            saved: (how == EndKind::Stopped).then(|| Arc::from("saved")),
        });
    }

    /// Ends what has done its work and what has no lease; returns the runs that are done.
    pub(crate) fn advance(&mut self, now: u64) -> Vec<RunId> {
        let over = self
            .running
            .iter()
            .filter(|(_, run)| run.ends.is_some_and(|ends| ends <= now));
        let over: Vec<_> = over.map(|(run, running)| (*run, running.fails)).collect();
        let mut done = Vec::new();
        for (run, fails) in over {
            if fails {
                self.end(run, EndKind::Failed);
            } else {
                done.push(run);
                self.end(run, EndKind::Done);
            }
        }
        if self.clock(now) > self.deadline {
            let all: Vec<_> = self.running.keys().copied().collect();
            for run in all {
                self.end(run, EndKind::Lapsed);
            }
        }
        done
    }
}
