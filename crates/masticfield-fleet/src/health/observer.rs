//! Builds the observation of a moment from reports of what changed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{HostHealth, HostObservation, Observation, TaskObservation};
use masticfield_core::platform::{TaskReport, WorkerReport, WorkerReports};

/// Time that the report of an ended task is kept.
const KEEP_ENDED: Duration = Duration::from_mins(10);

/// Keeps the latest report of each worker and task.
#[derive(Debug, Clone, Default)]
pub struct Observer {
    cursor: u64,
    workers: BTreeMap<Arc<str>, Seen>,
    tasks: BTreeMap<(Arc<str>, u32, u32), (TaskReport, Duration)>,
}

#[derive(Debug, Clone)]
struct Seen {
    report: WorkerReport,
    /// Since when it has not been reported as healthy.
    unwell_since: Option<Duration>,
}

impl Observer {
    /// Creates an observer that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The cursor to ask the platform with.
    pub const fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Takes reports that arrived at `now`, in any order and twice.
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
                .is_some_and(|(it, _)| !it.phase.holds_resources());
            if !ended || !report.phase.holds_resources() {
                self.tasks.insert(id, (report, now));
            }
        }
        self.tasks
            .retain(|_, (report, at)| report.phase.holds_resources() || now < *at + KEEP_ENDED);
    }

    /// What is known at `now`.
    pub fn observation(&self, now: Duration) -> Observation {
        Observation {
            hosts: self
                .workers
                .values()
                .map(|seen| seen.observation(now))
                .collect(),
            tasks: self
                .tasks
                .values()
                .map(|(report, at)| task(report, now.saturating_sub(*at)))
                .collect(),
        }
    }

    fn record_worker(&mut self, now: Duration, report: WorkerReport) {
        let before = self.workers.get(&report.host);
        if before.is_some_and(|seen| seen.report.reboots > report.reboots) {
            return;
        }
        let unwell = report.health != HostHealth::Healthy;
        let since = before.and_then(|seen| seen.unwell_since).unwrap_or(now);
        let unwell_since = unwell.then_some(since);
        let host = Arc::clone(&report.host);
        self.workers.insert(
            host,
            Seen {
                report,
                unwell_since,
            },
        );
    }
}

impl Seen {
    fn observation(&self, now: Duration) -> HostObservation {
        let report = &self.report;
        HostObservation {
            host: Arc::clone(&report.host),
            health: report.health,
            drained: report.drained,
            silent_for: self
                .unwell_since
                .map_or(Duration::ZERO, |since| now.saturating_sub(since)),
            reboots: report.reboots,
        }
    }
}

fn task(report: &TaskReport, age: Duration) -> TaskObservation {
    let runs = report.phase.holds_resources();
    TaskObservation {
        job: Arc::clone(&report.job),
        index: report.index,
        attempt: report.attempt,
        host: Arc::clone(&report.host),
        phase: report.phase,
        usage: report.usage,
        running_for: report.running_for + if runs { age } else { Duration::ZERO },
    }
}
