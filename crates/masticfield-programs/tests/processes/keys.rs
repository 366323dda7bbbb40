//! Authentication by the shared key, and the offline check of a data directory.

use crate::support::{Cluster, get, wait_for};

const KEY: &str = "a-key-for-tests-of-more-than-32-bytes\n";

fn is_ready(address: std::net::SocketAddr) -> bool {
    get(address, "/readyz").starts_with("HTTP/1.1 200")
}

#[test]
fn only_an_entry_with_the_key_receives_a_configuration() {
    let cluster = Cluster::start_keyed(KEY);
    cluster.run_cli_json(&["apply", cluster.write_note(1, "keyed").to_str().unwrap()]);
    let without_key = cluster.start_entry(2, None);
    let entry = cluster.start_entry(1, Some(KEY));
    wait_for(|| is_ready(entry.address("admin")).then_some(()));
    assert!(!is_ready(without_key.address("admin")));
    let status = cluster.run_cli_json(&["status"]);
    assert_eq!(status["entries"].as_array().unwrap().len(), 1, "{status}");
}

#[test]
fn a_data_directory_is_checked_only_while_no_replica_uses_it() {
    let mut cluster = Cluster::start();
    cluster.run_cli_json(&["apply", cluster.write_note(1, "checked").to_str().unwrap()]);
    let running = cluster.check(0);
    assert_eq!(running.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&running.stderr).contains("locked"));
    cluster.kill(0);
    let valid = cluster.check(0);
    assert_eq!(valid.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&valid.stdout).contains("is sound"));
}
