//! Sizes and run times learnt from usage.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Observation, TaskObservation, TaskPhase};
use masticfield_core::note::Resources;
use serde::{Deserialize, Serialize};

use super::FailureHistory;

/// Tasks whose usage is kept of a job.
const SAMPLES: usize = 64;

/// Samples from which the learnt size replaces the declared one.
const ENOUGH: usize = 3;

/// Share of tasks that the learnt size covers, in percent.
const QUANTILE: usize = 95;

/// What is learnt of each job.
///
/// A sample is the peak of one task's usage, as reported with a lag; the size of a job is a
/// high quantile of its samples.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedEstimates {
    jobs: BTreeMap<Arc<str>, Samples>,
    failures: FailureHistory,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Samples {
    peaks: VecDeque<((u32, u32), Resources)>,
    run_times: VecDeque<((u32, u32), Duration)>,
}

impl LearnedEstimates {
    /// The learnt size of one task of a job; none before there are enough samples.
    pub fn size(&self, job: &str) -> Option<Resources> {
        let samples = self.jobs.get(job).filter(|it| it.peaks.len() >= ENOUGH)?;
        let quantile = |of: fn(&Resources) -> u32| {
            let mut values: Vec<_> = samples.peaks.iter().map(|(_, peak)| of(peak)).collect();
            values.sort_unstable();
            values[rank(values.len())]
        };
        Some(Resources::new(
            quantile(|peak| peak.millicores),
            quantile(|peak| peak.memory_mb),
            quantile(|peak| peak.accelerators),
        ))
    }

    /// The learnt run time of one task of a job; none before there are enough samples.
    pub fn run_time(&self, job: &str) -> Option<Duration> {
        let samples = self
            .jobs
            .get(job)
            .filter(|it| it.run_times.len() >= ENOUGH)?;
        let mut times: Vec<_> = samples.run_times.iter().map(|(_, time)| *time).collect();
        times.sort_unstable();
        Some(times[rank(times.len())])
    }

    /// Which jobs failed on which hosts.
    pub const fn failures(&self) -> &FailureHistory {
        &self.failures
    }

    /// Takes the usage and the failures of an observation.
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
        // A throttled task shows less processor time than it needs.
        let measured = task.phase != TaskPhase::Throttled && task.usage != Resources::default();
        if measured {
            match samples.peaks.iter_mut().find(|(of, _)| *of == id) {
                Some((_, peak)) => *peak = largest(*peak, task.usage),
                None => push(&mut samples.peaks, (id, task.usage)),
            }
        }
        let known = samples.run_times.iter().any(|(of, _)| *of == id);
        if task.phase == TaskPhase::Finished && !known {
            push(&mut samples.run_times, (id, task.running_for));
        }
    }
}

fn push<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() == SAMPLES {
        samples.pop_front();
    }
    samples.push_back(sample);
}

fn rank(len: usize) -> usize {
    (len * QUANTILE).div_ceil(100).saturating_sub(1)
}

const fn largest(a: Resources, b: Resources) -> Resources {
    const fn max(a: u32, b: u32) -> u32 {
        if a > b { a } else { b }
    }
    Resources::new(
        max(a.millicores, b.millicores),
        max(a.memory_mb, b.memory_mb),
        max(a.accelerators, b.accelerators),
    )
}
