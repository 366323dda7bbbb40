//! Which member a leader adds or removes automatically.

use std::net::SocketAddr;
use std::time::Duration;

use masticfield_core::ids::{Incarnation, ReplicaId};
use masticfield_replica::consensus::MembershipChange;
use masticfield_replica::reconciler::{JoiningReplica, MemberContact, next_change};
use masticfield_replica::{Identity, Membership};
use rstest::rstest;

fn identity(id: u64, incarnation: u64) -> Identity {
    Identity::new(ReplicaId::new(id), Incarnation::new(incarnation))
}

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

/// A group of three voters.
fn group() -> Membership {
    Membership::new((1..=3).map(|id| (identity(id, 0), address())))
}

fn with_learner(group: Membership, learner: Identity) -> Membership {
    group.with_learner(learner, address())
}

/// All members, of which one last responded `millis` ago and the others just now.
fn members(group: &Membership, silent: Identity, millis: u64) -> Vec<MemberContact> {
    let members = group.members().map(|(identity, _)| MemberContact {
        identity,
        since_contact: Duration::from_millis(if identity == silent { millis } else { 0 }),
    });
    members.collect()
}

fn joining(identity: Identity, repeated: bool) -> JoiningReplica {
    JoiningReplica {
        identity,
        address: address(),
        repeated,
    }
}

#[test]
fn complete_group_is_not_changed() {
    let group = group();
    assert_eq!(
        next_change(&group, &members(&group, identity(9, 9), 0), &[], 3),
        None
    );
}

#[rstest]
#[case::lost_disk(true, 900, Some(MembershipChange::Remove(identity(2, 0))))]
#[case::single_hello(false, 900, None)]
#[case::former_identity_responds(true, 100, None)]
fn former_identity_of_a_lost_disk_is_removed_first(
    #[case] repeated: bool,
    #[case] since_contact_ms: u64,
    #[case] expected: Option<MembershipChange>,
) {
    let group = group();
    let members = members(&group, identity(2, 0), since_contact_ms);
    let joining = [joining(identity(2, 5), repeated)];
    assert_eq!(next_change(&group, &members, &joining, 3), expected);
}

#[test]
fn joining_replica_becomes_a_learner_first() {
    let group = group();
    let members = members(&group, identity(9, 9), 0);
    let expected = MembershipChange::AddLearner(identity(4, 0), address());
    let joining = [joining(identity(4, 0), true)];
    assert_eq!(next_change(&group, &members, &joining, 3), Some(expected));
}

#[rstest]
#[case::too_few_voters(5, 0, Some(MembershipChange::Promote(identity(4, 0))))]
#[case::all_voters_respond(3, 0, None)]
#[case::voter_is_briefly_silent(3, 1_000, None)]
#[case::voter_is_unresponsive(3, 1_300, Some(MembershipChange::Remove(identity(1, 0))))]
fn learner_takes_a_free_place_among_the_voters(
    #[case] target: usize,
    #[case] since_contact_ms: u64,
    #[case] expected: Option<MembershipChange>,
) {
    let group = with_learner(group(), identity(4, 0));
    let members = members(&group, identity(1, 0), since_contact_ms);
    assert_eq!(next_change(&group, &members, &[], target), expected);
}

#[test]
fn unresponsive_voter_is_kept_without_a_replacement() {
    let group = group();
    let members = members(&group, identity(1, 0), 60_000);
    assert_eq!(next_change(&group, &members, &[], 3), None);
}

#[test]
fn unresponsive_voter_beyond_the_target_is_removed() {
    let group = with_learner(group(), identity(4, 0)).with_promoted(identity(4, 0));
    let members = members(&group, identity(1, 0), 2_000);
    assert_eq!(
        next_change(&group, &members, &[], 3),
        Some(MembershipChange::Remove(identity(1, 0)))
    );
}
