//! The checker finds a violation that is seeded into a history, and none in clean histories.

use std::collections::BTreeSet;
use std::sync::Arc;

use masticfield_jobs::job::{JobId, JobSpec, Resources, RunId, StepSpec, TaskId};
use masticfield_jobs::state::{EndKind, JobStatus};
use masticfield_soak::checker::{
    Bounds, Checker, ExecutorNumber, Observation, Promise, SubmitAnswer,
};
use rstest::rstest;

const JOB: JobId = JobId::new(7);
const FIRST: ExecutorNumber = ExecutorNumber(1);
const SECOND: ExecutorNumber = ExecutorNumber(2);

/// Observations with their times.
type History = Vec<(u64, Observation)>;

/// A job of two steps, the second of which depends on the first; a task takes 2 of 4 cores.
fn spec() -> Arc<JobSpec> {
    let step = |count, depends_on| StepSpec {
        count,
        need: Resources {
            cpu_milli: 2_000,
            memory_mb: 64,
            gpus: 0,
        },
        estimate_ms: 500,
        depends_on,
        ..StepSpec::default()
    };
    Arc::new(JobSpec {
        payload: "payload".into(),
        steps: vec![step(3, vec![]), step(1, vec![0])],
        timetable: None,
    })
}

fn run(step: u16, index: u32, number: u32) -> RunId {
    TaskId::new(JOB, 0, step, index).run(number)
}

fn up(executor: ExecutorNumber) -> Observation {
    Observation::ExecutorUp {
        executor,
        pool: "pool".into(),
        capacity: Resources {
            cpu_milli: 4_000,
            memory_mb: 4_096,
            gpus: 0,
        },
    }
}

fn sent() -> Observation {
    Observation::SubmitSent {
        job: JOB,
        queue: "q".into(),
        pool: "pool".into(),
        spec: spec(),
    }
}

fn answered(answer: SubmitAnswer) -> Observation {
    Observation::SubmitAnswered {
        job: JOB,
        sent_at: 10_000,
        answer,
    }
}

fn started(executor: ExecutorNumber, run: RunId) -> Observation {
    Observation::RunStarted {
        executor,
        run,
        payload: "payload".into(),
    }
}

fn ended(executor: ExecutorNumber, run: RunId, number: u64, kind: EndKind) -> Observation {
    Observation::RunEnded {
        executor,
        run,
        number,
        kind,
    }
}

fn acknowledged(executor: ExecutorNumber, up_to: u64) -> Observation {
    Observation::EndsAcknowledged { executor, up_to }
}

fn seen(status: JobStatus) -> Observation {
    Observation::StatusSeen { job: JOB, status }
}

fn config(version: u64, valid: bool, queues: &[&str]) -> Observation {
    Observation::ConfigSent {
        version,
        valid,
        queues: queues
            .iter()
            .map(|name| Arc::from(*name))
            .collect::<BTreeSet<_>>(),
    }
}

fn read(version: u64, sent_at: u64) -> Observation {
    Observation::ConfigRead {
        version,
        sent_at,
        intact: true,
    }
}

/// Two executors, a configuration with the queue, and a job that is handed in.
fn accepted() -> History {
    vec![
        (0, up(FIRST)),
        (0, up(SECOND)),
        (0, config(1, true, &["q"])),
        (100, Observation::ConfigAcknowledged { version: 1 }),
        (10_000, sent()),
        (10_050, answered(SubmitAnswer::Accepted)),
    ]
}

/// All tasks of the first step run and are done; their ends are not acknowledged yet.
fn first_step_done() -> History {
    let mut history = accepted();
    history.extend([
        (10_100, started(FIRST, run(0, 0, 1))),
        (10_100, started(FIRST, run(0, 1, 1))),
        (10_100, started(SECOND, run(0, 2, 1))),
        (10_600, ended(FIRST, run(0, 0, 1), 1, EndKind::Done)),
        (10_650, ended(FIRST, run(0, 1, 1), 2, EndKind::Done)),
        (10_700, ended(SECOND, run(0, 2, 1), 1, EndKind::Done)),
    ]);
    history
}

/// A job from its submission until it is seen as completed.
fn complete() -> History {
    let mut history = first_step_done();
    history.extend([
        (10_800, acknowledged(FIRST, 2)),
        (10_800, acknowledged(SECOND, 1)),
        (10_900, started(SECOND, run(1, 0, 1))),
        (11_400, ended(SECOND, run(1, 0, 1), 2, EndKind::Done)),
        (11_500, acknowledged(SECOND, 2)),
        (11_600, seen(JobStatus::Completed)),
    ]);
    history
}

fn with(mut history: History, more: impl IntoIterator<Item = (u64, Observation)>) -> History {
    history.extend(more);
    history
}

/// A job of which every run so far ended by a crash of its executor, and one run failed.
fn crashed_five_times() -> History {
    let mut history = accepted();
    for number in 1..=5 {
        let (at, executor) = (
            10_000 + 200 * u64::from(number),
            ExecutorNumber(10 + number),
        );
        history.extend([
            (at, up(executor)),
            (at + 50, started(executor, run(0, 0, number))),
            (at + 150, Observation::ExecutorGone { executor }),
        ]);
    }
    history.extend([
        (11_300, started(SECOND, run(0, 0, 6))),
        (11_400, ended(SECOND, run(0, 0, 6), 1, EndKind::Failed)),
        (11_450, acknowledged(SECOND, 1)),
    ]);
    history
}

/// Returns the promises that a history breaks.
fn check(history: History) -> Vec<Promise> {
    let mut checker = Checker::new(Bounds::new(1));
    for (at, observation) in history {
        checker.observe(at, observation);
    }
    let violations = checker.violations().iter();
    violations.map(|violation| violation.promise).collect()
}

#[rstest]
#[case::a_job_that_completes(with(complete(), [(20_000, Observation::RunOver)]))]
#[case::a_job_sent_again_after_its_acceptance(with(
    complete(),
    [(12_000, sent()), (12_050, answered(SubmitAnswer::Accepted)), (20_000, Observation::RunOver)]
))]
#[case::a_job_refused_and_then_accepted(with(
    vec![(9_000, up(FIRST)), (9_100, sent()), (9_200, answered(SubmitAnswer::Refused))],
    [(9_300, sent()), (9_400, answered(SubmitAnswer::Accepted)),
     (9_500, started(FIRST, run(0, 0, 1)))]
))]
#[case::a_job_of_unknown_outcome_that_runs(vec![
    (0, up(FIRST)), (1, sent()), (2, answered(SubmitAnswer::Unknown)),
    (3, started(FIRST, run(0, 0, 1)))
])]
#[case::a_job_of_unknown_outcome_that_never_runs(vec![
    (1, sent()), (2, answered(SubmitAnswer::Unknown)), (90_000, Observation::RunOver)
])]
#[case::a_start_while_the_answer_is_on_its_way(vec![
    (0, up(FIRST)), (1, sent()), (2, started(FIRST, run(0, 0, 1))),
    (3, answered(SubmitAnswer::Accepted))
])]
#[case::a_start_after_a_failure(with(accepted(), [
    (10_100, started(FIRST, run(0, 0, 1))),
    (10_200, ended(FIRST, run(0, 0, 1), 1, EndKind::Failed)),
    (10_300, acknowledged(FIRST, 1)),
    (10_400, started(SECOND, run(0, 0, 2))),
]))]
#[case::a_start_after_a_crash_of_the_executor(with(accepted(), [
    (10_100, started(FIRST, run(0, 0, 1))),
    (10_200, Observation::ExecutorGone { executor: FIRST }),
    (10_300, started(SECOND, run(0, 0, 2))),
]))]
#[case::a_job_whose_executors_crash_often(with(crashed_five_times(), [
    (11_500, started(SECOND, run(0, 0, 7))),
    (11_600, seen(JobStatus::Running)),
]))]
#[case::a_start_after_an_end_that_was_lost_in_a_crash(with(first_step_done(), [
    (10_750, Observation::ExecutorGone { executor: FIRST }),
    (10_800, started(SECOND, run(0, 0, 2))),
]))]
#[case::a_start_after_an_end_whose_lease_expired_first(with(first_step_done(), [
    (10_750, Observation::LeaseExpired { executor: FIRST }),
    (10_800, started(SECOND, run(0, 0, 2))),
    (10_900, acknowledged(FIRST, 2)),
]))]
#[case::a_cancelled_job_whose_last_start_is_within_the_bound(with(accepted(), [
    (10_100, Observation::CancelSent { job: JOB }),
    (10_200, Observation::CancelAcknowledged { job: JOB }),
    (13_100, started(FIRST, run(0, 0, 1))),
    (13_200, seen(JobStatus::Cancelled)),
    (90_000, Observation::RunOver),
]))]
#[case::a_job_that_is_not_known_right_after_its_acceptance(with(accepted(), [
    (10_100, Observation::StatusGone { job: JOB, sent_at: 10_090 }),
]))]
#[case::a_job_that_is_not_known_to_a_disturbed_program(with(accepted(), [
    (14_000, Observation::FaultBegan),
    (14_100, Observation::StatusGone { job: JOB, sent_at: 14_050 }),
]))]
#[case::a_job_that_failed_too_often(with(accepted(), [
    (10_100, started(FIRST, run(0, 0, 1))),
    (10_200, ended(FIRST, run(0, 0, 1), 1, EndKind::Failed)),
    (10_300, started(FIRST, run(0, 0, 2))),
    (10_400, ended(FIRST, run(0, 0, 2), 2, EndKind::Failed)),
    (10_500, started(FIRST, run(0, 0, 3))),
    (10_600, ended(FIRST, run(0, 0, 3), 3, EndKind::Failed)),
    (10_700, acknowledged(FIRST, 3)),
    (10_800, seen(JobStatus::Failed)),
    (90_000, Observation::RunOver),
]))]
#[case::an_older_configuration_within_the_bound(with(accepted(), [
    (10_000, config(5, true, &["q"])),
    (10_100, Observation::ConfigAcknowledged { version: 5 }),
    (12_090, read(1, 12_080)),
    (12_200, read(5, 12_190)),
]))]
#[case::an_older_configuration_by_a_request_from_before(with(accepted(), [
    (10_000, config(5, true, &["q"])),
    (10_100, Observation::ConfigAcknowledged { version: 5 }),
    (19_000, read(1, 12_000)),
]))]
#[case::an_older_configuration_that_is_acknowledged_late(with(accepted(), [
    (10_000, config(5, true, &["q"])),
    (10_000, config(4, true, &["q"])),
    (10_100, Observation::ConfigAcknowledged { version: 5 }),
    (13_100, Observation::ConfigAcknowledged { version: 4 }),
    (20_000, read(5, 19_990)),
]))]
#[case::an_invalid_configuration_that_is_refused(with(accepted(), [
    (10_000, config(5, false, &["q"])),
    (10_100, Observation::ConfigRefused { version: 5 }),
    (20_000, read(1, 19_990)),
]))]
#[case::a_queue_that_may_have_been_withdrawn(with(accepted(), [
    (10_000, config(5, true, &[])),
    (10_100, answered(SubmitAnswer::NoQueue)),
]))]
fn a_clean_history_has_no_violation(#[case] history: History) {
    assert_eq!(check(history), []);
}

#[rstest]
#[case::an_accepted_job_is_dropped(
    with(accepted(), [(90_000, Observation::RunOver)]),
    Promise::AcceptedJobEnds
)]
#[case::an_accepted_job_is_not_known(
    with(accepted(), [(20_000, Observation::StatusGone { job: JOB, sent_at: 19_990 })]),
    Promise::AcceptedJobIsKnown
)]
#[case::a_second_run_beside_the_first(
    with(accepted(), [
        (10_100, started(FIRST, run(0, 0, 1))),
        (10_200, started(SECOND, run(0, 0, 2))),
    ]),
    Promise::OneRunAtATime
)]
#[case::a_second_run_on_the_same_executor(
    with(accepted(), [
        (10_100, started(FIRST, run(0, 0, 1))),
        (10_200, started(FIRST, run(0, 0, 2))),
    ]),
    Promise::OneRunAtATime
)]
#[case::a_start_after_an_end_that_was_acknowledged(
    with(complete(), [(12_000, started(FIRST, run(0, 0, 2)))]),
    Promise::DoneOnce
)]
#[case::a_start_after_an_end_that_is_acknowledged_later(
    with(first_step_done(), [
        (10_750, started(SECOND, run(0, 0, 2))),
        (10_800, acknowledged(FIRST, 2)),
    ]),
    Promise::DoneOnce
)]
#[case::a_start_after_an_acknowledged_end_of_an_executor_that_crashed_then(
    with(complete(), [
        (12_000, Observation::ExecutorGone { executor: FIRST }),
        (12_100, started(SECOND, run(0, 0, 2))),
    ]),
    Promise::DoneOnce
)]
#[case::a_start_after_too_many_failures(
    with(accepted(), [
        (10_100, started(FIRST, run(0, 0, 1))),
        (10_200, ended(FIRST, run(0, 0, 1), 1, EndKind::Failed)),
        (10_300, started(FIRST, run(0, 0, 2))),
        (10_400, ended(FIRST, run(0, 0, 2), 2, EndKind::Failed)),
        (10_500, started(FIRST, run(0, 0, 3))),
        (10_600, ended(FIRST, run(0, 0, 3), 3, EndKind::Failed)),
        (10_700, acknowledged(FIRST, 3)),
        (10_800, started(SECOND, run(0, 0, 4))),
    ]),
    Promise::AttemptsAreBounded
)]
#[case::a_step_out_of_order(
    with(accepted(), [(10_100, started(FIRST, run(1, 0, 1)))]),
    Promise::StepsInOrder
)]
#[case::a_step_that_starts_beside_a_failed_one(
    with(accepted(), [
        (10_100, started(FIRST, run(0, 0, 1))),
        (10_200, ended(FIRST, run(0, 0, 1), 1, EndKind::Failed)),
        (10_300, started(FIRST, run(1, 0, 1))),
    ]),
    Promise::StepsInOrder
)]
#[case::an_executor_that_is_too_full(
    with(accepted(), [
        (10_100, started(FIRST, run(0, 0, 1))),
        (10_200, started(FIRST, run(0, 1, 1))),
        (10_300, started(FIRST, run(0, 2, 1))),
    ]),
    Promise::CapacityIsKept
)]
#[case::an_executor_of_another_pool(
    with(accepted(), [
        (10_000, Observation::ExecutorUp {
            executor: ExecutorNumber(3),
            pool: "another".into(),
            capacity: Resources { cpu_milli: 4_000, memory_mb: 4_096, gpus: 0 },
        }),
        (10_100, started(ExecutorNumber(3), run(0, 0, 1))),
    ]),
    Promise::PoolIsKept
)]
#[case::a_start_after_a_refusal(
    vec![
        (0, up(FIRST)), (1, sent()), (2, answered(SubmitAnswer::Refused)),
        (3, started(FIRST, run(0, 0, 1)))
    ],
    Promise::RefusedNeverStarts
)]
#[case::a_refusal_after_a_start(
    vec![
        (0, up(FIRST)), (1, sent()), (2, started(FIRST, run(0, 0, 1))),
        (3, answered(SubmitAnswer::Refused))
    ],
    Promise::RefusedNeverStarts
)]
#[case::a_job_that_nobody_sent(
    vec![(0, up(FIRST)), (1, started(FIRST, run(0, 0, 1)))],
    Promise::OnlySentJobsStart
)]
#[case::another_payload(
    with(accepted(), [(10_100, Observation::RunStarted {
        executor: FIRST,
        run: run(0, 0, 1),
        payload: "another".into(),
    })]),
    Promise::OnlySentJobsStart
)]
#[case::a_start_of_a_cancelled_job(
    with(accepted(), [
        (10_100, Observation::CancelSent { job: JOB }),
        (10_200, Observation::CancelAcknowledged { job: JOB }),
        (13_201, started(FIRST, run(0, 0, 1))),
    ]),
    Promise::CancelledJobStops
)]
#[case::a_start_of_a_cancelled_job_long_after_a_fault(
    with(accepted(), [
        (10_100, Observation::CancelSent { job: JOB }),
        (10_200, Observation::CancelAcknowledged { job: JOB }),
        (10_300, Observation::FaultBegan),
        (36_000, started(FIRST, run(0, 0, 1))),
    ]),
    Promise::CancelledJobStops
)]
#[case::completed_before_all_tasks_are_done(
    with(first_step_done(), [(10_800, seen(JobStatus::Completed))]),
    Promise::StatusIsTrue
)]
#[case::failed_without_a_cause(
    with(first_step_done(), [(10_800, seen(JobStatus::Failed))]),
    Promise::StatusIsTrue
)]
#[case::failed_by_crashes_of_executors(
    with(crashed_five_times(), [(11_500, seen(JobStatus::Failed))]),
    Promise::StatusIsTrue
)]
#[case::cancelled_by_nobody(
    with(accepted(), [(10_800, seen(JobStatus::Cancelled))]),
    Promise::StatusIsTrue
)]
#[case::a_configuration_that_goes_back(
    with(accepted(), [
        (10_000, config(5, true, &["q"])),
        (10_100, Observation::ConfigAcknowledged { version: 5 }),
        (12_200, read(1, 12_101)),
    ]),
    Promise::ConfigNeverGoesBack
)]
#[case::a_configuration_that_goes_back_during_a_fault(
    with(accepted(), [
        (10_000, config(5, true, &["q"])),
        (10_100, Observation::ConfigAcknowledged { version: 5 }),
        (10_200, Observation::FaultBegan),
        (12_200, read(1, 12_101)),
    ]),
    Promise::ConfigNeverGoesBack
)]
#[case::a_configuration_that_was_changed(
    with(accepted(), [(10_100, Observation::ConfigRead {
        version: 1,
        sent_at: 10_090,
        intact: false,
    })]),
    Promise::ConfigIsIntact
)]
#[case::a_configuration_that_nobody_sent(
    with(accepted(), [(10_100, read(9, 10_090))]),
    Promise::ConfigIsIntact
)]
#[case::a_valid_configuration_that_is_refused(
    with(accepted(), [(10_100, Observation::ConfigRefused { version: 1 })]),
    Promise::ConfigIsJudgedRight
)]
#[case::an_invalid_configuration_that_is_acknowledged(
    with(accepted(), [
        (10_000, config(5, false, &["q"])),
        (10_100, Observation::ConfigAcknowledged { version: 5 }),
    ]),
    Promise::ConfigIsJudgedRight
)]
#[case::an_invalid_configuration_that_is_in_force(
    with(accepted(), [(10_000, config(5, false, &["q"])), (10_100, read(5, 10_090))]),
    Promise::ConfigIsIntact
)]
#[case::a_queue_that_is_not_found(
    with(accepted(), [(10_100, answered(SubmitAnswer::NoQueue))]),
    Promise::QueuesFollowConfig
)]
#[case::a_withdrawn_queue_that_takes_jobs(
    vec![
        (0, config(1, true, &[])),
        (100, Observation::ConfigAcknowledged { version: 1 }),
        (10_000, sent()),
        (10_050, answered(SubmitAnswer::Accepted)),
    ],
    Promise::QueuesFollowConfig
)]
#[case::a_program_that_ends_by_itself(
    vec![(0, Observation::ProgramEnded { name: "Control(0)".into() })],
    Promise::ProgramsKeepRunning
)]
#[case::programs_that_do_not_recover(
    vec![(0, Observation::NotRecovered { what: "no configuration".into() })],
    Promise::Recovers
)]
fn a_seeded_violation_is_found(#[case] history: History, #[case] promise: Promise) {
    assert_eq!(check(history), [promise]);
}
