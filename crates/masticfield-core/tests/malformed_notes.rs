//! Release notes of broken or foreign senders. Neither parsing nor applying may panic.

use masticfield_core::config::FleetConfig;
use masticfield_core::note::ReleaseNote;
use proptest::prelude::*;
use proptest::sample::Index;

const NOTES: [&str; 2] = [
    include_str!("../../../examples/vitoria.toml"),
    include_str!("../../../examples/vulpescu.toml"),
];

/// Values to put in place of a value.
const REPLACEMENTS: [&str; 12] = [
    "-1",
    "0",
    "9223372036854775807",
    "-9223372036854775808",
    "18446744073709551616",
    "1e400",
    "nan",
    "inf",
    "\"\"",
    "[]",
    "{}",
    "true",
];

fn parse_and_apply(bytes: &[u8]) {
    if let Ok(note) = ReleaseNote::from_bytes(bytes) {
        _ = FleetConfig::default().apply(&note);
    }
}

/// Positions of the values in a note.
fn values(text: &str) -> Vec<std::ops::Range<usize>> {
    let starts = text.match_indices("= ").map(|(at, sign)| at + sign.len());
    let range = |start: usize| {
        let rest = &text[start..];
        let length = rest.find([',', '}', ']', '\n']).unwrap_or(rest.len());
        start..start + length
    };
    starts.map(range).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn no_bytes_take_the_parser_down(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        parse_and_apply(&bytes);
    }

    #[test]
    fn no_replaced_values_take_the_parser_down(
        note in any::<Index>(),
        replaced in prop::collection::vec((any::<Index>(), any::<Index>()), 1..3),
    ) {
        let mut text = NOTES[note.index(NOTES.len())].to_owned();
        for (at, with) in replaced {
            let range = at.get(&values(&text)).clone();
            text.replace_range(range, REPLACEMENTS[with.index(REPLACEMENTS.len())]);
        }
        parse_and_apply(text.as_bytes());
    }

    #[test]
    fn no_damaged_note_takes_the_parser_down(
        note in any::<Index>(),
        damage in prop::collection::vec((any::<Index>(), any::<u8>()), 1..4),
    ) {
        let mut bytes = NOTES[note.index(NOTES.len())].as_bytes().to_vec();
        for (at, byte) in damage {
            *at.get_mut(&mut bytes) = byte;
        }
        parse_and_apply(&bytes);
    }
}

/// Guards against a stack overflow.
#[test]
fn deep_nesting_ends_no_process() {
    for (open, close) in [("[", "]"), ("{a=", "}")] {
        let depth = 500_000;
        let text = format!("number = {}1{}", open.repeat(depth), close.repeat(depth));
        assert!(ReleaseNote::from_toml(&text).is_err());
    }
}
