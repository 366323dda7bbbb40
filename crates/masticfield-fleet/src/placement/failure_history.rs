//! History of which jobs failed on which hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use masticfield_core::fleet::{HostObservation, TaskObservation, TaskPhase};
use serde::{Deserialize, Serialize};

/// Distinct pairs of a job and a host on which a task of the job failed.
///
/// Repeated failures of a job on a host count once, so that neither retries of a job nor the
/// number of tasks on a host distort the attribution. A success or a reboot of the host clears
/// its failures.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureHistory {
    jobs_on: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    reboots: BTreeMap<Arc<str>, u64>,
}

impl FailureHistory {
    /// Number of distinct jobs that failed on a host at which the host is suspect.
    ///
    /// Also the number of hosts on which a job failed at which the job is at fault.
    pub const SUSPECT_THRESHOLD: usize = 3;

    /// Records the outcome of a task; a finished task clears the failure of its job on the host.
    pub fn record_task(&mut self, task: &TaskObservation) {
        match task.phase {
            TaskPhase::Failed => {
                let jobs = self.jobs_on.entry(Arc::clone(&task.host)).or_default();
                jobs.insert(Arc::clone(&task.job));
            }
            TaskPhase::Finished => {
                if let Some(jobs) = self.jobs_on.get_mut(&task.host) {
                    jobs.remove(&task.job);
                }
            }
            _ => {}
        }
    }

    /// Records the reboot count of a host; a new reboot clears the failures on the host.
    pub fn record_host(&mut self, host: &HostObservation) {
        let last = self.reboots.get_mut(&host.host);
        match last {
            Some(last) if *last < host.reboots => {
                *last = host.reboots;
                self.jobs_on.remove(&host.host);
            }
            Some(_) => {}
            None => drop(self.reboots.insert(Arc::clone(&host.host), host.reboots)),
        }
    }

    /// Whether a job has failed on a host and not succeeded there since.
    pub fn has_failed_on(&self, job: &str, host: &str) -> bool {
        self.jobs_on
            .get(host)
            .is_some_and(|jobs| jobs.contains(job))
    }

    /// Hosts on which at least [`Self::SUSPECT_THRESHOLD`] jobs failed, with the number of jobs.
    pub fn suspect_hosts(&self) -> impl Iterator<Item = (&Arc<str>, usize)> {
        let hosts = self.jobs_on.iter().map(|(host, jobs)| (host, jobs.len()));
        hosts.filter(|(_, jobs)| *jobs >= Self::SUSPECT_THRESHOLD)
    }

    /// Number of hosts on which a job failed, not counting suspect hosts.
    pub fn count_failing_hosts(&self, job: &str) -> usize {
        let hosts = self.jobs_on.values();
        let failed =
            hosts.filter(|jobs| jobs.len() < Self::SUSPECT_THRESHOLD && jobs.contains(job));
        failed.count()
    }
}
