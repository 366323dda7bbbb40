//! Announcements of executor incarnations that arrive after the incarnation was removed.

use std::ops::RangeInclusive;
use std::time::Duration;

use masticfield_jobs::leader::{
    BriefAnnouncement, Call, CallError, ClaimWatch, Departure, Effect, Event, HoldReport, Leader,
    ReplyId,
};
use masticfield_jobs::state::{Command, State, WaveOrder};
use rstest::rstest;

use crate::support::{
    EXECUTOR, announce, config, host, moment, options, started_runs, state, submit,
};

/// Start of the incarnation that is removed; see [`state`].
const STARTED_MS: u64 = 5;

/// Time within which the incarnation is removed, in milliseconds.
const REMOVAL_MS: u64 = 30_000;

/// Time for which an announcement may be held up, in milliseconds.
const HELD_UP_MS: u64 = 30_000;

/// Time after which nothing about the incarnation may be kept, in milliseconds.
const FORGOTTEN_MS: u64 = 120_000;

/// Why an incarnation is removed.
#[derive(Debug, Clone, Copy)]
enum Removal {
    /// The platform has ended it to maintain its host.
    HostTaken,
    /// It has reported its end.
    Left,
    /// A later incarnation, which has not announced itself, has reported its own end.
    Superseded,
    /// It has not been heard of.
    Silent,
    /// Another executor answers at its address.
    Replaced,
}

#[derive(Debug, Clone, Copy)]
enum NextLeader {
    Same,
    FromState,
}

fn next_leader(leader: Leader, next: NextLeader, ms: u64) -> Leader {
    match next {
        NextLeader::Same => leader,
        NextLeader::FromState => {
            let state = State::from_snapshot(&leader.state().to_snapshot()).expect("a snapshot");
            new_leader(state, ms)
        }
    }
}

fn new_leader(state: State, ms: u64) -> Leader {
    let watch = ClaimWatch::new(Duration::ZERO);
    Leader::new(state, options(), watch, moment(ms))
}

fn departs(started_ms: u64) -> Event {
    let departure = Departure {
        id: "e1".into(),
        started_ms: Some(started_ms),
    };
    Event::Left {
        reply_to: ReplyId(0),
        departure,
    }
}

/// Lets time pass, with a check of the leader every 100 ms; returns whether a task is started.
///
/// The platform carries out all requests, and the executor answers polls with `report`, if any.
fn pass(leader: &mut Leader, times: RangeInclusive<u64>, report: Option<&HoldReport>) -> bool {
    let mut any_started = false;
    for ms in times.step_by(100) {
        let decision = leader.decide(moment(ms));
        any_started |= !started_runs(&decision.commands).is_empty();
        for effect in decision.after_commit {
            let event = match effect {
                Effect::ListHosts => Event::HostList {
                    hosts: Some(vec![host("h1", "p", has_executor(leader).then_some("e1"))]),
                },
                Effect::OrderHost { host, claim, .. } => Event::HostOrderResult {
                    host,
                    claim,
                    result: Ok(()),
                },
                Effect::Call {
                    executor,
                    call: Call::Hold { sent, .. },
                    ..
                } if report.is_some() => Event::HoldResult {
                    executor,
                    sent,
                    result: Ok(report.cloned().expect("checked")),
                },
                _ => continue,
            };
            leader.handle(moment(ms + 1), event);
        }
    }
    any_started
}

/// A leader that has removed the executor of [`state`] by [`REMOVAL_MS`].
fn leader_after(removal: Removal) -> Leader {
    let mut state = state();
    if matches!(removal, Removal::HostTaken) {
        let order = WaveOrder {
            number: 1,
            hosts: vec!["h1".into()],
            duration_ms: 5_000,
            cap: 1,
        };
        let at_ms = moment(0).wall_ms;
        state.apply(Command::Wave { order, at_ms });
    }
    let mut leader = new_leader(state, 0);
    let hosts = Some(vec![host("h1", "p", Some("e1"))]);
    leader.handle(moment(0), Event::HostList { hosts });
    match removal {
        Removal::HostTaken | Removal::Silent => {}
        Removal::Left => leader.handle(moment(0), departs(STARTED_MS)),
        Removal::Superseded => leader.handle(moment(0), departs(STARTED_MS + 1)),
        Removal::Replaced => {
            let other = Event::HoldResult {
                executor: EXECUTOR,
                sent: moment(0).monotonic,
                result: Err(CallError::OtherIncarnation),
            };
            leader.handle(moment(0), other);
        }
    }
    pass(&mut leader, 0..=REMOVAL_MS, None);
    assert!(leader.state().executor(EXECUTOR).is_none(), "not removed");
    leader
}

fn state_without_executor() -> State {
    let mut state = State::default();
    state.apply(Command::configure(config(), b"config"[..].into()));
    state
}

fn has_executor(leader: &Leader) -> bool {
    leader.state().executors().next().is_some()
}

/// Guards against tasks that are placed on an executor that has ended, since an announcement of it
/// arrives after its removal; also at the next leader, which takes over before or between two of them.
#[rstest]
fn a_late_announcement_of_a_removed_incarnation_gets_it_no_tasks(
    #[values(
        Removal::HostTaken,
        Removal::Left,
        Removal::Superseded,
        Removal::Silent,
        Removal::Replaced
    )]
    removal: Removal,
    #[values(NextLeader::Same, NextLeader::FromState)] before: NextLeader,
    #[values(NextLeader::Same, NextLeader::FromState)] after: NextLeader,
    #[values(0, HELD_UP_MS)] held_up_ms: u64,
) {
    let now = REMOVAL_MS + held_up_ms;
    let mut leader = next_leader(leader_after(removal), before, now);
    announce(&mut leader, now, "e1", STARTED_MS);
    let mut leader = next_leader(leader, after, now);
    announce(&mut leader, now, "e1", STARTED_MS);
    leader.handle(moment(now), submit(7));
    let brief = BriefAnnouncement {
        id: "e1".into(),
        started_ms: STARTED_MS,
        sequence: 2,
        clock_ms: 20,
    };
    leader.handle(moment(now + 10), Event::AnnouncedAgain(brief));
    let started = pass(&mut leader, now + 10..=now + 5_000, None);
    assert!(!started, "a task is started");
}

/// Guards against the same where the announcement is the first of an incarnation that has reported its
/// end.
#[rstest]
#[case::of_a_known_executor(state())]
#[case::of_an_unknown_executor(state_without_executor())]
fn an_incarnation_that_reports_its_end_before_it_is_known_gets_no_tasks(#[case] state: State) {
    let mut leader = new_leader(state, 0);
    leader.handle(moment(0), submit(7));
    leader.handle(moment(0), departs(STARTED_MS + 1));
    announce(&mut leader, 100, "e1", STARTED_MS + 1);
    assert!(!pass(&mut leader, 100..=5_000, None), "a task is started");
}

/// Guards against an executor that never gets tasks again after it was removed though it runs, as one
/// that was not reachable for a while.
#[rstest]
fn a_removed_incarnation_that_reports_its_runs_gets_tasks(
    #[values(
        Removal::HostTaken,
        Removal::Left,
        Removal::Superseded,
        Removal::Silent,
        Removal::Replaced
    )]
    removal: Removal,
    #[values(NextLeader::Same, NextLeader::FromState)] next: NextLeader,
) {
    let now = REMOVAL_MS;
    let mut leader = next_leader(leader_after(removal), next, now);
    leader.handle(moment(now), submit(7));
    announce(&mut leader, now, "e1", STARTED_MS);
    let report = HoldReport {
        clock_ms: 20,
        started_ms: Some(STARTED_MS),
        running: Vec::new(),
        finished: Vec::new(),
    };
    let started = pass(&mut leader, now..=now + 1_000, Some(&report));
    assert!(started, "the task does not start");
}

/// Guards against a start above the capacity of an executor, which may have carried out orders for a
/// former incarnation that it has not reported yet; and against one that waits for its first poll.
#[rstest]
fn a_later_incarnation_gets_tasks_as_soon_as_it_has_answered_the_poll_that_is_sent_at_once(
    #[values(
        Removal::HostTaken,
        Removal::Left,
        Removal::Superseded,
        Removal::Silent,
        Removal::Replaced
    )]
    removal: Removal,
    #[values(NextLeader::Same, NextLeader::FromState)] next: NextLeader,
) {
    let now = REMOVAL_MS;
    let mut leader = next_leader(leader_after(removal), next, now);
    leader.handle(moment(now), submit(7));
    announce(&mut leader, now, "e1", STARTED_MS + 2);
    let decision = leader.decide(moment(now));
    assert_eq!(started_runs(&decision.commands), []);
    let polls = decision.after_commit.iter();
    let mut polls = polls.filter_map(|effect| match effect {
        Effect::Call {
            executor,
            call: Call::Hold { sent, .. },
            ..
        } => Some((*executor, *sent)),
        _ => None,
    });
    let (executor, sent) = polls.next().expect("a poll");
    let report = HoldReport {
        clock_ms: 15,
        started_ms: Some(STARTED_MS + 2),
        running: Vec::new(),
        finished: Vec::new(),
    };
    let reported = Event::HoldResult {
        executor,
        sent,
        result: Ok(report),
    };
    leader.handle(moment(now + 5), reported);
    let decision = leader.decide(moment(now + 5));
    assert_eq!(started_runs(&decision.commands).len(), 1);
}

/// Guards against a state that grows with each incarnation that is removed.
#[rstest]
fn removed_incarnations_are_forgotten(
    #[values(Removal::HostTaken, Removal::Superseded, Removal::Silent)] removal: Removal,
    #[values(NextLeader::Same, NextLeader::FromState)] next: NextLeader,
) {
    let mut leader = next_leader(leader_after(removal), next, REMOVAL_MS);
    assert_ne!(leader.state().removed_incarnations().count(), 0);
    pass(&mut leader, REMOVAL_MS..=FORGOTTEN_MS, None);
    assert_eq!(leader.state().removed_incarnations().count(), 0);
}
