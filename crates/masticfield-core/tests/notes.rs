//! Release notes: parsing, applying, and errors that name the cause.

use std::sync::Arc;

use assert_matches::assert_matches;
use masticfield_core::config::{FleetConfig, NoteError, NoteProblem, SpecKind};
use masticfield_core::note::{ParseNoteError, ReleaseNote};
use rstest::rstest;

const VITORIA: &str = include_str!("../../../examples/vitoria.toml");
const VULPESCU: &str = include_str!("../../../examples/vulpescu.toml");

#[rstest]
#[case::vitoria(VITORIA, 4)]
#[case::vulpescu(VULPESCU, 3)]
fn sample_notes_declare_the_expected_fleets(#[case] text: &str, #[case] zones: usize) {
    let note = ReleaseNote::from_toml(text).unwrap();
    let cfg = FleetConfig::default().apply(&note).unwrap();
    let mut zone_names: Vec<_> = cfg
        .hosts()
        .values()
        .map(|host| Arc::clone(&host.zone))
        .collect();
    zone_names.sort();
    zone_names.dedup();
    assert_eq!(zone_names.len(), zones);
    assert_eq!(cfg.hosts().len(), 50);
    assert_eq!(cfg.services().len(), 5);
    assert!(
        cfg.services()
            .values()
            .all(|service| (8..=12).contains(&service.executors))
    );
    assert_eq!(cfg.pools().values().filter(|pool| pool.spare).count(), 1);
}

#[rstest]
#[case::unknown_field("number = 1\nbuilds_on = 0\ncolour = 3\n", 3, 1)]
#[case::unknown_nested(
    "number = 1\nbuilds_on = 0\n[added]\npools = [{ name = \"a\", size = 1 }]\n",
    4,
    24
)]
#[case::invalid_toml("number = = 1\n", 1, 10)]
fn syntax_errors_name_line_and_column(
    #[case] text: &str,
    #[case] line: usize,
    #[case] column: usize,
) {
    let error = ReleaseNote::from_toml(text).unwrap_err();
    assert_matches!(error, ParseNoteError::Syntax { line: l, column: c, .. } => {
        assert_eq!((l, c), (line, column));
    });
}

#[test]
fn invalid_utf8_is_refused_with_its_offset() {
    let error = ReleaseNote::from_bytes(b"summary = \"\xff\"").unwrap_err();
    assert_matches!(error, ParseNoteError::NotUtf8 { offset: 11, .. });
}

#[test]
fn an_oversized_note_is_refused_before_it_is_parsed() {
    let error = ReleaseNote::from_bytes(&vec![b'#'; 10_000_000]).unwrap_err();
    assert_matches!(
        error,
        ParseNoteError::TooLarge {
            bytes: 10_000_000,
            ..
        }
    );
}

#[rstest]
#[case::dangling_pool(
    "[[added.services]]\nname = \"s\"\npool = \"p\"\nexecutors = 1\n",
    NoteProblem::Dangling {
        kind: SpecKind::Service,
        name: "s".into(),
        target: SpecKind::Pool,
        target_name: "p".into(),
    }
)]
#[case::withdrawn_unknown(
    "[withdrawn]\npools = [\"p\"]\n",
    NoteProblem::Missing { kind: SpecKind::Pool, name: "p".into() }
)]
#[case::invalid_name(
    "[added]\npools = [{ name = \"a b\", hosts = 1 }]\n",
    NoteProblem::OutOfRange {
        kind: SpecKind::Pool,
        name: "a b".into(),
        field: "name".into(),
        expected: "1 to 64 letters, digits, hyphens, underscores or dots".into(),
    }
)]
fn inconsistent_notes_are_refused(#[case] sections: &str, #[case] problem: NoteProblem) {
    let text = format!("number = 1\nbuilds_on = 0\n{sections}");
    let note = ReleaseNote::from_toml(&text).unwrap();
    let error = FleetConfig::default().apply(&note).unwrap_err();
    assert_eq!(
        error,
        NoteError::Invalid {
            problems: vec![problem]
        }
    );
}

#[test]
fn refusal_of_a_stale_note_names_the_latest_version() {
    let note = ReleaseNote {
        number: 3,
        builds_on: 2,
        ..ReleaseNote::default()
    };
    let error = FleetConfig::default().apply(&note).unwrap_err();
    assert_eq!(
        error,
        NoteError::StaleBase {
            number: 3,
            builds_on: 2,
            in_force: 0
        }
    );
}
