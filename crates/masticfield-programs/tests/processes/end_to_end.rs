//! The whole path by separate processes, with ports from the system.

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
    let rollout = installation.report(&["apply", VITORIA, "--wait"]);
    assert_eq!(rollout["acknowledged"], json!([1, 2]));
    assert_eq!(rollout["in_force"], json!(true));
    assert!(get(first.address("admin"), "/readyz").starts_with("HTTP/1.1 200"));

    let one = installation.start_upstream("exec-1", SERVICE, &[&first]);
    let _two = installation.start_upstream("exec-2", SERVICE, &[&second]);
    installation.wait_until(&["upstreams"], |rows| rows.as_array().unwrap().len() == 2);
    let seen = Installation::call(&entries, SERVICE, 40, 4);
    assert_eq!(outcomes(&seen), [40, 0, 0, 0, 0], "{seen}");

    let answer = get(
        second.address("caller"),
        &format!("/{SERVICE}/panel/7?week=3"),
    );
    assert!(answer.contains("masticfield-outcome: answered"), "{answer}");
    assert!(answer.contains("traceparent: 00-"), "{answer}");
    assert!(answer.contains(" ran /panel/7 "), "{answer}");

    one.signal(Signal::TERM);
    assert_eq!(one.wait(), Some(0));
    assert!(installation.log("exec-1").contains("the upstream has left"));
    let left = installation.wait_until(&["upstreams"], |rows| {
        rows.as_array()
            .unwrap()
            .iter()
            .any(|row| row["state"] == "leaving")
    });
    assert_eq!(left[0]["upstream"], "exec-1");
    let seen = Installation::call(&entries, SERVICE, 20, 0);
    assert_eq!(outcomes(&seen), [20, 0, 0, 0, 0], "{seen}");
}

#[test]
fn an_accepted_note_outlives_the_control_process() {
    let mut installation = Installation::start();
    installation.report(&["apply", VITORIA]);
    installation.restart_control();
    let status = installation.wait_until(&["status"], |status| status["version"] == json!(1));
    assert_eq!(status["services"].as_array().unwrap().len(), 5);
    let again = installation.report(&["apply", VITORIA]);
    assert_eq!(again, json!({ "number": 1, "repeated": true }));
}

#[test]
fn an_entry_that_is_told_to_stop_cuts_no_request() {
    let installation = Installation::start();
    let entry = installation.start_entry(1, "vit-a", 1, &[]);
    installation.report(&["apply", VITORIA, "--wait"]);
    wait_for(|| {
        get(entry.address("admin"), "/readyz")
            .starts_with("HTTP/1.1 200")
            .then_some(())
    });
    let upstream = installation.start_upstream("exec-1", SERVICE, &[&entry]);
    installation.wait_until(&["upstreams"], |rows| rows.as_array().unwrap().len() == 1);
    let answers: Vec<String> = std::thread::scope(|scope| {
        let address = entry.address("caller");
        let callers: Vec<_> = (0..8)
            .map(|_| scope.spawn(move || get(address, &format!("/{SERVICE}/"))))
            .collect();
        std::thread::sleep(std::time::Duration::from_millis(5));
        entry.signal(Signal::TERM);
        callers
            .into_iter()
            .filter_map(|caller| caller.join().ok())
            .collect()
    });
    assert_eq!(entry.wait(), Some(0));
    for answer in answers {
        let whole = answer.contains("masticfield-outcome: answered")
            || answer.contains("masticfield-outcome: not-run");
        assert!(whole, "{answer}");
    }
    drop(upstream);
}

/// Answered, not run, unknown, unreachable, untrue.
fn outcomes(seen: &Value) -> [u64; 5] {
    ["answered", "not_run", "unknown", "unreachable", "untrue"]
        .map(|name| seen[name].as_u64().unwrap())
}
