//! The replicas among which an entry looks for the leading one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use masticfield_entry::jobs::KnownReplicas;

fn replica(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 7061))
}

fn replicas(hosts: &[u8]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| replica(*host)).collect()
}

/// The replicas of one pass in search of the leader.
fn one_pass(known: &mut KnownReplicas) -> BTreeSet<SocketAddr> {
    let tried = (0..known.count()).map(|_| known.next_to_try().unwrap());
    tried.collect()
}

/// Guards against an entry that knows only replicas that are gone after all were replaced.
#[test]
fn members_that_the_leader_lists_later_are_tried() {
    let mut known = KnownReplicas::new(replicas(&[1, 2, 3]));
    known.record_leader_list(replicas(&[1, 2, 3]));
    known.record_leader_list(replicas(&[3, 4, 5]));
    let all = replicas(&[1, 2, 3, 4, 5]);
    assert_eq!(one_pass(&mut known), all.into_iter().collect());
}

#[test]
fn former_members_are_not_tried_unless_they_are_seeds() {
    let mut known = KnownReplicas::new(replicas(&[1]));
    known.record_leader_list(replicas(&[1, 2, 3]));
    known.record_leader_list(replicas(&[4, 5, 6]));
    let left = replicas(&[1, 4, 5, 6]);
    assert_eq!(one_pass(&mut known), left.into_iter().collect());
}

/// Guards against a replica that was removed or cut off, and makes entries forget the others.
#[test]
fn the_list_of_a_replica_that_does_not_lead_replaces_nothing() {
    let mut known = KnownReplicas::new(replicas(&[1]));
    known.record_leader_list(replicas(&[4, 5, 6]));
    let names_leader = known.record_follower_list(replica(1), None, replicas(&[1, 2, 3]));
    assert!(!names_leader);
    let all = replicas(&[1, 2, 3, 4, 5, 6]);
    assert_eq!(one_pass(&mut known), all.into_iter().collect());
}

#[test]
fn a_reported_leader_is_tried_next_and_once() {
    let mut known = KnownReplicas::new(replicas(&[1, 2, 3]));
    let leader = Some(replica(9));
    assert!(known.record_follower_list(replica(1), leader, replicas(&[1, 2, 3])));
    assert_eq!(known.next_to_try(), leader);
    assert_eq!(
        one_pass(&mut known),
        replicas(&[1, 2, 3]).into_iter().collect()
    );
}

/// Guards against turns between an entry and a replica that takes itself for the leader too early.
#[test]
fn a_replica_that_names_itself_is_not_tried_again_at_once() {
    let mut known = KnownReplicas::new(replicas(&[1]));
    assert!(!known.record_follower_list(replica(1), Some(replica(1)), []));
}

#[test]
fn an_empty_list_of_the_leader_changes_nothing() {
    let mut known = KnownReplicas::new([]);
    known.record_leader_list(replicas(&[4, 5]));
    known.record_leader_list([]);
    assert_eq!(
        one_pass(&mut known),
        replicas(&[4, 5]).into_iter().collect()
    );
}

#[test]
fn without_any_replica_none_is_tried() {
    assert_eq!(KnownReplicas::new([]).next_to_try(), None);
}

/// Guards against an entry that was started with seeds that are all gone, and whose settings have
/// been updated since.
#[test]
fn new_seeds_replace_the_former_ones() {
    let mut known = KnownReplicas::new(replicas(&[1, 2]));
    known.set_seeds(replicas(&[7, 8]));
    assert_eq!(
        one_pass(&mut known),
        replicas(&[7, 8]).into_iter().collect()
    );
}
