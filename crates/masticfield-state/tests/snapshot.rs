//! Snapshots: a restored state behaves like the one that was saved.

#[path = "common/commands.rs"]
mod commands;
#[path = "common/notes.rs"]
mod notes;

use assert_matches::assert_matches;
use masticfield_state::{Command, Envelope, SnapshotError, State};
use proptest::prelude::*;

/// Applies commands at consecutive log indices from `index` on, one second apart.
fn run(state: &mut State, index: u64, commands: &[Command]) -> Vec<masticfield_state::Reply> {
    let apply = |(index, command): (u64, &Command)| {
        state.apply(index, &Envelope::new(index * 1_000, command.clone()))
    };
    (index..).zip(commands).map(apply).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn a_restored_state_continues_like_the_original(
        commands in proptest::collection::vec(commands::command(), 1..40),
        cut in 0_usize..40,
    ) {
        let mut all = vec![Command::Note(Box::new(notes::first_note()))];
        all.extend(commands);
        let (before, after) = all.split_at(cut.min(all.len()));
        let mut original = State::new();
        run(&mut original, 1, before);
        let mut restored = State::from_snapshot(&original.to_snapshot().unwrap()).unwrap();
        let next = before.len() as u64 + 1;
        prop_assert_eq!(run(&mut original, next, after), run(&mut restored, next, after));
        prop_assert_eq!(original, restored);
    }

    #[test]
    fn a_command_applied_twice_at_its_index_changes_nothing(
        commands in proptest::collection::vec(commands::command(), 1..20),
    ) {
        let mut state = State::new();
        run(&mut state, 1, &commands);
        let before = state.clone();
        run(&mut state, 1, &commands);
        prop_assert_eq!(state, before);
    }
}

#[test]
fn a_snapshot_of_another_version_is_refused() {
    let mut snapshot = State::new().to_snapshot().unwrap();
    snapshot[0] += 1;
    assert_matches!(
        State::from_snapshot(&snapshot),
        Err(SnapshotError::Version {
            found: 2,
            supported: 1
        })
    );
}

#[test]
fn a_truncated_snapshot_is_refused() {
    let snapshot = State::new().to_snapshot().unwrap();
    let truncated = &snapshot[..snapshot.len() - 1];
    assert_matches!(
        State::from_snapshot(truncated),
        Err(SnapshotError::Decode { .. })
    );
    assert_matches!(State::from_snapshot(&[]), Err(SnapshotError::Empty));
}
