//! The replicated state: which commands change it, and which have no effect.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use masticfield_jobs::job::{JobId, JobSpec, Resources, StepSpec, TaskId};
use masticfield_jobs::queue::{InvalidConfig, PoolConfig, QueueConfig, QueueId, QueuesConfig};
use masticfield_jobs::state::{
    Command, EndKind, ExecutorIncarnation, ExecutorKey, HostClaim, JobStatus, State, encode_entries,
};
use rstest::rstest;

const JOB: JobId = JobId::new(7);
const EXECUTOR: ExecutorKey = ExecutorKey(1);

fn queue(name: &str, prefix: &str, pool: &str) -> QueueConfig {
    QueueConfig {
        name: name.into(),
        authority: "a.example".into(),
        prefix: prefix.into(),
        pool: pool.into(),
        timeout_ms: 3_000,
        target_ms: 600,
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        advice: None,
        public: false,
    }
}

fn config(version: u64) -> QueuesConfig {
    let pool = |name: &str| PoolConfig {
        name: name.into(),
        max_connections: 64,
        rejects_overload: false,
        standby: false,
    };
    QueuesConfig {
        version,
        queues: vec![queue("q", "/q/", "p")],
        pools: vec![pool("p")],
        limits: None,
        workspaces: None,
    }
}

fn configure(version: u64) -> Command {
    Command::Configure {
        config: config(version),
        content: version.to_string().as_bytes().into(),
    }
}

fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        need: Resources {
            cpu_milli: 1_000,
            memory_mb: 10,
            gpus: 0,
        },
        estimate_ms: 100,
        ..StepSpec::default()
    }
}

fn spec(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "x".into(),
        steps,
        timetable: None,
    }
}

fn state(steps: Vec<StepSpec>) -> State {
    state_of_queue(QueueId(0), steps)
}

/// Creates a state with a job of a queue, which need not be configured.
fn state_of_queue(queue: QueueId, steps: Vec<StepSpec>) -> State {
    let mut state = State::default();
    let incarnation = ExecutorIncarnation {
        id: "e".into(),
        started_ms: 1,
        pool: "p".into(),
        address: "127.0.0.1:1".into(),
        zone: "z".into(),
        labels: Vec::new(),
        rack: None,
        capacity: Resources::default(),
    };
    for command in [
        configure(3),
        Command::Enlist {
            executor: EXECUTOR,
            incarnation,
        },
        Command::Submit {
            job: JOB,
            queue,
            spec: spec(steps),
            at_ms: 1,
        },
    ] {
        assert!(state.apply(command));
    }
    state
}

/// Configures the queue with a limit of failed runs, or removes its route.
fn limits(version: u64, max_attempts: Option<u32>) -> Command {
    let mut config = config(version);
    config.queues = max_attempts
        .map(|max_attempts| QueueConfig {
            max_attempts,
            ..queue("q", "/q/", "p")
        })
        .into_iter()
        .collect();
    Command::Configure {
        config,
        content: version.to_string().as_bytes().into(),
    }
}

/// Starts a task once for each number, and ends each run as failed.
fn fail(state: &mut State, numbers: RangeInclusive<u32>) {
    for number in numbers {
        assert!(start(state, task(0, 0), number));
        begun(state);
        end(state, task(0, 0), number, EndKind::Failed);
    }
}

fn task(step: u16, index: u32) -> TaskId {
    TaskId::new(JOB, 0, step, index)
}

fn start(state: &mut State, task: TaskId, run: u32) -> bool {
    state.apply(Command::Start {
        run: task.run(run),
        executor: EXECUTOR,
    })
}

fn begun(state: &mut State) -> bool {
    state.apply(Command::Begun { job: JOB })
}

fn end(state: &mut State, task: TaskId, run: u32, kind: EndKind) -> bool {
    state.apply(Command::End {
        run: task.run(run),
        executor: EXECUTOR,
        kind,
        saved: None,
        at_ms: 5,
    })
}

fn status(state: &State) -> Option<JobStatus> {
    state
        .job(JOB)
        .map(masticfield_jobs::state::JobRecord::status)
}

#[rstest]
#[case::older(2, 3)]
#[case::same(3, 3)]
#[case::newer(9, 9)]
fn the_highest_version_is_in_force(#[case] sent: u64, #[case] expected: u64) {
    let mut state = state(vec![step(1)]);
    state.apply(configure(sent));
    assert_eq!(state.version(), expected);
    let content = state.config().map(|stored| stored.content.to_vec());
    assert_eq!(content, Some(expected.to_string().into_bytes()));
}

#[rstest]
#[case::unknown_pool(vec![queue("q", "/q/", "other")])]
#[case::duplicate_route(vec![queue("q", "/q/", "p"), queue("r", "/q/", "p")])]
#[case::duplicate_name(vec![queue("q", "/q/", "p"), queue("q", "/r/", "p")])]
#[case::zero_timeout(vec![QueueConfig { timeout_ms: 0, ..queue("q", "/q/", "p") }])]
fn an_inconsistent_configuration_is_invalid(#[case] queues: Vec<QueueConfig>) {
    let checked: Result<(), InvalidConfig> = QueuesConfig {
        queues,
        ..config(1)
    }
    .check();
    assert!(checked.is_err());
}

#[test]
fn a_job_is_completed_when_every_task_is_done() {
    let mut state = state(vec![step(1), step(1)]);
    assert_eq!(status(&state), Some(JobStatus::Queued));
    assert!(start(&mut state, task(0, 0), 1));
    assert_eq!(status(&state), Some(JobStatus::Queued));
    assert!(begun(&mut state));
    assert_eq!(status(&state), Some(JobStatus::Running));
    assert!(!begun(&mut state));
    assert!(end(&mut state, task(0, 0), 1, EndKind::Done));
    assert_eq!(status(&state), Some(JobStatus::Running));
    start(&mut state, task(1, 0), 1);
    end(&mut state, task(1, 0), 1, EndKind::Done);
    assert_eq!(status(&state), Some(JobStatus::Completed));
}

#[test]
fn a_repeated_submission_changes_nothing() {
    let mut state = state(vec![step(1)]);
    let again = Command::Submit {
        job: JOB,
        queue: QueueId(0),
        spec: spec(vec![step(5)]),
        at_ms: 2,
    };
    assert!(!state.apply(again));
}

#[rstest]
#[case::failed(EndKind::Failed, JobStatus::Failed)]
#[case::stopped(EndKind::Stopped, JobStatus::Running)]
#[case::lapsed(EndKind::Lapsed, JobStatus::Running)]
#[case::never_ran(EndKind::NotRun, JobStatus::Queued)]
fn only_failed_runs_count_as_attempts(#[case] kind: EndKind, #[case] expected: JobStatus) {
    let mut state = state(vec![step(1)]);
    for run in 1..=2 {
        start(&mut state, task(0, 0), run);
        if kind != EndKind::NotRun {
            begun(&mut state);
        }
        end(&mut state, task(0, 0), run, kind);
    }
    assert_eq!(status(&state), Some(expected));
}

/// Guards against a job that is shown as failed by a default limit.
#[rstest]
#[case::known_queue(0, 2, JobStatus::Failed)]
#[case::unknown_queue(9, 5, JobStatus::Running)]
fn a_job_does_not_fail_by_a_limit_that_no_queue_sets(
    #[case] queue: u32,
    #[case] failures: u32,
    #[case] expected: JobStatus,
) {
    let mut state = state_of_queue(QueueId(queue), vec![step(1)]);
    fail(&mut state, 1..=failures);
    assert_eq!(status(&state), Some(expected));
}

/// The limits of jobs come with the configuration, which may change while they run.
#[test]
fn a_job_keeps_its_limit_when_its_route_is_removed() {
    let mut state = state(vec![step(1)]);
    assert!(state.apply(limits(4, Some(4))));
    fail(&mut state, 1..=2);
    assert!(state.apply(limits(5, None)));
    fail(&mut state, 3..=3);
    assert_eq!(status(&state), Some(JobStatus::Running));
    fail(&mut state, 4..=4);
    assert_eq!(status(&state), Some(JobStatus::Failed));
}

/// A task has failed more often than a newer configuration allows. Only a further failed run ends its
/// job.
#[rstest]
#[case::done(EndKind::Done, JobStatus::Completed)]
#[case::stopped(EndKind::Stopped, JobStatus::Running)]
#[case::failed(EndKind::Failed, JobStatus::Failed)]
fn a_job_does_not_fail_by_a_lower_limit_alone(#[case] kind: EndKind, #[case] expected: JobStatus) {
    let mut state = state(vec![step(1)]);
    assert!(state.apply(limits(4, Some(4))));
    fail(&mut state, 1..=3);
    assert!(state.apply(limits(5, Some(2))));
    assert_eq!(status(&state), Some(JobStatus::Running));
    assert!(start(&mut state, task(0, 0), 4));
    end(&mut state, task(0, 0), 4, kind);
    assert_eq!(status(&state), Some(expected));
}

#[test]
fn a_long_running_task_never_fails_its_job() {
    let mut state = state(vec![StepSpec {
        long_running: true,
        ..step(1)
    }]);
    for run in 1..=5 {
        assert!(start(&mut state, task(0, 0), run));
        begun(&mut state);
        end(&mut state, task(0, 0), run, EndKind::Failed);
    }
    assert_eq!(status(&state), Some(JobStatus::Running));
}

#[test]
fn a_gang_is_done_once_one_member_is_done() {
    let mut state = state(vec![StepSpec {
        gang: true,
        ..step(3)
    }]);
    for index in 0..3 {
        start(&mut state, task(0, index), 1);
    }
    end(&mut state, task(0, 1), 1, EndKind::Done);
    assert_eq!(status(&state), Some(JobStatus::Completed));
}

#[rstest]
#[case::same_number(1, false)]
#[case::higher_number(2, true)]
fn run_numbers_must_rise(#[case] run: u32, #[case] expected: bool) {
    let mut state = state(vec![step(1)]);
    start(&mut state, task(0, 0), 1);
    end(&mut state, task(0, 0), 1, EndKind::Stopped);
    assert_eq!(start(&mut state, task(0, 0), run), expected);
}

#[test]
fn a_cancelled_job_starts_no_tasks_and_keeps_its_runs() {
    let mut state = state(vec![step(2)]);
    start(&mut state, task(0, 0), 1);
    assert!(state.apply(Command::Cancel { job: JOB, at_ms: 4 }));
    assert!(!start(&mut state, task(0, 1), 1));
    assert_eq!(state.job(JOB).map(|job| job.active_runs), Some(1));
    end(&mut state, task(0, 0), 1, EndKind::Stopped);
    assert_eq!(status(&state), Some(JobStatus::Cancelled));
}

#[test]
fn retiring_an_executor_ends_its_runs() {
    let mut state = state(vec![step(1)]);
    start(&mut state, task(0, 0), 1);
    state.apply(Command::Retire {
        executor: EXECUTOR,
        at_ms: 9,
    });
    assert!(state.job(JOB).is_some_and(|job| job.active_runs == 0));
    assert_eq!(state.executors().count(), 0);
}

#[test]
fn a_repeated_claim_keeps_its_first_executor() {
    let mut state = state(vec![step(1)]);
    let claim = |executor| Command::Claim {
        host: "h".into(),
        claim: HostClaim::Move { pool: "p".into() },
        executor,
    };
    assert!(state.apply(claim(Some(EXECUTOR))));
    assert!(!state.apply(claim(Some(ExecutorKey(9)))));
    let kept = state.claims().get("h").and_then(|(_, executor)| *executor);
    assert_eq!(kept, Some(EXECUTOR));
}

#[test]
fn only_ended_jobs_are_forgotten() {
    let mut state = state(vec![step(1)]);
    assert!(!state.apply(Command::Forget { before_ms: 1_000 }));
    start(&mut state, task(0, 0), 1);
    end(&mut state, task(0, 0), 1, EndKind::Done);
    assert!(!state.apply(Command::Forget { before_ms: 5 }));
    assert!(state.apply(Command::Forget { before_ms: 6 }));
    assert_eq!(status(&state), None);
}

/// In a surge, one decision may hold hundreds of large jobs.
#[test]
fn a_large_decision_is_split_into_entries_in_order() {
    let submit = |number| Command::Submit {
        job: JobId::new(number),
        queue: QueueId(0),
        spec: JobSpec {
            payload: "x".repeat(4_000).into(),
            steps: vec![step(1)],
            timetable: None,
        },
        at_ms: 0,
    };
    let commands: Vec<_> = (0..600).map(submit).collect();
    let entries = encode_entries(&commands, 1_000_000);
    assert!(entries.iter().all(|entry| entry.len() <= 1_000_000));
    let decoded = entries
        .iter()
        .flat_map(|entry| postcard::from_bytes::<Vec<Command>>(entry).unwrap());
    assert_eq!(decoded.collect::<Vec<_>>(), commands);
}

/// Guards against a replica that starts from a snapshot and counts begun jobs as pending.
#[test]
fn a_snapshot_has_which_jobs_have_begun() {
    let mut state = state(vec![step(1)]);
    start(&mut state, task(0, 0), 1);
    begun(&mut state);
    let restored = State::from_snapshot(&state.to_snapshot()).expect("a snapshot");
    assert_eq!(restored, state);
    assert_eq!(status(&restored), Some(JobStatus::Running));
}

/// Guards against a next leader that relies on where a run was before it was reassigned, or that waits
/// for leases of an executor that is gone.
#[test]
fn locations_and_former_leases_are_kept_as_long_as_they_hold() {
    let mut state = state(vec![step(1)]);
    let run = task(0, 0).run(1);
    let later = state.next_executor_key();
    let incarnation = state
        .executor(EXECUTOR)
        .expect("enlisted")
        .incarnation
        .clone();
    assert!(state.apply(Command::Enlist {
        executor: later,
        incarnation,
    }));
    let former_leases = |executor, possible| Command::FormerLeases { executor, possible };
    let located = |executor| Command::Located {
        executor,
        runs: vec![run],
    };
    start(&mut state, run.task, 1);
    assert!(!state.apply(located(later)), "it is on the other one");
    assert!(state.apply(located(EXECUTOR)));
    assert!(!state.apply(located(EXECUTOR)));
    assert!(state.apply(former_leases(later, true)));
    let restored = State::from_snapshot(&state.to_snapshot()).expect("a snapshot");
    assert_eq!(restored, state);
    assert!(restored.is_located(run) && restored.may_have_former_leases(later));
    assert!(state.apply(Command::Reassign {
        run,
        from: EXECUTOR,
        to: later,
    }));
    assert!(!state.is_located(run));
    assert!(state.apply(located(later)));
    assert!(state.apply(Command::Retire {
        executor: later,
        at_ms: 9,
    }));
    assert!(!state.is_located(run) && !state.may_have_former_leases(later));
    assert!(!state.apply(former_leases(later, true)), "it is gone");
}

/// Guards against a replica that cannot read the snapshots of the version before, which end before the
/// removed incarnations.
#[test]
fn a_snapshot_without_removed_incarnations_is_read() {
    let state = State::default();
    let with = state.to_snapshot();
    let empty = postcard::to_stdvec(&BTreeMap::<String, u64>::new()).expect("plain data");
    let without = with.strip_suffix(&empty[..]).expect("encoded last");
    assert_eq!(State::from_snapshot(without).as_ref(), Ok(&state));
}
