//! Model of the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::Generation;
use masticfield_core::note::HostSpec;
use masticfield_core::platform::{
    HostCommand, HostOrder, LeaseRenewal, PlatformOrder, TaskCommand, TaskOrder, WorkerReport,
    WorkerReports,
};

use super::task::Task;
use super::worker::Worker;
use super::{JobProfile, TaskId, Timings};

/// A model of the platform with its workers and tasks, for simulations and tests.
///
/// The caller sets the clock with [`advance`](Self::advance), and injects failures of hosts.
#[derive(Debug, Clone)]
pub struct FakePlatform {
    timings: Timings,
    now: Duration,
    cursor: u64,
    workers: BTreeMap<Arc<str>, Worker>,
    tasks: BTreeMap<TaskId, Task>,
    job_profiles: BTreeMap<Arc<str>, JobProfile>,
    last_reports: BTreeMap<Arc<str>, WorkerReport>,
}

/// Outcome of an order to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is carried out, or already was.
    Accepted,
    /// The generation of the order is superseded or holds no lease on the host, or the host drains.
    Fenced,
    /// The platform knows no such host or task.
    NotFound,
    /// The host is down, rebooting or isolated.
    Unreachable,
}

impl FakePlatform {
    /// Creates a platform with a healthy worker for each host, at time zero.
    pub fn new(timings: Timings, hosts: impl IntoIterator<Item = HostSpec>) -> Self {
        let mut platform = Self {
            timings,
            now: Duration::ZERO,
            cursor: 0,
            workers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            job_profiles: BTreeMap::new(),
            last_reports: BTreeMap::new(),
        };
        for host in hosts {
            platform.add_worker(host);
        }
        platform
    }

    /// Adds a healthy worker for a host.
    pub fn add_worker(&mut self, host: HostSpec) {
        self.workers
            .insert(Arc::clone(&host.name), Worker::new(host));
    }

    /// Sets how tasks of a job behave.
    ///
    /// Tasks of a job without a profile use what the job declares and never finish. Applies to
    /// tasks that start afterwards.
    pub fn set_job_profile(&mut self, job: impl Into<Arc<str>>, profile: JobProfile) {
        self.job_profiles.insert(job.into(), profile);
    }

    /// Takes a worker down with everything that runs on it.
    pub fn fail(&mut self, host: &str) {
        let now = self.now;
        self.update_worker(host, |worker| worker.fail(now));
    }

    /// Isolates a worker from the network, or reconnects it.
    ///
    /// The tasks of an isolated worker run until their leases expire.
    pub fn isolate(&mut self, host: &str, isolated: bool) {
        let now = self.now;
        self.update_worker(host, |worker| worker.isolate(now, isolated));
    }

    /// Brings a worker up and reconnects it, with nothing running.
    pub fn repair(&mut self, host: &str) {
        self.update_worker(host, Worker::repair);
    }

    /// Lets a worker stay down after its next reboot.
    pub fn fail_next_reboot(&mut self, host: &str) {
        self.update_worker(host, Worker::fail_next_reboot);
    }

    /// Sets whether every task that starts on a worker from now on fails.
    pub fn fail_all_tasks(&mut self, host: &str, fails: bool) {
        self.update_worker(host, |worker| worker.fails_all_tasks = fails);
    }

    /// Sets the clock to `now`, the time since the start, and updates all workers and tasks.
    pub fn advance(&mut self, now: Duration) {
        self.now = now;
        let mut busy = BTreeSet::new();
        for task in self.tasks.values_mut() {
            let worker = self.workers.get(&task.order.host);
            let up = worker.is_some_and(Worker::is_up);
            if task.advance(now, up, self.timings) {
                self.cursor += 1;
                task.changed_at = self.cursor;
            }
            if task.phase.holds_resources() {
                busy.insert(Arc::clone(&task.order.host));
            }
        }
        for (name, worker) in &mut self.workers {
            worker.advance(now, busy.contains(name));
            let report = worker.report(now, self.timings);
            if self.last_reports.get(name) != Some(&report) {
                self.cursor += 1;
                worker.changed_at = self.cursor;
                self.last_reports.insert(Arc::clone(name), report);
            }
        }
    }

    /// Reports of the workers and tasks that changed after cursor `since`; 0 for all.
    pub fn reports(&self, since: u64) -> WorkerReports {
        let workers = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.changed_at > since);
        let tasks = self
            .tasks
            .iter()
            .filter(|(_, task)| task.changed_at > since);
        WorkerReports {
            cursor: self.cursor,
            workers: workers
                .map(|(_, worker)| worker.report(self.now, self.timings))
                .collect(),
            tasks: tasks.map(|(id, task)| task.report(id, self.now)).collect(),
        }
    }

    /// Executes an order.
    pub fn execute(&mut self, order: PlatformOrder) -> OrderOutcome {
        match order {
            PlatformOrder::Host {
                host,
                command,
                order,
            } => self.order_host(&host, command, order),
            PlatformOrder::Start {
                job,
                index,
                attempt,
                order,
            } => self.start_task((job, index, attempt), order),
            PlatformOrder::Task {
                job,
                index,
                attempt,
                command,
            } => self.order_task(&(job, index, attempt), command),
            PlatformOrder::Renew(renewal) => {
                self.renew(&renewal);
                OrderOutcome::Accepted
            }
        }
    }

    /// Executes an order to a host.
    pub fn order_host(
        &mut self,
        host: &str,
        command: HostCommand,
        order: HostOrder,
    ) -> OrderOutcome {
        let (now, timings) = (self.now, self.timings);
        let Some(worker) = self.workers.get_mut(host) else {
            return OrderOutcome::NotFound;
        };
        worker.order(now, command, order, timings)
    }

    /// Starts a task; a repeated order for the same attempt changes nothing.
    pub fn start_task(&mut self, id: TaskId, order: TaskOrder) -> OrderOutcome {
        if self.tasks.contains_key(&id) {
            return OrderOutcome::Accepted;
        }
        let Some(worker) = self.workers.get_mut(&order.host) else {
            return OrderOutcome::NotFound;
        };
        if !worker.is_reachable() {
            return OrderOutcome::Unreachable;
        }
        let not_leased = worker
            .lease
            .is_none_or(|(generation, _)| generation != order.generation);
        if not_leased || worker.is_draining() {
            return OrderOutcome::Fenced;
        }
        worker.adopt_generation(order.generation);
        let fails = worker.fails_all_tasks;
        let profile = self.job_profiles.get(&id.0).copied().unwrap_or(JobProfile {
            usage: order.size,
            run_time: None,
            fails: false,
        });
        let mut task = Task::new(self.now, order, profile, fails);
        self.cursor += 1;
        task.changed_at = self.cursor;
        self.tasks.insert(id, task);
        OrderOutcome::Accepted
    }

    /// Executes an order to a task.
    pub fn order_task(&mut self, id: &TaskId, command: TaskCommand) -> OrderOutcome {
        let (now, timings) = (self.now, self.timings);
        let Some(task) = self.tasks.get_mut(id) else {
            return OrderOutcome::NotFound;
        };
        if !self
            .workers
            .get(&task.order.host)
            .is_some_and(Worker::is_reachable)
        {
            return OrderOutcome::Unreachable;
        }
        task.command(now, command, timings);
        self.cursor += 1;
        task.changed_at = self.cursor;
        OrderOutcome::Accepted
    }

    /// Renews the leases of the listed hosts and of their tasks; unreachable hosts are skipped.
    pub fn renew(&mut self, renewal: &LeaseRenewal) {
        let expires_at = self.now + renewal.lease;
        for (host, generation) in &renewal.hosts {
            let Some(worker) = self
                .workers
                .get_mut(host)
                .filter(|worker| worker.is_reachable())
            else {
                continue;
            };
            worker.adopt_generation(*generation);
            worker.lease = Some((*generation, expires_at));
            for task in self.tasks.values_mut() {
                if task.order.host == *host && task.order.generation == *generation {
                    task.lease_until = expires_at;
                }
            }
        }
    }

    /// Whether a host is up, has a valid lease of `generation` and is not drained for it.
    pub fn is_leased_to(&self, host: &str, generation: Generation) -> bool {
        let worker = self.workers.get(host);
        worker.is_some_and(|worker| worker.is_leased_to(generation, self.now))
    }

    /// Number of tasks of which more than one attempt holds resources now.
    pub fn duplicated_tasks(&self) -> usize {
        let mut running = BTreeMap::<_, usize>::new();
        for ((job, index, _), task) in &self.tasks {
            if task.phase.holds_resources() {
                *running.entry((job, index)).or_default() += 1;
            }
        }
        running.values().filter(|count| **count > 1).count()
    }

    /// Number of hosts whose tasks together use more memory than the host has.
    pub fn overcommitted_hosts(&self) -> usize {
        let mut used = BTreeMap::<&Arc<str>, u64>::new();
        for task in self.tasks.values() {
            *used.entry(&task.order.host).or_default() += u64::from(task.actual_usage().memory_mb);
        }
        let overcommitted = used.into_iter().filter(|(host, used)| {
            let capacity = self
                .workers
                .get(*host)
                .map(|worker| worker.capacity().memory_mb);
            capacity.is_some_and(|capacity| *used > u64::from(capacity))
        });
        overcommitted.count()
    }

    fn update_worker(&mut self, host: &str, change: impl FnOnce(&mut Worker)) {
        if let Some(worker) = self.workers.get_mut(host) {
            change(worker);
        }
    }
}
