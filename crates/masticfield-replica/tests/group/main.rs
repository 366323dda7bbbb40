//! Tests of running replicas over loopback, with data folders on disk.

mod full_disk;
mod test_disk;
mod test_group;

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use assert_matches::assert_matches;
use masticfield_core::ids::ReplicaId;
use masticfield_replica::ProposeError;
use masticfield_replica::consensus::MembershipChangeError;
use masticfield_wire::Keys;
use rstest::rstest;

use test_group::TestGroup;

/// Number of the I/O error that a failing device causes.
const EIO: i32 = 5;

const OLD: &str = "an old key that has enough bytes.";
const NEW: &str = "a new key that has enough bytes, too";

#[tokio::test]
async fn single_replica_keeps_acknowledged_payloads_across_a_restart() {
    let mut group = TestGroup::new(1).start_all().await;
    group.propose(20).await;
    group.stop(0).await;
    group.start(0).await;
    group.check_acknowledged(0).await;
}

#[rstest]
#[case::three(3)]
#[case::five(5)]
#[tokio::test]
async fn every_replica_applies_acknowledged_payloads(#[case] size: usize) {
    let mut group = TestGroup::new(size).start_all().await;
    group.propose(50).await;
    for index in 0..size {
        group.check_acknowledged(index).await;
    }
}

#[rstest]
#[case::lowest_first([0, 1, 2])]
#[case::lowest_last([2, 1, 0])]
#[tokio::test]
async fn replicas_that_start_one_after_another_form_a_group(#[case] order: [usize; 3]) {
    let mut group = TestGroup::new(3).without_listeners();
    for index in order {
        group.start(index).await;
        tokio::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    group.propose(5).await;
    for index in 0..3 {
        group.check_acknowledged(index).await;
    }
}

#[tokio::test]
async fn follower_names_the_leader() {
    let group = TestGroup::new(3).start_all().await;
    let leader = group.leader().await;
    let follower = (leader + 1) % 3;
    group.wait(follower, |status| status.leader.is_some()).await;
    let refused = group.handle(follower).propose(b"x".to_vec()).await;
    let leader = Some(TestGroup::id(leader));
    assert_eq!(refused, Err(ProposeError::NotLeader { leader }));
}

#[tokio::test]
async fn oversized_payload_is_refused() {
    let group = TestGroup::new(1).start_all().await;
    group.leader().await;
    let payload = vec![0; masticfield_replica::MAX_PAYLOAD_BYTES + 1];
    assert_eq!(
        group.handle(0).propose(payload).await,
        Err(ProposeError::TooLarge)
    );
}

#[tokio::test]
async fn stopped_leader_loses_no_acknowledged_payload() {
    let mut group = TestGroup::new(3).start_all().await;
    for _ in 0..3 {
        group.propose(20).await;
        let leader = group.leader().await;
        group.stop(leader).await;
        group.propose(20).await;
        group.start(leader).await;
    }
    for index in 0..3 {
        group.check_acknowledged(index).await;
    }
}

#[tokio::test]
async fn leader_without_quorum_answers_nothing() {
    let mut group = TestGroup::new(3).start_all().await;
    let leader = group.leader().await;
    group.stop((leader + 1) % 3).await;
    group.stop((leader + 2) % 3).await;
    let refused = group.handle(leader).propose(b"x".to_vec()).await;
    assert_matches!(
        refused,
        Err(ProposeError::Undecided | ProposeError::NotLeader { .. })
    );
    group.wait(leader, |status| status.leader.is_none()).await;
    assert!(!group.handle(leader).status().holds_lease());
}

#[tokio::test]
async fn all_replicas_restarted_at_once_lose_nothing() {
    let mut group = TestGroup::new(3).start_all().await;
    group.propose(100).await;
    for index in 0..3 {
        group.stop(index).await;
    }
    let mut group = group.start_all().await;
    group.propose(10).await;
    for index in 0..3 {
        group.check_acknowledged(index).await;
    }
}

#[rstest]
#[case::hundreds(400, None)]
#[case::hundred_thousand_by_log(100_000, None)]
#[case::hundred_thousand_by_snapshot(100_000, Some(0))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_that_was_away_catches_up(#[case] changes: usize, #[case] snapshot: Option<u64>) {
    let mut group = TestGroup::new(3).start_all().await;
    group.propose(5).await;
    let away = (group.leader().await + 1) % 3;
    group.stop(away).await;
    group.propose(changes).await;
    if snapshot.is_some() {
        group.take_snapshots();
    }
    group.propose(5).await;
    group.start(away).await;
    group.check_acknowledged(away).await;
    assert_eq!(group.snapshots_applied(away) > 0, snapshot.is_some());
}

#[tokio::test]
async fn restart_continues_from_the_snapshot() {
    let mut group = TestGroup::new(1).start_all().await;
    group.propose(100).await;
    group.take_snapshots();
    group.propose(7).await;
    group.stop(0).await;
    group.start(0).await;
    group.check_acknowledged(0).await;
    assert_eq!(group.snapshots_applied(0), 1);
}

#[tokio::test]
async fn replica_without_its_disk_does_not_vote() {
    let mut group = TestGroup::new(3).start_all().await;
    group.propose(10).await;
    let leader = group.leader().await;
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    group.stop(lost).await;
    group.lose_disk(lost);
    group.start(lost).await;
    group.stop(leader).await;
    // The remaining voter and the replica without its disk never form a majority.
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    assert_eq!(group.handle(other).status().leader, None);
    assert!(!group.handle(lost).status().is_voter);
    group.start(leader).await;
    group.propose(10).await;
    group.check_acknowledged(other).await;
}

#[tokio::test]
async fn second_disk_lost_right_after_a_repair_loses_nothing() {
    let mut group = TestGroup::new(3).start_all().await;
    for lost in [0, 1, 2] {
        group.propose(30).await;
        group.stop(lost).await;
        group.lose_disk(lost);
        group.start(lost).await;
        group.replace(lost, lost).await;
        group.wait(lost, |status| status.is_voter).await;
    }
    group.propose(30).await;
    for index in 0..3 {
        group.check_acknowledged(index).await;
    }
}

#[tokio::test]
async fn members_are_added_removed_and_replaced() {
    let mut group = TestGroup::new(3).start_all().await;
    group.propose(10).await;
    group.extend(2).await;
    group.add(3).await;
    group.replace(0, 4).await;
    group.propose(10).await;
    let leader = group.leader().await;
    let members = group.handle(leader).members();
    let voters: Vec<_> = members.voters().map(|voter| voter.id().number()).collect();
    assert_eq!(voters, [2, 3, 4, 5]);
    group.check_acknowledged(4).await;
    let unknown = group.handle(leader).add(ReplicaId::new(9)).await;
    assert_eq!(unknown, Err(MembershipChangeError::UnknownReplica));
}

/// A change whose outcome was not known may have been made, and may have made the added replica the
/// leader that is asked to repeat it.
#[rstest]
#[case::addition(None)]
#[case::replacement(Some(1))]
#[tokio::test]
async fn change_is_repeated_at_a_leader_that_is_the_added_replica(#[case] replaced: Option<usize>) {
    let group = TestGroup::new(3).start_all().await;
    let leader = group.leader().await;
    let (handle, added) = (group.handle(leader), TestGroup::id(leader));
    let result = match replaced {
        None => handle.add(added).await,
        Some(offset) => {
            let old = TestGroup::id((leader + offset) % 3);
            handle.replace(old, added).await
        }
    };
    assert_eq!(result, Ok(()));
    let voters = handle.members().voters().count();
    assert_eq!(voters, 3 - usize::from(replaced.is_some()));
}

#[tokio::test]
async fn replica_with_a_failed_disk_stops_and_reports_it() {
    let failing = Arc::new(AtomicBool::new(false));
    let switch = Arc::clone(&failing);
    let mut group = TestGroup::new(3)
        .with_sync(Arc::new(move |file| {
            if switch.load(Ordering::Relaxed) {
                return Err(io::Error::from_raw_os_error(EIO));
            }
            file.sync_data()
        }))
        .start_all()
        .await;
    group.propose(10).await;
    // Only the disk of the first replica fails.
    failing.store(true, Ordering::Relaxed);
    group.propose(20).await;
    group.wait(0, |status| status.storage_failed).await;
    assert_eq!(
        group.handle(0).propose(b"x".to_vec()).await,
        Err(ProposeError::Stopped)
    );
    group.check_acknowledged(1).await;
}

#[rstest]
#[case::one_key([&[OLD][..], &[OLD], &[OLD]])]
#[case::rotation([&[OLD][..], &[OLD, NEW], &[NEW, OLD]])]
#[tokio::test]
async fn replicas_with_a_common_key_form_a_group(#[case] keys: [&[&str]; 3]) {
    let mut group = TestGroup::new(3)
        .with_keys(keys.map(parse_keys))
        .start_all()
        .await;
    group.propose(10).await;
    for index in 0..3 {
        group.check_acknowledged(index).await;
    }
}

#[tokio::test]
async fn replica_without_the_key_neither_votes_nor_reads() {
    let mut group = TestGroup::new(3)
        .with_keys([&[OLD][..], &[OLD], &[OLD]].map(parse_keys))
        .start_all()
        .await;
    group.propose(10).await;
    let leader = group.leader().await;
    let (isolated, other) = ((leader + 1) % 3, (leader + 2) % 3);
    group.stop(isolated).await;
    let mut group = group.with_key(isolated, parse_keys(&[NEW]));
    group.start(isolated).await;
    group.propose(10).await;
    group.stop(leader).await;
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    assert_eq!(group.handle(other).status().leader, None);
    // It has received nothing since it lost the common key.
    assert_eq!(group.handle(isolated).status().leader, None);
    assert!(group.applied(isolated) < 20);
}

fn parse_keys(keys: &[&str]) -> Keys {
    Keys::parse(keys.join("\n")).unwrap()
}
