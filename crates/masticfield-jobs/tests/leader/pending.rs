//! When a job no longer counts as pending.

use std::time::Duration;

use masticfield_jobs::job::{JobId, RunId};
use masticfield_jobs::leader::{
    CallError, ClaimWatch, Event, HoldReport, JobRequest, JobRequestKind, Leader, ListedEnd,
    Rejection, Reply, read,
};
use masticfield_jobs::state::{Command, EndKind, JobStatus};
use rstest::rstest;

use crate::support::{EXECUTOR, announce, held, moment, options, started_runs, state, submit};

const JOB: u64 = 7;

/// Answers a read of a path.
fn ask(leader: &Leader, path: String) -> Reply {
    let state = leader.state();
    let stored = state.config().expect("configured");
    let request = JobRequest {
        authority: "a.example".into(),
        path,
        kind: JobRequestKind::Read,
        key: None,
    };
    read(state, &state.route_table(&stored.config), &request)
}

/// Returns the number of pending jobs and the status of the job.
fn shown(leader: &Leader) -> (Reply, Reply) {
    let job = format!("/q/{}", JobId::new(JOB));
    (ask(leader, "/q/".to_owned()), ask(leader, job))
}

fn waits() -> (Reply, Reply) {
    (Reply::Pending(1), Reply::Status(JobStatus::Queued))
}

fn runs() -> (Reply, Reply) {
    (Reply::Pending(0), Reply::Status(JobStatus::Running))
}

/// A leader that has just ordered the run of a job.
fn leader_with_order() -> (Leader, RunId) {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    leader.decide(moment(0));
    leader.handle(moment(1), held(moment(0), 900, &[]));
    leader.handle(moment(2), submit(JOB));
    let runs = started_runs(&leader.decide(moment(2)).commands);
    let [run] = runs.as_slice() else {
        panic!("one start expected: {runs:?}");
    };
    (leader, *run)
}

fn answer(run: RunId, result: Result<u64, CallError>) -> Event {
    Event::StartResult {
        executor: EXECUTOR,
        run,
        result,
    }
}

/// Report of the end of a run.
fn ended(run: RunId, kind: EndKind) -> Event {
    Event::HoldResult {
        executor: EXECUTOR,
        sent: moment(5).monotonic,
        result: Ok(HoldReport {
            clock_ms: 950,
            started_ms: Some(5),
            running: Vec::new(),
            finished: vec![ListedEnd {
                number: 1,
                run,
                kind,
                saved: None,
            }],
        }),
    }
}

/// Callers saw: no job was pending while jobs waited that were placed on an executor that was lost, or
/// that had rejected them.
#[rstest]
#[case::no_answer(None)]
#[case::unanswered(Some(Err(CallError::Unknown)))]
#[case::no_capacity(Some(Err(CallError::Rejected(Rejection::NoCapacity))))]
#[case::unavailable(Some(Err(CallError::Rejected(Rejection::Unavailable))))]
#[case::stale(Some(Err(CallError::Rejected(Rejection::StaleRun))))]
#[case::other_incarnation(Some(Err(CallError::OtherIncarnation)))]
fn a_job_is_pending_until_an_executor_has_begun_a_task(
    #[case] result: Option<Result<u64, CallError>>,
    #[values(false, true)] next_leader: bool,
) {
    let (mut leader, run) = leader_with_order();
    assert_eq!(shown(&leader), waits(), "ordered");
    if let Some(result) = result {
        leader.handle(moment(10), answer(run, result));
        leader.decide(moment(10));
    }
    if next_leader {
        let watch = ClaimWatch::new(Duration::ZERO);
        leader = Leader::new(leader.state().clone(), options(), watch, moment(20));
        leader.decide(moment(20));
    }
    assert_eq!(shown(&leader), waits(), "no executor has begun it");
}

/// A job whose executor is lost before it has begun the task waits again.
#[test]
fn a_job_is_pending_after_its_run_is_given_up_with_its_executor() {
    let (mut leader, run) = leader_with_order();
    announce(&mut leader, 10, "e1", 6);
    leader.decide(moment(10));
    assert_eq!(shown(&leader), waits(), "{run} may be on the later one");
    leader.handle(moment(11), answer(run, Err(CallError::OtherIncarnation)));
    leader.decide(moment(11));
    assert_eq!(shown(&leader), waits());
}

/// Guards against jobs that stay pending although a task has begun, also for the next leader.
#[rstest]
#[case::answer(|run| answer(run, Ok(910)))]
#[case::report(|run| held(moment(5), 950, &[run]))]
#[case::stopped(|run| ended(run, EndKind::Stopped))]
#[case::lapsed(|run| ended(run, EndKind::Lapsed))]
#[case::failed(|run| ended(run, EndKind::Failed))]
fn a_job_is_no_longer_pending_once_an_executor_has_begun_a_task(
    #[case] begun: impl Fn(RunId) -> Event,
    #[values(false, true)] next_leader: bool,
) {
    let (mut leader, run) = leader_with_order();
    leader.handle(moment(10), begun(run));
    leader.decide(moment(10));
    if next_leader {
        let watch = ClaimWatch::new(Duration::ZERO);
        leader = Leader::new(leader.state().clone(), options(), watch, moment(20));
        leader.decide(moment(20));
    }
    assert_eq!(shown(&leader), runs());
}

/// One entry of the log a job, however many of its tasks begin and however often they are reported.
#[test]
fn the_begin_of_a_job_is_recorded_once() {
    let (mut leader, run) = leader_with_order();
    let mut recorded = 0;
    leader.handle(moment(10), answer(run, Ok(910)));
    for ms in [10, 300, 600] {
        leader.handle(moment(ms), held(moment(ms - 1), 900 + ms, &[run]));
        let commands = leader.decide(moment(ms)).commands;
        let begun = commands
            .iter()
            .filter(|command| matches!(command, Command::Begun { .. }));
        recorded += begun.count();
    }
    assert_eq!(recorded, 1);
}
