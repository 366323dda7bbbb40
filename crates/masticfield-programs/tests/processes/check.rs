//! The command `masticfield check`: its exit codes and what it compares a note with.

use std::path::Path;
use std::process::Output;

use rstest::rstest;
use serde_json::{Value, json};

use crate::support::{Installation, Program};

const VITORIA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/vitoria.toml");
const CORPUS: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../masticfield-cli/tests/corpus"
);

/// The report that a command printed as JSON.
fn report(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Runs `check` without an installation, with JSON as its output.
fn check(file: &str, args: &[&str]) -> Output {
    let file = Path::new(CORPUS).join(file);
    let file = file.to_str().unwrap();
    let args = [&["--output", "json", "check", file], args].concat();
    Installation::run_to_exit(Program::Cli, &args)
}

#[rstest]
#[case::clean("clean.toml", &["--offline"], 0)]
#[case::clean_strict("clean.toml", &["--offline", "--strict"], 0)]
#[case::warnings("team-without-jobs.toml", &["--offline"], 0)]
#[case::warnings_strict("team-without-jobs.toml", &["--offline", "--strict"], 1)]
#[case::errors("unknown-fields.toml", &["--offline"], 2)]
#[case::errors_strict("errors-and-warnings.toml", &["--offline", "--strict"], 2)]
#[case::no_such_file("no-such-file.toml", &["--offline"], 2)]
#[case::no_such_base("clean.toml", &["--base", "no-such-file.toml"], 2)]
#[case::contradictory_flags("clean.toml", &["--offline", "--base", VITORIA], 2)]
fn the_exit_code_tells_whether_a_note_can_be_sent(
    #[case] file: &str,
    #[case] args: &[&str],
    #[case] code: i32,
) {
    assert_eq!(check(file, args).status.code(), Some(code));
}

#[test]
fn a_file_that_cannot_be_read_is_named_in_the_error() {
    let output = check("no-such-file.toml", &["--offline"]);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(
        errors.contains("no-such-file.toml cannot be read"),
        "{errors}"
    );
}

#[test]
fn an_unknown_output_format_is_refused() {
    let args = ["--output", "yaml", "check", VITORIA, "--offline"];
    let output = Installation::run_to_exit(Program::Cli, &args);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("--output"), "{errors}");
}

#[test]
fn the_text_names_lines_and_fields() {
    let file = format!("{CORPUS}/errors-and-warnings.toml");
    let output = Installation::run_to_exit(Program::Cli, &["check", &file, "--offline"]);
    let text = String::from_utf8_lossy(&output.stdout);
    for line in [
        "line 16, column 8: error: service \"s\" refers to pool \"q\", which does not exist (added.services[0].pool)",
        "line 26, column 8: warning: team \"t\" has no jobs, so its quota limits nothing (added.teams[0].name)",
        "errors: 2, warnings: 3; ",
    ] {
        assert!(text.contains(line), "{line} is missing: {text}");
    }
}

#[test]
fn a_note_is_compared_with_earlier_notes() {
    let base = format!("{CORPUS}/bases/base.toml");
    let output = check("unknown-withdrawn.toml", &["--base", &base]);
    assert_eq!(output.status.code(), Some(2));
    let report = report(&output);
    assert_eq!(report["base"], json!(1));
    assert_eq!(
        report["changes"],
        json!([{ "change": "withdrawn", "kind": "host", "name": "h-1", "fields": [] }])
    );
}

#[test]
fn a_note_is_compared_with_the_version_in_force() {
    let installation = Installation::start();
    let first = installation.run_cli_json(&["check", VITORIA, "--strict"]);
    assert_eq!(
        (&first["base"], &first["findings"]),
        (&json!(0), &json!([]))
    );
    assert_eq!(
        installation.run_cli_json(&["status"])["version"],
        json!(0),
        "a check changes nothing"
    );

    installation.run_cli_json(&["apply", VITORIA]);
    let path = installation.dir().join("second.toml");
    let note = "number = 2\nbuilds_on = 1\n[withdrawn]\njobs = [\"panel-audit\", \"nothing\"]\n";
    std::fs::write(&path, note).unwrap();
    let output = installation.run_cli(&["check", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let second = report(&output);
    assert_eq!(second["base"], json!(1));
    assert_eq!(
        second["changes"],
        json!([{ "change": "withdrawn", "kind": "job", "name": "panel-audit", "fields": [] }])
    );
    let finding = &second["findings"][0];
    assert_eq!(
        (&finding["line"], &finding["field"], &finding["name"]),
        (&json!(4), &json!("withdrawn.jobs[1]"), &json!("nothing"))
    );
}

#[rstest]
#[case::unreachable(&[], 0, "no control replica answered")]
#[case::unreachable_strict(&["--strict"], 1, "no control replica answered")]
fn a_note_is_checked_alone_if_no_replica_answers(
    #[case] flags: &[&str],
    #[case] code: i32,
    #[case] reason: &str,
) {
    let installation = Installation::start();
    let args = [
        "--control",
        "127.0.0.1:1",
        "--timeout",
        "1s",
        "check",
        VITORIA,
    ];
    let args = [&args[..], flags].concat();
    let output = installation.run_cli(&args);
    assert_eq!(output.status.code(), Some(code));
    let report = report(&output);
    assert_eq!(report["base"], json!(null));
    let finding = &report["findings"][0];
    assert_eq!(finding["rule"], json!("not-compared"));
    let message = finding["message"].as_str().unwrap();
    assert!(message.contains(reason), "{message}");
}

#[test]
fn a_note_is_checked_alone_without_a_token() {
    let output = check("clean.toml", &[]);
    assert_eq!(output.status.code(), Some(0));
    let message = report(&output)["findings"][0]["message"].to_string();
    assert!(message.contains("--token-file"), "{message}");
}
