//! Tasks that crash executors: how crashes are counted, and where suspected tasks start.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use masticfield_jobs::job::{JobId, JobSpec, Resources, RunId, StepSpec, TaskId};
use masticfield_jobs::leader::{
    Announcement, CallError, ClaimWatch, Event, HoldReport, JobRequest, JobRequestKind, Leader,
    LeaderOptions, ListedEnd, ListedRun, Moment, ReplyId,
};
use masticfield_jobs::queue::QueueId;
use masticfield_jobs::state::{
    Command, CrashedRun, EndKind, ExecutorIncarnation, ExecutorKey, JobStatus, RunStart, State,
};
use rstest::rstest;

use common::configure;

mod common;

const EXECUTOR: ExecutorKey = ExecutorKey(1);

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
            cpu_milli: 4_000,
            memory_mb: 4_000,
            gpus: 0,
        },
    }
}

fn spec(long_running: bool) -> JobSpec {
    JobSpec {
        payload: "x".into(),
        steps: vec![StepSpec {
            count: 1,
            need: Resources {
                cpu_milli: 1_000,
                memory_mb: 10,
                gpus: 0,
            },
            estimate_ms: 500,
            long_running,
            ..StepSpec::default()
        }],
        timetable: None,
    }
}

fn state(jobs: u64, long_running: bool) -> State {
    let mut state = State::default();
    state.apply(configure(2));
    state.apply(Command::Enlist {
        executor: EXECUTOR,
        incarnation: incarnation("e1"),
    });
    for job in 1..=jobs {
        state.apply(Command::Submit {
            job: JobId::new(job),
            queue: QueueId(0),
            spec: spec(long_running),
            at_ms: 1,
        });
    }
    state
}

const fn task(job: u64) -> TaskId {
    TaskId::new(JobId::new(job), 0, 0, 0)
}

/// Returns the next run of each job's task.
fn crashed_runs(state: &State, runs: &[(u64, RunStart)]) -> Vec<CrashedRun> {
    let runs = runs.iter().map(|(job, start)| CrashedRun {
        run: task(*job).run(state.crashes(task(*job)).0 + 1),
        start: *start,
    });
    runs.collect()
}

fn crash(state: &mut State, runs: &[(u64, RunStart)]) {
    let runs = crashed_runs(state, runs);
    state.apply(Command::ExecutorCrash { runs, at_ms: 9 });
}

fn has_failed(state: &State, job: u64) -> bool {
    let job = state.job(JobId::new(job));
    job.is_some_and(|job| job.status() == JobStatus::Failed)
}

/// Crashes under job 1, each with the runs beside it, and the number after which it is given up by the
/// log of an earlier version.
#[rstest]
#[case::alone(RunStart::Recent, None, 2)]
#[case::beside_older_runs(RunStart::Recent, Some(RunStart::Past), 2)]
#[case::beside_another_start(RunStart::Recent, Some(RunStart::Recent), 5)]
#[case::long_after_its_start(RunStart::Past, None, 5)]
#[case::never_known_to_have_started(RunStart::Unanswered, None, 5)]
fn a_log_of_an_earlier_version_gives_up_the_tasks_that_it_did(
    #[case] start: RunStart,
    #[case] beside: Option<RunStart>,
    #[case] expected: usize,
) {
    let mut state = state(8, false);
    let given_up = (1..20).find(|number| {
        let other = beside.map(|start| (number % 7 + 2, start));
        let runs: Vec<_> = [(1, start)].into_iter().chain(other).collect();
        let runs = crashed_runs(&state, &runs);
        state.apply(Command::Crash { runs, at_ms: 9 });
        has_failed(&state, 1)
    });
    assert_eq!(given_up, Some(expected as u64));
}

/// Guards against a sound job that is shown as failed, as its executors crashed for other reasons.
#[rstest]
#[case::long_after_its_start(&[RunStart::Past], None)]
#[case::long_after_the_start_of_both(&[RunStart::Past], Some(RunStart::Past))]
#[case::never_known_to_have_started(&[RunStart::Unanswered], None)]
#[case::right_after_its_start_but_not_apart(&[RunStart::Recent], None)]
#[case::beside_another_start(&[RunStart::Isolated], Some(RunStart::Recent))]
#[case::beside_another_unanswered_start(&[RunStart::Isolated], Some(RunStart::Unanswered))]
#[case::at_its_start_three_times_in_four(
    &[RunStart::Recent, RunStart::Isolated, RunStart::Isolated, RunStart::Past], None
)]
fn a_job_does_not_fail_by_crashes_that_others_may_have_caused(
    #[case] starts: &[RunStart],
    #[case] beside: Option<RunStart>,
) {
    let mut state = state(8, false);
    for (number, start) in (0..40).zip(starts.iter().cycle()) {
        if *start == RunStart::Past {
            state.apply(Command::Survived { task: task(1) });
        }
        let other = beside.map(|start| (number % 7 + 2, start));
        let runs: Vec<_> = [(1, *start)].into_iter().chain(other).collect();
        crash(&mut state, &runs);
        assert!(!has_failed(&state, 1), "after {} crashes", number + 1);
    }
}

/// The first crash is beside other starts; then the task starts in quarantine.
#[rstest]
#[case::alone(None)]
#[case::beside_older_runs(Some(RunStart::Past))]
fn a_task_is_given_up_after_the_fifth_crash_in_a_row_at_its_start(
    #[case] beside: Option<RunStart>,
) {
    let mut state = state(8, false);
    crash(&mut state, &[(1, RunStart::Recent), (2, RunStart::Recent)]);
    let given_up = (2..20).find(|number| {
        let other = beside.map(|start| (number % 7 + 2, start));
        let runs: Vec<_> = [(1, RunStart::Isolated)].into_iter().chain(other).collect();
        crash(&mut state, &runs);
        has_failed(&state, 1)
    });
    assert_eq!(given_up, Some(5));
}

#[test]
fn a_long_running_task_outlives_any_number_of_executors() {
    let mut state = state(1, true);
    for _ in 0..20 {
        crash(&mut state, &[(1, RunStart::Past)]);
        crash(&mut state, &[(1, RunStart::Recent)]);
        state.apply(Command::Survived { task: task(1) });
    }
    for _ in 0..20 {
        crash(&mut state, &[(1, RunStart::Isolated)]);
    }
    assert!(!has_failed(&state, 1));
}

/// The delays before the next start, by the crashes before.
#[rstest]
#[case::at_its_start(RunStart::Isolated, false, &[0, 10_000, 60_000, 360_000])]
#[case::at_the_start_of_a_long_running_task(
    RunStart::Isolated, true, &[0, 0, 10_000, 60_000, 360_000, 2_160_000, 3_600_000, 3_600_000]
)]
#[case::later(
    RunStart::Past, false, &[0, 0, 0, 0, 2_000, 4_000, 8_000, 16_000, 32_000, 60_000, 60_000]
)]
#[case::later_under_a_long_running_task(RunStart::Past, true, &[0, 0, 0, 0, 0, 0])]
fn each_crash_of_an_executor_delays_the_next_start_of_its_task_further(
    #[case] start: RunStart,
    #[case] long_running: bool,
    #[case] expected: &[u64],
) {
    let mut state = state(1, long_running);
    for delay_ms in expected {
        crash(&mut state, &[(1, start)]);
        let delay = state.restart_delay_ms(task(1), 0);
        let range = *delay_ms..=delay_ms + delay_ms / 2;
        assert!(range.contains(&delay), "{delay} ms, not {range:?}");
    }
}

/// Crashes that recur at a fixed interval would otherwise meet the same tasks each time.
#[test]
fn delays_of_restarts_differ_between_jobs_and_crashes() {
    let mut state = state(8, false);
    let mut delays = BTreeSet::new();
    for job in 1..=8 {
        crash(&mut state, &[(job, RunStart::Recent)]);
        for _ in 0..2 {
            crash(&mut state, &[(job, RunStart::Isolated)]);
            delays.insert(state.restart_delay_ms(task(job), 0));
        }
    }
    assert_eq!(delays.len(), 16, "{delays:?}");
}

/// Guards against a job that is given up although no executor may have begun its task.
#[test]
fn starts_without_an_answer_do_not_prove_that_a_task_crashes_executors() {
    let mut state = state(1, false);
    crash(&mut state, &[(1, RunStart::Recent)]);
    crash(&mut state, &[(1, RunStart::Isolated)]);
    for _ in 0..20 {
        crash(&mut state, &[(1, RunStart::Unanswered)]);
        crash(&mut state, &[(1, RunStart::Unknown)]);
    }
    assert!(!has_failed(&state, 1));
}

/// Leaders and incarnations that follow each other report the end of one run again and again.
#[test]
fn a_run_counts_once_towards_the_delay_of_its_task() {
    let mut state = state(1, false);
    crash(&mut state, &[(1, RunStart::Recent)]);
    let run = task(1).run(2);
    let start = RunStart::Unknown;
    for _ in 0..10 {
        let runs = vec![CrashedRun { run, start }];
        state.apply(Command::ExecutorCrash { runs, at_ms: 9 });
    }
    assert_eq!(state.crashes(task(1)), (2, 2));
}

/// Guards against a job that is given up by a run that no executor is known to have begun.
#[rstest]
fn a_job_is_not_given_up_by_a_start_without_an_answer(
    #[values(RunStart::Unanswered, RunStart::Unknown)] start: RunStart,
) {
    let mut state = state(1, false);
    crash(&mut state, &[(1, RunStart::Recent)]);
    for _ in 0..2 {
        crash(&mut state, &[(1, RunStart::Isolated)]);
    }
    for _ in 0..2 {
        crash(&mut state, &[(1, start)]);
    }
    assert!(!has_failed(&state, 1));
}

/// Guards against a run that counts again once a later run of its task has been counted.
#[test]
fn runs_that_are_reported_in_turns_count_once_each() {
    let mut state = state(1, false);
    for number in [1, 2, 1, 2] {
        let (run, start) = (task(1).run(number), RunStart::Unknown);
        let runs = vec![CrashedRun { run, start }];
        state.apply(Command::ExecutorCrash { runs, at_ms: 9 });
    }
    let (crashes, _) = state.crashes(task(1));
    assert_eq!(crashes, 2);
}

/// Lets a new leader start the task of job 1, whose executors have crashed at a wall-clock time.
fn first_start_after_crashes(gang: bool, crashed_ms: u64) -> Option<u64> {
    let mut state = state(0, false);
    let mut spec = spec(false);
    spec.steps[0].gang = gang;
    let (job, queue) = (JobId::new(1), QueueId(0));
    state.apply(Command::Submit {
        job,
        queue,
        spec,
        at_ms: 1,
    });
    for number in 1..=2 {
        let (run, start) = (task(1).run(number), RunStart::Recent);
        state.apply(Command::ExecutorCrash {
            runs: vec![CrashedRun { run, start }],
            at_ms: crashed_ms,
        });
    }
    let options = LeaderOptions::new(Duration::from_secs(5));
    let mut leader = Leader::new(state, options, ClaimWatch::default(), moment(0));
    let start = next_start(&mut leader, 0);
    start.map(|(ms, _)| ms)
}

/// A clock that is ahead must not hold up a task for longer than the delay.
#[rstest]
#[case::just_before(false, moment(0).wall_ms, 10_000..=15_200)]
#[case::of_a_gang(true, moment(0).wall_ms, 10_000..=15_200)]
#[case::by_a_clock_that_was_an_hour_ahead(false, moment(3_600_000).wall_ms, 10_000..=15_200)]
#[case::long_ago(false, 1_600_000_000_000, 0..=300)]
fn a_new_leader_delays_the_next_start_after_crashes(
    #[case] gang: bool,
    #[case] crashed_ms: u64,
    #[case] expected: RangeInclusive<u64>,
) {
    let first = first_start_after_crashes(gang, crashed_ms);
    assert!(first.is_some_and(|ms| expected.contains(&ms)), "{first:?}");
}

#[test]
fn a_task_that_has_crashed_an_executor_in_quarantine_waits_before_its_next_start() {
    let mut leader = leader_with(&["e1", "e2", "e3", "e4"]);
    submit(&mut leader, 0, 1);
    let mut at = 0;
    let mut waits = Vec::new();
    for _ in 0..4 {
        let (ms, start) = next_start(&mut leader, at).expect("the task starts again");
        waits.push(ms - at);
        answer_start(&mut leader, ms + 5, start);
        replace(&mut leader, ms + 1_000, start.1);
        at = ms + 1_000;
    }
    let expected = [0..=0, 0..=0, 10_000..=15_100, 60_000..=90_100];
    let as_expected = |(wait, range): (&u64, &RangeInclusive<u64>)| range.contains(wait);
    assert!(waits.iter().zip(&expected).all(as_expected), "{waits:?}");
    assert!(!has_failed(leader.state(), 1));
}

/// Lets executors announce themselves until a task starts; returns when it does, and where.
fn next_start(leader: &mut Leader, from: u64) -> Option<(u64, (RunId, ExecutorKey))> {
    (0..2_000).map(|tick| from + tick * 100).find_map(|ms| {
        for id in ["e1", "e2", "e3", "e4"] {
            announce(leader, ms, id, false);
        }
        starts(leader, ms).first().map(|start| (ms, *start))
    })
}

/// An executor that crashes before it answers shows only that its unanswered runs are suspect.
#[rstest]
#[case::recent([RunStart::Recent, RunStart::Unanswered, RunStart::Past], [true, false, false])]
#[case::unanswered([RunStart::Unanswered, RunStart::Past, RunStart::Past], [true, false, false])]
#[case::past([RunStart::Past, RunStart::Past, RunStart::Past], [false, false, false])]
fn runs_are_suspected_by_what_is_known_of_their_start(
    #[case] starts: [RunStart; 3],
    #[case] expected: [bool; 3],
) {
    let mut state = state(3, false);
    let runs: Vec<_> = (1..).zip(starts).collect();
    crash(&mut state, &runs);
    let suspected = [1, 2, 3].map(|job| state.is_suspected(task(job)));
    assert_eq!(suspected, expected);
}

#[test]
fn a_run_that_is_unanswered_beside_others_is_suspected_at_the_second_crash() {
    let mut state = state(3, false);
    crash(
        &mut state,
        &[(1, RunStart::Unanswered), (2, RunStart::Recent)],
    );
    assert!(!state.is_suspected(task(1)));
    crash(
        &mut state,
        &[(1, RunStart::Unanswered), (3, RunStart::Recent)],
    );
    assert!(state.is_suspected(task(1)));
}

#[test]
fn a_snapshot_keeps_crashes_and_one_without_them_is_read() {
    let mut state = state(1, false);
    let without = postcard::to_stdvec(&state).expect("the state is plain data");
    assert_eq!(State::from_snapshot(&without).as_ref(), Ok(&state));
    crash(&mut state, &[(1, RunStart::Recent)]);
    let decoded = State::from_snapshot(&state.to_snapshot()).expect("a snapshot");
    assert!(decoded.is_suspected(task(1)));
    assert_eq!(decoded, state);
}

/// The lease of a run expires without an answer; whether its executor crashed is known later.
#[test]
fn lapsed_runs_are_kept_until_their_executor_is_given_another() {
    let mut state = state(2, false);
    let start = |job| Command::Start {
        run: task(job).run(1),
        executor: EXECUTOR,
    };
    state.apply(start(1));
    state.apply(Command::End {
        run: task(1).run(1),
        executor: EXECUTOR,
        kind: EndKind::Lapsed,
        saved: None,
        at_ms: 2,
    });
    let lapsed: Vec<_> = state.lapsed_runs(EXECUTOR).collect();
    assert_eq!(lapsed, [task(1).run(1)]);
    state.apply(start(2));
    assert_eq!(state.lapsed_runs(EXECUTOR).count(), 0);
}

fn moment(elapsed_ms: u64) -> Moment {
    Moment {
        monotonic: Duration::from_secs(100) + Duration::from_millis(elapsed_ms),
        wall_ms: 1_700_000_000_000 + elapsed_ms,
    }
}

fn announce(leader: &mut Leader, ms: u64, id: &str, leaving: bool) {
    let announcement = Announcement {
        incarnation: incarnation(id),
        sequence: ms + 1,
        clock_ms: ms,
        leaving,
    };
    let reply_to = ReplyId(ms);
    leader.handle(
        moment(ms),
        Event::Announced {
            reply_to,
            announcement,
        },
    );
}

fn submit(leader: &mut Leader, ms: u64, job: u64) {
    request(leader, ms, job, JobRequestKind::Submit(spec(false)));
}

fn request(leader: &mut Leader, ms: u64, job: u64, kind: JobRequestKind) {
    let request = JobRequest {
        authority: "a.example".into(),
        path: format!("/q/{}", JobId::new(job)),
        kind,
        key: None,
    };
    let reply_to = ReplyId(1_000 + job);
    leader.handle(moment(ms), Event::JobRequest { reply_to, request });
}

/// Delivers the result of a poll that was sent at `sent`.
fn hold(
    leader: &mut Leader,
    (sent, ms): (u64, u64),
    executor: ExecutorKey,
    result: Result<HoldReport, CallError>,
) {
    let sent = moment(sent).monotonic;
    leader.handle(
        moment(ms),
        Event::HoldResult {
            executor,
            sent,
            result,
        },
    );
}

/// Answers the order to start a run, with the executor's clock.
fn answer_start(leader: &mut Leader, ms: u64, (run, executor): (RunId, ExecutorKey)) {
    let result = Ok(ms);
    leader.handle(
        moment(ms),
        Event::StartResult {
            executor,
            run,
            result,
        },
    );
}

/// Reports the runs on an executor that was polled at `sent`.
fn report(leader: &mut Leader, (sent, ms): (u64, u64), runs: &[(RunId, ExecutorKey)]) {
    let Some((_, executor)) = runs.first().copied() else {
        return;
    };
    let running = runs.iter().map(|(run, _)| ListedRun {
        run: *run,
        saved: None,
        percent: 1,
        load: None,
    });
    let report = HoldReport {
        clock_ms: ms,
        started_ms: Some(5),
        running: running.collect(),
        finished: Vec::new(),
    };
    hold(leader, (sent, ms), executor, Ok(report));
}

/// Another incarnation answers a poll of an executor.
fn replace(leader: &mut Leader, ms: u64, executor: ExecutorKey) {
    let result = Err(CallError::OtherIncarnation);
    hold(leader, (ms - 1, ms), executor, result);
}

fn starts(leader: &mut Leader, ms: u64) -> Vec<(RunId, ExecutorKey)> {
    let commands = leader.decide(moment(ms)).commands;
    let starts = commands.into_iter().filter_map(|command| match command {
        Command::Start { run, executor } => Some((run, executor)),
        _ => None,
    });
    starts.collect()
}

fn leader_with(executors: &[&str]) -> Leader {
    let mut state = State::default();
    state.apply(configure(2));
    let options = LeaderOptions::new(Duration::from_secs(5));
    let mut leader = Leader::new(state, options, ClaimWatch::default(), moment(0));
    for id in executors {
        announce(&mut leader, 0, id, false);
    }
    leader
}

/// Jobs 1 and 2 start on one executor, which crashes. Both are suspected, and started apart.
#[test]
fn suspected_jobs_start_on_executors_of_their_own() {
    let mut leader = leader_with(&["e1", "e2", "e3"]);
    submit(&mut leader, 0, 1);
    submit(&mut leader, 0, 2);
    let first = starts(&mut leader, 0);
    assert_eq!(first[0].1, first[1].1, "tasks are packed");
    for run in &first {
        answer_start(&mut leader, 10, *run);
    }
    replace(&mut leader, 3_000, first[0].1);
    announce(&mut leader, 3_000, "e2", false);
    announce(&mut leader, 3_000, "e3", false);
    let second = starts(&mut leader, 3_000);
    assert_eq!(second.len(), 1, "one in quarantine: {second:?}");
    report(&mut leader, (3_000, 3_005), &second);
    submit(&mut leader, 3_010, 3);
    let third = starts(&mut leader, 3_010);
    assert_eq!(third.len(), 1, "{third:?}");
    assert_ne!(third[0].1, second[0].1, "nothing starts in quarantine");
    answer_start(&mut leader, 3_020, third[0]);
    answer_start(&mut leader, 3_020, second[0]);
    assert!(leader.state().has_suspects(second[0].0.task.job));
    report(&mut leader, (3_021, 3_230), &second);
    assert!(!leader.state().has_suspects(second[0].0.task.job));
    report(&mut leader, (3_021, 3_231), &third);
    let fourth = starts(&mut leader, 3_240);
    assert_eq!(fourth.len(), 1, "the other one is next: {fourth:?}");
    let other = if second[0].0.task.job == JobId::new(1) {
        2
    } else {
        1
    };
    assert_eq!(fourth[0].0.task.job, JobId::new(other));
}

/// An executor that has announced its end, or that is silent and answers again, has not crashed.
#[rstest]
#[case::left(true)]
#[case::crashed(false)]
fn only_an_unexpected_end_counts(#[case] leaving: bool) {
    let mut leader = leader_with(&["e1", "e2"]);
    submit(&mut leader, 0, 1);
    let first = starts(&mut leader, 0);
    answer_start(&mut leader, 10, first[0]);
    if leaving {
        announce(
            &mut leader,
            20,
            if first[0].1 == EXECUTOR { "e1" } else { "e2" },
            true,
        );
    }
    replace(&mut leader, 3_000, first[0].1);
    assert_eq!(leader.state().is_suspected(task(1)), !leaving);
}

/// Every executor that is left has failed tasks of other jobs.
#[test]
fn a_suspected_job_starts_on_an_unreliable_executor_if_there_is_no_other() {
    let mut leader = leader_with(&["e2"]);
    let unreliable = EXECUTOR;
    for job in [2, 3] {
        submit(&mut leader, 0, job);
    }
    let failing = starts(&mut leader, 0);
    let finished = (1..).zip(&failing).map(|(number, (run, _))| ListedEnd {
        number,
        run: *run,
        kind: EndKind::Failed,
        saved: None,
    });
    let failed = HoldReport {
        clock_ms: 50,
        started_ms: Some(5),
        running: Vec::new(),
        finished: finished.collect(),
    };
    hold(&mut leader, (0, 50), unreliable, Ok(failed));
    for job in [2, 3] {
        request(&mut leader, 60, job, JobRequestKind::Cancel);
    }
    announce(&mut leader, 100, "e1", false);
    submit(&mut leader, 100, 1);
    let first = starts(&mut leader, 100);
    assert_ne!(first[0].1, unreliable, "{first:?}");
    answer_start(&mut leader, 110, first[0]);
    replace(&mut leader, 3_000, first[0].1);
    announce(&mut leader, 3_000, "e2", false);
    let second = starts(&mut leader, 3_000);
    assert_eq!(second.len(), 1, "{second:?}");
    assert_eq!(second[0].1, unreliable);
}

/// The lease of a run expires on an executor that fell silent right after the start.
#[test]
fn a_task_whose_executor_fell_silent_at_its_start_is_started_in_quarantine() {
    let mut leader = leader_with(&["e1", "e2", "e3"]);
    submit(&mut leader, 0, 1);
    let first = starts(&mut leader, 0);
    answer_start(&mut leader, 10, first[0]);
    hold(&mut leader, (10, 20), first[0].1, Err(CallError::Unknown));
    let restart = (0..80).map(|tick| tick * 100).find_map(|ms| {
        for id in ["e2", "e3"] {
            announce(&mut leader, ms, id, false);
        }
        let start = starts(&mut leader, ms).first().copied();
        start.map(|start| (ms, start))
    });
    let (ms, second) = restart.expect("the lease has expired");
    report(&mut leader, (ms, ms + 5), &[second]);
    submit(&mut leader, ms + 5, 2);
    let other = starts(&mut leader, ms + 5);
    assert_ne!(other[0].1, second.1, "nothing starts in quarantine");
}
