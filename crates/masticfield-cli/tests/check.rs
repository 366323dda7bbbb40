//! Checks of release notes, without a network.

use std::path::{Path, PathBuf};

use masticfield_cli::check::{Base, ChangeKind, Finding, Report, Rule, Severity, check};
use masticfield_core::config::FleetConfig;
use masticfield_core::note::ReleaseNote;
use proptest::prelude::*;
use proptest::sample::Index;
use rstest::rstest;
use serde_json::{Value, json};

const CLEAN: &str = include_str!("corpus/clean.toml");
const VITORIA: &str = include_str!("../../../examples/vitoria.toml");
const VULPESCU: &str = include_str!("../../../examples/vulpescu.toml");

/// The configuration after a note of `corpus/bases`.
fn base(name: &str) -> FleetConfig {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus/bases");
    let text = std::fs::read_to_string(path.join(format!("{name}.toml"))).unwrap();
    let note = ReleaseNote::from_toml(&text).unwrap();
    FleetConfig::default().apply(&note).unwrap()
}

/// The values of the comments of a file that begin with `marker`.
fn comments<'a>(text: &'a str, marker: &str) -> Vec<&'a str> {
    text.lines()
        .filter_map(|line| line.strip_prefix(marker))
        .collect()
}

/// A finding as the files of the corpus state it: line, severity, rule and field.
fn summary(finding: &Finding) -> String {
    let line = finding.position.map(|position| position.line);
    let line = line.map_or_else(|| "-".to_owned(), |line| line.to_string());
    let field = finding.field.as_deref().unwrap_or("-");
    let json = serde_json::to_value(finding).unwrap();
    let (severity, rule) = (&json["severity"], &json["rule"]);
    format!("{line} {severity} {rule} {field}").replace('"', "")
}

/// Each file states its findings in comments with `#>`, and the note it builds on with `#<`.
#[rstest]
fn a_file_of_the_corpus_has_its_findings(#[files("tests/corpus/*.toml")] path: PathBuf) {
    let text = std::fs::read_to_string(path).unwrap();
    let config = comments(&text, "#< ").first().map(|name| base(name));
    let report = check(
        text.as_bytes(),
        config.as_ref().map_or(Base::Unknown, Base::Known),
    );
    let found: Vec<_> = report.findings().iter().map(summary).collect();
    assert_eq!(found, comments(&text, "#> "), "{report}");
}

#[rstest]
#[case::vitoria(VITORIA)]
#[case::vulpescu(VULPESCU)]
fn a_sample_note_has_no_findings(#[case] text: &str) {
    let report = check(text.as_bytes(), Base::Unknown);
    assert_eq!(report.findings(), []);
    let changes = report.changes().unwrap();
    assert!(
        changes
            .iter()
            .all(|change| change.change == ChangeKind::Added)
    );
}

#[rstest]
#[case::not_utf8(b"summary = \"\xff\"".to_vec(), "the note is not UTF-8 from byte 11 on")]
#[case::too_large(vec![b'#'; 2_097_153], "the note has 2097153 bytes; at most 2097152 are accepted")]
fn a_file_that_is_no_text_has_one_error(#[case] bytes: Vec<u8>, #[case] message: &str) {
    let report = check(&bytes, Base::Unknown);
    let [finding] = report.findings() else {
        panic!("{report}");
    };
    assert_eq!(finding.severity, Severity::Error);
    assert_eq!(finding.rule, Rule::Unreadable);
    assert_eq!(finding.message, message);
    assert!(report.changes().is_none());
}

#[test]
fn every_invalid_field_of_a_large_note_is_reported() {
    let host = "[[added.hosts]]\nname = 1\nregion = 2\nzone = 3\nrack = 4\ncores = \"5\"\n";
    let text = format!("number = 1\nbuilds_on = 0\n{}", host.repeat(10));
    let report = check(text.as_bytes(), Base::Unknown);
    // Five of the wrong type and one that is missing.
    assert_eq!(report.errors(), 60, "{report}");
}

/// Differences from the base that a note makes.
fn changes(note: &str) -> Value {
    let base = base("base");
    let text = format!("number = 2\nbuilds_on = 1\n{note}");
    let report = check(text.as_bytes(), Base::Known(&base));
    serde_json::to_value(&report).unwrap()["changes"].clone()
}

#[rstest]
#[case::nothing("", json!([]))]
#[case::changed_to_the_same(
    "changed.pools = [{ name = \"p\", hosts = 2 }]",
    json!([])
)]
#[case::added(
    "added.pools = [{ name = \"p-2\", hosts = 2 }]",
    json!([{ "change": "added", "kind": "pool", "name": "p-2", "fields": [] }])
)]
#[case::withdrawn(
    "withdrawn.maintenance = [\"m\"]",
    json!([{ "change": "withdrawn", "kind": "maintenance", "name": "m", "fields": [] }])
)]
#[case::changed_fields(
    "changed.jobs = [{ name = \"j\", pool = \"p\", team = \"t\", size = { millicores = 500, memory_mb = 1024 }, tasks = 3, run_time = \"2h\" }]",
    json!([{
        "change": "changed",
        "kind": "job",
        "name": "j",
        "fields": [
            { "field": "run_time", "from": null, "to": "2h" },
            { "field": "size.millicores", "from": 1000, "to": 500 },
            { "field": "tasks", "from": 2, "to": 3 },
        ],
    }])
)]
#[case::invalid_fields("colour = 1", json!(null))]
fn differences_name_objects_and_fields(#[case] note: &str, #[case] expected: Value) {
    assert_eq!(changes(note), expected);
}

#[rstest]
#[case::stale_base("number = 3\nbuilds_on = 0\n")]
#[case::later_base("number = 9\nbuilds_on = 8\n")]
fn a_note_on_another_version_is_not_compared(#[case] text: &str) {
    let base = base("base");
    let report = check(text.as_bytes(), Base::Known(&base));
    assert!(report.changes().is_none(), "{report}");
    assert_eq!(report.errors(), 1, "{report}");
}

#[test]
fn the_text_of_a_report_states_findings_differences_and_totals() {
    let base = base("base");
    let text = "number = 2\nbuilds_on = 1\nchanged.services = [{ name = \"s\", pool = \"p\", executors = 0 }]\n";
    let report: Report = check(text.as_bytes(), Base::Known(&base));
    assert_eq!(
        report.to_string(),
        "line 3, column 59: warning: service \"s\" needs no executors, so no request is served \
         (changed.services[0].executors)\n\
         changed service \"s\": executors 2 -> 0\n\
         errors: 0, warnings: 1; version 1: 0 objects added, 1 changed, 0 withdrawn"
    );
}

/// Whether the leader accepts a note.
fn is_accepted(bytes: &[u8], base: &FleetConfig) -> bool {
    ReleaseNote::from_bytes(bytes).is_ok_and(|note| base.apply(&note).is_ok())
}

/// Values to put in place of a token.
const REPLACEMENTS: [&str; 14] = [
    "",
    "0",
    "1",
    "-1",
    "2.5",
    "1e308",
    "99999999999",
    "\"\"",
    "\"p\"",
    "\"..\"",
    "[]",
    "{}",
    "true",
    "\n",
];

/// Texts that may be notes: one with tokens replaced.
fn damaged_notes() -> impl Strategy<Value = String> {
    let texts = prop::sample::select(vec![CLEAN, VITORIA]);
    let damage = (any::<Index>(), prop::sample::select(REPLACEMENTS.to_vec()));
    (texts, prop::collection::vec(damage, 0..6)).prop_map(|(text, damages)| {
        let mut tokens: Vec<_> = text.split_inclusive([' ', '\n', '"', ',', '=']).collect();
        for (index, replacement) in damages {
            let token = index.index(tokens.len());
            tokens[token] = replacement;
        }
        tokens.concat()
    })
}

/// Sections of a note with few names, so that they often refer to each other.
fn sections() -> impl Strategy<Value = String> {
    let list = prop::sample::select(vec![
        "hosts",
        "pools",
        "services",
        "teams",
        "jobs",
        "maintenance",
    ]);
    let section = prop::sample::select(vec!["added", "changed", "withdrawn"]);
    let name = prop::sample::select(vec!["h-1", "p", "s", "t", "j", "m", "x", "a b"]);
    let number = 0..3_u32;
    (list, section, name, number).prop_map(|(list, section, name, number)| {
        let fields = match list {
            "hosts" => format!(
                "region = \"r\", zone = \"z\", rack = \"a\", cores = {number}, memory_gb = 1"
            ),
            "pools" => format!("hosts = {number}"),
            "services" => format!("pool = \"p\", executors = 1, slots = {number}"),
            "teams" => format!("cores = {number}, memory_gb = 1"),
            "jobs" => format!("pool = \"p\", team = \"t\", size = {{}}, tasks = {number}"),
            _ => format!(
                "pools = [\"p\"], period = \"{number}s\", batch = 1, expected_outage = \"1s\""
            ),
        };
        if section == "withdrawn" {
            return format!("{section}.{list} = [\"{name}\"]\n");
        }
        format!("{section}.{list} = [{{ name = \"{name}\", {fields} }}]\n")
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn any_bytes_have_errors_unless_the_leader_accepts_them(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let base = FleetConfig::default();
        let report = check(&bytes, Base::Known(&base));
        prop_assert_eq!(report.errors() == 0, is_accepted(&bytes, &base));
        _ = check(&bytes, Base::Unknown);
    }

    #[test]
    fn a_damaged_note_has_errors_unless_the_leader_accepts_it(text in damaged_notes()) {
        let base = FleetConfig::default();
        let report = check(text.as_bytes(), Base::Known(&base));
        prop_assert_eq!(report.errors() == 0, is_accepted(text.as_bytes(), &base), "{}", report);
    }

    #[test]
    fn a_note_has_errors_unless_the_leader_accepts_it(
        parts in prop::collection::vec(sections(), 0..4),
        number in 1..4_u64,
    ) {
        let base = base("base");
        let text = format!("number = {number}\nbuilds_on = 1\n{}", parts.concat());
        let report = check(text.as_bytes(), Base::Known(&base));
        prop_assert_eq!(report.errors() == 0, is_accepted(text.as_bytes(), &base), "{}", report);
    }

    /// Without the version in force, only what no version accepts is an error.
    #[test]
    fn a_note_that_the_leader_accepts_has_no_errors_without_a_base(
        parts in prop::collection::vec(sections(), 0..4),
    ) {
        let base = base("base");
        let text = format!("number = 2\nbuilds_on = 1\n{}", parts.concat());
        let report = check(text.as_bytes(), Base::Unknown);
        prop_assert!(report.errors() == 0 || !is_accepted(text.as_bytes(), &base), "{}", report);
    }
}
