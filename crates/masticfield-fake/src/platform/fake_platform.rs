//! The platform as a whole.

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

/// Workers and tasks at a moment.
#[derive(Debug, Clone)]
pub struct FakePlatform {
    timings: Timings,
    now: Duration,
    cursor: u64,
    workers: BTreeMap<Arc<str>, Worker>,
    tasks: BTreeMap<TaskId, Task>,
    job_profiles: BTreeMap<Arc<str>, JobProfile>,
    healths: BTreeMap<Arc<str>, WorkerReport>,
}

/// The answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was taken, now or before.
    Accepted,
    /// A higher generation was seen.
    Fenced,
    /// There is no such host or task.
    NotFound,
    /// The host cannot be reached.
    Unreachable,
}

impl FakePlatform {
    /// Creates a platform whose workers all work.
    pub fn new(timings: Timings, hosts: impl IntoIterator<Item = HostSpec>) -> Self {
        let mut platform = Self {
            timings,
            now: Duration::ZERO,
            cursor: 0,
            workers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            job_profiles: BTreeMap::new(),
            healths: BTreeMap::new(),
        };
        for host in hosts {
            platform.add_worker(host);
        }
        platform
    }

    /// Adds a worker.
    pub fn add_worker(&mut self, host: HostSpec) {
        self.workers
            .insert(Arc::clone(&host.name), Worker::new(host));
    }

    /// Says what tasks of a job really need.
    pub fn set_job_profile(&mut self, job: impl Into<Arc<str>>, profile: JobProfile) {
        self.job_profiles.insert(job.into(), profile);
    }

    /// Ends a worker with all that runs on it.
    pub fn fail(&mut self, host: &str) {
        let now = self.now;
        self.with(host, |worker| worker.fail(now));
    }

    /// Cuts a worker off, or connects it again; its tasks go on until their leases end.
    pub fn isolate(&mut self, host: &str, isolated: bool) {
        let now = self.now;
        self.with(host, |worker| worker.isolate(now, isolated));
    }

    /// Brings a worker back with nothing running.
    pub fn repair(&mut self, host: &str) {
        self.with(host, Worker::repair);
    }

    /// Lets a worker stay away after its next reboot.
    pub fn fail_next_reboot(&mut self, host: &str) {
        self.with(host, Worker::fail_next_reboot);
    }

    /// Lets a worker fail every task that it starts, or end that.
    pub fn fail_all_tasks(&mut self, host: &str, fails: bool) {
        self.with(host, |worker| worker.fails_all_tasks = fails);
    }

    /// Lets time pass until `now`.
    pub fn advance(&mut self, now: Duration) {
        self.now = now;
        let mut busy = BTreeSet::new();
        for task in self.tasks.values_mut() {
            let worker = self.workers.get(&task.order.host);
            let up = worker.is_some_and(Worker::is_up);
            if task.advance(now, up, self.timings) {
                self.cursor += 1;
                task.changed = self.cursor;
            }
            if task.phase.holds_resources() {
                busy.insert(Arc::clone(&task.order.host));
            }
        }
        for (name, worker) in &mut self.workers {
            worker.advance(now, busy.contains(name));
            let report = worker.report(now, self.timings);
            if self.healths.get(name) != Some(&report) {
                self.cursor += 1;
                worker.changed = self.cursor;
                self.healths.insert(Arc::clone(name), report);
            }
        }
    }

    /// What changed after a cursor.
    pub fn reports(&self, since: u64) -> WorkerReports {
        let workers = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.changed > since);
        let tasks = self.tasks.iter().filter(|(_, task)| task.changed > since);
        WorkerReports {
            cursor: self.cursor,
            workers: workers
                .map(|(_, worker)| worker.report(self.now, self.timings))
                .collect(),
            tasks: tasks.map(|(id, task)| task.report(id, self.now)).collect(),
        }
    }

    /// Carries out an order.
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

    /// Carries out an order to a host.
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

    /// Starts a task.
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
        let stale = worker
            .lease
            .is_none_or(|(generation, _)| generation != order.generation);
        if stale || worker.is_draining() {
            return OrderOutcome::Fenced;
        }
        worker.adopt(order.generation);
        let fails = worker.fails_all_tasks;
        let profile = self.job_profiles.get(&id.0).copied().unwrap_or(JobProfile {
            usage: order.size,
            run_time: None,
            fails: false,
        });
        let mut task = Task::new(self.now, order, profile, fails);
        self.cursor += 1;
        task.changed = self.cursor;
        self.tasks.insert(id, task);
        OrderOutcome::Accepted
    }

    /// Carries out an order to a task.
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
        task.changed = self.cursor;
        OrderOutcome::Accepted
    }

    /// Renews the leases of all that runs on reachable hosts.
    pub fn renew(&mut self, renewal: &LeaseRenewal) {
        let until = self.now + renewal.lease;
        for (host, generation) in &renewal.hosts {
            let Some(worker) = self.workers.get_mut(host).filter(|it| it.is_reachable()) else {
                continue;
            };
            worker.adopt(*generation);
            worker.lease = Some((*generation, until));
            for task in self.tasks.values_mut() {
                if task.order.host == *host && task.order.generation == *generation {
                    task.lease_until = until;
                }
            }
        }
    }

    /// Whether a host works for an owner of a generation now.
    pub fn is_leased_to(&self, host: &str, generation: Generation) -> bool {
        let worker = self.workers.get(host);
        worker.is_some_and(|worker| worker.is_leased_to(generation, self.now))
    }

    /// Tasks of which two attempts run now.
    pub fn duplicated_tasks(&self) -> usize {
        let mut running = BTreeMap::<_, usize>::new();
        for ((job, index, _), task) in &self.tasks {
            if task.phase.holds_resources() {
                *running.entry((job, index)).or_default() += 1;
            }
        }
        running.values().filter(|count| **count > 1).count()
    }

    /// Hosts whose tasks use more memory than the host has.
    pub fn overcommitted_hosts(&self) -> usize {
        let mut used = BTreeMap::<&Arc<str>, u64>::new();
        for task in self.tasks.values() {
            *used.entry(&task.order.host).or_default() += u64::from(task.used().memory_mb);
        }
        let over = used.into_iter().filter(|(host, used)| {
            let capacity = self
                .workers
                .get(*host)
                .map(|worker| worker.capacity().memory_mb);
            capacity.is_some_and(|capacity| *used > u64::from(capacity))
        });
        over.count()
    }

    fn with(&mut self, host: &str, change: impl FnOnce(&mut Worker)) {
        if let Some(worker) = self.workers.get_mut(host) {
            change(worker);
        }
    }
}
