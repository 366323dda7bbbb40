//! Plays of a leader with a task that ends each executor right after its start.

use std::time::Duration;

use masticfield_jobs::job::{JobId, JobSpec, Resources, RunId, StepSpec};
use masticfield_jobs::leader::{
    Announcement, Call, CallError, ClaimWatch, Effect, Event, HoldReport, JobRequest,
    JobRequestKind, Leader, LeaderOptions, Moment, ReplyId,
};
use masticfield_jobs::state::{ExecutorIncarnation, ExecutorKey, State};
use rstest::rstest;

use common::configure;

mod common;

/// Interval of decisions, in milliseconds.
const TICK_MS: usize = 20;

/// Interval of announcements, in milliseconds.
const ANNOUNCE_MS: u64 = 200;

/// Time of a play, in milliseconds.
const PLAY_MS: u64 = 60_000;

/// What happens around the starts of the task.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_excessive_bools, reason = "independent settings")]
struct Play {
    /// Whether an executor answers an order before it ends.
    answered: bool,
    /// Whether executors are back under the same identifier.
    same_id: bool,
    /// Time between two leaders, in milliseconds; 0 for one leader.
    change_every: u64,
    /// Time for which an executor is away, in milliseconds.
    away: u64,
    gang: bool,
    long_running: bool,
}

const PLAY: Play = Play {
    answered: true,
    same_id: false,
    change_every: 0,
    away: 3_000,
    gang: false,
    long_running: false,
};

/// An executor and its incarnations.
#[derive(Debug, Clone, Copy, Default)]
struct Executor {
    incarnation: u64,
    started_at: u64,
    back_at: Option<u64>,
}

impl Executor {
    fn id(self, index: usize, play: Play) -> String {
        if play.same_id {
            format!("{index}")
        } else {
            format!("{index}-{}", self.incarnation)
        }
    }

    /// Returns the clock, which starts at any value.
    const fn clock_ms(self, ms: u64) -> u64 {
        1_000_000 + ms - self.started_at
    }
}

fn moment(ms: u64) -> Moment {
    Moment {
        monotonic: Duration::from_secs(100) + Duration::from_millis(ms),
        wall_ms: 1_700_000_000_000 + ms,
    }
}

fn configured_state() -> State {
    let mut state = State::default();
    state.apply(configure(2));
    state
}

fn new_leader(state: State, ms: u64) -> Leader {
    let options = LeaderOptions::new(Duration::from_secs(5));
    Leader::new(state, options, ClaimWatch::default(), moment(ms))
}

fn submit(leader: &mut Leader, play: Play) {
    let spec = JobSpec {
        payload: "x".into(),
        steps: vec![StepSpec {
            count: 1,
            need: Resources {
                cpu_milli: 1_000,
                memory_mb: 10,
                gpus: 0,
            },
            estimate_ms: 500,
            gang: play.gang,
            long_running: play.long_running,
            ..StepSpec::default()
        }],
        timetable: None,
    };
    let request = JobRequest {
        authority: "a.example".into(),
        path: format!("/q/{}", JobId::new(1)),
        kind: JobRequestKind::Submit(spec),
        key: None,
    };
    let reply_to = ReplyId(1);
    leader.handle(moment(0), Event::JobRequest { reply_to, request });
}

fn announce(leader: &mut Leader, ms: u64, index: usize, executor: Executor, play: Play) {
    let id = executor.id(index, play);
    let incarnation = ExecutorIncarnation {
        address: format!("127.0.0.1:{id}").into(),
        id: id.into(),
        started_ms: 5 + executor.started_at,
        pool: "p".into(),
        zone: "z".into(),
        labels: Vec::new(),
        rack: None,
        capacity: Resources {
            cpu_milli: 4_000,
            memory_mb: 4_000,
            gpus: 0,
        },
    };
    let announcement = Announcement {
        incarnation,
        sequence: ms + 1,
        clock_ms: executor.clock_ms(ms),
        leaving: false,
    };
    let reply_to = ReplyId(2);
    leader.handle(
        moment(ms),
        Event::Announced {
            reply_to,
            announcement,
        },
    );
}

/// Answers a call to an executor; returns the run that it starts, which ends it.
fn answer(
    leader: &mut Leader,
    ms: u64,
    (key, executor, failure): (ExecutorKey, Executor, Option<CallError>),
    call: &Call,
    play: Play,
) -> Option<RunId> {
    let clock_ms = executor.clock_ms(ms);
    let reached = failure.map_or(Ok(clock_ms), Err);
    let mut started = None;
    let event = match call {
        Call::Start { run, .. } => {
            started = failure.is_none().then_some(*run);
            let result =
                reached.and_then(|clock| play.answered.then_some(clock).ok_or(CallError::Unknown));
            Event::StartResult {
                executor: key,
                run: *run,
                result,
            }
        }
        Call::Stop { run } => Event::StopResult {
            executor: key,
            run: *run,
            result: reached,
        },
        Call::Hold { sent, .. } => Event::HoldResult {
            executor: key,
            sent: *sent,
            result: reached.map(|clock_ms| HoldReport {
                clock_ms,
                started_ms: Some(5 + executor.started_at),
                running: Vec::new(),
                finished: Vec::new(),
            }),
        },
    };
    leader.handle(moment(ms), event);
    started
}

/// Plays a task that ends each executor right after its start; returns the number of starts.
fn starts(play: Play) -> usize {
    let mut leader = new_leader(configured_state(), 0);
    let mut executors = [Executor::default(); 6];
    let mut starts = 0;
    for ms in (0..PLAY_MS).step_by(TICK_MS) {
        if play.change_every > 0 && ms > 0 && ms % play.change_every == 0 {
            leader = new_leader(leader.state().clone(), ms);
        }
        for (index, executor) in executors.iter_mut().enumerate() {
            if executor.back_at.is_some_and(|back_at| ms >= back_at) {
                *executor = Executor {
                    incarnation: executor.incarnation + 1,
                    started_at: ms,
                    back_at: None,
                };
            }
            if executor.back_at.is_none() && ms % ANNOUNCE_MS == 0 {
                announce(&mut leader, ms, index, *executor, play);
            }
        }
        if ms == 0 {
            submit(&mut leader, play);
        }
        for effect in leader.decide(moment(ms)).after_commit {
            let Effect::Call {
                executor: key,
                id,
                call,
                ..
            } = effect
            else {
                continue;
            };
            let index: usize = id[..1].parse().expect("identifiers begin with the index");
            let executor = executors[index];
            let failure = if executor.back_at.is_some() {
                Some(CallError::Unknown)
            } else if *id == *executor.id(index, play) {
                None
            } else {
                Some(CallError::OtherIncarnation)
            };
            if answer(&mut leader, ms, (key, executor, failure), &call, play).is_some() {
                starts += 1;
                executors[index].back_at = Some(ms + play.away);
            }
        }
    }
    starts
}

/// Guards against a task that crashes one executor after the other.
#[rstest]
#[case::answered(PLAY)]
#[case::unanswered(Play { answered: false, ..PLAY })]
#[case::same_id(Play { same_id: true, ..PLAY })]
#[case::same_id_unanswered(Play { same_id: true, answered: false, ..PLAY })]
#[case::leader_changes(Play { change_every: 2_500, ..PLAY })]
#[case::leader_changes_same_id(Play { change_every: 2_500, same_id: true, ..PLAY })]
#[case::leader_changes_unanswered(Play { change_every: 2_000, answered: false, ..PLAY })]
#[case::lapsed_before_leader_changes(Play { change_every: 12_000, away: 25_000, ..PLAY })]
#[case::gang(Play { gang: true, ..PLAY })]
#[case::gang_same_id_unanswered(Play { gang: true, same_id: true, answered: false, ..PLAY })]
#[case::long_running(Play { long_running: true, ..PLAY })]
#[case::long_running_same_id(Play { long_running: true, same_id: true, ..PLAY })]
fn a_task_that_ends_its_executors_starts_five_times_in_a_minute_at_most(#[case] play: Play) {
    let starts = starts(play);
    assert!((2..=5).contains(&starts), "{starts} starts");
}

/// Guards against a long-running task that crashes executors under one leader after the other.
#[test]
fn a_long_running_task_that_ends_its_executors_starts_seldom_through_leader_changes() {
    let starts = starts(Play {
        long_running: true,
        change_every: 2_500,
        ..PLAY
    });
    assert!((2..=5).contains(&starts), "{starts} starts");
}
