//! Which jobs failed on which hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use masticfield_core::fleet::{HostObservation, TaskObservation, TaskPhase};
use serde::{Deserialize, Serialize};

/// Distinct pairs of a job and a host on which a task of the job failed.
///
/// Many failures of one job on one host are one pair, so neither a job that is retried nor a
/// host that is busy looks worse than it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureHistory {
    jobs_on: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    reboots: BTreeMap<Arc<str>, u64>,
}

impl FailureHistory {
    /// Distinct jobs that make a host suspect, and distinct hosts that make a job suspect.
    pub const SUSPECT_THRESHOLD: usize = 3;

    /// Takes the phase of a task.
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

    /// Takes the reboots of a host; after one its failures are forgotten.
    pub fn record_host(&mut self, host: &HostObservation) {
        let known = self.reboots.get_mut(&host.host);
        match known {
            Some(known) if *known < host.reboots => {
                *known = host.reboots;
                self.jobs_on.remove(&host.host);
            }
            Some(_) => {}
            None => drop(self.reboots.insert(Arc::clone(&host.host), host.reboots)),
        }
    }

    /// Whether a job failed on a host.
    pub fn has_failed_on(&self, job: &str, host: &str) -> bool {
        self.jobs_on
            .get(host)
            .is_some_and(|jobs| jobs.contains(job))
    }

    /// Hosts on which many different jobs failed, with their number.
    pub fn suspect_hosts(&self) -> impl Iterator<Item = (&Arc<str>, usize)> {
        let hosts = self.jobs_on.iter().map(|(host, jobs)| (host, jobs.len()));
        hosts.filter(|(_, jobs)| *jobs >= Self::SUSPECT_THRESHOLD)
    }

    /// Number of hosts on which a job failed, leaving out those that fail everything.
    pub fn count_failing_hosts(&self, job: &str) -> usize {
        let hosts = self.jobs_on.values();
        let failed =
            hosts.filter(|jobs| jobs.len() < Self::SUSPECT_THRESHOLD && jobs.contains(job));
        failed.count()
    }
}
