//! Which member a leader adds or removes by itself.

use std::net::SocketAddr;
use std::time::Duration;

use masticfield_core::ids::{Incarnation, ReplicaId};
use masticfield_replica::consensus::Change;
use masticfield_replica::keeper::{Member, Stranger, next_change};
use masticfield_replica::{Identity, Membership};
use rstest::rstest;

fn who(id: u64, incarnation: u64) -> Identity {
    Identity::new(ReplicaId::new(id), Incarnation::new(incarnation))
}

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

/// Three voters.
fn group() -> Membership {
    Membership::new((1..=3).map(|id| (who(id, 0), address())))
}

fn learns(group: Membership, identity: Identity) -> Membership {
    group.with_learner(identity, address())
}

/// Members that answered just now, but for one that has been silent.
fn members(group: &Membership, silent: Identity, millis: u64) -> Vec<Member> {
    let members = group.members().map(|(identity, _)| Member {
        identity,
        silent: Duration::from_millis(if identity == silent { millis } else { 0 }),
    });
    members.collect()
}

fn stranger(identity: Identity, repeated: bool) -> Stranger {
    Stranger {
        identity,
        address: address(),
        repeated,
    }
}

#[test]
fn a_whole_group_is_left_alone() {
    let group = group();
    assert_eq!(
        next_change(&group, &members(&group, who(9, 9), 0), &[], 3),
        None
    );
}

#[rstest]
#[case::lost_disk(true, 900, Some(Change::Remove(who(2, 0))))]
#[case::a_greeting_from_long_ago(false, 900, None)]
#[case::the_member_answers(true, 100, None)]
fn the_former_identity_of_a_lost_disk_goes_first(
    #[case] repeated: bool,
    #[case] silent_ms: u64,
    #[case] expected: Option<Change>,
) {
    let group = group();
    let members = members(&group, who(2, 0), silent_ms);
    let strangers = [stranger(who(2, 5), repeated)];
    assert_eq!(next_change(&group, &members, &strangers, 3), expected);
}

#[test]
fn a_newcomer_learns_first() {
    let group = group();
    let members = members(&group, who(9, 9), 0);
    let expected = Change::AddLearner(who(4, 0), address());
    let strangers = [stranger(who(4, 0), true)];
    assert_eq!(next_change(&group, &members, &strangers, 3), Some(expected));
}

#[rstest]
#[case::a_voter_is_missing(5, 0, Some(Change::Promote(who(4, 0))))]
#[case::all_are_there(3, 0, None)]
#[case::briefly_silent(3, 1_000, None)]
#[case::gone(3, 1_300, Some(Change::Remove(who(1, 0))))]
fn a_learner_takes_a_place_that_is_free(
    #[case] target: usize,
    #[case] silent_ms: u64,
    #[case] expected: Option<Change>,
) {
    let group = learns(group(), who(4, 0));
    let members = members(&group, who(1, 0), silent_ms);
    assert_eq!(next_change(&group, &members, &[], target), expected);
}

#[test]
fn a_voter_that_is_gone_stays_while_nobody_can_take_its_place() {
    let group = group();
    let members = members(&group, who(1, 0), 60_000);
    assert_eq!(next_change(&group, &members, &[], 3), None);
}

#[test]
fn a_voter_beyond_the_target_goes_once_it_is_gone() {
    let group = learns(group(), who(4, 0)).with_promoted(who(4, 0));
    let members = members(&group, who(1, 0), 2_000);
    assert_eq!(
        next_change(&group, &members, &[], 3),
        Some(Change::Remove(who(1, 0)))
    );
}
