//! Estimates of task sizes and run times, learned from usage.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Observation, TaskObservation, TaskPhase};
use masticfield_core::note::Resources;
use serde::{Deserialize, Serialize};

use super::FailureHistory;

/// Maximum number of samples kept for a job.
const MAX_SAMPLES: usize = 64;

/// Number of samples at which the estimate replaces the declared size.
const MIN_SAMPLES: usize = 3;

/// Quantile of the samples that is used as the estimate, in percent.
const QUANTILE_PERCENT: usize = 95;

/// Estimates of task sizes and run times, and the failure history, by job.
///
/// A sample is the peak usage of one attempt at a task, as reported with a delay. The estimate is
/// a high quantile of the latest samples.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedEstimates {
    jobs: BTreeMap<Arc<str>, Samples>,
    failures: FailureHistory,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Samples {
    /// Peak usage by task index and attempt.
    peaks: VecDeque<((u32, u32), Resources)>,
    /// Run times of finished tasks by task index and attempt.
    run_times: VecDeque<((u32, u32), Duration)>,
}

impl LearnedEstimates {
    /// Estimated size of a task of the job; `None` until there are enough samples.
    pub fn size(&self, job: &str) -> Option<Resources> {
        let samples = self
            .jobs
            .get(job)
            .filter(|samples| samples.peaks.len() >= MIN_SAMPLES)?;
        let quantile = |dimension: fn(&Resources) -> u32| {
            let mut values: Vec<_> = samples
                .peaks
                .iter()
                .map(|(_, peak)| dimension(peak))
                .collect();
            values.sort_unstable();
            values[quantile_index(values.len())]
        };
        Some(Resources::new(
            quantile(|peak| peak.millicores),
            quantile(|peak| peak.memory_mb),
            quantile(|peak| peak.accelerators),
        ))
    }

    /// Estimated run time of a task of the job; `None` until there are enough samples.
    pub fn run_time(&self, job: &str) -> Option<Duration> {
        let samples = self
            .jobs
            .get(job)
            .filter(|samples| samples.run_times.len() >= MIN_SAMPLES)?;
        let mut times: Vec<_> = samples.run_times.iter().map(|(_, time)| *time).collect();
        times.sort_unstable();
        Some(times[quantile_index(times.len())])
    }

    /// History of which jobs failed on which hosts.
    pub const fn failures(&self) -> &FailureHistory {
        &self.failures
    }

    /// Records the usage, outcomes and reboots of an observation.
    pub fn record(&mut self, observation: &Observation) {
        for task in &observation.tasks {
            self.record_task(task);
            self.failures.record_task(task);
        }
        for host in &observation.hosts {
            self.failures.record_host(host);
        }
    }

    fn record_task(&mut self, task: &TaskObservation) {
        let id = (task.index, task.attempt);
        if task.usage == Resources::default() && task.phase != TaskPhase::Finished {
            return;
        }
        if !self.jobs.contains_key(&task.job) {
            self.jobs.insert(Arc::clone(&task.job), Samples::default());
        }
        let Some(samples) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // A throttled task uses less processor time than it needs.
        let measured = task.phase != TaskPhase::Throttled && task.usage != Resources::default();
        if measured {
            match samples.peaks.iter_mut().find(|(sampled, _)| *sampled == id) {
                Some((_, peak)) => *peak = componentwise_max(*peak, task.usage),
                None => push_sample(&mut samples.peaks, (id, task.usage)),
            }
        }
        let is_recorded = samples.run_times.iter().any(|(sampled, _)| *sampled == id);
        if task.phase == TaskPhase::Finished && !is_recorded {
            push_sample(&mut samples.run_times, (id, task.running_for));
        }
    }
}

/// Adds a sample and drops the oldest one if there are too many.
fn push_sample<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() == MAX_SAMPLES {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// Index of the quantile in a sorted list of `len` samples.
fn quantile_index(len: usize) -> usize {
    (len * QUANTILE_PERCENT).div_ceil(100).saturating_sub(1)
}

const fn componentwise_max(a: Resources, b: Resources) -> Resources {
    const fn max(a: u32, b: u32) -> u32 {
        if a > b { a } else { b }
    }
    Resources::new(
        max(a.millicores, b.millicores),
        max(a.memory_mb, b.memory_mb),
        max(a.accelerators, b.accelerators),
    )
}
