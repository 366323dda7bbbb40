//! Failures of control replicas: kills, freezes, lost and damaged data directories, and concurrent
//! notes.

use std::fs;
use std::path::PathBuf;
use std::process::Output;
use std::sync::atomic::{AtomicBool, Ordering};

use rustix::process::Signal;
use serde_json::json;

use crate::support::{Cluster, get, wait_for};

const VITORIA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/vitoria.toml");
const SERVICE: &str = "shop-counter-booking";

/// Applies a note; repeats it until the cluster confirms that it was accepted.
fn apply(cluster: &Cluster, number: u64, summary: &str) {
    let note = cluster.write_note(number, summary);
    wait_for(|| {
        let output = cluster.run_cli(&["apply", note.to_str().unwrap()]);
        output.status.success().then_some(())
    });
}

/// Summaries of all accepted notes, in the order of the history.
fn summaries(cluster: &Cluster) -> Vec<String> {
    let history = cluster.run_cli_json(&["history"]);
    let rows = history.as_array().unwrap().iter();
    let accepted = rows.filter(|row| row["event"].as_str().unwrap().ends_with(" accepted"));
    accepted
        .map(|row| row["reason"].as_str().unwrap().to_owned())
        .collect()
}

#[test]
fn accepted_notes_survive_repeated_kills_of_the_leader() {
    let mut cluster = Cluster::start();
    for number in 1..=24 {
        apply(&cluster, number, &format!("note-{number}"));
        if number % 6 == 0 {
            let leader = cluster.leader();
            cluster.kill(leader);
            assert_ne!(cluster.leader(), leader);
            cluster.start_replica(leader);
        }
    }
    let expected: Vec<_> = (1..=24).map(|number| format!("note-{number}")).collect();
    assert_eq!(summaries(&cluster), expected);
    assert_eq!(cluster.run_cli_json(&["status"])["version"], json!(24));
}

#[test]
fn a_leader_resumed_after_a_freeze_accepts_no_conflicting_note() {
    let cluster = Cluster::start();
    apply(&cluster, 1, "before");
    let frozen = cluster.leader();
    cluster.replica(frozen).signal(Signal::STOP);
    let other = (frozen + 1) % 3;
    let note = cluster.write_note(2, "during");
    wait_for(|| {
        let output = cluster.run_cli_on(other, &["apply", note.to_str().unwrap()]);
        output.status.success().then_some(())
    });
    cluster.replica(frozen).signal(Signal::CONT);
    let rival = cluster.write_note(2, "rival");
    let output = cluster.run_cli_on(frozen, &["apply", rival.to_str().unwrap()]);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(3), "{errors}");
    assert!(
        errors.contains("note 2 was accepted with other content"),
        "{errors}"
    );
    assert_eq!(summaries(&cluster), ["before", "during"]);
}

#[test]
fn a_replica_that_lost_its_data_directory_rejoins() {
    let mut cluster = Cluster::start();
    for number in 1..=5 {
        apply(&cluster, number, &format!("note-{number}"));
    }
    let lost = (cluster.leader() + 1) % 3;
    cluster.kill(lost);
    fs::remove_dir_all(cluster.data_dir(lost)).unwrap();
    cluster.start_replica(lost);
    apply(&cluster, 6, "note-6");
    assert_eq!(summaries(&cluster).len(), 6);
}

#[test]
fn a_replica_refuses_a_damaged_data_directory() {
    let mut cluster = Cluster::start();
    for number in 1..=8 {
        apply(&cluster, number, &format!("note-{number}"));
    }
    let damaged = (cluster.leader() + 1) % 3;
    cluster.kill(damaged);
    let segment = largest_file(&cluster, damaged);
    let mut bytes = fs::read(&segment).unwrap();
    let position = bytes.len() / 4;
    bytes[position] ^= 0x40;
    fs::write(&segment, bytes).unwrap();
    let output = cluster.run_to_exit(damaged);
    assert_eq!(output.status.code(), Some(1));
    let errors = String::from_utf8_lossy(&output.stderr);
    let message = format!("{} is corrupt at byte ", segment.display());
    assert!(errors.contains(&message), "{errors}");
    apply(&cluster, 9, "note-9");
}

/// Guards against a replica that ends when its files cannot grow, or that needs a restart once they
/// can. The limit makes writes fail with EFBIG, which counts as lack of space.
#[test]
fn a_leader_whose_files_cannot_grow_takes_part_again() {
    let mut cluster = Cluster::start();
    apply(&cluster, 1, "before");
    let full = cluster.leader();
    cluster.replica(full).limit_file_size(Some(0));
    apply(&cluster, 2, "during");
    wait_for(|| reports_no_space(&cluster, full).then_some(()));
    assert_ne!(cluster.leader(), full);
    cluster.replica(full).limit_file_size(None);
    wait_for(|| (!reports_no_space(&cluster, full)).then_some(()));
    // Nothing is accepted without the replica now.
    cluster.kill((full + 1) % 3);
    apply(&cluster, 3, "after");
    assert_eq!(summaries(&cluster), ["before", "during", "after"]);
}

fn reports_no_space(cluster: &Cluster, index: usize) -> bool {
    let metrics = get(cluster.replica(index).address("admin"), "/metrics");
    metrics.contains("masticfield_replica{what=\"no-space\"} 1")
}

/// The largest file of a replica's data directory, which is a segment of its log.
fn largest_file(cluster: &Cluster, index: usize) -> PathBuf {
    let mut files = Vec::new();
    let mut dirs = vec![cluster.data_dir(index)];
    while let Some(dir) = dirs.pop() {
        for entry in fs::read_dir(dir).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                dirs.push(path);
            } else {
                files.push(path);
            }
        }
    }
    files
        .into_iter()
        .max_by_key(|path| fs::metadata(path).unwrap().len())
        .unwrap()
}

/// Exit code and standard error of an operator's command.
fn describe(output: &Output) -> String {
    let errors = String::from_utf8_lossy(&output.stderr);
    format!("{}, {}", output.status, errors.trim())
}

#[test]
fn one_of_two_concurrent_notes_wins_and_the_other_is_refused() {
    let cluster = Cluster::start();
    for number in 1..=20 {
        let notes = ["left", "right"].map(|name| cluster.write_note(number, name));
        let outputs = std::thread::scope(|scope| {
            let cluster = &cluster;
            let operators = notes.each_ref().map(|note| {
                scope.spawn(move || cluster.run_cli(&["apply", note.to_str().unwrap()]))
            });
            operators.map(|operator| operator.join().unwrap())
        });
        let accepted = outputs
            .iter()
            .filter(|output| output.status.success())
            .count();
        let refused = outputs
            .iter()
            .filter(|output| output.status.code() == Some(3))
            .count();
        assert_eq!(
            (accepted, refused),
            (1, 1),
            "note {number}: {}",
            outputs.each_ref().map(describe).join("; ")
        );
        let winner = outputs
            .iter()
            .position(|output| output.status.success())
            .unwrap();
        let winner = ["left", "right"][winner];
        assert_eq!(summaries(&cluster).last().unwrap(), winner);
    }
}

#[test]
fn the_loss_of_the_leader_does_not_affect_callers() {
    let mut cluster = Cluster::start();
    let entry = cluster.start_entry(1, None);
    cluster.run_cli_json(&["apply", VITORIA, "--wait"]);
    wait_for(|| {
        get(entry.address("admin"), "/readyz")
            .starts_with("HTTP/1.1 200")
            .then_some(())
    });
    let _upstream = cluster.start_upstream(SERVICE, &entry);
    let caller = entry.address("caller");
    let path = format!("/{SERVICE}/");
    wait_for(|| {
        get(caller, &path)
            .contains("masticfield-outcome: answered")
            .then_some(())
    });
    let leader = cluster.leader();
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let requests = scope.spawn(|| {
            let mut sent = 0;
            while !stop.load(Ordering::Relaxed) {
                let response = get(caller, &path);
                assert!(
                    response.contains("masticfield-outcome: answered"),
                    "{response}"
                );
                sent += 1;
            }
            sent
        });
        cluster.kill(leader);
        cluster.leader();
        stop.store(true, Ordering::Relaxed);
        assert!(requests.join().unwrap() > 0);
    });
}
