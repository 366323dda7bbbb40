//! Requests of callers through entries to upstreams, from the first note to a graceful stop.

use rustix::process::Signal;
use serde_json::{Value, json};

use crate::support::{Installation, get, wait_for};

const VITORIA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/vitoria.toml");
const SERVICE: &str = "shop-counter-booking";

#[test]
fn a_note_is_applied_and_requests_are_served_end_to_end() {
    let installation = Installation::start();
    let first = installation.start_entry(1, "vit-a", 2, &[]);
    let second = installation.start_entry(2, "vit-b", 2, &[&first]);
    let entries = [&first, &second];

    assert!(get(first.address("admin"), "/readyz").starts_with("HTTP/1.1 503"));
    installation.wait_until(&["status"], |status| {
        status["entries"].as_array().unwrap().len() == 2
    });
    let rollout = installation.run_cli_json(&["apply", VITORIA, "--wait"]);
    assert_eq!(rollout["acknowledged"], json!([1, 2]));
    assert_eq!(rollout["in_force"], json!(true));
    assert!(get(first.address("admin"), "/readyz").starts_with("HTTP/1.1 200"));

    let leaving = installation.start_upstream("exec-1", SERVICE, &[&first]);
    let _staying = installation.start_upstream("exec-2", SERVICE, &[&second]);
    installation.wait_until(&["upstreams"], |rows| rows.as_array().unwrap().len() == 2);
    let report = Installation::send_requests(&entries, SERVICE, 40, 4);
    assert_eq!(outcomes(&report), [40, 0, 0, 0, 0], "{report}");

    let response = get(
        second.address("caller"),
        &format!("/{SERVICE}/panel/7?week=3"),
    );
    assert!(
        response.contains("masticfield-outcome: answered"),
        "{response}"
    );
    assert!(response.contains("traceparent: 00-"), "{response}");
    assert!(response.contains(" ran /panel/7 "), "{response}");

    leaving.signal(Signal::TERM);
    assert_eq!(leaving.wait(), Some(0));
    assert!(installation.log("exec-1").contains("the upstream has left"));
    let upstreams = installation.wait_until(&["upstreams"], |rows| {
        rows.as_array()
            .unwrap()
            .iter()
            .any(|row| row["state"] == "leaving")
    });
    assert_eq!(upstreams[0]["upstream"], "exec-1");
    let report = Installation::send_requests(&entries, SERVICE, 20, 0);
    assert_eq!(outcomes(&report), [20, 0, 0, 0, 0], "{report}");
}

#[test]
fn an_accepted_note_survives_a_restart_of_the_control_process() {
    let mut installation = Installation::start();
    installation.run_cli_json(&["apply", VITORIA]);
    installation.restart_control();
    let status = installation.wait_until(&["status"], |status| status["version"] == json!(1));
    assert_eq!(status["services"].as_array().unwrap().len(), 5);
    let repeated = installation.run_cli_json(&["apply", VITORIA]);
    assert_eq!(repeated, json!({ "number": 1, "repeated": true }));
}

#[test]
fn a_stopping_entry_finishes_requests_in_flight() {
    let installation = Installation::start();
    let entry = installation.start_entry(1, "vit-a", 1, &[]);
    installation.run_cli_json(&["apply", VITORIA, "--wait"]);
    wait_for(|| {
        get(entry.address("admin"), "/readyz")
            .starts_with("HTTP/1.1 200")
            .then_some(())
    });
    let upstream = installation.start_upstream("exec-1", SERVICE, &[&entry]);
    installation.wait_until(&["upstreams"], |rows| rows.as_array().unwrap().len() == 1);
    let responses: Vec<String> = std::thread::scope(|scope| {
        let address = entry.address("caller");
        let callers: Vec<_> = (0..8)
            .map(|_| scope.spawn(move || get(address, &format!("/{SERVICE}/"))))
            .collect();
        // Gives the requests time to reach the entry.
        std::thread::sleep(std::time::Duration::from_millis(5));
        entry.signal(Signal::TERM);
        callers
            .into_iter()
            .filter_map(|caller| caller.join().ok())
            .collect()
    });
    assert_eq!(entry.wait(), Some(0));
    for response in responses {
        let has_outcome = response.contains("masticfield-outcome: answered")
            || response.contains("masticfield-outcome: not-run");
        assert!(has_outcome, "{response}");
    }
    drop(upstream);
}

/// Counts of a report of the fake caller: answered, not run, unknown, unreachable and untrue, which
/// are responses that do not match their request.
fn outcomes(report: &Value) -> [u64; 5] {
    ["answered", "not_run", "unknown", "unreachable", "untrue"]
        .map(|name| report[name].as_u64().unwrap())
}
