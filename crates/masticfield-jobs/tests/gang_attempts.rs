//! Failed attempts of gangs: a run of a gang fails once, however many of its members do.

use std::time::Duration;

use masticfield_jobs::job::{JobId, JobSpec, Resources, RunId, StepSpec, TaskId};
use masticfield_jobs::leader::{
    ClaimWatch, Event, HoldReport, JobRequest, JobRequestKind, Leader, LeaderOptions, ListedEnd,
    Moment, ReplyId,
};
use masticfield_jobs::queue::QueueId;
use masticfield_jobs::state::{
    Command, EndKind, ExecutorIncarnation, ExecutorKey, JobRecord, JobStatus, State,
};
use rstest::rstest;

use Action::{End, Retire, Start};
use common::configure;

mod common;

const JOB: JobId = JobId::new(7);

const MEMBERS: u32 = 3;

/// How leaders record that a member of a gang has failed.
const FAILED: EndKind = EndKind::MemberFailed;

/// All orders in which the members may end.
const ORDERS: [[u32; 3]; 6] = [
    [0, 1, 2],
    [0, 2, 1],
    [1, 0, 2],
    [1, 2, 0],
    [2, 0, 1],
    [2, 1, 0],
];

/// What happens to the gang in the first step of [`JOB`], or to the one in another step.
#[derive(Debug, Clone, Copy)]
enum Action {
    /// All members start, with the number of the run.
    Start(u32),
    /// A run of a member ends, by its number.
    End(u32, u32, EndKind),
    /// The executor of a member ends, and another takes its place.
    Retire(u32),
}

fn incarnation(id: &str) -> ExecutorIncarnation {
    ExecutorIncarnation {
        id: id.into(),
        started_ms: 5,
        pool: "p".into(),
        address: format!("127.0.0.1:{id}").into(),
        zone: "z".into(),
        labels: Vec::new(),
        rack: None,
        capacity: Resources {
            cpu_milli: 16_000,
            memory_mb: 4_000,
            gpus: 0,
        },
    }
}

fn gang() -> StepSpec {
    StepSpec {
        count: MEMBERS,
        need: Resources {
            cpu_milli: 1_000,
            memory_mb: 10,
            gpus: 0,
        },
        estimate_ms: 500,
        gang: true,
        ..StepSpec::default()
    }
}

fn spec() -> JobSpec {
    let second = StepSpec {
        depends_on: vec![0],
        ..gang()
    };
    JobSpec {
        payload: "x".into(),
        steps: vec![gang(), second],
        timetable: None,
    }
}

/// A job with two steps, each of which is a gang.
fn state(max_attempts: u32) -> State {
    let mut state = State::default();
    state.apply(configure(max_attempts));
    state.apply(Command::Submit {
        job: JOB,
        queue: QueueId(0),
        spec: spec(),
        at_ms: 1,
    });
    for member in 0..MEMBERS {
        enlist(&mut state, member);
    }
    state
}

fn enlist(state: &mut State, member: u32) {
    let executor = state.next_executor_key();
    let incarnation = incarnation(&member.to_string());
    assert!(state.apply(Command::Enlist {
        executor,
        incarnation,
    }));
}

/// Returns the executor of a member, which runs nothing else.
fn executor_of(state: &State, member: u32) -> ExecutorKey {
    let id = member.to_string();
    let mut executors = state.executors();
    let found = executors.find(|(_, executor)| *executor.incarnation.id == *id);
    found.map(|(key, _)| key).expect("enlisted")
}

const fn member(step: u16, index: u32) -> TaskId {
    TaskId::new(JOB, 0, step, index)
}

fn act(state: &mut State, step: u16, action: Action) {
    match action {
        Start(number) => {
            for index in 0..MEMBERS {
                let executor = executor_of(state, index);
                let run = member(step, index).run(number);
                let is_open = status(state) != Some(JobStatus::Failed);
                assert_eq!(state.apply(Command::Start { run, executor }), is_open);
            }
        }
        End(index, number, kind) => {
            let executor = executor_of(state, index);
            state.apply(Command::End {
                run: member(step, index).run(number),
                executor,
                kind,
                saved: None,
                at_ms: 5,
            });
        }
        Retire(index) => {
            let executor = executor_of(state, index);
            state.apply(Command::Retire { executor, at_ms: 5 });
            enlist(state, index);
        }
    }
}

fn status(state: &State) -> Option<JobStatus> {
    state.job(JOB).map(JobRecord::status)
}

fn failures(state: &State, step: u16) -> Option<u32> {
    let attempts = state.attempts(member(step, 0));
    attempts.map(|attempts| attempts.failures)
}

/// Guards against a gang that uses up its attempts with one run, as the failed ends of its members are
/// added up.
#[rstest]
#[case::one_and_the_others_broken([FAILED, EndKind::Broken, EndKind::Broken])]
#[case::one_and_the_others_stopped([FAILED, EndKind::Stopped, EndKind::Stopped])]
#[case::one_and_the_others_lapsed([FAILED, EndKind::Lapsed, EndKind::Lapsed])]
#[case::one_and_the_others_gone([FAILED, EndKind::Gone, EndKind::Gone])]
#[case::two_and_the_other_broken([FAILED, FAILED, EndKind::Broken])]
#[case::two_and_the_other_stopped([FAILED, FAILED, EndKind::Stopped])]
#[case::two_and_the_other_lapsed([FAILED, FAILED, EndKind::Lapsed])]
#[case::two_and_the_other_gone([FAILED, FAILED, EndKind::Gone])]
#[case::all([FAILED, FAILED, FAILED])]
fn a_job_fails_with_the_last_attempt_of_its_gang(
    #[case] kinds: [EndKind; 3],
    #[values(1, 2, 3, 4)] max_attempts: u32,
) {
    for order in ORDERS {
        let mut state = state(max_attempts);
        for number in 1..=max_attempts {
            act(&mut state, 0, Start(number));
            let mut failed = false;
            for (index, kind) in order.into_iter().zip(kinds) {
                failed |= kind == FAILED;
                act(&mut state, 0, End(index, number, kind));
                let used_up = number == max_attempts && failed;
                let is_failed = status(&state) == Some(JobStatus::Failed);
                assert_eq!(is_failed, used_up, "run {number}, {index} of {order:?}");
            }
        }
    }
}

/// The same with the ends before the first failed one, which all count as none.
#[rstest]
#[case::broken(EndKind::Broken)]
#[case::stopped(EndKind::Stopped)]
#[case::lapsed(EndKind::Lapsed)]
#[case::gone(EndKind::Gone)]
#[case::alone(EndKind::Alone)]
#[case::not_run(EndKind::NotRun)]
fn a_run_whose_first_member_ends_otherwise_fails_once(
    #[case] kind: EndKind,
    #[values(1, 2, 3, 4)] max_attempts: u32,
) {
    let mut state = state(max_attempts);
    for number in 1..=max_attempts {
        act(&mut state, 0, Start(number));
        act(&mut state, 0, End(2, number, kind));
        assert_eq!(failures(&state, 0), Some(number - 1));
        act(&mut state, 0, End(0, number, FAILED));
        assert_eq!(failures(&state, 0), Some(number));
        act(&mut state, 0, End(1, number, FAILED));
        let is_failed = status(&state) == Some(JobStatus::Failed);
        assert_eq!(is_failed, number == max_attempts, "run {number}");
    }
}

/// The attempts that each sequence leaves. With one more in the configuration the job goes on, and with
/// as many it has failed. Each state is that of a replica which has just loaded a snapshot.
#[rstest]
#[case::repeated(&[Start(1), End(0, 1, FAILED), End(0, 1, FAILED), End(0, 1, FAILED)], 1)]
#[case::after_the_next_run_has_started(
    &[Start(1), End(0, 1, FAILED), Start(2), End(1, 1, FAILED), End(2, 1, FAILED)], 1
)]
#[case::after_the_next_run_has_failed(
    &[
        Start(1), End(0, 1, FAILED), Start(2), End(0, 2, FAILED), End(1, 1, FAILED),
        End(1, 2, FAILED), End(2, 1, FAILED), End(2, 2, FAILED),
    ],
    2
)]
#[case::only_after_the_next_run_has_failed(
    &[Start(1), Start(2), End(0, 2, FAILED), End(1, 1, FAILED), End(2, 1, FAILED)], 2
)]
#[case::after_two_further_runs(
    &[
        Start(1), End(0, 1, FAILED), Start(2), End(0, 2, FAILED), Start(4), End(0, 4, FAILED),
        End(1, 1, FAILED), End(1, 2, FAILED), End(1, 4, FAILED),
    ],
    3
)]
#[case::after_its_lease_expired(
    &[Start(1), End(0, 1, EndKind::Lapsed), End(1, 1, FAILED), End(2, 1, FAILED), End(0, 1, FAILED)],
    1
)]
#[case::after_its_executor_has_ended(
    &[Start(1), End(0, 1, FAILED), Retire(1), End(1, 1, FAILED), End(2, 1, FAILED)], 1
)]
#[case::of_another_run_after_executors_have_ended(
    &[
        Start(1), Retire(0), Retire(1), End(2, 1, FAILED), Start(2), Retire(2), End(0, 2, FAILED),
        End(1, 2, FAILED),
    ],
    2
)]
#[case::runs_without_a_failed_end_between(
    &[
        Start(1), End(0, 1, FAILED), End(1, 1, FAILED), End(2, 1, EndKind::Broken), Start(2),
        Retire(0), End(1, 2, EndKind::Broken), End(2, 2, EndKind::Broken), Start(3),
        End(0, 3, EndKind::Stopped), End(2, 3, FAILED), End(1, 3, FAILED),
    ],
    2
)]
fn each_failed_run_counts_once_whenever_its_ends_are_reported(
    #[case] actions: &[Action],
    #[case] expected: u32,
) {
    for (spare, status_after) in [(1, JobStatus::Queued), (0, JobStatus::Failed)] {
        let mut state = state(expected + spare);
        for action in actions {
            act(&mut state, 0, *action);
            let restored = State::from_snapshot(&state.to_snapshot()).expect("a snapshot");
            assert_eq!(restored, state);
            state = restored;
        }
        assert_eq!(status(&state), Some(status_after));
        if spare > 0 {
            assert_eq!(failures(&state, 0), Some(expected));
        }
    }
}

/// Guards against a job that fails by members which fail once another one is done, and against attempts
/// of one gang that count for another.
#[test]
fn a_gang_that_is_done_has_no_further_attempts() {
    let mut state = state(2);
    for action in [
        Start(1),
        End(0, 1, FAILED),
        End(1, 1, EndKind::Broken),
        End(2, 1, EndKind::Broken),
        Start(2),
        End(0, 2, EndKind::Done),
        End(1, 2, FAILED),
        End(2, 2, FAILED),
    ] {
        act(&mut state, 0, action);
    }
    assert_eq!(status(&state), Some(JobStatus::Running));
    for action in [Start(1), End(0, 1, FAILED), End(1, 1, FAILED)] {
        act(&mut state, 1, action);
    }
    assert_eq!(failures(&state, 1), Some(1));
    assert_eq!(status(&state), Some(JobStatus::Running));
    for action in [Start(2), End(2, 2, FAILED)] {
        act(&mut state, 1, action);
    }
    assert_eq!(status(&state), Some(JobStatus::Failed));
}

/// Guards against records of failed runs that grow as long as a job runs, where no limit needs them.
#[rstest]
#[case::gang(true, false, true)]
#[case::long_running_gang(true, true, false)]
#[case::no_gang(false, false, false)]
#[case::long_running(false, true, false)]
fn members_share_their_attempts_if_these_are_limited(
    #[case] gang_of_tasks: bool,
    #[case] long_running: bool,
    #[case] expected: bool,
) {
    let step = StepSpec {
        gang: gang_of_tasks,
        long_running,
        ..gang()
    };
    let mut state = State::default();
    state.apply(configure(2));
    state.apply(Command::Submit {
        job: JOB,
        queue: QueueId(0),
        spec: JobSpec {
            steps: vec![step],
            ..spec()
        },
        at_ms: 1,
    });
    assert_eq!(state.shares_attempts(member(0, 0)), expected);
}

/// The version before counted each failed end of a member. Guards against a replica that replays its log
/// and one that loads its snapshot which show different jobs as failed.
///
/// The log has three jobs, of which the first has two failed ends in one run and the third as many in a
/// run that goes on. The second has failed with three in one run and one in the next; four are allowed.
#[test]
fn a_log_and_a_snapshot_of_the_version_before_have_the_attempts_that_it_counted() {
    let log = include_bytes!("data/log-before-gang-attempts.bin");
    let snapshot = include_bytes!("data/snapshot-before-gang-attempts.bin");
    let mut replayed = State::default();
    for command in postcard::from_bytes::<Vec<Command>>(log).expect("a log") {
        assert!(replayed.apply(command));
    }
    let mut loaded = State::from_snapshot(snapshot).expect("a snapshot");
    assert_eq!(loaded, replayed);
    let attempts = [7, 8, 9].map(|job| {
        let attempts = loaded.attempts(TaskId::new(JobId::new(job), 0, 0, 0));
        attempts.map(|attempts| attempts.failures)
    });
    assert_eq!(attempts, [Some(2), Some(4), Some(2)]);
    let failed = [7, 8, 9].map(|job| {
        let job = loaded.job(JobId::new(job));
        job.map(JobRecord::status) == Some(JobStatus::Failed)
    });
    assert_eq!(failed, [false, true, false]);
    for number in [2, 3] {
        assert_ne!(status(&loaded), Some(JobStatus::Failed));
        for action in [
            Start(number),
            End(0, number, FAILED),
            End(1, number, FAILED),
        ] {
            act(&mut loaded, 0, action);
            act(&mut replayed, 0, action);
            assert_eq!(loaded, replayed);
        }
    }
    assert_eq!(status(&loaded), Some(JobStatus::Failed));
}

fn moment(elapsed_ms: u64) -> Moment {
    Moment {
        monotonic: Duration::from_secs(100) + Duration::from_millis(elapsed_ms),
        wall_ms: 1_700_000_000_000 + elapsed_ms,
    }
}

fn starts(commands: &[Command]) -> Vec<(RunId, ExecutorKey)> {
    let starts = commands.iter().filter_map(|command| match command {
        Command::Start { run, executor } => Some((*run, *executor)),
        _ => None,
    });
    starts.collect()
}

/// Executors fail all members of each run of a gang.
#[test]
fn a_leader_starts_a_gang_again_until_it_has_failed_as_often_as_configured() {
    let mut state = State::default();
    state.apply(configure(3));
    for id in 0..4 {
        enlist(&mut state, id);
    }
    let options = LeaderOptions::new(Duration::from_secs(5));
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state, options, watch, moment(0));
    let request = JobRequest {
        authority: "a.example".into(),
        path: format!("/q/{JOB}"),
        kind: JobRequestKind::Submit(spec()),
        key: None,
    };
    let reply_to = ReplyId(1);
    leader.handle(moment(2), Event::JobRequest { reply_to, request });
    let executors: Vec<_> = leader.state().executors().map(|(key, _)| key).collect();
    for executor in executors {
        hold(&mut leader, 10, executor, Vec::new());
    }
    let mut ends = 0;
    for attempt in 1..=3 {
        let ms = u64::from(attempt) * 100;
        let started = starts(&leader.decide(moment(ms)).commands);
        let numbers: Vec<_> = started.iter().map(|(run, _)| run.number).collect();
        assert_eq!(numbers, [attempt; 3], "the gang starts");
        for (run, executor) in started {
            ends += 1;
            let ended = ListedEnd {
                number: ends,
                run,
                kind: EndKind::Failed,
                saved: None,
            };
            hold(&mut leader, ms + 90, executor, vec![ended]);
        }
        let is_failed = status(leader.state()) == Some(JobStatus::Failed);
        assert_eq!(is_failed, attempt == 3, "after attempt {attempt}");
    }
}

/// Lets an executor answer a poll with the runs that have ended.
fn hold(leader: &mut Leader, ms: u64, executor: ExecutorKey, finished: Vec<ListedEnd>) {
    let report = HoldReport {
        clock_ms: ms,
        started_ms: Some(5),
        running: Vec::new(),
        finished,
    };
    let result = Ok(report);
    let sent = moment(ms - 5).monotonic;
    leader.handle(
        moment(ms),
        Event::HoldResult {
            executor,
            sent,
            result,
        },
    );
}
