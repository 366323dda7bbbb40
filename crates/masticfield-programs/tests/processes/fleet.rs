//! The control process with a fake platform: pools acquire hosts, and hosts drain.

use serde_json::{Value, json};

use crate::support::Installation;

const VITORIA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/vitoria.toml");

/// Number of hosts that pools own, by a status report.
fn owned_hosts(status: &Value) -> u64 {
    let pools = status["pools"].as_array().unwrap().iter();
    pools.map(|pool| pool["owned"].as_u64().unwrap()).sum()
}

#[test]
fn pools_acquire_hosts_and_explain_gives_the_reason() {
    let installation = Installation::start_with_platform(VITORIA);
    installation.run_cli_json(&["apply", VITORIA]);
    installation.wait_until(&["status"], |status| owned_hosts(status) >= 48);
    let hosts = installation.run_cli_json(&["hosts"]);
    let host = hosts
        .as_array()
        .unwrap()
        .iter()
        .find(|host| host["state"] == "owned")
        .unwrap();
    assert_eq!(host["generation"], json!(1));
    let name = host["host"].as_str().unwrap();
    let explanation = installation.run_cli_json(&["explain", "host", name]);
    let first = explanation.as_array().unwrap().first().unwrap();
    assert!(
        !first["reason"].as_str().unwrap().is_empty(),
        "{explanation}"
    );

    let drained = installation.run_cli_json(&["drain", name]);
    assert_eq!(drained, json!({ "host": name, "generation": 1 }));
    installation.wait_until(&["hosts"], |hosts| {
        let mut hosts = hosts.as_array().unwrap().iter();
        let row = hosts.find(|host| host["host"] == name).unwrap();
        row["state"] == "draining"
    });
}

#[test]
fn a_restarted_control_process_moves_no_host() {
    let mut installation = Installation::start_with_platform(VITORIA);
    installation.run_cli_json(&["apply", VITORIA]);
    installation.wait_until(&["status"], |status| owned_hosts(status) >= 48);
    let generations = |hosts: &Value| -> Vec<(Value, Value, Value)> {
        let hosts = hosts.as_array().unwrap().iter();
        let rows =
            hosts.map(|host| ["host", "pool", "generation"].map(|field| host[field].clone()));
        rows.map(|[host, pool, generation]| (host, pool, generation))
            .collect()
    };
    let before = generations(&installation.run_cli_json(&["hosts"]));
    installation.restart_control();
    installation.wait_until(&["status"], |status| owned_hosts(status) >= 48);
    assert_eq!(generations(&installation.run_cli_json(&["hosts"])), before);
}
