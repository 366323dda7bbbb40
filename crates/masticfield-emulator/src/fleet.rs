//! Fleets and their load.

use std::sync::Arc;

use masticfield_jobs::job::{JobSpec, Resources, StepSpec};
use masticfield_jobs::queue::{PoolConfig, QueueConfig, QueuesConfig};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Pools of hosts and the queues that they work off.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// The queues; each has a pool of its own.
    pub queues: Vec<QueueLoad>,
    /// Hosts of the standby pool.
    pub standby_hosts: u32,
    /// Cores of a host, in thousandths.
    pub host_cpu_milli: u64,
    /// Memory of a host, in megabytes.
    pub host_memory_mb: u64,
}

/// A queue and what its callers send.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueLoad {
    /// Name of the queue and of its pool.
    pub name: Arc<str>,
    /// Hosts of its pool.
    pub hosts: u32,
    /// Mean rate of jobs, over all turns.
    pub jobs_per_s: f64,
    /// Mean number of steps.
    pub steps_per_job: f64,
    /// Mean number of tasks of a step.
    pub tasks_per_step: f64,
    /// Mean time of a task, in milliseconds.
    pub task_ms: f64,
    /// Mean processor time of a task, in thousandths of a core.
    pub task_cpu_milli: f64,
    /// Mean memory of a task, in megabytes.
    pub task_memory_mb: f64,
    /// Priority of the queue.
    pub priority: u32,
    /// Jobs whose tasks last, from the start on.
    pub long_running_jobs: u32,
}

impl Fleet {
    /// A few hosts and two queues.
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
        };
        Self {
            queues: vec![queue("short", 400.0), queue("long", 900.0)],
            standby_hosts: 3,
            host_cpu_milli: 16_000,
            host_memory_mb: 65_536,
        }
    }

    /// The shape of the first users' fleet: 40 hosts, four queues that surge by turns.
    pub fn vitoria() -> Self {
        Self::by_turns(
            [8, 9, 11, 12],
            [11.0, 1.33, 13.8, 1.62],
            (640.0, 1_700.0),
            (1.8, 3.8),
        )
    }

    /// The shape of the second users' fleet: 41 hosts, four queues that surge by turns.
    pub fn vulpescu() -> Self {
        Self::by_turns(
            [9, 9, 11, 12],
            [5.52, 0.817, 6.91, 1.0],
            (1_000.0, 2_100.0),
            (2.3, 5.0),
        )
    }

    fn by_turns(
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
            }
        });
        Self {
            queues: queues.collect(),
            standby_hosts: 8,
            host_cpu_milli: 32_000,
            host_memory_mb: 131_072,
        }
    }

    /// The same load on so many times as many hosts.
    #[must_use]
    pub fn scaled(mut self, factor: u32) -> Self {
        self.standby_hosts *= factor;
        for queue in &mut self.queues {
            queue.hosts *= factor;
            queue.jobs_per_s *= f64::from(factor);
        }
        self
    }

    /// The configuration of its queues.
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
            max_attempts: 3,
            stretch: 1.6,
            advice: None,
        });
        let pools = self.queues.iter().map(|queue| pool(&queue.name, false));
        QueuesConfig {
            version: 1,
            queues: queues.collect(),
            pools: pools.chain([pool(&"standby".into(), true)]).collect(),
            limits: None,
        }
    }
}

impl QueueLoad {
    /// A job as a caller of this queue sends it.
    pub(crate) fn job(&self, rng: &mut ChaCha8Rng) -> JobSpec {
        let steps = whole(spread(rng, self.steps_per_job, 0.4)).clamp(1, 5);
        let steps = (0..steps).map(|number| StepSpec {
            count: u32::try_from(whole(spread(rng, self.tasks_per_step, 0.6)))
                .unwrap_or(1)
                .clamp(1, 32),
            need: Resources {
                cpu_milli: whole(spread(rng, self.task_cpu_milli, 0.45)).clamp(100, 12_000),
                memory_mb: whole(spread(rng, self.task_memory_mb, 0.6)).clamp(64, 42_000),
                gpus: 0,
            },
            estimate_ms: whole(spread(rng, self.task_ms, 0.5)).clamp(20, 5_000),
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

    /// A job whose tasks last.
    pub(crate) fn lasting_job() -> JobSpec {
        JobSpec {
            payload: "payload".into(),
            steps: vec![StepSpec {
                count: 5,
                need: Resources {
                    cpu_milli: 2_600,
                    memory_mb: 9_000,
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

/// A value around a mean; `share` is how far it spreads.
fn spread(rng: &mut ChaCha8Rng, mean: f64, share: f64) -> f64 {
    let factor: f64 = 1.0 + share * (rng.random::<f64>() + rng.random::<f64>() - 1.0) * 1.7;
    mean * factor.max(0.1)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive value of moderate size"
)]
pub(crate) fn whole(value: f64) -> u64 {
    value.round().max(0.0) as u64
}
