//! Workspaces: operators who withdraw keys and change quotas, and what must hold for both.

use std::collections::{BTreeMap, BTreeSet};

use masticfield_jobs::job::{JobId, Resources, RunId};
use masticfield_jobs::leader::{Event, Reply, ReplyId};
use masticfield_jobs::queue::{KeyDigest, QueuesConfig, WorkspaceConfig, WorkspaceId};
use rand::RngExt;

use super::{ScheduledEvent, Simulation, WARMUP_MS};

/// Quota of each workspace unless it is lowered, in thousandths of a core.
const QUOTA_CPU_MILLI: u64 = 40_000;

/// Lowest and highest share of the quota that a changed configuration leaves.
const QUOTA_SHARES: (f64, f64) = (0.3, 1.0);

/// Share of submissions with the key that was withdrawn last.
const WITHDRAWN_SHARE: f64 = 0.15;

/// Mean time between two configurations, and until one without an acknowledgement is sent again, in
/// milliseconds.
const CONFIG_INTERVAL_MS: u64 = 1_500;

/// Time for which an earlier quota still counts for a start, in milliseconds: orders to start may
/// arrive 12 s late.
const QUOTA_MEMORY_MS: u64 = 13_000;

/// The operator's configurations, and the requests whose replies are checked.
#[derive(Debug, Default)]
pub(super) struct Workspaces {
    /// Number of the key of each workspace in the configuration that was sent last.
    keys: Vec<u64>,
    /// The same in the configuration that was acknowledged last.
    acknowledged_keys: Vec<u64>,
    /// Quotas of each workspace that were sent, with the times.
    quotas: Vec<Vec<(u64, Resources)>>,
    /// Version that was sent last.
    version: u64,
    /// Request with this version until it is acknowledged.
    pending: Option<ReplyId>,
    /// Whether the load is over and the quotas are as high as at the start.
    restored: bool,
    /// What the reply to each request must be.
    expected: BTreeMap<ReplyId, Expected>,
}

/// What is known of the key of a request when it is sent.
#[derive(Debug, Clone, Copy)]
enum Expected {
    /// A configuration without the key was acknowledged.
    Refused,
    /// The configuration of this version, which has the key, was acknowledged.
    ServedBy(u64),
    /// A configuration that changes the key is not acknowledged.
    Either,
}

fn key(workspace: usize, number: u64) -> KeyDigest {
    KeyDigest::new(&format!("key-{workspace}-{number}")).expect("the text is visible ASCII")
}

fn quota(cpu_milli: u64) -> Resources {
    Resources {
        cpu_milli,
        ..Resources::default()
    }
}

impl Workspaces {
    /// Creates `count` workspaces with their first keys.
    pub(super) fn new(count: usize) -> Self {
        Self {
            keys: vec![0; count],
            acknowledged_keys: vec![0; count],
            quotas: vec![vec![(0, quota(QUOTA_CPU_MILLI))]; count],
            version: 1,
            ..Self::default()
        }
    }

    /// Returns the configuration that was sent last; `base` has the rest of it.
    pub(super) fn config(&self, base: QueuesConfig) -> QueuesConfig {
        let workspaces = self.keys.iter().zip(&self.quotas).enumerate();
        let workspaces = workspaces.map(|(index, (number, quotas))| WorkspaceConfig {
            name: format!("workspace-{index}").into(),
            keys: vec![key(index, *number)],
            weight: 1.0,
            quota: quotas.last().map(|(_, quota)| *quota).unwrap_or_default(),
        });
        QueuesConfig {
            version: self.version,
            workspaces: (!self.keys.is_empty()).then(|| workspaces.collect()),
            ..base
        }
    }

    const fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn of_job(&self, job: JobId) -> usize {
        let count = u64::try_from(self.keys.len()).unwrap_or(u64::MAX).max(1);
        usize::try_from(job.number() % count).unwrap_or_default()
    }

    /// Returns the highest quota that may be in force for an order that arrives now.
    fn highest_quota(&self, workspace: usize, now: u64) -> Resources {
        let quotas = &self.quotas[workspace];
        let next = quotas.iter().skip(1).map(|(sent_at, _)| *sent_at);
        let until = next.chain([u64::MAX]);
        // A configuration without an acknowledgement leaves the earlier one in force.
        let recent = quotas
            .iter()
            .zip(until)
            .filter(|(_, until)| *until >= now.saturating_sub(QUOTA_MEMORY_MS));
        let recent = recent.map(|((_, quota), _)| *quota);
        recent.fold(Resources::default(), Resources::most)
    }
}

impl Simulation {
    /// Chooses the number of the key that the caller of a new job has.
    pub(super) fn choose_key(&mut self, job: JobId) -> u64 {
        if self.workspaces.is_empty() {
            return 0;
        }
        let current = self.workspaces.keys[self.workspaces.of_job(job)];
        let withdrawn = current > 0 && self.rng.random_bool(WITHDRAWN_SHARE);
        current - u64::from(withdrawn)
    }

    /// Returns the key of a request about a job, and notes what the reply must be. `number` is that
    /// of the key; `None` for the current one.
    pub(super) fn use_key(
        &mut self,
        reply_id: ReplyId,
        job: JobId,
        number: Option<u64>,
    ) -> Option<KeyDigest> {
        let workspaces = &mut self.workspaces;
        if workspaces.is_empty() {
            return None;
        }
        let index = workspaces.of_job(job);
        let number = number.unwrap_or(workspaces.keys[index]);
        let expected = if number < workspaces.acknowledged_keys[index] {
            Expected::Refused
        } else if workspaces.pending.is_none() {
            Expected::ServedBy(workspaces.version)
        } else {
            Expected::Either
        };
        workspaces.expected.insert(reply_id, expected);
        Some(key(index, number))
    }

    /// Returns whether a submission with this key may be served.
    pub(super) fn may_be_served(&self, job: JobId, number: u64) -> bool {
        self.workspaces.is_empty()
            || number >= self.workspaces.acknowledged_keys[self.workspaces.of_job(job)]
    }

    /// Checks the reply to a request, and records the acknowledgement of a configuration.
    pub(super) fn check_key_reply(&mut self, reply_id: ReplyId, reply: &Reply) {
        let workspaces = &mut self.workspaces;
        if workspaces.pending == Some(reply_id) {
            workspaces.pending = None;
            workspaces.acknowledged_keys.clone_from(&workspaces.keys);
        }
        let Some(expected) = workspaces.expected.remove(&reply_id) else {
            return;
        };
        let refused = *reply == Reply::Unauthorized;
        let is_wrong = match expected {
            Expected::Refused => !refused,
            Expected::ServedBy(version) => refused && version == workspaces.version,
            Expected::Either => false,
        };
        self.report.unauthorized += u32::from(refused);
        if is_wrong {
            let text = format!("{}: {reply:?} to a key that is {expected:?}", self.now);
            self.checker.violations.push(text);
        }
    }

    /// Sends a configuration with a new key or another quota, or the last one again if it has no
    /// acknowledgement.
    pub(super) fn reconfigure(&mut self) {
        let over = self.now >= WARMUP_MS + self.scenario.load_ms;
        if self.workspaces.pending.is_none() {
            if self.workspaces.restored {
                return;
            }
            self.workspaces.version += 1;
            let count = self.workspaces.keys.len();
            let index = self.rng.random_range(0..count);
            if over {
                self.workspaces.restored = true;
                for quotas in &mut self.workspaces.quotas {
                    quotas.push((self.now, quota(QUOTA_CPU_MILLI)));
                }
            } else if self.rng.random_bool(0.5) {
                self.workspaces.keys[index] += 1;
            } else {
                let share = self.rng.random_range(QUOTA_SHARES.0..QUOTA_SHARES.1);
                let lowered = quota(QUOTA_CPU_MILLI).scaled(share);
                self.workspaces.quotas[index].push((self.now, lowered));
            }
        }
        let reply_to = self.next_reply_id();
        self.workspaces.pending = Some(reply_to);
        let config = self.workspaces.config(self.scenario.fleet.config());
        let content = b"config"[..].into();
        let event = Event::Configure {
            reply_to,
            config,
            content,
        };
        self.notify_leader(self.epoch, event);
        let after = self
            .rng
            .random_range(CONFIG_INTERVAL_MS / 2..CONFIG_INTERVAL_MS * 3 / 2);
        self.schedule(after, ScheduledEvent::Reconfigure);
    }

    /// Checks the sum of a workspace after a committed start against the quota in force.
    pub(super) fn check_committed_start(&mut self, run: RunId) {
        let job = self.state.job(run.task.job);
        let Some(workspace) = job.and_then(|job| job.workspace) else {
            return;
        };
        let running = self.state.running_of(workspace);
        let quota = self.state.quota_of(workspace).unwrap_or_default();
        if quota.cpu_milli > 0 && running.cpu_milli > quota.cpu_milli {
            let text = format!(
                "{}: {run} was committed with {running:?} above {quota:?}",
                self.now
            );
            self.checker.violations.push(text);
        }
    }

    /// Checks what a workspace has running on the executors after a start, and that the request for
    /// the job had a valid key.
    pub(super) fn check_workspace(&mut self, job: JobId) {
        if self.workspaces.is_empty() {
            return;
        }
        let index = self.workspaces.of_job(job);
        let highest = self.workspaces.highest_quota(index, self.now).cpu_milli;
        let mut running = self.running_of(index);
        if running > highest {
            // Leases may have expired by their executors' clocks without an event.
            let executors = self.checker.running.values().flatten();
            let executors: BTreeSet<_> = executors.map(|(executor, _)| *executor).collect();
            for executor in executors {
                self.advance(executor);
            }
            running = self.running_of(index);
        }
        if running > highest {
            let text = format!(
                "{}: workspace {index} has {running} running; its quota is at most {highest}",
                self.now
            );
            self.checker.violations.push(text);
        }
        let authorized = self
            .checker
            .jobs
            .get(&job)
            .is_some_and(|job| job.authorized);
        if !authorized {
            let text = format!("{}: {job} runs, but its key was withdrawn before", self.now);
            self.checker.violations.push(text);
        }
    }

    /// Returns what a workspace has running on the executors, in thousandths of a core.
    fn running_of(&self, index: usize) -> u64 {
        let runs = self.checker.running.iter();
        let runs = runs.filter(|(task, _)| self.workspaces.of_job(task.job) == index);
        let needs = runs.map(|(task, runs)| {
            let job = self.checker.jobs.get(&task.job);
            let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step)));
            let count = u64::try_from(runs.len()).unwrap_or(u64::MAX);
            step.map_or(0, |step| step.need.cpu_milli * count)
        });
        needs.sum()
    }

    /// Checks the sums of a new leader's state against a full count.
    pub(super) fn check_counts(&mut self) {
        if !self.state.counts_are_exact() {
            let sums: Vec<_> = (0..)
                .zip(&self.workspaces.keys)
                .map(|(number, _)| self.state.running_of(WorkspaceId(number)))
                .collect();
            let text = format!("{}: the sums {sums:?} are not exact", self.now);
            self.checker.violations.push(text);
        }
    }
}
