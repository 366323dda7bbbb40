//! Results of a simulation.

use crate::checker::{Checker, SubmittedJob};
use crate::scenario::Scenario;

/// Results of a simulation.
///
/// Jobs with long-running tasks are not counted; they have no end.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Descriptions of violated invariants, in order of time; empty if all held.
    pub violations: Vec<String>,
    /// Jobs that callers submitted.
    pub submitted: u32,
    /// Jobs completed within their objective.
    pub on_time: u32,
    /// Jobs completed after their objective.
    pub late: u32,
    /// Late jobs that took more than three times their objective; they earn no credit.
    pub too_late: u32,
    /// Requests that the leader refused for their keys.
    pub unauthorized: u32,
    /// Jobs that the leader refused because its backlog was too long.
    pub refused: u32,
    /// Jobs that were cancelled or failed.
    pub cancelled_or_failed: u32,
    /// Jobs that failed and were not cancelled; included in `cancelled_or_failed`.
    pub failed: u32,
    /// Jobs that failed although none of their tasks crashes executors; included in `failed`.
    pub failed_without_fault: u32,
    /// Jobs with a task that crashes executors, as far as they were accepted and not cancelled.
    pub crashing_jobs: u32,
    /// Executors that a task has crashed.
    pub crashes_by_tasks: u32,
    /// Largest number of executors that one task has crashed.
    pub most_crashes_of_a_task: u32,
    /// Jobs without a task that crashes executors, as far as they were not cancelled.
    pub without_fault: u32,
    /// Those of these that were completed within three times their objective.
    pub served_without_fault: u32,
    /// Longest time for which a suspected task of a job without fault was ready to start while an
    /// executor of its pool was up and had room for it beside long-running tasks, as a multiple of
    /// the job's objective.
    pub longest_suspect_wait: f64,
    /// Mean number of tasks of jobs without fault that were suspected and ready to start.
    pub mean_waiting_suspects: f64,
    /// Earned share of the total credit, from 0 to 1.
    ///
    /// The credit of a job grows with its work. A late job earns 7% of its credit up to three times
    /// its objective, and nothing after that. A cancelled job has no credit.
    pub worth: f64,
    /// Starts that took an executor above its capacity.
    pub over_capacity: u32,
    /// Starts of tasks that were already running or done and that allow no copies.
    pub duplicate_runs: u32,
    /// Accepted jobs that had not ended when the simulation ended.
    pub unfinished: u32,
    /// Runs that executors started.
    pub starts: u32,
    /// Polls of executors for their runs and ends.
    pub polls: u32,
    /// Hosts of the wave of upkeep that were left when its time was over.
    pub late_upkeeps: u32,
    /// Moves of hosts between pools.
    pub moves: u32,
    /// Requests about hosts beyond the number that the platform accepts.
    pub busy_orders: u32,
    /// Host time in pools other than standby until the end of the load, in seconds.
    pub host_seconds: f64,
    /// Events that the leader handled.
    pub events: u64,
    /// Service by queue, job size and workspace.
    pub shares: Shares,
}

/// Service by queue, job size and workspace.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Shares {
    /// Part of the value of all jobs that callers got, from 0 to 1.
    ///
    /// The value of a job is 0.3 plus 0.7 times the ratio of its work to the mean work of its queue,
    /// and at most 4. A late job has 7% of it up to three times its objective, and none after that.
    pub value: f64,
    /// Service of each queue.
    pub queues: Vec<QueueShare>,
    /// Jobs submitted and on time, by workspace.
    pub workspaces: Vec<(u32, u32)>,
}

/// Service of a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueueShare {
    /// Part of the value that callers got.
    pub value: f64,
    /// Part of the jobs that were on time.
    pub on_time: f64,
    /// Part of the largest tenth of the jobs that were on time.
    pub largest_tenth: f64,
    /// Part of the fifth below the largest tenth that were on time.
    pub next_fifth: f64,
}

/// Part of its value that a late job has up to three times its objective.
const LATE_VALUE: f64 = 0.07;

/// Maximum value of a job, as a multiple of the usual value.
const MAX_VALUE: f64 = 4.0;

impl Shares {
    pub(crate) fn of(scenario: &Scenario, checker: &Checker) -> Self {
        let finite = checker.jobs.values();
        let finite = finite.filter(|job| !job.spec.is_long_running() && job.cancelled_at.is_none());
        let finite: Vec<_> = finite.collect();
        let (mut got, mut owed, mut queues) = (0.0, 0.0, Vec::new());
        for index in 0..scenario.fleet.queues.len() {
            let jobs = finite.iter().filter(|job| job.queue == index).copied();
            let (share, queue_got, queue_owed) = queue_share(jobs.collect());
            queues.push(share);
            got += queue_got;
            owed += queue_owed;
        }
        let workspaces = (0..scenario.sharing_workspaces).map(|index| {
            let jobs = finite.iter().filter(|job| job.workspace == Some(index));
            jobs.fold((0, 0), |(all, on_time), job| {
                (all + 1, on_time + u32::from(is_on_time(job)))
            })
        });
        Self {
            value: part(got, owed),
            queues,
            workspaces: workspaces.collect(),
        }
    }
}

fn part(got: f64, owed: f64) -> f64 {
    if owed > 0.0 { got / owed } else { 1.0 }
}

fn is_on_time(job: &SubmittedJob) -> bool {
    let took = job.ended_at.map(|ended_at| ended_at - job.submitted_at);
    job.completed && took.is_some_and(|took| took <= job.objective_ms)
}

/// Returns the service of a queue's jobs, and the value that their callers got and could get.
#[expect(clippy::cast_precision_loss, reason = "numbers of jobs")]
fn queue_share(mut jobs: Vec<&SubmittedJob>) -> (QueueShare, f64, f64) {
    jobs.sort_by(|a, b| b.spec.work().total_cmp(&a.spec.work()));
    let work: f64 = jobs.iter().map(|job| job.spec.work()).sum();
    let mean = part(work, jobs.len() as f64);
    let (mut got, mut owed) = (0.0, 0.0);
    for job in &jobs {
        let value = (0.3 + 0.7 * job.spec.work() / mean).min(MAX_VALUE);
        owed += value;
        let took = job.ended_at.map(|ended_at| ended_at - job.submitted_at);
        let useful = took.is_some_and(|took| took <= 3 * job.objective_ms);
        if is_on_time(job) {
            got += value;
        } else if job.completed && useful {
            got += LATE_VALUE * value;
        }
    }
    let on_time = |jobs: &[&SubmittedJob]| {
        let count = jobs.iter().filter(|job| is_on_time(job)).count();
        part(count as f64, jobs.len() as f64)
    };
    let (tenth, third) = (jobs.len() / 10, jobs.len() * 3 / 10);
    let share = QueueShare {
        value: part(got, owed),
        on_time: on_time(&jobs),
        largest_tenth: on_time(&jobs[..tenth]),
        next_fifth: on_time(&jobs[tenth..third]),
    };
    (share, got, owed)
}
