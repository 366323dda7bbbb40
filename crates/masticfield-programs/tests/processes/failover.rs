//! Failures of control replicas: kills, freezes, lost and damaged folders, races.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};

use rustix::process::Signal;
use serde_json::json;

use crate::support::{Cluster, get, wait_for};

const VITORIA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/vitoria.toml");
const SERVICE: &str = "shop-counter-booking";

/// Sends the note until it is known what became of it.
fn apply(cluster: &Cluster, number: u64, summary: &str) {
    let note = cluster.write_note(number, summary);
    wait_for(|| {
        let output = cluster.masticfield(&["apply", note.to_str().unwrap()]);
        output.status.success().then_some(())
    });
}

fn summaries(cluster: &Cluster) -> Vec<String> {
    let history = cluster.report(&["history"]);
    let rows = history.as_array().unwrap().iter();
    let accepted = rows.filter(|row| row["event"].as_str().unwrap().ends_with(" accepted"));
    accepted
        .map(|row| row["reason"].as_str().unwrap().to_owned())
        .collect()
}

#[test]
fn nothing_accepted_is_lost_when_the_leader_is_killed_again_and_again() {
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
    assert_eq!(cluster.report(&["status"])["version"], json!(24));
}

#[test]
fn a_frozen_leader_accepts_nothing_when_it_wakes() {
    let cluster = Cluster::start();
    apply(&cluster, 1, "before");
    let frozen = cluster.leader();
    cluster.replica(frozen).signal(Signal::STOP);
    let other = (frozen + 1) % 3;
    let note = cluster.write_note(2, "during");
    wait_for(|| {
        let output = cluster.masticfield_on(other, &["apply", note.to_str().unwrap()]);
        output.status.success().then_some(())
    });
    cluster.replica(frozen).signal(Signal::CONT);
    let rival = cluster.write_note(2, "rival");
    let output = cluster.masticfield_on(frozen, &["apply", rival.to_str().unwrap()]);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(3), "{errors}");
    assert!(
        errors.contains("note 2 was accepted with other content"),
        "{errors}"
    );
    assert_eq!(summaries(&cluster), ["before", "during"]);
}

#[test]
fn a_replica_without_its_folder_comes_back_while_another_is_lost() {
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
fn a_damaged_folder_is_refused_and_named() {
    let mut cluster = Cluster::start();
    for number in 1..=8 {
        apply(&cluster, number, &format!("note-{number}"));
    }
    let damaged = (cluster.leader() + 1) % 3;
    cluster.kill(damaged);
    let segment = first_segment(&cluster, damaged);
    let mut bytes = fs::read(&segment).unwrap();
    let middle = bytes.len() / 4;
    bytes[middle] ^= 0x40;
    fs::write(&segment, bytes).unwrap();
    let output = cluster.run_to_end(damaged);
    assert_eq!(output.status.code(), Some(1));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("damaged"), "{errors}");
    apply(&cluster, 9, "note-9");
}

/// The largest file of a replica's folder, which holds its log.
fn first_segment(cluster: &Cluster, index: usize) -> PathBuf {
    let mut files = Vec::new();
    let mut folders = vec![cluster.data_dir(index)];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
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

#[test]
fn of_two_racing_operators_one_wins_and_both_learn_which() {
    let cluster = Cluster::start();
    for number in 1..=20 {
        let notes = ["left", "right"].map(|name| cluster.write_note(number, name));
        let outputs = std::thread::scope(|scope| {
            let cluster = &cluster;
            let racers = notes.each_ref().map(|note| {
                scope.spawn(move || cluster.masticfield(&["apply", note.to_str().unwrap()]))
            });
            racers.map(|racer| racer.join().unwrap())
        });
        let won = outputs
            .iter()
            .filter(|output| output.status.success())
            .count();
        let refused = outputs
            .iter()
            .filter(|output| output.status.code() == Some(3))
            .count();
        assert_eq!((won, refused), (1, 1), "note {number}");
        let winner = outputs
            .iter()
            .position(|output| output.status.success())
            .unwrap();
        let winner = ["left", "right"][winner];
        assert_eq!(summaries(&cluster).last().unwrap(), winner);
    }
}

#[test]
fn the_loss_of_the_leader_alone_refuses_no_caller() {
    let mut cluster = Cluster::start();
    let entry = cluster.start_entry();
    cluster.report(&["apply", VITORIA, "--wait"]);
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
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let asker = scope.spawn(|| {
            let mut asked = 0;
            while !over.load(Ordering::Relaxed) {
                let answer = get(caller, &path);
                assert!(answer.contains("masticfield-outcome: answered"), "{answer}");
                asked += 1;
            }
            asked
        });
        cluster.kill(leader);
        cluster.leader();
        over.store(true, Ordering::Relaxed);
        assert!(asker.join().unwrap() > 0);
    });
}
