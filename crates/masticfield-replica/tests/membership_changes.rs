//! Which changes of the members a leader accepts.

use std::time::Duration;

use masticfield_core::ids::{Incarnation, ReplicaId};
use masticfield_replica::consensus::{
    Envelope, Event, MembershipChange, MembershipChangeError, Replica, Timing,
};
use masticfield_replica::{Identity, Membership, PersistentState};
use rstest::rstest;

const NOW: Duration = Duration::ZERO;

fn identity(number: u64) -> Identity {
    Identity::new(ReplicaId::new(number), Incarnation::new(0))
}

fn add_learner(number: u64) -> MembershipChange {
    MembershipChange::AddLearner(identity(number), "127.0.0.1:1".parse().unwrap())
}

/// The only replica of its group, with its vote for itself still to be synced.
fn candidate() -> (Replica, Vec<Envelope>) {
    let mut replica = Replica::new(identity(1), Timing::zero(), PersistentState::default());
    let address = "127.0.0.1:1".parse().unwrap();
    replica.step(
        NOW,
        Event::Bootstrap(Membership::new([(identity(1), address)])),
    );
    let output = replica.step(NOW, Event::Tick { jitter: NOW });
    (replica, output.send_after_sync)
}

/// A leader whose first entry is not durable yet.
fn elected() -> (Replica, Vec<Envelope>) {
    let (mut replica, votes) = candidate();
    let waiting = sync(&mut replica, votes);
    (replica, waiting)
}

/// A leader that has committed its first entry.
fn settled() -> Replica {
    let (mut replica, waiting) = elected();
    sync(&mut replica, waiting);
    replica
}

/// Delivers the replica's messages to itself, as after a sync; returns those that follow.
fn sync(replica: &mut Replica, waiting: Vec<Envelope>) -> Vec<Envelope> {
    let own = waiting.into_iter().filter(|sent| sent.to == identity(1));
    own.flat_map(|sent| replica.step(NOW, Event::Received(sent)).send_after_sync)
        .collect()
}

fn refusal(replica: &mut Replica, change: MembershipChange) -> Option<MembershipChangeError> {
    replica.step(NOW, Event::Change(change)).refused
}

#[rstest]
#[case::follower(candidate().0, MembershipChangeError::NotLeader)]
#[case::first_entry_is_not_committed(elected().0, MembershipChangeError::Pending)]
fn change_is_refused_before_the_leader_has_committed_an_entry(
    #[case] mut replica: Replica,
    #[case] expected: MembershipChangeError,
) {
    assert_eq!(refusal(&mut replica, add_learner(2)), Some(expected));
}

#[rstest]
#[case::already_a_member(add_learner(1), MembershipChangeError::NotApplicable)]
#[case::promoted_replica_is_no_learner(
    MembershipChange::Promote(identity(2)),
    MembershipChangeError::NotApplicable
)]
#[case::removed_replica_is_no_member(
    MembershipChange::Remove(identity(2)),
    MembershipChangeError::NotApplicable
)]
#[case::last_voter(
    MembershipChange::Remove(identity(1)),
    MembershipChangeError::VoterCount
)]
fn inapplicable_change_is_refused(
    #[case] change: MembershipChange,
    #[case] expected: MembershipChangeError,
) {
    assert_eq!(refusal(&mut settled(), change), Some(expected));
}

#[test]
fn one_change_is_made_at_a_time() {
    let mut replica = settled();
    let first = replica.step(NOW, Event::Change(add_learner(2)));
    assert_eq!(first.refused, None);
    assert_eq!(
        refusal(&mut replica, add_learner(3)),
        Some(MembershipChangeError::Pending)
    );
    sync(&mut replica, first.send_after_sync);
    assert_eq!(refusal(&mut replica, add_learner(3)), None);
}

#[test]
fn learner_that_lacks_entries_is_not_promoted() {
    let mut replica = settled();
    let added = replica.step(NOW, Event::Change(add_learner(2)));
    sync(&mut replica, added.send_after_sync);
    let refused = refusal(&mut replica, MembershipChange::Promote(identity(2)));
    assert_eq!(refused, Some(MembershipChangeError::NotCaughtUp));
}
