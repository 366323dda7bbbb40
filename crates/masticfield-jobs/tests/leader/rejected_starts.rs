//! Starts that executors reject as malformed.

use std::collections::BTreeMap;
use std::time::Duration;

use masticfield_jobs::job::{JobId, RunId, TaskId};
use masticfield_jobs::leader::{
    Announcement, Call, CallError, ClaimWatch, Effect, Event, HoldReport, JobRequestKind, Leader,
    ListedEnd, ListedRun, Rejection, ReplyId,
};
use masticfield_jobs::state::{
    Command, CrashedRun, EndKind, ExecutorIncarnation, ExecutorKey, JobPhase, RunStart, State,
};
use rstest::rstest;

use crate::support::{incarnation, moment, options, state, submit};

/// What an executor does with a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    /// Nothing has run, but no answer tells.
    Unknown,
    Malformed,
    /// The task fails at once.
    Fails,
    /// The task runs on.
    Runs,
}

/// A leader with executors that announce themselves and answer polls.
struct Pool {
    leader: Leader,
    executors: Vec<ExecutorIncarnation>,
    running: BTreeMap<ExecutorKey, Vec<RunId>>,
    ended: BTreeMap<ExecutorKey, Vec<RunId>>,
    /// Time in milliseconds, executor and run of each start.
    starts: Vec<(u64, ExecutorKey, RunId)>,
    ms: u64,
}

impl Pool {
    /// Creates a pool of executors with keys from 1 on, and job 7 with one task.
    fn new(executors: u64) -> Self {
        let mut pool = Self::of(state(), executors);
        pool.play(2_000, |_| Answer::Runs);
        pool.leader.handle(moment(pool.ms), submit(7));
        pool
    }

    /// Creates a pool of executors with a state that has the first one.
    fn of(state: State, executors: u64) -> Self {
        let records = state.executors();
        let mut incarnations: Vec<_> = records
            .map(|(_, record)| record.incarnation.clone())
            .collect();
        incarnations.extend((2..=executors).map(|number| incarnation(&format!("e{number}"), 5)));
        let watch = ClaimWatch::new(Duration::ZERO);
        Self {
            leader: Leader::new(state, options(), watch, moment(0)),
            executors: incarnations,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            starts: Vec::new(),
            ms: 0,
        }
    }

    /// Plays a time with an answer to each start, which depends on the number of starts before.
    fn play(&mut self, ms: u64, answer: impl Fn(usize) -> Answer) {
        let end = self.ms + ms;
        while self.ms < end {
            if self.ms.is_multiple_of(500) {
                self.announce();
            }
            for effect in self.leader.decide(moment(self.ms)).after_commit {
                let Effect::Call { executor, call, .. } = effect else {
                    continue;
                };
                self.answer(executor, &call, &answer);
            }
            self.ms += 50;
        }
    }

    fn announce(&mut self) {
        for incarnation in &self.executors {
            let announcement = Announcement {
                incarnation: incarnation.clone(),
                sequence: self.ms + 1,
                clock_ms: 1_000 + self.ms,
                leaving: false,
            };
            let announced = Event::Announced {
                reply_to: ReplyId(self.ms),
                announcement,
            };
            self.leader.handle(moment(self.ms), announced);
        }
    }

    fn answer(&mut self, executor: ExecutorKey, call: &Call, answer: impl Fn(usize) -> Answer) {
        let clock_ms = 1_000 + self.ms;
        let event = match call {
            Call::Start { run, .. } => {
                let result = match answer(self.starts.len()) {
                    Answer::Unknown => Err(CallError::Unknown),
                    Answer::Malformed => Err(CallError::Rejected(Rejection::Malformed)),
                    Answer::Fails => {
                        self.ended.entry(executor).or_default().push(*run);
                        Ok(clock_ms)
                    }
                    Answer::Runs => {
                        self.running.entry(executor).or_default().push(*run);
                        Ok(clock_ms)
                    }
                };
                self.starts.push((self.ms, executor, *run));
                Event::StartResult {
                    executor,
                    run: *run,
                    result,
                }
            }
            Call::Hold { sent, .. } => {
                let running = self.running.get(&executor).into_iter().flatten();
                let ended = self.ended.get(&executor).into_iter().flatten();
                Event::HoldResult {
                    executor,
                    sent: *sent,
                    result: Ok(HoldReport {
                        clock_ms,
                        started_ms: Some(5),
                        running: running.map(|run| listed(*run)).collect(),
                        finished: (1..).zip(ended).map(failed).collect(),
                    }),
                }
            }
            Call::Stop { .. } => return,
        };
        self.leader.handle(moment(self.ms), event);
    }

    /// Returns the phase of the job, unless it is forgotten, and the number of failed runs of its task.
    fn outcome(&self) -> Option<(JobPhase, u32)> {
        let job = self.leader.state().job(JobId::new(7))?;
        let task = job.task(TaskId::new(JobId::new(7), 0, 0, 0));
        Some((job.phase, task.map_or(0, |task| task.failures)))
    }

    /// Returns the times between starts, in milliseconds.
    fn gaps(&self) -> Vec<u64> {
        let pairs = self.starts.windows(2);
        pairs.map(|pair| pair[1].0 - pair[0].0).collect()
    }
}

fn listed(run: RunId) -> ListedRun {
    ListedRun {
        run,
        saved: None,
        percent: 0,
        load: None,
    }
}

fn failed((number, run): (u64, &RunId)) -> ListedEnd {
    ListedEnd {
        number,
        run: *run,
        kind: EndKind::Failed,
        saved: None,
    }
}

/// Callers saw a job as failed of which no task had run.
#[rstest]
#[case::one_executor(1)]
#[case::three_executors(3)]
fn a_job_does_not_fail_by_starts_that_executors_reject_as_malformed(#[case] executors: u64) {
    let mut pool = Pool::new(executors);
    pool.play(5_000, |_| Answer::Malformed);
    let starts = &pool.starts;
    assert_eq!(pool.outcome(), Some((JobPhase::Open, 0)), "{starts:?}");
    pool.play(595_000, |_| Answer::Malformed);
    assert_eq!(
        pool.outcome(),
        Some((JobPhase::Open, 0)),
        "{:?}",
        pool.starts
    );
    // Seven or eight with delays that double, and one each minute then.
    assert!(pool.starts.len() <= 18, "{:?}", pool.gaps());
    let last = pool.gaps().last().copied();
    assert!(
        last.is_some_and(|gap| (59_000..62_000).contains(&gap)),
        "the task is tried on, but seldom: {:?}",
        pool.gaps()
    );
}

/// One executor may be at fault: the others are tried first, and the first of them at once.
#[test]
fn a_start_that_an_executor_rejects_as_malformed_is_tried_on_the_others_first() {
    let mut pool = Pool::new(3);
    pool.play(5_000, |starts| {
        if starts < 2 {
            Answer::Malformed
        } else {
            Answer::Runs
        }
    });
    let tried: Vec<_> = pool
        .starts
        .iter()
        .map(|(_, executor, _)| executor.0)
        .collect();
    let mut sorted = tried.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, [1, 2, 3], "{tried:?}");
    assert!(pool.gaps()[0] <= 100, "{:?}", pool.gaps());
    assert_eq!(pool.outcome(), Some((JobPhase::Open, 0)));
}

/// The task is accepted after four rejections and fails; the next rejection is the first in a row again.
#[test]
fn rejections_of_a_task_that_an_executor_has_accepted_since_do_not_delay_it() {
    let mut pool = Pool::new(1);
    pool.play(60_000, |starts| match starts {
        4 => Answer::Fails,
        6.. => Answer::Runs,
        _ => Answer::Malformed,
    });
    let gaps = pool.gaps();
    assert_eq!(pool.starts.len(), 7, "{gaps:?}");
    assert!(gaps[3] >= 8_000, "{gaps:?}");
    assert!(gaps[5] < 1_500, "{gaps:?}");
    assert_eq!(pool.outcome(), Some((JobPhase::Open, 1)));
}

/// The first orders of both tasks of a lasting step got no answer. Neither may be stopped while the
/// other is missing, so that both stay on their executors.
#[test]
fn a_start_that_may_not_be_stopped_is_not_repeated_all_the_time_if_it_is_rejected_as_malformed() {
    let mut event = submit(7);
    if let Event::JobRequest { request, .. } = &mut event
        && let JobRequestKind::Submit(spec) = &mut request.kind
    {
        let step = &mut spec.steps[0];
        (step.count, step.may_miss, step.long_running) = (2, 1, true);
    }
    let mut pool = Pool::of(state(), 2);
    pool.play(2_000, |_| Answer::Runs);
    pool.leader.handle(moment(pool.ms), event);
    pool.play(60_000, |starts| {
        if starts < 2 {
            Answer::Unknown
        } else {
            Answer::Malformed
        }
    });
    let first_runs = pool.starts.iter().filter(|(_, _, run)| run.number == 1);
    let count = first_runs.count();
    assert!(
        (8..=16).contains(&count),
        "{count} of {}",
        pool.starts.len()
    );
    assert_eq!(count, pool.starts.len(), "{:?}", pool.starts);
}

/// The job has crashed an executor, so that it is started on one in quarantine, which rejects it. Until
/// it may start there again, that executor is for other jobs.
#[test]
fn an_executor_does_not_stay_in_quarantine_for_a_task_that_it_rejects_as_malformed() {
    let mut state = state();
    let Event::JobRequest { request, .. } = submit(7) else {
        panic!("a submission is a request");
    };
    let JobRequestKind::Submit(spec) = request.kind else {
        panic!("a submission has a specification");
    };
    let (job, at_ms) = (JobId::new(7), moment(0).wall_ms);
    let task = TaskId::new(job, 0, 0, 0);
    let crashed = ExecutorKey(2);
    let runs = vec![CrashedRun {
        run: task.run(1),
        start: RunStart::Recent,
    }];
    for command in [
        Command::Submit {
            job,
            queue: state.queue_id("a.example", "/q/").expect("configured"),
            spec,
            at_ms,
        },
        Command::Enlist {
            executor: crashed,
            incarnation: incarnation("crashed", 5),
        },
        Command::Start {
            run: task.run(1),
            executor: crashed,
        },
        Command::ExecutorCrash { runs, at_ms },
        Command::Retire {
            executor: crashed,
            at_ms,
        },
    ] {
        assert!(state.apply(command.clone()), "{command:?}");
    }
    assert!(state.is_suspected(task));
    let mut pool = Pool::of(state, 1);
    pool.play(26_000, |_| Answer::Malformed);
    assert_eq!(pool.starts.len(), 5, "{:?}", pool.gaps());
    for other in 8..=10 {
        pool.leader.handle(moment(pool.ms), submit(other));
    }
    pool.play(1_000, |_| Answer::Runs);
    let others = pool.starts.iter().filter(|(_, _, run)| run.task.job != job);
    assert_eq!(others.count(), 3, "{:?}", pool.starts);
}
