//! Counters and histograms of jobs, their runs and what they wait for.

use std::time::Duration;

use masticfield_jobs::leader::{CallError, HostError, Leader, Moment, Reply};
use masticfield_jobs::state::JobPhase;
use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, exponential_buckets,
};

/// Pools that have gauges of their own, at most; a configuration may name any number.
const MAX_POOLS: usize = 64;

/// Counters and histograms of jobs, their runs and what they wait for.
///
/// The leading replica counts jobs and runs when their commands are committed, so that what a
/// former leader proposed and lost is not counted.
///
/// # Examples
///
/// ```
/// use masticfield_control::jobs::JobMetrics;
/// use prometheus::Registry;
///
/// let registry = Registry::new();
/// let metrics = JobMetrics::register(&registry)?;
/// metrics.observe_sync(std::time::Duration::from_millis(6));
/// assert!(registry.gather().iter().any(|family| family.name() == "masticfield_sync_seconds"));
/// # Ok::<(), prometheus::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct JobMetrics {
    answers: IntCounterVec,
    wait: Histogram,
    jobs: HistogramVec,
    runs: HistogramVec,
    commit: Histogram,
    sync: Histogram,
    calls: HistogramVec,
    host_calls: IntCounterVec,
    differences: IntCounter,
    leads: IntGauge,
    version: IntGauge,
    pools: IntGaugeVec,
}

impl JobMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails if a metric of the same name is registered.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let seconds = |name: &str, help: &str| -> Result<HistogramOpts, prometheus::Error> {
            let buckets = exponential_buckets(0.001, 2.0, 16)?;
            Ok(HistogramOpts::new(name, help).buckets(buckets))
        };
        let metrics = Self {
            answers: IntCounterVec::new(
                Opts::new(
                    "masticfield_job_answers_total",
                    "Answers to what was asked of the leading replica",
                ),
                &["answer"],
            )?,
            wait: Histogram::with_opts(seconds(
                "masticfield_job_wait_seconds",
                "Time from the acceptance of a job to the start of its first task",
            )?)?,
            jobs: HistogramVec::new(
                seconds(
                    "masticfield_job_seconds",
                    "Time from the acceptance of a job to its end",
                )?,
                &["end"],
            )?,
            runs: HistogramVec::new(
                seconds(
                    "masticfield_run_seconds",
                    "Time from the placing of a run to its end",
                )?,
                &["end"],
            )?,
            commit: Histogram::with_opts(seconds(
                "masticfield_commit_seconds",
                "Time until a decision is durable on a majority of the replicas",
            )?)?,
            sync: Histogram::with_opts(seconds(
                "masticfield_sync_seconds",
                "Time of a sync of the log",
            )?)?,
            calls: HistogramVec::new(
                seconds("masticfield_executor_call_seconds", "Calls to executors")?,
                &["call", "outcome"],
            )?,
            host_calls: IntCounterVec::new(
                Opts::new(
                    "masticfield_host_calls_total",
                    "Calls to the platform about hosts",
                ),
                &["call", "outcome"],
            )?,
            differences: IntCounter::new(
                "masticfield_state_differences_total",
                "Decisions that changed nothing when they were committed; each is a fault",
            )?,
            leads: IntGauge::new("masticfield_leads", "Whether this replica leads")?,
            version: IntGauge::new(
                "masticfield_queues_version",
                "Version of the configuration in force",
            )?,
            pools: IntGaugeVec::new(
                Opts::new(
                    "masticfield_pool",
                    "Jobs that wait, executors, and thousandths of cores, by pool",
                ),
                &["pool", "what"],
            )?,
        };
        let all: [Box<dyn Collector>; 12] = [
            Box::new(metrics.differences.clone()),
            Box::new(metrics.answers.clone()),
            Box::new(metrics.wait.clone()),
            Box::new(metrics.jobs.clone()),
            Box::new(metrics.runs.clone()),
            Box::new(metrics.commit.clone()),
            Box::new(metrics.sync.clone()),
            Box::new(metrics.calls.clone()),
            Box::new(metrics.host_calls.clone()),
            Box::new(metrics.leads.clone()),
            Box::new(metrics.version.clone()),
            Box::new(metrics.pools.clone()),
        ];
        for metric in all {
            registry.register(metric)?;
        }
        Ok(metrics)
    }

    /// Notes an answer to what was asked.
    pub(super) fn answered(&self, reply: &Reply) {
        self.answers.with_label_values(&[reply.name()]).inc();
    }

    /// Notes a decision that changed nothing when it was committed.
    pub(super) fn differs(&self) {
        self.differences.inc();
    }

    /// Notes that the first task of a job has started.
    pub(super) fn begun(&self, waited: Duration) {
        self.wait.observe(waited.as_secs_f64());
    }

    /// Notes the end of a run.
    pub(super) fn run_ended(&self, end: &str, time: Duration) {
        let histogram = self.runs.with_label_values(&[end]);
        histogram.observe(time.as_secs_f64());
    }

    /// Notes the end of a job.
    pub(super) fn job_ended(&self, phase: JobPhase, time: Duration) {
        let histogram = self.jobs.with_label_values(&[phase.name()]);
        histogram.observe(time.as_secs_f64());
    }

    /// Notes the time until a decision was durable on a majority.
    pub(super) fn committed(&self, time: Duration) {
        self.commit.observe(time.as_secs_f64());
    }

    /// Notes the time of a sync.
    pub fn observe_sync(&self, time: Duration) {
        self.sync.observe(time.as_secs_f64());
    }

    /// Notes a call to an executor.
    pub fn observe_executor_call(
        &self,
        call: &'static str,
        time: Duration,
        outcome: Result<(), CallError>,
    ) {
        let outcome = match outcome {
            Ok(()) => "done",
            Err(CallError::Unknown) => "unknown",
            Err(CallError::OtherIncarnation) => "other-life",
            Err(CallError::Rejected(why)) => why.name(),
        };
        let histogram = self.calls.with_label_values(&[call, outcome]);
        histogram.observe(time.as_secs_f64());
    }

    /// Notes a call to the platform about hosts.
    pub fn count_host_call(&self, call: &'static str, outcome: Result<(), HostError>) {
        let outcome = outcome.map_or_else(HostError::name, |()| "done");
        self.host_calls.with_label_values(&[call, outcome]).inc();
    }

    /// Shows who leads and what its pools hold.
    pub(super) fn show(&self, at: Moment, version: u64, leader: Option<&Leader>) {
        self.leads.set(i64::from(leader.is_some()));
        self.version.set(gauge(version));
        self.pools.reset();
        let Some(leader) = leader else {
            return;
        };
        for (pool, survey) in leader.pool_stats(at).into_iter().take(MAX_POOLS) {
            let values = [
                ("jobs-waiting", survey.jobs_waiting),
                ("executors", survey.executors),
                ("executors-usable", survey.usable),
                ("executors-suspended", survey.suspended),
                ("cpu-milli-used", survey.used.cpu_milli),
                ("cpu-milli", survey.capacity.cpu_milli),
                ("shortest-lease-ms", survey.shortest_lease_ms),
            ];
            for (what, value) in values {
                let gauge_of = self.pools.with_label_values(&[&pool, what]);
                gauge_of.set(gauge(value));
            }
        }
    }
}

fn gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
