//! Load shedding: which waiting jobs of a pool get capacity when there is not enough for all.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::collections::binary_heap::PeekMut;
use std::time::Duration;

use super::pool_size::HOST_ARRIVAL;
use crate::job::JobId;

/// Factor on estimated work when jobs are ordered. Estimates are off by up to half, 3% of the tasks
/// take seven times their estimate, and some capacity is left unused between tasks.
const WORK_MARGIN: f64 = 1.2;

/// Factor on the estimated chain of steps when jobs are ordered: a step ends with its slowest task,
/// and that of eight tasks takes longer than the estimate.
const PATH_MARGIN: f64 = 1.2;

/// A job with tasks that are ready to start, or a new job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingJob {
    /// Identifier of the job; decides between jobs that are equal otherwise.
    pub id: JobId,
    /// Whether the job is within its workspace's share; true without workspaces.
    pub in_share: bool,
    /// Start tag of its workspace's fair queueing; 0 without workspaces.
    pub start_tag: f64,
    /// Priority of the queue; 0 comes first.
    pub priority: u32,
    /// Seconds until the job must end to be on time, negative if they have passed; `None` for a job
    /// that is never late.
    pub time_left: Option<f64>,
    /// Seconds until the result is of no use, negative if they have passed.
    pub useful_left: f64,
    /// Estimated time of the longest chain of steps that are not done, in seconds.
    pub path: f64,
    /// Estimated work of the waiting tasks, in core-seconds.
    pub work: f64,
    /// Value of a result on time to the caller; see [`JobValues`](super::JobValues).
    pub value: f64,
}

/// Current and future capacity of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolCapacity {
    /// Cores that finite tasks can use now, whether or not they are free.
    pub cores: f64,
    /// Cores of hosts that are moving to the pool or can be moved there.
    pub incoming: f64,
}

/// Decision about a waiting job; earlier variants get capacity first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Turn {
    /// The job starts as soon as there is free capacity.
    Start,
    /// The job can still be on time, but not together with jobs that are worth more. It starts if
    /// these leave capacity.
    Wait,
    /// The job is late. It yields to jobs that can be on time, also to those that arrive soon.
    Yield,
    /// The result will be of no use. It yields to every other job.
    YieldToAll,
}

/// Decision about a new job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NewJob {
    /// The job can be on time, or at least of use, by the estimates.
    Accept,
    /// The job would end too late to be of use.
    Refuse {
        /// Time after which there will be capacity for the job.
        retry_after: Duration,
        /// Figures on which the refusal is based.
        basis: RefusalBasis,
    },
}

/// Figures on which a refusal is based.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RefusalBasis {
    /// Seconds until the job could start.
    pub wait: f64,
    /// Seconds that the job can wait and still be of use.
    pub slack: f64,
    /// Work ahead of the job, in core-seconds.
    pub work_ahead: f64,
    /// Whether the job would be late even if it came before every job that has not started.
    pub late_anyway: bool,
}

impl PoolCapacity {
    /// Returns the seconds until `work` core-seconds of waiting tasks have started.
    ///
    /// Runs in progress end at the rate at which as many tasks start, and are left out.
    pub fn wait(&self, work: f64) -> f64 {
        let arrival = HOST_ARRIVAL.as_secs_f64();
        let left = work - self.cores * arrival;
        if work <= 0.0 {
            0.0
        } else if left <= 0.0 {
            work / self.cores
        } else if self.cores + self.incoming > 0.0 {
            arrival + left / (self.cores + self.incoming)
        } else {
            f64::INFINITY
        }
    }

    /// Returns the seconds until a job with `work_ahead` before it has ended.
    fn end_of(&self, job: &WaitingJob, work_ahead: f64, margin: Margin) -> f64 {
        let path_end = self.wait(work_ahead * margin.work) + job.path * margin.path;
        path_end.max(self.wait((work_ahead + job.work) * margin.work))
    }
}

/// Factors on estimates.
#[derive(Debug, Clone, Copy)]
struct Margin {
    work: f64,
    path: f64,
}

impl Margin {
    const NONE: Self = Self {
        work: 1.0,
        path: 1.0,
    };
    const ORDER: Self = Self {
        work: WORK_MARGIN,
        path: PATH_MARGIN,
    };
}

impl WaitingJob {
    /// Returns the value per core-second. A job without work left to start takes no capacity.
    fn density(&self) -> f64 {
        self.value / self.work.max(1e-3)
    }

    /// Returns the rank by which the job is kept when the capacity is too small: by value, or beyond
    /// the share of its workspace by fair queueing.
    fn keep(&self) -> f64 {
        if self.in_share {
            self.density()
        } else {
            -self.start_tag
        }
    }

    /// Returns the seconds by which the job must start to be on time.
    fn slack(&self) -> f64 {
        self.time_left
            .map_or(f64::INFINITY, |left| left - self.path)
    }

    fn is_late(&self) -> bool {
        self.slack() < 0.0
    }

    fn is_useless(&self) -> bool {
        self.time_left.is_some() && self.useful_left < self.path
    }
}

/// A selected job in the heap of [`select`]; the one with the lowest [`keep`](WaitingJob::keep) is on top.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Selected {
    keep: f64,
    index: usize,
}

impl Eq for Selected {}

impl Ord for Selected {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_keep = other.keep.total_cmp(&self.keep);
        by_keep.then(self.index.cmp(&other.index))
    }
}

impl PartialOrd for Selected {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Selects the jobs that are on time together, with `work_ahead` before them; returns their indexes
/// and their work.
///
/// Moore and Hodgson's rule with values: jobs are added by due time, and whenever one would be late,
/// those selected so far that are worth least per core-second are dropped until it is on time. If
/// they are worth more than the job, it is dropped itself. Among jobs beyond the share of their
/// workspace, those with the highest start tags are dropped instead, whatever their value.
fn select(
    jobs: &[WaitingJob],
    mut candidates: Vec<usize>,
    capacity: &PoolCapacity,
    work_ahead: f64,
    margin: Margin,
) -> (Vec<usize>, f64) {
    candidates.sort_by(|a, b| by_due(&jobs[*a], &jobs[*b]));
    let mut selected: BinaryHeap<Selected> = BinaryHeap::with_capacity(candidates.len());
    let mut work = work_ahead;
    let mut dropped = Vec::new();
    for index in candidates {
        let job = &jobs[index];
        let time_left = job.time_left.unwrap_or(f64::INFINITY);
        let (mut lost, before) = (0.0, work);
        // A long job may be due last and still have to start first.
        while capacity.end_of(job, work, margin) > time_left && lost < job.value {
            let least = selected.peek_mut();
            let Some(least) = least.filter(|least| job.in_share || least.keep < job.keep()) else {
                break;
            };
            let least = PeekMut::pop(least);
            work -= jobs[least.index].work;
            if job.in_share {
                lost += jobs[least.index].value;
            }
            dropped.push(least);
        }
        let on_time = capacity.end_of(job, work, margin) <= time_left;
        if on_time && lost < job.value {
            dropped.clear();
            work += job.work;
            let keep = job.keep();
            selected.push(Selected { keep, index });
        } else {
            selected.extend(dropped.drain(..));
            work = before;
        }
    }
    (selected.into_iter().map(|job| job.index).collect(), work)
}

fn by_due(a: &WaitingJob, b: &WaitingJob) -> Ordering {
    let due = |job: &WaitingJob| job.time_left.unwrap_or(f64::INFINITY);
    due(a)
        .total_cmp(&due(b))
        .then(a.priority.cmp(&b.priority))
        .then(a.id.cmp(&b.id))
}

/// Decides the order in which the waiting jobs of a pool get free capacity.
///
/// Returns each job's index and turn. Jobs within their workspace's share come before all others,
/// except that jobs of no use come last. Among them come
///
/// 1. the jobs that are on time together, allowing for errors of the estimates (see `select`), by
///    start tag and due time;
/// 2. the others that can still be on time, by value per core-second;
/// 3. late jobs, by the same.
///
/// Of two jobs that need the same work and time, are in the same position to their shares and can
/// both be on time, the one with the higher priority, or else the earlier due time, comes first.
pub fn shed_order(jobs: &[WaitingJob], capacity: &PoolCapacity) -> Vec<(usize, Turn)> {
    let mut turns: Vec<Turn> = jobs.iter().map(turn_alone).collect();
    let mut work_ahead = 0.0;
    for in_share in [true, false] {
        let can_be_on_time =
            |index: &usize| jobs[*index].in_share == in_share && turns[*index] == Turn::Wait;
        let candidates = (0..jobs.len()).filter(can_be_on_time).collect();
        let (selected, work) = select(jobs, candidates, capacity, work_ahead, Margin::ORDER);
        work_ahead = work;
        for index in selected {
            turns[index] = Turn::Start;
        }
    }
    let mut order: Vec<_> = turns.into_iter().enumerate().collect();
    order.sort_by(|(a, turn_a), (b, turn_b)| {
        let (a, b) = (&jobs[*a], &jobs[*b]);
        let useless = |turn: &Turn| *turn == Turn::YieldToAll;
        let first = useless(turn_a)
            .cmp(&useless(turn_b))
            .then(b.in_share.cmp(&a.in_share))
            .then(turn_a.cmp(turn_b));
        first.then_with(|| match turn_a {
            Turn::Start => a.start_tag.total_cmp(&b.start_tag).then(by_due(a, b)),
            _ => b.density().total_cmp(&a.density()).then(by_due(a, b)),
        })
    });
    put_urgent_first(jobs, &mut order);
    order
}

/// Returns the turn of a job without regard to other jobs.
fn turn_alone(job: &WaitingJob) -> Turn {
    if job.is_useless() {
        Turn::YieldToAll
    } else if job.is_late() {
        Turn::Yield
    } else {
        Turn::Wait
    }
}

/// Exchanges the places of jobs of the same cost that can be on time, so that the more urgent ones
/// have the earlier places.
///
/// The selection may drop a job that is due soon and keep one of the same cost that is due later or
/// has a lower priority.
fn put_urgent_first(jobs: &[WaitingJob], order: &mut [(usize, Turn)]) {
    let cost = |index: usize| {
        let job = &jobs[index];
        let tag = job.start_tag.to_bits();
        (job.in_share, tag, job.work.to_bits(), job.path.to_bits())
    };
    let on_time = order.iter().enumerate();
    let on_time = on_time.filter(|(_, (_, turn))| *turn <= Turn::Wait);
    let mut places: Vec<_> = on_time
        .map(|(place, (index, _))| (cost(*index), place))
        .collect();
    places.sort_unstable();
    for group in places.chunk_by(|(a, _), (b, _)| a == b) {
        if group.len() < 2 {
            continue;
        }
        let mut members: Vec<_> = group.iter().map(|(_, place)| order[*place].0).collect();
        members.sort_by(|a, b| {
            let (a, b) = (&jobs[*a], &jobs[*b]);
            a.priority.cmp(&b.priority).then(by_due(a, b))
        });
        for ((_, place), member) in group.iter().zip(members) {
            order[*place].0 = member;
        }
    }
}

/// Decides whether to accept a new job.
///
/// `returning` is the work of refused jobs whose callers have been asked to come back later, in
/// core-seconds; it delays the time after which this one should.
///
/// The job is accepted if it is on time by the estimates and the sum of the values of the jobs that
/// are on time together rises; otherwise it is late, and is accepted if it ends while its result is
/// of use after all jobs that wait now. It yields then, and delays no job that is worth more. To
/// refuse also late jobs cost callers more than it gained: those that come back have less time left,
/// and where estimates are too long, a waiting job may still be on time. A job within its
/// workspace's share competes only with others within theirs. A job that is never late is accepted.
pub fn admit_new(
    job: &WaitingJob,
    waiting: &[WaitingJob],
    capacity: &PoolCapacity,
    returning: f64,
) -> NewJob {
    let Some(time_left) = job.time_left else {
        return NewJob::Accept;
    };
    if capacity.cores + capacity.incoming <= 0.0 {
        // The executors may just not be known yet.
        return NewJob::Accept;
    }
    let mut jobs: Vec<_> = waiting
        .iter()
        .filter(|other| other.in_share || !job.in_share)
        .copied()
        .collect();
    let mut work_ahead = 0.0;
    if !job.in_share {
        let (first, rest): (Vec<_>, Vec<_>) = jobs.into_iter().partition(|other| other.in_share);
        work_ahead = first.iter().map(|other| other.work).sum();
        jobs = rest;
    }
    let select = |jobs: &[WaitingJob]| {
        let can_be_on_time = |index: &usize| turn_alone(&jobs[*index]) == Turn::Wait;
        let candidates = (0..jobs.len()).filter(can_be_on_time).collect();
        let (selected, work) = select(jobs, candidates, capacity, work_ahead, Margin::NONE);
        let value: f64 = selected.iter().map(|index| jobs[*index].value).sum();
        (selected, work, value)
    };
    let total = work_ahead + jobs.iter().map(|other| other.work).sum::<f64>();
    let (_, _, value_without) = select(&jobs);
    jobs.push(*job);
    let (selected, _, value_with) = select(&jobs);
    // A waiting job is stored, while a refused one can come back; so the sum must rise.
    if selected.contains(&(jobs.len() - 1)) && value_with > value_without + 1e-9 {
        return NewJob::Accept;
    }
    if capacity.end_of(job, total, Margin::NONE) <= job.useful_left {
        return NewJob::Accept;
    }
    let slack = job.useful_left - job.path;
    let retry_after = capacity.wait(total + returning) - slack.max(0.0);
    NewJob::Refuse {
        retry_after: Duration::try_from_secs_f64(retry_after.max(0.0)).unwrap_or(Duration::MAX),
        basis: RefusalBasis {
            wait: capacity.wait(total),
            slack,
            work_ahead: total,
            late_anyway: capacity.end_of(job, 0.0, Margin::NONE) > time_left,
        },
    }
}
