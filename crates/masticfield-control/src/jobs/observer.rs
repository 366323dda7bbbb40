//! Derives the metrics of jobs and runs from committed commands.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use masticfield_core::clock::boot_now;
use masticfield_jobs::job::{JobId, RunId};
use masticfield_jobs::state::{Command, EndKind, JobPhase, State};

use super::JobMetrics;

/// Derives the metrics of jobs and runs from committed commands while this replica leads.
#[derive(Debug)]
pub(super) struct Observer {
    pub(super) metrics: JobMetrics,
    /// Time at which each run in progress was placed.
    placed_at: HashMap<RunId, Duration>,
}

impl Observer {
    pub(super) fn new(metrics: JobMetrics) -> Self {
        Self {
            metrics,
            placed_at: HashMap::new(),
        }
    }

    /// Applies a command that this replica proposed as leader, and records what it changes.
    pub(super) fn apply(&mut self, state: &mut State, command: Command, wall_ms: u64) {
        let open = open_jobs(state, &command);
        self.record(state, &command, wall_ms);
        let kind = command.name();
        let reason = if matches!(
            command,
            Command::Crash { .. } | Command::ExecutorCrash { .. }
        ) {
            "crashes"
        } else {
            "attempts"
        };
        if !state.apply(command) {
            // The leader proposes only commands that change its own copy of the state.
            log::error!(command = kind; "a committed command did not change the state");
            self.metrics.count_state_difference();
        }
        let ended = open.into_iter().filter_map(|job| state.job(job));
        for job in ended.filter(|job| job.phase != JobPhase::Open) {
            let ended_ms = job.ended_ms.unwrap_or(wall_ms);
            let duration = Duration::from_millis(ended_ms.saturating_sub(job.accepted_ms));
            self.metrics.observe_job(job.phase, duration);
            if job.phase == JobPhase::Failed {
                self.metrics.count_failed_job(reason);
            }
        }
    }

    fn record(&mut self, state: &State, command: &Command, wall_ms: u64) {
        match command {
            Command::Start { run, .. } => {
                self.placed_at.insert(*run, boot_now());
            }
            Command::Begun { job } => {
                if let Some(job) = state.job(*job).filter(|job| !job.begun) {
                    let waited = wall_ms.saturating_sub(job.accepted_ms);
                    self.metrics.observe_job_wait(Duration::from_millis(waited));
                }
            }
            Command::End { run, kind, .. } => self.record_run_end(*run, *kind),
            Command::Crash { .. } | Command::ExecutorCrash { .. } => {
                self.metrics.count_executor_crash();
            }
            Command::Retire { executor, .. } => {
                let runs = state.executor(*executor).map(|record| &record.runs);
                for run in runs.into_iter().flatten() {
                    self.record_run_end(*run, EndKind::Gone);
                }
            }
            _ => {}
        }
    }

    fn record_run_end(&mut self, run: RunId, kind: EndKind) {
        if let Some(placed_at) = self.placed_at.remove(&run) {
            let duration = boot_now().saturating_sub(placed_at);
            self.metrics.observe_run(kind.name(), duration);
        }
    }

    /// Drops the runs in progress, whose end this replica may not observe any more.
    pub(super) fn step_down(&mut self) {
        self.placed_at.clear();
    }
}

/// The open jobs that a command may end.
fn open_jobs(state: &State, command: &Command) -> BTreeSet<JobId> {
    let jobs = match command {
        Command::End { run, .. } => BTreeSet::from([run.task.job]),
        Command::Cancel { job, .. } => BTreeSet::from([*job]),
        Command::Crash { runs, .. } | Command::ExecutorCrash { runs, .. } => {
            runs.iter().map(|run| run.run.task.job).collect()
        }
        _ => BTreeSet::new(),
    };
    let is_open = |job: &JobId| {
        let job = state.job(*job);
        job.is_some_and(|job| job.phase == JobPhase::Open)
    };
    jobs.into_iter().filter(is_open).collect()
}
