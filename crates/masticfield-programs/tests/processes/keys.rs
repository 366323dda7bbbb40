//! Processes that hold another key, or none, are strangers; folders are checked offline.

use crate::support::{Cluster, get, wait_for};

const KEY: &str = "a-key-for-tests-of-more-than-32-bytes\n";

fn is_ready(address: std::net::SocketAddr) -> bool {
    get(address, "/readyz").starts_with("HTTP/1.1 200")
}

#[test]
fn only_an_entry_with_the_key_is_given_a_configuration() {
    let cluster = Cluster::start_keyed(KEY);
    cluster.report(&["apply", cluster.write_note(1, "keyed").to_str().unwrap()]);
    let stranger = cluster.start_entry(2, None);
    let entry = cluster.start_entry(1, Some(KEY));
    wait_for(|| is_ready(entry.address("admin")).then_some(()));
    assert!(!is_ready(stranger.address("admin")));
    let status = cluster.report(&["status"]);
    assert_eq!(status["entries"].as_array().unwrap().len(), 1, "{status}");
}

#[test]
fn a_folder_is_checked_offline() {
    let mut cluster = Cluster::start();
    cluster.report(&["apply", cluster.write_note(1, "checked").to_str().unwrap()]);
    let running = cluster.check(0);
    assert_eq!(running.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&running.stderr).contains("locked"));
    cluster.kill(0);
    let sound = cluster.check(0);
    assert_eq!(sound.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&sound.stdout).contains("is sound"));
}
