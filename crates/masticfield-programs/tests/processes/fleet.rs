//! A note reaches the platform: pools own hosts, hosts drain, and the reasons can be asked.

use serde_json::{Value, json};

use crate::support::Installation;

const VITORIA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/vitoria.toml");

fn owned(status: &Value) -> u64 {
    let pools = status["pools"].as_array().unwrap().iter();
    pools.map(|pool| pool["owned"].as_u64().unwrap()).sum()
}

#[test]
fn pools_get_their_hosts_and_say_why() {
    let installation = Installation::start_with_platform(VITORIA);
    installation.report(&["apply", VITORIA]);
    installation.wait_until(&["status"], |status| owned(status) >= 48);
    let hosts = installation.report(&["hosts"]);
    let host = hosts
        .as_array()
        .unwrap()
        .iter()
        .find(|host| host["state"] == "owned")
        .unwrap();
    assert_eq!(host["generation"], json!(1));
    let name = host["host"].as_str().unwrap();
    let why = installation.report(&["explain", "host", name]);
    let first = why.as_array().unwrap().first().unwrap();
    assert!(!first["reason"].as_str().unwrap().is_empty(), "{why}");

    let drained = installation.report(&["drain", name]);
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
    installation.report(&["apply", VITORIA]);
    installation.wait_until(&["status"], |status| owned(status) >= 48);
    let generations = |hosts: &Value| -> Vec<(Value, Value, Value)> {
        let hosts = hosts.as_array().unwrap().iter();
        let rows =
            hosts.map(|host| ["host", "pool", "generation"].map(|field| host[field].clone()));
        rows.map(|[host, pool, generation]| (host, pool, generation))
            .collect()
    };
    let before = generations(&installation.report(&["hosts"]));
    installation.restart_control();
    installation.wait_until(&["status"], |status| owned(status) >= 48);
    assert_eq!(generations(&installation.report(&["hosts"])), before);
}
