//! The command line of the operator.

use rstest::rstest;
use serde_json::{Value, json};

use crate::support::{Installation, Program};

const VITORIA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/vitoria.toml");
const VULPESCU: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/vulpescu.toml");

/// Rows of a JSON report that is a list.
fn rows(report: &Value) -> &[Value] {
    report.as_array().unwrap()
}

#[rstest]
#[case::vitoria(VITORIA)]
#[case::vulpescu(VULPESCU)]
fn a_sample_note_is_planned_and_applied(#[case] sample: &str) {
    let installation = Installation::start();
    let plan = installation.run_cli_json(&["plan", sample]);
    assert_eq!(plan["number"], json!(1));
    assert!(!rows(&plan["steps"]).is_empty());
    assert_eq!(
        installation.run_cli_json(&["status"])["version"],
        json!(0),
        "a plan changes nothing"
    );

    let accepted = installation.run_cli_json(&["apply", sample]);
    assert_eq!(accepted, json!({ "number": 1, "repeated": false }));
    assert_eq!(rows(&installation.run_cli_json(&["hosts"])).len(), 50);
    assert_eq!(rows(&installation.run_cli_json(&["jobs"])).len(), 4);
    let history = installation.run_cli_json(&["history"]);
    assert!(
        rows(&history)
            .iter()
            .any(|row| row["event"] == "note 1 accepted"),
        "{history}"
    );
    let explanation = installation.run_cli_json(&["explain", "note", "1"]);
    assert!(!rows(&explanation).is_empty());
}

#[test]
fn a_different_note_under_an_accepted_number_is_refused() {
    let installation = Installation::start();
    installation.run_cli_json(&["apply", VITORIA]);
    let output = installation.run_cli(&["apply", VULPESCU]);
    assert_eq!(output.status.code(), Some(3));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(
        errors.contains("note 1 was accepted with other content"),
        "{errors}"
    );
}

#[rstest]
#[case::host(&["explain", "host", "nowhere"], "there is no host \"nowhere\"")]
#[case::job(&["explain", "job", "nothing"], "there is no job \"nothing\"")]
#[case::drain(&["drain", "nowhere"], "nowhere")]
fn an_unknown_name_is_reported(#[case] args: &[&str], #[case] message: &str) {
    let installation = Installation::start();
    installation.run_cli_json(&["apply", VITORIA]);
    let output = installation.run_cli(args);
    assert_eq!(output.status.code(), Some(3));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains(message), "{errors}");
}

#[test]
fn table_output_shows_the_note_pools_and_services() {
    let installation = Installation::start();
    installation.run_cli_json(&["apply", VITORIA]);
    let output = installation.run_cli(&["--output", "table", "status"]);
    let table = String::from_utf8_lossy(&output.stdout);
    for text in ["note 1", "pool", "shop-counter-booking", "support"] {
        assert!(table.contains(text), "{text}: {table}");
    }
}

#[rstest]
#[case::bash("bash")]
#[case::fish("fish")]
#[case::zsh("zsh")]
fn shell_completions_need_no_installation(#[case] shell: &str) {
    let output = Installation::run_to_exit(Program::Cli, &["completions", shell]);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("explain"));
}

#[test]
fn an_unreachable_installation_is_reported() {
    let installation = Installation::start();
    let output = installation.run_cli(&["--control", "127.0.0.1:1", "--timeout", "1s", "status"]);
    assert_eq!(output.status.code(), Some(1));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("no control replica answered"), "{errors}");
}
