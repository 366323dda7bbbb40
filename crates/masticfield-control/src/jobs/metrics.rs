//! Metrics of jobs, runs, calls and commits.

use std::time::Duration;

use masticfield_jobs::leader::{CallError, HostError, Leader, Moment, Reply};
use masticfield_jobs::state::JobPhase;
use masticfield_replica::ReplicaStatus;
use prometheus::core::Collector;
use prometheus::{
    CounterVec, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, exponential_buckets,
};

use super::work_times::WorkTimes;
use super::{OperatorOutcome, OperatorRequestKind};

/// Maximum number of pools with gauges of their own, as a configuration may have any number.
const MAX_POOLS: usize = 64;

/// Maximum number of labels of workspaces, with [`OTHER_WORKSPACES`].
const MAX_WORKSPACES: usize = 64;

/// Label of the workspaces beyond the maximum, by name, whose values are added up.
const OTHER_WORKSPACES: &str = "other";

/// Metrics of jobs, runs, calls and commits.
///
/// The leader counts jobs and runs when their commands are committed, so that proposals that a
/// former leader lost are not counted.
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
    replies: IntCounterVec,
    job_wait: Histogram,
    jobs: HistogramVec,
    runs: HistogramVec,
    commits: Histogram,
    syncs: Histogram,
    executor_calls: HistogramVec,
    relayed_calls: IntCounterVec,
    host_calls: IntCounterVec,
    operator_requests: HistogramVec,
    failed_jobs: IntCounterVec,
    executor_crashes: IntCounter,
    state_differences: IntCounter,
    pub(super) work: CounterVec,
    is_leader: IntGauge,
    storage: IntGaugeVec,
    config_version: IntGauge,
    pools: IntGaugeVec,
    workspaces: IntGaugeVec,
    fairness: Gauge,
}

impl JobMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails if a metric of the same name is already registered.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            replies: IntCounterVec::new(
                Opts::new(
                    "masticfield_job_answers_total",
                    "Answers to what was asked of the leading replica",
                ),
                &["answer"],
            )?,
            job_wait: Histogram::with_opts(seconds(
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
            commits: Histogram::with_opts(seconds(
                "masticfield_commit_seconds",
                "Time until a decision is durable on a majority of the replicas",
            )?)?,
            syncs: Histogram::with_opts(seconds(
                "masticfield_sync_seconds",
                "Time of a sync of the log",
            )?)?,
            executor_calls: HistogramVec::new(
                seconds("masticfield_executor_call_seconds", "Calls to executors")?,
                &["call", "outcome"],
            )?,
            relayed_calls: IntCounterVec::new(
                Opts::new(
                    "masticfield_relayed_calls_total",
                    "Calls to executors whose results entries have returned",
                ),
                &["call", "outcome"],
            )?,
            host_calls: IntCounterVec::new(
                Opts::new(
                    "masticfield_host_calls_total",
                    "Calls to the platform about hosts",
                ),
                &["call", "outcome"],
            )?,
            operator_requests: register_operator_requests(registry)?,
            failed_jobs: failed_jobs()?,
            executor_crashes: IntCounter::new(
                "masticfield_executor_crashes_total",
                "Executors that ended without notice while they ran tasks of open jobs",
            )?,
            state_differences: IntCounter::new(
                "masticfield_state_differences_total",
                "Decisions that changed nothing when they were committed; each is a fault",
            )?,
            work: WorkTimes::register(registry)?,
            is_leader: IntGauge::new("masticfield_leads", "Whether this replica leads")?,
            storage: register_storage(registry)?,
            config_version: IntGauge::new(
                "masticfield_queues_version",
                "Version of the configuration in force",
            )?,
            pools: pool_gauges()?,
            workspaces: workspace_gauges()?,
            fairness: Gauge::new(
                "masticfield_workspace_fairness",
                "Jain's index of the served part of the jobs of each workspace",
            )?,
        };
        let all: [Box<dyn Collector>; 17] = [
            Box::new(metrics.failed_jobs.clone()),
            Box::new(metrics.relayed_calls.clone()),
            Box::new(metrics.executor_crashes.clone()),
            Box::new(metrics.state_differences.clone()),
            Box::new(metrics.replies.clone()),
            Box::new(metrics.job_wait.clone()),
            Box::new(metrics.jobs.clone()),
            Box::new(metrics.runs.clone()),
            Box::new(metrics.commits.clone()),
            Box::new(metrics.syncs.clone()),
            Box::new(metrics.executor_calls.clone()),
            Box::new(metrics.host_calls.clone()),
            Box::new(metrics.is_leader.clone()),
            Box::new(metrics.config_version.clone()),
            Box::new(metrics.fairness.clone()),
            Box::new(metrics.pools.clone()),
            Box::new(metrics.workspaces.clone()),
        ];
        for metric in all {
            registry.register(metric)?;
        }
        Ok(metrics)
    }

    /// Counts a reply to a request.
    pub(super) fn count_reply(&self, reply: &Reply) {
        self.replies.with_label_values(&[reply.name()]).inc();
    }

    /// Counts a command that changed nothing when it was committed.
    pub(super) fn count_state_difference(&self) {
        self.state_differences.inc();
    }

    /// Records how long a job waited for its first task to start.
    pub(super) fn count_executor_crash(&self) {
        self.executor_crashes.inc();
    }

    pub(super) fn observe_job_wait(&self, waited: Duration) {
        self.job_wait.observe(waited.as_secs_f64());
    }

    /// Records the duration of a run that has ended.
    pub(super) fn observe_run(&self, end: &str, duration: Duration) {
        let histogram = self.runs.with_label_values(&[end]);
        histogram.observe(duration.as_secs_f64());
    }

    /// Records the duration of a job that has ended, from its acceptance on.
    pub(super) fn observe_job(&self, phase: JobPhase, duration: Duration) {
        let histogram = self.jobs.with_label_values(&[phase.name()]);
        histogram.observe(duration.as_secs_f64());
    }

    /// Counts a job that has failed.
    pub(super) fn count_failed_job(&self, reason: &str) {
        self.failed_jobs.with_label_values(&[reason]).inc();
    }

    /// Records the time from a proposal to its commit by a majority of the replicas.
    pub(super) fn observe_commit(&self, duration: Duration) {
        self.commits.observe(duration.as_secs_f64());
    }

    /// Records the duration of a sync of the log to disk.
    pub fn observe_sync(&self, duration: Duration) {
        self.syncs.observe(duration.as_secs_f64());
    }

    /// Records the duration and the outcome of a call to an executor.
    ///
    /// `call` is the kind of call: `start`, `stop` or `hold`.
    pub fn observe_executor_call(
        &self,
        call: &'static str,
        duration: Duration,
        outcome: Result<(), CallError>,
    ) {
        let labels = [call, outcome_name(outcome)];
        let histogram = self.executor_calls.with_label_values(&labels);
        histogram.observe(duration.as_secs_f64());
    }

    /// Counts a call to an executor whose result a relay has returned.
    pub(super) fn count_relayed_call(&self, call: &'static str, outcome: Result<(), CallError>) {
        let labels = [call, outcome_name(outcome)];
        self.relayed_calls.with_label_values(&labels).inc();
    }

    /// Counts a call to the platform about hosts by its outcome.
    ///
    /// `call` is the kind of call: `list`, `move` or `upkeep`.
    pub fn count_host_call(&self, call: &'static str, outcome: Result<(), HostError>) {
        let outcome = outcome.map_or_else(HostError::name, |()| "done");
        self.host_calls.with_label_values(&[call, outcome]).inc();
    }

    /// Records the time from the receipt of a request of an operator to its outcome.
    pub(super) fn observe_operator_request(
        &self,
        kind: OperatorRequestKind,
        outcome: OperatorOutcome,
        duration: Duration,
    ) {
        let labels = [kind.name(), outcome.name()];
        let histogram = self.operator_requests.with_label_values(&labels);
        histogram.observe(duration.as_secs_f64());
    }

    /// Sets the gauges; those of the pools exist only while this replica leads.
    pub(super) fn update_gauges(
        &self,
        now: Moment,
        version: u64,
        leader: Option<&Leader>,
        status: ReplicaStatus,
    ) {
        let storage = [
            ("no-space", status.lacks_space),
            ("majority-without-space", status.majority_lacks_space),
            ("early-snapshots", status.needs_compaction),
        ];
        for (what, value) in storage {
            let gauge = self.storage.with_label_values(&[what]);
            gauge.set(i64::from(value));
        }
        self.is_leader.set(i64::from(leader.is_some()));
        self.config_version.set(gauge_value(version));
        self.pools.reset();
        self.workspaces.reset();
        let Some(leader) = leader else {
            return;
        };
        self.fairness.set(leader.fairness_index());
        for (pool, stats) in leader.pool_stats(now).into_iter().take(MAX_POOLS) {
            let values = [
                ("jobs-waiting", stats.jobs_waiting),
                ("executors", stats.executors),
                ("executors-usable", stats.usable),
                ("executors-suspended", stats.suspended),
                ("cpu-milli-used", stats.used.cpu_milli),
                ("cpu-milli", stats.capacity.cpu_milli),
                ("shortest-lease-ms", stats.shortest_lease_ms),
                ("jobs-delayed", stats.shed.delayed),
                ("jobs-yielding", stats.shed.yielding),
                ("jobs-refused-late", stats.shed.refused_late),
                ("jobs-refused-for-others", stats.shed.refused_for_others),
            ];
            for (what, value) in values {
                let gauge = self.pools.with_label_values(&[&pool, what]);
                gauge.set(gauge_value(value));
            }
        }
        self.update_workspaces(leader);
    }

    fn update_workspaces(&self, leader: &Leader) {
        let all = leader.workspace_stats();
        for (index, (workspace, stats)) in all.into_iter().enumerate() {
            let own_label = index + 1 < MAX_WORKSPACES;
            let workspace = if own_label {
                &*workspace
            } else {
                OTHER_WORKSPACES
            };
            let values = [
                ("cpu-milli-running", stats.running.cpu_milli),
                ("memory-mb-running", stats.running.memory_mb),
                ("gpus-running", stats.running.gpus),
                ("cpu-milli-quota", stats.quota.cpu_milli),
                ("memory-mb-quota", stats.quota.memory_mb),
                ("gpus-quota", stats.quota.gpus),
                ("jobs-waiting", stats.jobs_waiting),
                ("jobs-refused", stats.jobs_refused),
            ];
            for (what, value) in values {
                let gauge = self.workspaces.with_label_values(&[workspace, what]);
                gauge.add(gauge_value(value));
            }
        }
    }
}

fn workspace_gauges() -> Result<IntGaugeVec, prometheus::Error> {
    let opts = Opts::new(
        "masticfield_workspace",
        "Running resources, quota, and jobs that wait or were refused, by workspace",
    );
    IntGaugeVec::new(opts, &["workspace", "what"])
}

fn failed_jobs() -> Result<IntCounterVec, prometheus::Error> {
    let opts = Opts::new(
        "masticfield_failed_jobs_total",
        "Jobs that have failed, by the reason: `attempts` of a task that are used up, or `crashes` of \
         the executors that started a task",
    );
    IntCounterVec::new(opts, &["reason"])
}

/// Creates the gauges of the pools.
fn pool_gauges() -> Result<IntGaugeVec, prometheus::Error> {
    let help = "Jobs that wait, executors, and thousandths of cores, by pool";
    IntGaugeVec::new(Opts::new("masticfield_pool", help), &["pool", "what"])
}

/// Options of a histogram of durations from 1 ms to half a minute.
fn seconds(name: &str, help: &str) -> Result<HistogramOpts, prometheus::Error> {
    let buckets = exponential_buckets(0.001, 2.0, 16)?;
    Ok(HistogramOpts::new(name, help).buckets(buckets))
}

/// Creates and registers the durations of requests of operators.
fn register_operator_requests(registry: &Registry) -> Result<HistogramVec, prometheus::Error> {
    let help = "Time from the receipt of a request of an operator to the response";
    let opts = seconds("masticfield_operator_request_seconds", help)?;
    let requests = HistogramVec::new(opts, &["request", "outcome"])?;
    registry.register(Box::new(requests.clone()))?;
    Ok(requests)
}

/// Creates and registers the gauges of the storage.
fn register_storage(registry: &Registry) -> Result<IntGaugeVec, prometheus::Error> {
    let help = "Whether the data folder lacks space, whether those of a majority do (as known to \
                the leader), and whether snapshots are taken early";
    let storage = IntGaugeVec::new(Opts::new("masticfield_storage", help), &["what"])?;
    registry.register(Box::new(storage.clone()))?;
    Ok(storage)
}

/// Returns the name of the outcome of a call to an executor.
const fn outcome_name(outcome: Result<(), CallError>) -> &'static str {
    match outcome {
        Ok(()) => "done",
        Err(CallError::Unknown) => "unknown",
        Err(CallError::OtherIncarnation) => "other-life",
        Err(CallError::Rejected(rejection)) => rejection.name(),
    }
}

/// Converts a value to a gauge's type, which it saturates.
fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
