//! What an operator can ask, from a note to its reasons.

use rstest::rstest;
use serde_json::{Value, json};

use crate::support::{Installation, Program};

const VITORIA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/vitoria.toml");
const VULPESCU: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/vulpescu.toml");

fn rows(report: &Value) -> &[Value] {
    report.as_array().unwrap()
}

#[rstest]
#[case::vitoria(VITORIA)]
#[case::vulpescu(VULPESCU)]
fn a_sample_is_planned_and_applied(#[case] sample: &str) {
    let installation = Installation::start();
    let plan = installation.report(&["plan", sample]);
    assert_eq!(plan["number"], json!(1));
    assert!(!rows(&plan["steps"]).is_empty());
    assert_eq!(
        installation.report(&["status"])["version"],
        json!(0),
        "a plan changes nothing"
    );

    let accepted = installation.report(&["apply", sample]);
    assert_eq!(accepted, json!({ "number": 1, "repeated": false }));
    assert_eq!(rows(&installation.report(&["hosts"])).len(), 50);
    assert_eq!(rows(&installation.report(&["jobs"])).len(), 4);
    let history = installation.report(&["history"]);
    assert!(
        rows(&history)
            .iter()
            .any(|row| row["event"] == "note 1 accepted"),
        "{history}"
    );
    let why = installation.report(&["explain", "note", "1"]);
    assert!(!rows(&why).is_empty());
}

#[test]
fn another_note_under_the_same_number_learns_what_won() {
    let installation = Installation::start();
    installation.report(&["apply", VITORIA]);
    let output = installation.masticfield(&["apply", VULPESCU]);
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
fn what_does_not_exist_is_said_so(#[case] args: &[&str], #[case] message: &str) {
    let installation = Installation::start();
    installation.report(&["apply", VITORIA]);
    let output = installation.masticfield(args);
    assert_eq!(output.status.code(), Some(3));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains(message), "{errors}");
}

#[test]
fn tables_are_for_people() {
    let installation = Installation::start();
    installation.report(&["apply", VITORIA]);
    let output = installation.masticfield(&["--output", "table", "status"]);
    let table = String::from_utf8_lossy(&output.stdout);
    for word in ["note 1", "pool", "shop-counter-booking", "support"] {
        assert!(table.contains(word), "{word}: {table}");
    }
}

#[rstest]
#[case::bash("bash")]
#[case::fish("fish")]
#[case::zsh("zsh")]
fn completions_need_no_installation(#[case] shell: &str) {
    let output = Installation::run_to_end(Program::Cli, &["completions", shell]);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("explain"));
}

#[test]
fn an_unreachable_installation_is_said_so() {
    let installation = Installation::start();
    let output =
        installation.masticfield(&["--control", "127.0.0.1:1", "--timeout", "1s", "status"]);
    assert_eq!(output.status.code(), Some(1));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("no control replica answered"), "{errors}");
}
