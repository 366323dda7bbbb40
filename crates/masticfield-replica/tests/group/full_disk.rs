//! Tests of running replicas whose disks are full for a time.

use assert_matches::assert_matches;
use masticfield_core::ids::ReplicaId;
use masticfield_replica::{ProposeError, ReplicaHandle, ReplicaOptions, ReplicaStatus};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::test_disk::TestDisk;
use crate::test_group::TestGroup;

/// A group whose replicas have disks that can be full.
async fn group(size: usize) -> (TestGroup, Vec<TestDisk>) {
    let disks = TestDisk::several(size);
    let group = TestGroup::new(size).with_disks(&disks).start_all().await;
    (group, disks)
}

/// Guards against a leader that stays in office, or stops, when its disk is full.
#[rstest]
#[case::at_once(0)]
#[case::within_a_record(30)]
#[case::after_some_records(400)]
#[tokio::test]
async fn leader_with_a_full_disk_is_replaced_and_returns(#[case] budget: u64) {
    let (mut group, disks) = group(3).await;
    group.propose(10).await;
    let leader = group.leader().await;
    disks[leader].fill_after(budget);
    group.propose(40).await;
    group.wait(leader, |status| status.lacks_space).await;
    assert_ne!(group.leader().await, leader);
    let status = group.handle(leader).status();
    assert!(!status.storage_failed && !status.holds_lease());
    group.wait(leader, |status| status.leader.is_some()).await;
    disks[leader].free();
    group.wait(leader, |status| !status.lacks_space).await;
    group.propose(10).await;
    group.check_acknowledged(leader).await;
}

/// Guards against a group that waits for a minority with full disks, also when one of them is
/// restarted and others take snapshots meanwhile.
#[tokio::test]
async fn five_with_two_full_disks_continue() {
    let (mut group, disks) = group(5).await;
    group.propose(20).await;
    let leader = group.leader().await;
    let full = [leader, (leader + 1) % 5];
    for index in full {
        disks[index].fill_after(100);
    }
    group.propose(100).await;
    for index in full {
        group.wait(index, |status| status.lacks_space).await;
    }
    group.stop(full[1]).await;
    group.take_snapshots();
    group.start(full[1]).await;
    group.propose(100).await;
    for index in full {
        disks[index].free();
    }
    group.propose(10).await;
    for index in 0..5 {
        group.check_acknowledged(index).await;
    }
}

/// Guards against a false refusal, and against a group that stays idle once there is space.
#[tokio::test]
async fn group_without_any_space_refuses_and_works_again() {
    let (mut group, disks) = group(5).await;
    group.propose(20).await;
    let leader = group.leader().await;
    for disk in &disks {
        disk.fill_after(0);
    }
    let (_, first) = group.propose_once(leader).await;
    assert_eq!(first, Err(ProposeError::Undecided));
    let mut refused = Vec::new();
    for index in 0..5 {
        let (payload, result) = group.propose_once(index).await;
        assert_matches!(result, Err(ProposeError::NotLeader { .. }));
        refused.push(payload);
        assert!(!group.handle(index).status().holds_lease() || index != leader);
    }
    for disk in &disks {
        disk.free();
    }
    group.propose(20).await;
    for index in 0..5 {
        group.check_acknowledged(index).await;
        assert!(
            !refused
                .iter()
                .any(|payload| group.has_applied(index, payload))
        );
    }
}

/// Guards against a leader that does not notice that nothing can be committed, or that loses its
/// lease although its followers respond.
#[tokio::test]
async fn leader_of_a_majority_without_space_keeps_its_lease() {
    let (mut group, disks) = group(3).await;
    group.propose(10).await;
    let leader = group.leader().await;
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    for index in followers {
        disks[index].fill_after(0);
    }
    let handle = group.handle(leader).clone();
    let proposed = tokio::spawn(async move { handle.propose(b"waits".to_vec()).await });
    group
        .wait(leader, |status| status.majority_lacks_space)
        .await;
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    assert!(group.handle(leader).status().holds_lease());
    for index in followers {
        disks[index].free();
    }
    assert_matches!(proposed.await.unwrap(), Ok(_));
    group
        .wait(leader, |status| !status.majority_lacks_space)
        .await;
    group.propose(10).await;
    for index in 0..3 {
        group.check_acknowledged(index).await;
    }
}

/// Guards against the loss of acknowledged payloads when disks fill up at any byte, through
/// elections, snapshots and restarts.
#[rstest]
#[tokio::test]
async fn nothing_acknowledged_is_lost_when_disks_fill_up(#[values(1, 2, 3, 4)] seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut group, disks) = group(5).await;
    group.propose(20).await;
    for _ in 0..6 {
        let full = [random.random_range(0..5), random.random_range(0..5)];
        for index in full {
            disks[index].fill_after(random.random_range(0..3_000));
        }
        group.propose(random.random_range(20..80)).await;
        if random.random_bool(0.5) {
            group.take_snapshots();
        }
        if random.random_bool(0.5) {
            // The three others are a majority.
            let restarted = full[0];
            group.stop(restarted).await;
            group.propose(10).await;
            // A replica does not open its folder before there is space for what this writes.
            disks[restarted].free();
            group.start(restarted).await;
        }
        group.propose(20).await;
        for index in full {
            disks[index].free();
        }
    }
    group.propose(10).await;
    for index in 0..5 {
        group.check_acknowledged(index).await;
    }
}

/// Guards against a snapshot that is taken only when there is no space for it any more.
#[tokio::test]
async fn snapshot_is_asked_for_before_the_disk_is_full() {
    let dir = tempfile::tempdir().unwrap();
    // One megabyte more than two segments, which may fill up before a snapshot is written.
    let options = ReplicaOptions::new(ReplicaId::new(1), dir.path()).disk_bytes(17 << 20);
    let (replica, _applied) = ReplicaHandle::open(options).await.unwrap();
    let mut status = replica.watch_status();
    drop(status.wait_for(ReplicaStatus::holds_lease).await);
    replica.propose(vec![0; 600_000]).await.unwrap();
    assert!(!replica.status().needs_compaction);
    let index = replica.propose(vec![0; 600_000]).await.unwrap();
    drop(status.wait_for(|status| status.needs_compaction).await);
    replica.snapshot(index, b"state".to_vec());
    drop(status.wait_for(|status| !status.needs_compaction).await);
}
