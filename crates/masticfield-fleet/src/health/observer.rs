//! Builds complete observations from incremental platform reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{HostHealth, HostObservation, Observation, TaskObservation};
use masticfield_core::platform::{TaskReport, WorkerReport, WorkerReports};

/// Time for which the report of an ended task is kept.
const ENDED_TASK_RETENTION: Duration = Duration::from_mins(10);

/// Keeps the latest report of each worker and task.
#[derive(Debug, Clone, Default)]
pub struct Observer {
    cursor: u64,
    workers: BTreeMap<Arc<str>, WorkerState>,
    /// Latest report by job, index and attempt, with its time of arrival.
    tasks: BTreeMap<(Arc<str>, u32, u32), (TaskReport, Duration)>,
}

#[derive(Debug, Clone)]
struct WorkerState {
    report: WorkerReport,
    /// When the worker was first reported unhealthy since it was last healthy.
    unhealthy_since: Option<Duration>,
}

impl Observer {
    /// Creates an observer without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Cursor for the next request of reports from the platform.
    pub const fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Records reports that arrived at `now`; they may be out of order or duplicated.
    pub fn record(&mut self, now: Duration, reports: WorkerReports) {
        self.cursor = self.cursor.max(reports.cursor);
        for report in reports.workers {
            self.record_worker(now, report);
        }
        for report in reports.tasks {
            let id = (Arc::clone(&report.job), report.index, report.attempt);
            let ended = self
                .tasks
                .get(&id)
                .is_some_and(|(last, _)| !last.phase.holds_resources());
            if !ended || !report.phase.holds_resources() {
                self.tasks.insert(id, (report, now));
            }
        }
        self.tasks.retain(|_, (report, received_at)| {
            report.phase.holds_resources() || now < *received_at + ENDED_TASK_RETENTION
        });
    }

    /// The latest report of every worker and task, as of `now`.
    pub fn observation(&self, now: Duration) -> Observation {
        Observation {
            hosts: self
                .workers
                .values()
                .map(|worker| worker.observation(now))
                .collect(),
            tasks: self
                .tasks
                .values()
                .map(|(report, received_at)| {
                    task_observation(report, now.saturating_sub(*received_at))
                })
                .collect(),
        }
    }

    fn record_worker(&mut self, now: Duration, report: WorkerReport) {
        let last = self.workers.get(&report.host);
        // A report from before the latest known reboot arrived late.
        if last.is_some_and(|last| last.report.reboots > report.reboots) {
            return;
        }
        let unhealthy = report.health != HostHealth::Healthy;
        let since = last.and_then(|last| last.unhealthy_since).unwrap_or(now);
        let unhealthy_since = unhealthy.then_some(since);
        let host = Arc::clone(&report.host);
        self.workers.insert(
            host,
            WorkerState {
                report,
                unhealthy_since,
            },
        );
    }
}

impl WorkerState {
    fn observation(&self, now: Duration) -> HostObservation {
        let report = &self.report;
        HostObservation {
            host: Arc::clone(&report.host),
            health: report.health,
            drained: report.drained,
            silent_for: self
                .unhealthy_since
                .map_or(Duration::ZERO, |since| now.saturating_sub(since)),
            reboots: report.reboots,
        }
    }
}

/// Converts a report received `age` ago; a running task has run on since.
fn task_observation(report: &TaskReport, age: Duration) -> TaskObservation {
    let is_running = report.phase.holds_resources();
    TaskObservation {
        job: Arc::clone(&report.job),
        index: report.index,
        attempt: report.attempt,
        host: Arc::clone(&report.host),
        phase: report.phase,
        usage: report.usage,
        running_for: report.running_for + if is_running { age } else { Duration::ZERO },
    }
}
