//! Fleets and the load of their queues.

use std::sync::Arc;

use masticfield_jobs::job::{JobSpec, Resources, StepSpec};
use masticfield_jobs::queue::{KeyDigest, PoolConfig, QueueConfig, QueuesConfig, WorkspaceConfig};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::scenario::Scenario;

/// Longest estimate of a task unless the mean of its queue is longer, in milliseconds.
const LONGEST_TASK_MS: u64 = 5_000;

/// Failed runs of a task with which its job fails.
pub(crate) const MAX_ATTEMPTS: u32 = 3;

/// Hosts and queues, with a pool of hosts for each queue and a standby pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// Queues; each has a pool of its own.
    pub queues: Vec<QueueLoad>,
    /// Number of hosts in the standby pool.
    pub standby_hosts: u32,
    /// Processor capacity of a host, in thousandths of a core.
    pub host_cpu_milli: u64,
    /// Memory capacity of a host, in megabytes.
    pub host_memory_mb: u64,
}

/// A queue, its pool and the jobs that callers submit to it.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueLoad {
    /// Name of the queue, and of its pool.
    pub name: Arc<str>,
    /// Number of hosts in the pool at the start.
    pub hosts: u32,
    /// Mean number of jobs per second over the load.
    ///
    /// With four queues, each surges to 3.85 times the mean for a quarter of the load and falls to
    /// 0.05 times the mean otherwise. With fewer queues, all surge throughout.
    pub jobs_per_s: f64,
    /// Mean number of steps of a job.
    pub steps_per_job: f64,
    /// Mean number of tasks of a step.
    pub tasks_per_step: f64,
    /// Mean estimated duration of a task, in milliseconds.
    pub task_ms: f64,
    /// Mean processor demand of a task, in thousandths of a core.
    pub task_cpu_milli: f64,
    /// Mean memory demand of a task, in megabytes.
    pub task_memory_mb: f64,
    /// Priority of the queue, as in its configuration.
    pub priority: u32,
    /// Number of jobs with long-running tasks, which are submitted at the start.
    pub long_running_jobs: u32,
    /// Number of tasks of each of these jobs.
    pub long_running_tasks: u32,
    /// Processor demand of each of these tasks, in thousandths of a core.
    pub long_running_cpu_milli: u64,
    /// Memory demand of each of these tasks, in megabytes.
    pub long_running_memory_mb: u64,
}

impl Fleet {
    /// Returns a fleet of 11 hosts and two queues, for tests.
    pub fn small() -> Self {
        let queue = |name: &str, task_ms: f64| QueueLoad {
            name: name.into(),
            hosts: 4,
            jobs_per_s: 4.0,
            steps_per_job: 1.6,
            tasks_per_step: 4.0,
            task_ms,
            task_cpu_milli: 1_800.0,
            task_memory_mb: 3_000.0,
            priority: 0,
            long_running_jobs: 1,
            long_running_tasks: 5,
            long_running_cpu_milli: 2_600,
            long_running_memory_mb: 9_000,
        };
        Self {
            queues: vec![queue("short", 400.0), queue("long", 900.0)],
            standby_hosts: 3,
            host_cpu_milli: 16_000,
            host_memory_mb: 65_536,
        }
    }

    /// Returns the shape of the first users' fleet: 40 hosts, and four queues that surge in turn.
    pub fn vitoria() -> Self {
        Self::with_surges(
            [8, 9, 11, 12],
            [11.0, 1.33, 13.8, 1.62],
            (640.0, 1_700.0),
            (1.8, 3.8),
        )
    }

    /// Returns the shape of the second users' fleet: 41 hosts, and four queues that surge in turn.
    pub fn vulpescu() -> Self {
        Self::with_surges(
            [9, 9, 11, 12],
            [5.52, 0.817, 6.91, 1.0],
            (1_000.0, 2_100.0),
            (2.3, 5.0),
        )
    }

    /// Returns the shape of the users' large fleet: 456 hosts in four pools and 86 on standby, and
    /// hundreds of jobs with long-running tasks.
    pub fn large() -> Self {
        let mut fleet = Self::with_surges(
            [96, 108, 120, 132],
            [37.3, 7.59, 46.5, 9.26],
            (640.0, 1_300.0),
            (4.5, 9.8),
        );
        fleet.standby_hosts = 86;
        fleet.host_memory_mb = 65_536;
        for queue in &mut fleet.queues {
            queue.tasks_per_step = 8.0;
            queue.task_memory_mb = if queue.task_ms < 1_000.0 {
                6_000.0
            } else {
                13_000.0
            };
            queue.long_running_jobs = 50;
            queue.long_running_tasks = 24;
            queue.long_running_cpu_milli = 400;
            queue.long_running_memory_mb = 800;
        }
        fleet
    }

    /// Returns a quarter of the fleet of the users whose queues surge in turn to four to five times
    /// their mean load: 74 hosts and 14 on standby.
    pub fn surging() -> Self {
        let mut fleet = Self::with_surges(
            [16, 18, 19, 21],
            [8.2, 1.45, 9.8, 1.7],
            (590.0, 1_400.0),
            (2.3, 5.0),
        );
        fleet.standby_hosts = 14;
        fleet.host_cpu_milli = 24_000;
        for queue in &mut fleet.queues {
            queue.tasks_per_step = 8.0;
            queue.long_running_jobs = 3;
            queue.long_running_tasks = 8;
        }
        fleet
    }

    fn with_surges(
        hosts: [u32; 4],
        jobs_per_s: [f64; 4],
        (quick_ms, slow_ms): (f64, f64),
        (quick_cores, slow_cores): (f64, f64),
    ) -> Self {
        let queues = (0..4).map(|index: usize| {
            let quick = index.is_multiple_of(2);
            QueueLoad {
                name: format!("queue-{index}").into(),
                hosts: hosts[index],
                jobs_per_s: jobs_per_s[index],
                steps_per_job: if quick { 1.6 } else { 2.0 },
                tasks_per_step: if quick { 6.0 } else { 8.0 },
                task_ms: if quick { quick_ms } else { slow_ms },
                task_cpu_milli: 1_000.0 * if quick { quick_cores } else { slow_cores },
                task_memory_mb: if quick { 3_600.0 } else { 14_000.0 },
                priority: u32::from(!quick),
                long_running_jobs: 2,
                long_running_tasks: 5,
                long_running_cpu_milli: 2_600,
                long_running_memory_mb: 9_000,
            }
        });
        Self {
            queues: queues.collect(),
            standby_hosts: 8,
            host_cpu_milli: 32_000,
            host_memory_mb: 131_072,
        }
    }

    /// Multiplies the hosts and the job rates by `factor`.
    #[must_use]
    pub fn scaled(mut self, factor: u32) -> Self {
        self.standby_hosts *= factor;
        for queue in &mut self.queues {
            queue.hosts *= factor;
            queue.jobs_per_s *= f64::from(factor);
        }
        self
    }

    /// Returns the capacity of a host.
    pub(crate) const fn host_capacity(&self) -> Resources {
        Resources {
            cpu_milli: self.host_cpu_milli,
            memory_mb: self.host_memory_mb,
            gpus: 0,
        }
    }

    /// Returns the configuration of the queues and pools.
    pub fn config(&self) -> QueuesConfig {
        let pool = |name: &Arc<str>, standby| PoolConfig {
            name: Arc::clone(name),
            max_connections: 64,
            rejects_overload: false,
            standby,
        };
        let queues = self.queues.iter().map(|queue| QueueConfig {
            name: Arc::clone(&queue.name),
            authority: "fleet.example".into(),
            prefix: format!("/{}/", queue.name).into(),
            pool: Arc::clone(&queue.name),
            timeout_ms: 3_000,
            target_ms: 600,
            priority: queue.priority,
            max_attempts: MAX_ATTEMPTS,
            stretch: 1.6,
            advice: None,
            public: false,
        });
        let pools = self.queues.iter().map(|queue| pool(&queue.name, false));
        QueuesConfig {
            version: 1,
            queues: queues.collect(),
            pools: pools.chain([pool(&"standby".into(), true)]).collect(),
            limits: None,
            workspaces: None,
        }
    }
}

/// Returns the configuration of workspaces that share capacity; `None` without any.
///
/// `surge` is the factor on the mean rate of a queue that surges.
pub(crate) fn sharing_workspaces(scenario: &Scenario, surge: f64) -> Option<Vec<WorkspaceConfig>> {
    let rates = scenario.fleet.queues.iter().map(|queue| queue.jobs_per_s);
    let mean: f64 = rates.sum();
    let always = scenario.fleet.queues.len() < 4;
    let total = if always { mean * surge } else { mean };
    let configs = (0..scenario.sharing_workspaces).map(|index| WorkspaceConfig {
        name: format!("workspace-{index}").into(),
        keys: workspace_key(index).into_iter().collect(),
        weight: total / f64::from(scenario.sharing_workspaces),
        quota: Resources::default(),
    });
    (scenario.sharing_workspaces > 0).then(|| configs.collect())
}

/// Returns the digest of a workspace's key.
pub(crate) fn workspace_key(index: u32) -> Option<KeyDigest> {
    KeyDigest::new(&format!("key-{index}")).ok()
}

impl QueueLoad {
    /// Returns a random job of this queue, with steps that run one after the other.
    pub(crate) fn job(&self, rng: &mut ChaCha8Rng) -> JobSpec {
        let longest = round_to_u64(self.task_ms).max(LONGEST_TASK_MS);
        let steps = round_to_u64(spread(rng, self.steps_per_job, 0.4)).clamp(1, 5);
        let steps = (0..steps).map(|number| StepSpec {
            count: u32::try_from(round_to_u64(spread(rng, self.tasks_per_step, 0.6)))
                .unwrap_or(1)
                .clamp(1, 32),
            need: Resources {
                cpu_milli: round_to_u64(spread(rng, self.task_cpu_milli, 0.45)).clamp(100, 12_000),
                memory_mb: round_to_u64(spread(rng, self.task_memory_mb, 0.6)).clamp(64, 42_000),
                gpus: 0,
            },
            estimate_ms: round_to_u64(spread(rng, self.task_ms, 0.5)).clamp(20, longest),
            depends_on: u16::try_from(number)
                .ok()
                .filter(|n| *n > 0)
                .map(|n| n - 1)
                .into_iter()
                .collect(),
            copies: rng.random_bool(0.2),
            checkpointing: rng.random_bool(0.3),
            ..StepSpec::default()
        });
        JobSpec {
            payload: "payload".into(),
            steps: steps.collect(),
            timetable: None,
        }
    }

    /// Returns a job with long-running tasks, of which one may be missing.
    pub(crate) fn long_running_job(&self) -> JobSpec {
        JobSpec {
            payload: "payload".into(),
            steps: vec![StepSpec {
                count: self.long_running_tasks,
                need: Resources {
                    cpu_milli: self.long_running_cpu_milli,
                    memory_mb: self.long_running_memory_mb,
                    gpus: 0,
                },
                long_running: true,
                may_miss: 1,
                ..StepSpec::default()
            }],
            timetable: None,
        }
    }
}

/// Returns a random value around `mean`, with a triangular distribution that extends by 1.7 times
/// `share` on both sides and has a tenth of the mean as its minimum.
fn spread(rng: &mut ChaCha8Rng, mean: f64, share: f64) -> f64 {
    let factor: f64 = 1.0 + share * (rng.random::<f64>() + rng.random::<f64>() - 1.0) * 1.7;
    mean * factor.max(0.1)
}

/// Rounds to the nearest integer; negative values become 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive value of moderate size"
)]
pub(crate) fn round_to_u64(value: f64) -> u64 {
    value.round().max(0.0) as u64
}
