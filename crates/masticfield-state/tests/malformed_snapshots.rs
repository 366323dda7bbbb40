//! Snapshots and commands of broken or foreign senders. No decoder may panic.

#[path = "common/commands.rs"]
mod commands;
#[path = "common/notes.rs"]
mod notes;

use masticfield_state::{Command, Envelope, State};
use proptest::prelude::*;
use proptest::sample::Index;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn no_bytes_take_a_decoder_down(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        _ = State::from_snapshot(&bytes);
        _ = State::from_snapshot(&[&[1], bytes.as_slice()].concat());
    }

    #[test]
    fn no_damaged_snapshot_takes_the_decoder_down(
        commands in prop::collection::vec(commands::command(), 1..20),
        damage in prop::collection::vec((any::<Index>(), any::<u8>()), 0..8),
        cut in any::<Index>(),
    ) {
        let mut state = State::new();
        let first = Command::Note(Box::new(notes::first_note()));
        for (index, command) in (1..).zip([first].into_iter().chain(commands)) {
            state.apply(index, &Envelope::new(index * 1_000, command));
        }
        let mut bytes = state.to_snapshot().unwrap();
        for (at, byte) in damage {
            *at.get_mut(&mut bytes) = byte;
        }
        _ = State::from_snapshot(&bytes);
        _ = State::from_snapshot(&bytes[..cut.index(bytes.len())]);
    }
}
