//! Operator requests: racing, resubmitted and stale notes, drains, and explanations.

#[path = "common/notes.rs"]
mod notes;

use std::collections::BTreeMap;

use assert_matches::assert_matches;
use masticfield_core::config::NoteError;
use masticfield_core::fleet::{Action, Generation, Planned, Reason};
use masticfield_core::note::ReleaseNote;
use masticfield_core::operator::{NoteAccepted, Problem};
use masticfield_state::{
    Command, Envelope, Guard, Guards, Refusal, Reply, State, Subject, Verdict,
};
use notes::{first_note, note};
use proptest::prelude::*;

/// A state in which the first note was accepted.
fn started() -> State {
    let mut state = State::new();
    submit(&mut state, &first_note()).unwrap();
    state
}

fn apply(state: &mut State, command: Command) -> Reply {
    let index = state.applied() + 1;
    state.apply(index, &Envelope::new(index * 1_000, command))
}

fn submit(state: &mut State, note: &ReleaseNote) -> Result<NoteAccepted, Problem> {
    match apply(state, Command::Note(Box::new(note.clone()))) {
        Reply::Note(result) => result,
        other => panic!("unexpected reply to a note: {other:?}"),
    }
}

fn act(state: &mut State, action: Action, reason: Reason) -> Verdict {
    match apply(state, Command::Actions(vec![Planned { action, reason }])) {
        Reply::Actions(verdicts) => verdicts[0].clone(),
        other => panic!("unexpected reply to actions: {other:?}"),
    }
}

/// Submits notes of racing operators, and returns the first wrong answer.
///
/// Each submission is the offset of the note's number and the operator who submits it.
fn race(guards: Guards, submissions: &[(u64, usize)]) -> Result<(), String> {
    let mut state = State::with_guards(guards);
    submit(&mut state, &first_note()).unwrap();
    let mut winners = BTreeMap::new();
    for &(offset, operator) in submissions {
        let number = offset + 2;
        let pool = format!("o{operator}-{offset}");
        let result = submit(&mut state, &note(number, number - 1, &pool));
        let winner = winners.get(&number).copied();
        let is_correct = match (winner, &result) {
            (None, Ok(accepted)) => !accepted.repeated,
            (Some(winner), Ok(accepted)) => accepted.repeated && winner == operator,
            (Some(winner), Err(Problem::OtherNoteWon { number: n, summary })) => {
                let expected = format!("adds o{winner}-{offset}");
                winner != operator && *n == number && summary.as_ref() == expected
            }
            (None, Err(Problem::NoteRefused { error })) => {
                let latest = state.config().version();
                matches!(error, NoteError::StaleBase { in_force, .. } if *in_force == latest)
            }
            _ => false,
        };
        if !is_correct {
            return Err(format!(
                "note {number} of operator {operator}: {result:?}, accepted from {winner:?}"
            ));
        }
        if result.is_ok() {
            winners.entry(number).or_insert(operator);
        }
        let latest = winners.keys().max().copied().unwrap_or(1);
        if state.config().version() != latest {
            return Err(format!(
                "version is {} instead of {latest}",
                state.config().version()
            ));
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    #[test]
    fn one_note_wins_each_number_and_every_resubmission_is_answered_alike(
        submissions in proptest::collection::vec((0_u64..3, 0_usize..3), 1..30),
    ) {
        prop_assert_eq!(race(Guards::all(), &submissions), Ok(()));
    }
}

#[test]
fn a_race_without_the_note_once_guard_is_detected() {
    let guards = Guards::without(Guard::NoteOnce);
    assert!(race(guards, &[(0, 0), (0, 0)]).is_err(), "a resubmission");
    assert!(race(guards, &[(0, 0), (0, 1)]).is_err(), "another operator");
}

#[test]
fn a_stale_base_changes_nothing() {
    let mut state = started();
    submit(&mut state, &note(2, 1, "a")).unwrap();
    let before = state.config().clone();
    let refused = submit(&mut state, &note(3, 1, "b"));
    assert_matches!(
        refused,
        Err(Problem::NoteRefused {
            error: NoteError::StaleBase { in_force: 2, .. }
        })
    );
    assert_eq!(*state.config(), before);
}

#[test]
fn a_drained_host_is_held_until_it_is_undrained() {
    let mut state = started();
    let (host, pool, generation) = ("h0".into(), "p0".into(), Generation::new(1));
    let own = Action::Own {
        host,
        pool,
        generation,
    };
    assert_eq!(act(&mut state, own, Reason::TaskMissing), Verdict::Done);
    let drain = Command::Drain { host: "h0".into() };
    assert_matches!(apply(&mut state, drain), Reply::Drain(Ok(accepted)) if accepted.generation == 1);
    let resume = Action::Resume {
        host: "h0".into(),
        generation,
    };
    let held = Verdict::Refused(Refusal::HeldByOperator);
    assert_eq!(act(&mut state, resume.clone(), Reason::TaskMissing), held);
    let undrain = Command::Undrain { host: "h0".into() };
    assert_eq!(apply(&mut state, undrain), Reply::Verdict(Verdict::Done));
    assert_eq!(act(&mut state, resume, Reason::TaskMissing), Verdict::Done);
}

#[test]
fn draining_an_unknown_host_names_it() {
    let drain = Command::Drain { host: "h9".into() };
    assert_matches!(
        apply(&mut started(), drain),
        Reply::Drain(Err(Problem::NotFound { name, .. })) if name.as_ref() == "h9"
    );
}

#[test]
fn a_handover_is_explained_and_counted() {
    let mut state = started();
    let host = || "h0".into();
    let first = Generation::new(1);
    let shortage = || Reason::PoolShort {
        pool: "p1".into(),
        healthy: 0,
        needed: 1,
    };
    let own = |pool: &str, generation| Action::Own {
        host: host(),
        pool: pool.into(),
        generation,
    };
    act(&mut state, own("p0", first), shortage());
    act(
        &mut state,
        Action::Drain {
            host: host(),
            generation: first,
        },
        shortage(),
    );
    apply(
        &mut state,
        Command::HostReport {
            host: host(),
            drained: first,
        },
    );
    act(
        &mut state,
        Action::Release {
            host: host(),
            generation: first,
        },
        Reason::Drained,
    );
    act(&mut state, own("p1", first.next()), shortage());
    apply(&mut state, Command::InForce { version: 1 });
    let events: Vec<_> = state.explain(Subject::Host, "h0");
    let events: Vec<_> = events.iter().map(|row| row.event.as_ref()).collect();
    let expected = [
        "note 1 accepted",
        "host h0 owned by pool p0 at generation 1",
        "host h0 drains",
        "host h0 has drained",
        "host h0 released",
        "host h0 owned by pool p1 at generation 2",
    ];
    assert_eq!(events, expected);
    assert_eq!(state.explain(Subject::Pool, "p1").len(), 4);
    let record = state.notes().note(1).unwrap();
    assert_eq!(record.host_moves(), 1);
    assert_eq!(record.rollout_ms(), Some(6_000));
    assert_eq!(record.buffer_hosts(), Some(0));
}
