//! Starts, progress and ends of runs.

use std::time::Duration;

use masticfield_jobs::job::{JobId, RunId, TaskId};
use masticfield_jobs::leader::{
    Announcement, Call, CallError, ClaimWatch, Effect, Event, HoldReport, JobRequestKind, Leader,
    ListedEnd, ListedRun, Moment, ReplyId,
};
use masticfield_jobs::state::{Command, EndKind};
use rstest::rstest;

use crate::support::{
    EXECUTOR, announce_capacity, held, moment, options, started_runs, state, submit,
};

/// With thousands of tasks a second, answers wait before the leader processes them. Progress is
/// measured by the executor's clock, or every executor would seem slow.
#[rstest]
#[case::processed_late(1_150, 10, false)]
#[case::slow(4_000, 5, true)]
fn progress_is_measured_by_the_executors_clock(
    #[case] clock_ms: u64,
    #[case] percent: u32,
    #[case] expected: bool,
) {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    let held = |sent, clock_ms, running| Event::HoldResult {
        executor: EXECUTOR,
        sent,
        result: Ok(HoldReport {
            clock_ms,
            started_ms: Some(5),
            running,
            finished: Vec::new(),
        }),
    };
    leader.decide(moment(0));
    leader.handle(moment(1), held(moment(0).monotonic, 900, Vec::new()));
    for job in [7, 8] {
        leader.handle(moment(2), submit(job));
    }
    let decision = leader.decide(moment(2));
    let starts = decision
        .commands
        .iter()
        .filter_map(|command| match command {
            Command::Start { run, .. } => Some(*run),
            _ => None,
        });
    let starts: Vec<_> = starts.collect();
    assert_eq!(starts.len(), 2);
    for run in &starts {
        let started = Event::StartResult {
            executor: EXECUTOR,
            run: *run,
            result: Ok(1_000),
        };
        leader.handle(moment(5), started);
    }
    let running = starts.iter().map(|run| ListedRun {
        run: *run,
        saved: None,
        percent,
        load: None,
    });
    leader.handle(
        moment(3_000),
        held(moment(6).monotonic, clock_ms, running.collect()),
    );
    let effects = leader.decide(moment(3_000)).after_commit;
    let stopped = effects.iter().any(|effect| {
        matches!(
            effect,
            Effect::Call {
                call: Call::Stop { .. },
                ..
            }
        )
    });
    assert_eq!(stopped, expected);
}

/// Two polls are under way while a run starts, and the executor answers the later one first.
#[test]
fn a_run_is_not_ended_by_a_poll_that_was_answered_before_it_started() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    leader.decide(moment(0));
    leader.handle(moment(1), held(moment(0), 900, &[]));
    leader.handle(moment(2), submit(7));
    let runs = started_runs(&leader.decide(moment(2)).commands);
    leader.handle(moment(30), held(moment(5), 930, &runs));
    leader.handle(moment(31), held(moment(10), 925, &[]));
    let commands = leader.decide(moment(31)).commands;
    let job = JobId::new(7);
    let begun = Command::Begun { job };
    assert_eq!(commands, [begun], "{runs:?} was listed at 30 ms");
    leader.handle(moment(60), held(moment(31), 960, &[]));
    let ended = leader.decide(moment(60)).commands;
    let ended = ended
        .iter()
        .any(|command| matches!(command, Command::End { .. }));
    assert!(ended, "{runs:?} is missing in a poll sent since");
}

#[test]
fn tasks_start_within_the_capacity_that_was_announced_last() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    announce_capacity(&mut leader, 0, 32_000);
    announce_capacity(&mut leader, 10, 2_000);
    leader.handle(moment(11), held(moment(0), 11, &[]));
    for job in 1..=4 {
        leader.handle(moment(12), submit(job));
    }
    let shrunk = started_runs(&leader.decide(moment(12)).commands);
    assert_eq!(shrunk.len(), 2, "each task needs one core");
    leader.handle(moment(20), held(moment(13), 20, &shrunk));
    announce_capacity(&mut leader, 30, 32_000);
    let grown = started_runs(&leader.decide(moment(30)).commands);
    assert_eq!(grown.len(), 2, "{grown:?}");
}

/// An order to start has got no answer, and the capacity shrinks before it is repeated.
#[test]
fn an_order_that_no_longer_fits_is_not_repeated() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    announce_capacity(&mut leader, 0, 32_000);
    leader.handle(moment(1), submit(1));
    let run = started_runs(&leader.decide(moment(1)).commands)[0];
    let result = Err(CallError::Unknown);
    let executor = EXECUTOR;
    leader.handle(
        moment(50),
        Event::StartResult {
            executor,
            run,
            result,
        },
    );
    announce_capacity(&mut leader, 60, 500);
    let effects = leader.decide(moment(300)).after_commit;
    let calls = effects.iter().filter_map(|effect| match effect {
        Effect::Call { call, .. } => Some(call),
        _ => None,
    });
    let calls: Vec<_> = calls.collect();
    assert!(calls.contains(&&Call::Stop { run }), "{calls:?}");
    let repeated = calls.iter().any(|call| matches!(call, Call::Start { .. }));
    assert!(!repeated, "{calls:?}");
}

/// Announcements of an executor stop coming before an order without an answer is repeated. Its capacity
/// may shrink unnoticed.
#[rstest]
#[case::still_announced(Some(3_780), true)]
#[case::no_longer_announced(None, false)]
fn an_order_is_repeated_while_the_capacity_is_known(
    #[case] announced_ms: Option<u64>,
    #[case] is_repeated: bool,
) {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    announce_capacity(&mut leader, 0, 32_000);
    leader.handle(moment(3_700), submit(1));
    let run = started_runs(&leader.decide(moment(3_700)).commands)[0];
    let unanswered = Event::StartResult {
        executor: EXECUTOR,
        run,
        result: Err(CallError::Unknown),
    };
    leader.handle(moment(3_760), unanswered);
    if let Some(ms) = announced_ms {
        announce_capacity(&mut leader, ms, 32_000);
    }
    let effects = leader.decide(moment(3_900)).after_commit;
    let calls = effects.iter().filter_map(|effect| match effect {
        Effect::Call { call, .. } => Some(call),
        _ => None,
    });
    let calls: Vec<_> = calls.collect();
    let repeated = calls.iter().any(|call| matches!(call, Call::Start { .. }));
    assert_eq!(repeated, is_repeated, "{calls:?}");
    assert_eq!(
        calls.contains(&&Call::Stop { run }),
        !is_repeated,
        "{calls:?}"
    );
}

/// An executor lists at most 500 ends at a time. That of the run follows in the next report.
#[test]
fn a_run_is_not_taken_for_gone_while_an_executor_has_more_ends_to_list() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    leader.decide(moment(0));
    leader.handle(moment(1), held(moment(0), 900, &[]));
    leader.handle(moment(2), submit(7));
    let runs = started_runs(&leader.decide(moment(2)).commands);
    leader.handle(moment(30), held(moment(5), 930, &runs));
    leader.decide(moment(31));
    let end = |number: u64, run: RunId| ListedEnd {
        number,
        run,
        kind: EndKind::Done,
        saved: None,
    };
    let ended = |sent: Moment, finished: Vec<ListedEnd>| Event::HoldResult {
        executor: EXECUTOR,
        sent: sent.monotonic,
        result: Ok(HoldReport {
            clock_ms: 1_500,
            started_ms: Some(5),
            running: Vec::new(),
            finished,
        }),
    };
    let other = |number: u64| TaskId::new(JobId::new(number), 0, 0, 0).run(1);
    let first = (1..=500).map(|number| end(number, other(1_000 + number)));
    leader.handle(moment(600), ended(moment(40), first.collect()));
    assert_eq!(started_runs(&leader.decide(moment(600)).commands), []);
    leader.handle(moment(610), ended(moment(601), vec![end(501, runs[0])]));
    let commands = leader.decide(moment(610)).commands;
    let done = commands.iter().any(|command| {
        matches!(command, Command::End { run, kind: EndKind::Done, .. } if *run == runs[0])
    });
    assert!(done, "{commands:?}");
}

/// An order without an answer is repeated for seconds, while an executor that leaves may be given no
/// more tasks.
#[test]
fn an_order_to_an_executor_that_leaves_is_not_repeated() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    leader.decide(moment(0));
    leader.handle(moment(1), held(moment(0), 900, &[]));
    leader.handle(moment(2), submit(7));
    let runs = started_runs(&leader.decide(moment(2)).commands);
    let state = state();
    let record = state.executor(EXECUTOR).expect("in the state");
    let announcement = Announcement {
        incarnation: record.incarnation.clone(),
        sequence: 1,
        clock_ms: 1_000,
        leaving: true,
    };
    let reply_to = ReplyId(9);
    let leaves = Event::Announced {
        reply_to,
        announcement,
    };
    leader.handle(moment(100), leaves);
    let unanswered = Event::StartResult {
        executor: EXECUTOR,
        run: runs[0],
        result: Err(CallError::Unknown),
    };
    leader.handle(moment(1_200), unanswered);
    let decisions = [1_200, 1_400, 1_600].map(|ms| leader.decide(moment(ms)));
    let calls = decisions.iter().flat_map(|decision| &decision.after_commit);
    let calls: Vec<_> = calls
        .filter_map(|effect| match effect {
            Effect::Call { call, .. } => Some(call),
            _ => None,
        })
        .collect();
    let is_start = |call: &&Call| matches!(call, Call::Start { .. });
    let is_stop = |call: &&Call| matches!(call, Call::Stop { run } if *run == runs[0]);
    assert!(!calls.iter().any(is_start), "{calls:?}");
    assert!(calls.iter().any(is_stop), "{calls:?}");
}

/// Two tasks of a step, of which one may be away, were placed on an executor that leaves, and their orders
/// have not arrived. Neither runs, so that neither may keep the other from being stopped and placed
/// elsewhere.
#[rstest]
#[case::neither_runs(0, 2)]
#[case::both_run(100, 1)]
fn an_unanswered_stop_is_repeated_if_its_run_is_not_listed(
    #[case] percent: u32,
    #[case] repeated: usize,
) {
    let mut event = submit(7);
    if let Event::JobRequest { request, .. } = &mut event
        && let JobRequestKind::Submit(spec) = &mut request.kind
    {
        let step = &mut spec.steps[0];
        (step.count, step.may_miss, step.long_running) = (2, 1, true);
    }
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut former = Leader::new(state(), options(), watch.clone(), moment(0));
    former.decide(moment(0));
    former.handle(moment(1), held(moment(0), 900, &[]));
    former.handle(moment(2), event);
    let commands = former.decide(moment(2)).commands;
    let runs = started_runs(&commands);
    let mut state = state();
    for command in commands {
        state.apply(command);
    }
    state.apply(Command::Leaving { executor: EXECUTOR });
    let mut leader = Leader::new(state, options(), watch, moment(10));
    let mut stops = Vec::new();
    for ms in (10..2_000).step_by(50) {
        for effect in leader.decide(moment(ms)).after_commit {
            match effect {
                Effect::Call {
                    call: Call::Stop { run },
                    ..
                } => {
                    stops.push(run);
                }
                Effect::Call {
                    call: Call::Hold { sent, .. },
                    ..
                } => {
                    let running = runs.iter().filter(|_| percent > 0).map(|run| ListedRun {
                        run: *run,
                        saved: None,
                        percent,
                        load: None,
                    });
                    let result = Ok(HoldReport {
                        clock_ms: 900 + ms,
                        started_ms: Some(5),
                        running: running.collect(),
                        finished: Vec::new(),
                    });
                    let executor = EXECUTOR;
                    leader.handle(
                        moment(ms + 1),
                        Event::HoldResult {
                            executor,
                            sent,
                            result,
                        },
                    );
                }
                _ => {}
            }
        }
    }
    let again = runs
        .iter()
        .filter(|run| stops.iter().filter(|stop| stop == run).count() > 1);
    assert_eq!(again.count(), repeated, "{stops:?}");
}
