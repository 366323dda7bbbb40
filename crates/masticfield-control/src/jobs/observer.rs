//! Counts what committed commands say of jobs and runs.

use std::collections::HashMap;
use std::time::Duration;

use masticfield_core::clock::boot_now;
use masticfield_jobs::job::{JobId, RunId};
use masticfield_jobs::state::{Command, EndKind, JobPhase, State};

use super::JobMetrics;

/// Counts what committed commands say of jobs and runs.
#[derive(Debug)]
pub(super) struct Observer {
    pub(super) metrics: JobMetrics,
    /// When the runs under way were placed.
    placed: HashMap<RunId, Duration>,
}

impl Observer {
    pub(super) fn new(metrics: JobMetrics) -> Self {
        Self {
            metrics,
            placed: HashMap::new(),
        }
    }

    /// Applies a command that this leadership has decided, and counts what it changes.
    pub(super) fn apply(&mut self, state: &mut State, command: Command, wall_ms: u64) {
        let open = open_job(state, &command);
        self.note(state, &command, wall_ms);
        let kind = command.name();
        if !state.apply(command) {
            // The leader only commits what changes its own copy of the state.
            log::error!(command = kind; "what was decided differs from what is committed");
            self.metrics.differs();
        }
        let ended = open.and_then(|job| state.job(job));
        if let Some(job) = ended.filter(|job| job.phase != JobPhase::Open) {
            let time = job.ended_ms.unwrap_or(wall_ms);
            let time = Duration::from_millis(time.saturating_sub(job.accepted_ms));
            self.metrics.job_ended(job.phase, time);
        }
    }

    fn note(&mut self, state: &State, command: &Command, wall_ms: u64) {
        match command {
            Command::Start { run, .. } => {
                self.placed.insert(*run, boot_now());
                if let Some(job) = state.job(run.task.job).filter(|job| !job.started) {
                    let waited = wall_ms.saturating_sub(job.accepted_ms);
                    self.metrics.begun(Duration::from_millis(waited));
                }
            }
            Command::End { run, kind: how, .. } => self.run_ended(*run, *how),
            Command::Retire { executor, .. } => {
                let runs = state.executor(*executor).map(|record| &record.runs);
                for run in runs.into_iter().flatten() {
                    self.run_ended(*run, EndKind::Gone);
                }
            }
            _ => {}
        }
    }

    fn run_ended(&mut self, run: RunId, how: EndKind) {
        if let Some(placed) = self.placed.remove(&run) {
            let time = boot_now().saturating_sub(placed);
            self.metrics.run_ended(how.name(), time);
        }
    }

    /// Forgets the runs of a leadership that is over.
    pub(super) fn step_down(&mut self) {
        self.placed.clear();
    }
}

/// The job that a command may end.
fn open_job(state: &State, command: &Command) -> Option<JobId> {
    let job = match command {
        Command::End { run, .. } => run.task.job,
        Command::Cancel { job, .. } => *job,
        _ => return None,
    };
    let open = state.job(job)?.phase == JobPhase::Open;
    open.then_some(job)
}
