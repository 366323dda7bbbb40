//! Leases that calls meant for a former incarnation of an executor, or of a former leader, may have
//! granted. A later incarnation's clock starts anew, so that it shortens them only to the longest.

use std::ops::Range;
use std::time::Duration;

use masticfield_jobs::job::{JobId, RunId, TaskId};
use masticfield_jobs::leader::{
    Announcement, Call, CallError, ClaimWatch, Decision, Effect, Event, HoldReport, Leader,
    ListedRun, ReplyId,
};
use masticfield_jobs::state::{Command, ExecutorKey, State};
use rstest::rstest;

use crate::support::{config, incarnation, moment, options, started_runs, submit};

const FORMER: ExecutorKey = ExecutorKey(1);
const LATER: ExecutorKey = ExecutorKey(2);

/// Starts of the two incarnations of the executor.
const FORMER_START: u64 = 5;
const LATER_START: u64 = 6;

/// The former incarnation's clock when the leadership begins, in milliseconds.
const FORMER_CLOCK_MS: u64 = 60_000;

/// Longest lease that an executor grants, in milliseconds.
const LONGEST_LEASE_MS: u64 = 10_000;

/// Time by which a leader may start a task later than necessary, in milliseconds.
const MARGIN_MS: u64 = 1_000;

const JOB: u64 = 7;

fn first_run() -> RunId {
    TaskId::new(JobId::new(JOB), 0, 0, 0).run(1)
}

fn announce(id: &str, started_ms: u64, ms: u64, clock_ms: u64) -> Event {
    Event::Announced {
        reply_to: ReplyId(ms),
        announcement: Announcement {
            incarnation: incarnation(id, started_ms),
            sequence: ms + 1,
            clock_ms,
            leaving: false,
        },
    }
}

fn report(key: ExecutorKey, started_ms: u64, sent_ms: u64, clock_ms: u64, runs: &[RunId]) -> Event {
    let running = runs.iter().map(|run| ListedRun {
        run: *run,
        saved: None,
        percent: 0,
        load: None,
    });
    Event::HoldResult {
        executor: key,
        sent: moment(sent_ms).monotonic,
        result: Ok(HoldReport {
            clock_ms,
            started_ms: Some(started_ms),
            running: running.collect(),
            finished: Vec::new(),
        }),
    }
}

/// A leader with one executor, and the first run of a job that it has ordered at 1 ms.
fn leader_with_order() -> Leader {
    let mut state = State::default();
    state.apply(Command::configure(config(), b"config"[..].into()));
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state, options(), watch, moment(0));
    leader.handle(moment(0), announce("e1", FORMER_START, 0, FORMER_CLOCK_MS));
    leader.decide(moment(0));
    leader.handle(moment(1), submit(JOB));
    let runs = started_runs(&leader.decide(moment(1)).commands);
    assert_eq!(runs, [first_run()]);
    leader
}

/// A leader whose executor has answered the order, and has listed the run until `until_ms`.
fn leader_with_listed_run(until_ms: u64) -> Leader {
    let mut leader = leader_with_order();
    let started = Event::StartResult {
        executor: FORMER,
        run: first_run(),
        result: Ok(FORMER_CLOCK_MS + 5),
    };
    leader.handle(moment(5), started);
    for ms in [20, until_ms] {
        let clock_ms = FORMER_CLOCK_MS + ms;
        leader.handle(
            moment(ms),
            report(FORMER, FORMER_START, ms - 1, clock_ms, &[first_run()]),
        );
        leader.decide(moment(ms));
    }
    leader
}

fn next_leader(leader: &Leader, ms: u64) -> Leader {
    let watch = ClaimWatch::new(Duration::ZERO);
    let state = State::from_snapshot(&leader.state().to_snapshot()).expect("a snapshot");
    Leader::new(state, options(), watch, moment(ms))
}

/// Polls that a decision sends, as failures.
fn failed_polls(decision: &Decision) -> Vec<Event> {
    let polls = decision.after_commit.iter();
    let polls = polls.filter_map(|effect| match effect {
        Effect::Call {
            executor,
            call: Call::Hold { sent, .. },
            ..
        } => Some((*executor, *sent)),
        _ => None,
    });
    let failed = polls.map(|(executor, sent)| Event::HoldResult {
        executor,
        sent,
        result: Err(CallError::Unknown),
    });
    failed.collect()
}

/// Time at which the task starts again, in milliseconds, if its executor is cut off from `since_ms` on
/// and another one joins.
fn restart(leader: &mut Leader, since_ms: u64) -> u64 {
    for executor in [FORMER, LATER] {
        let failed = Event::HoldResult {
            executor,
            sent: moment(since_ms).monotonic,
            result: Err(CallError::Unknown),
        };
        leader.handle(moment(since_ms), failed);
    }
    for ms in (since_ms..30_000).step_by(50) {
        if (ms - since_ms).is_multiple_of(1_000) {
            leader.handle(moment(ms), announce("e2", 1, ms, FORMER_CLOCK_MS + ms));
        }
        let decision = leader.decide(moment(ms));
        if !started_runs(&decision.commands).is_empty() {
            return ms;
        }
        for failed in failed_polls(&decision) {
            leader.handle(moment(ms + 20), failed);
        }
    }
    panic!("the task did not start again");
}

/// Checks that the task starts again only after the first time of `lease_end_ms`, the earliest end of the
/// lease, and soon after the second one, the latest; see [`restart`].
fn check_restart(leader: &mut Leader, since_ms: u64, lease_end_ms: Range<u64>) {
    let restarted = restart(leader, since_ms);
    assert!(restarted > lease_end_ms.start, "{restarted} ms");
    assert!(restarted < lease_end_ms.end + MARGIN_MS, "{restarted} ms");
}

/// What the leader knows of the run on the later incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Known {
    Nothing,
    Listed,
}

/// Users saw: two runs of a task at once. An executor had started again and carried out the order for
/// its former incarnation; the leader was killed, the executor cut off, and the next leader waited for
/// the usual lease.
#[rstest]
fn a_run_on_a_reborn_executor_is_over_after_its_longest_lease(
    #[values(Known::Nothing, Known::Listed)] known: Known,
    #[values(false, true)] change: bool,
) {
    let mut leader = leader_with_order();
    leader.handle(moment(10), announce("e1", LATER_START, 10, 5));
    leader.decide(moment(10));
    if known == Known::Listed {
        for ms in [20, 2_000] {
            leader.handle(
                moment(ms),
                report(LATER, LATER_START, ms - 1, ms, &[first_run()]),
            );
            leader.decide(moment(ms));
        }
    }
    if change {
        leader = next_leader(&leader, 2_010);
    }
    check_restart(
        &mut leader,
        2_020,
        LONGEST_LEASE_MS..2_010 + LONGEST_LEASE_MS,
    );
}

/// Guards against an executor that has started again and gets no tasks for a second, as the answer to its
/// first poll was lost.
#[test]
fn the_first_poll_of_a_later_incarnation_is_repeated_soon() {
    let mut leader = leader_with_listed_run(400);
    leader.handle(moment(510), report(FORMER, LATER_START, 401, 5, &[]));
    leader.decide(moment(510));
    leader.handle(moment(600), announce("e1", LATER_START, 600, 95));
    for failed in failed_polls(&leader.decide(moment(600))) {
        leader.handle(moment(620), failed);
    }
    let polls = [700, 800, 900].map(|ms| failed_polls(&leader.decide(moment(ms))).len());
    assert_eq!(polls.iter().sum::<usize>(), 1, "{polls:?}");
}

/// When the leader changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    Never,
    BeforeTheAnnouncement,
    BeforeTheCut,
}

/// Guards against a task that starts again beside its run: a poll for the former incarnation of its
/// executor had extended the lease of the later one, before the run was placed there.
#[rstest]
#[case::same_leader(Change::Never)]
#[case::before_the_announcement(Change::BeforeTheAnnouncement)]
#[case::before_the_cut(Change::BeforeTheCut)]
fn a_run_that_is_placed_on_a_reborn_executor_is_over_after_its_longest_lease(
    #[case] change: Change,
) {
    let mut leader = leader_with_listed_run(400);
    // The poll has reached the later incarnation.
    leader.handle(moment(510), report(FORMER, LATER_START, 401, 5, &[]));
    leader.decide(moment(510));
    if change == Change::BeforeTheAnnouncement {
        leader = next_leader(&leader, 550);
    }
    leader.handle(moment(600), announce("e1", LATER_START, 600, 95));
    leader.decide(moment(600));
    leader.handle(moment(605), report(LATER, LATER_START, 600, 100, &[]));
    let runs = started_runs(&leader.decide(moment(605)).commands);
    assert_eq!(runs, [first_run().task.run(2)]);
    for ms in [620, 2_000] {
        leader.handle(
            moment(ms),
            report(LATER, LATER_START, ms - 1, ms - 505, &runs),
        );
        leader.decide(moment(ms));
    }
    if change == Change::BeforeTheCut {
        leader = next_leader(&leader, 2_010);
    }
    check_restart(
        &mut leader,
        2_020,
        510 + LONGEST_LEASE_MS..2_010 + LONGEST_LEASE_MS,
    );
}

/// Guards against a task that starts again beside its run, which an unanswered order has started on a
/// later incarnation that the leader does not know of.
#[rstest]
#[case::order_without_an_answer(false, false)]
#[case::order_without_an_answer_of_a_former_leader(false, true)]
#[case::listed_run_with_an_order_without_an_answer(true, false)]
#[case::listed_run_with_such_an_order_of_a_former_leader(true, true)]
fn a_run_that_may_be_on_a_later_incarnation_is_over_after_the_longest_lease(
    #[case] listed: bool,
    #[case] change: bool,
) {
    let mut leader = leader_with_order();
    let unanswered = Event::StartResult {
        executor: FORMER,
        run: first_run(),
        result: Err(CallError::Unknown),
    };
    leader.handle(moment(10), unanswered);
    if listed {
        for ms in [20, 2_000] {
            leader.handle(
                moment(ms),
                report(
                    FORMER,
                    FORMER_START,
                    ms - 1,
                    FORMER_CLOCK_MS + ms,
                    &[first_run()],
                ),
            );
            leader.decide(moment(ms));
        }
    }
    if change {
        leader = next_leader(&leader, 2_010);
    }
    check_restart(
        &mut leader,
        2_020,
        LONGEST_LEASE_MS..2_010 + LONGEST_LEASE_MS,
    );
}

/// Guards against tasks that are away for longer than necessary: a run that a report has listed is on
/// that incarnation, which keeps to the lease that it was sent.
#[rstest]
fn a_listed_run_is_over_after_the_usual_lease(#[values(false, true)] change: bool) {
    let mut leader = leader_with_listed_run(2_000);
    if change {
        leader = next_leader(&leader, 2_010);
    }
    check_restart(&mut leader, 2_020, 5_000..7_000);
}

/// Guards against a record of a possible lease that outlasts it.
#[test]
fn an_executor_that_has_outlasted_former_leases_keeps_to_the_usual_one() {
    let mut leader = leader_with_order();
    leader.handle(moment(10), announce("e1", LATER_START, 10, 5));
    for ms in (20..12_000).step_by(100) {
        leader.handle(
            moment(ms),
            report(LATER, LATER_START, ms - 1, ms, &[first_run()]),
        );
        leader.decide(moment(ms));
    }
    leader = next_leader(&leader, 12_010);
    check_restart(&mut leader, 12_020, 17_000..17_000);
}

fn unanswered() -> Event {
    Event::StartResult {
        executor: FORMER,
        run: first_run(),
        result: Err(CallError::Unknown),
    }
}

/// The commands of a leader that gets to know a later incarnation of the executor, and another executor.
fn commands_after_restart(leader: &mut Leader, started_ms: u64, ms: u64) -> Vec<Command> {
    leader.handle(moment(ms), announce("e1", started_ms, ms, 5));
    let mut commands = leader.decide(moment(ms)).commands;
    leader.handle(moment(ms), announce("e2", 1, ms, 5));
    commands.extend(leader.decide(moment(ms + 1)).commands);
    commands
}

/// Guards against a task that starts again beside its run: an order without an answer has started it on the
/// next incarnation, and the leader took it for located, as it did not know of that order.
#[rstest]
#[case::same_leader(false)]
#[case::next_leader(true)]
fn a_listed_run_with_an_order_without_an_answer_is_not_gone_with_its_incarnation(
    #[case] change: bool,
) {
    let mut leader = leader_with_order();
    leader.handle(moment(10), unanswered());
    leader.decide(moment(10));
    if change {
        leader = next_leader(&leader, 100);
        let again = announce("e1", FORMER_START, 100, FORMER_CLOCK_MS + 100);
        leader.handle(moment(100), again);
        leader.decide(moment(100));
    }
    for ms in [200, 1_500] {
        let clock_ms = FORMER_CLOCK_MS + ms;
        leader.handle(
            moment(ms),
            report(FORMER, FORMER_START, ms - 1, clock_ms, &[first_run()]),
        );
        leader.decide(moment(ms));
    }
    let commands = commands_after_restart(&mut leader, LATER_START, 2_000);
    assert_eq!(started_runs(&commands), [], "{commands:?}");
}

/// Guards against the same after two restarts: the order was for the first of three incarnations.
#[test]
fn a_run_with_an_order_for_the_first_incarnation_is_not_gone_with_the_second() {
    let mut leader = leader_with_order();
    leader.handle(moment(10), unanswered());
    leader.decide(moment(10));
    leader.handle(moment(500), announce("e1", LATER_START, 500, 5));
    leader.decide(moment(500));
    for ms in [520, 700] {
        leader.handle(
            moment(ms),
            report(LATER, LATER_START, ms - 1, ms - 500, &[first_run()]),
        );
        leader.decide(moment(ms));
    }
    let commands = commands_after_restart(&mut leader, LATER_START + 1, 2_000);
    assert_eq!(started_runs(&commands), [], "{commands:?}");
}

/// The order to start the first run.
fn order() -> Call {
    Call::Start {
        run: first_run(),
        payload: "".into(),
        saved: None,
        deadline_ms: FORMER_CLOCK_MS + 5_000,
    }
}

/// Guards against a task that starts again beside its run: the commit of the order had taken long, and a
/// later incarnation, which the leader does not know of, has got its longest lease by it.
#[test]
fn a_lease_counts_from_when_the_order_is_sent() {
    let mut leader = leader_with_order();
    let may_be_sent = leader.prepare_call(moment(2_000), FORMER, &mut order());
    assert!(may_be_sent);
    check_restart(
        &mut leader,
        2_020,
        2_000 + LONGEST_LEASE_MS..2_000 + LONGEST_LEASE_MS,
    );
}

/// Guards against an order that is sent after its executor was removed, to the later incarnation.
#[test]
fn no_call_is_sent_for_an_incarnation_that_was_removed_since() {
    let mut leader = leader_with_order();
    leader.handle(moment(10), announce("e1", LATER_START, 10, 5));
    assert!(!leader.prepare_call(moment(10), FORMER, &mut order()));
}

/// Guards against a poll that acknowledges ends of a later incarnation, which has answered since it was
/// decided on.
#[test]
fn no_call_is_sent_while_another_incarnation_answers() {
    let mut leader = leader_with_order();
    leader.handle(moment(20), report(FORMER, LATER_START, 2, 5, &[]));
    leader.decide(moment(20));
    let mut poll = Call::Hold {
        deadline_ms: Some(FORMER_CLOCK_MS + 5_000),
        acknowledged: 57,
        wait: Duration::ZERO,
        sent: moment(15).monotonic,
    };
    assert!(!leader.prepare_call(moment(30), FORMER, &mut poll));
}

/// Guards against an end as done that is acknowledged unseen: the commit before the poll had taken long,
/// and the poll reaches a later incarnation, whose ends have the same numbers.
#[rstest]
#[case::at_once(20, 57)]
#[case::after_a_slow_commit(600, 0)]
fn a_poll_that_has_waited_acknowledges_no_ends(#[case] waited_ms: u64, #[case] expected: u64) {
    let mut leader = leader_with_order();
    let mut poll = Call::Hold {
        deadline_ms: None,
        acknowledged: 57,
        wait: Duration::ZERO,
        sent: moment(10).monotonic,
    };
    assert!(leader.prepare_call(moment(10 + waited_ms), FORMER, &mut poll));
    let Call::Hold { acknowledged, .. } = poll else {
        panic!("a poll expected: {poll:?}");
    };
    assert_eq!(acknowledged, expected);
}
