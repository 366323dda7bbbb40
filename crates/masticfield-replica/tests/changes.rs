//! Tests of which changes of the members a replica makes.

use std::time::Duration;

use masticfield_core::ids::{Incarnation, ReplicaId};
use masticfield_replica::consensus::{Change, ChangeError, Envelope, Event, Replica, Timing};
use masticfield_replica::{Identity, Membership, Stored};
use rstest::rstest;

const NOW: Duration = Duration::ZERO;

fn peer(number: u64) -> Identity {
    Identity::new(ReplicaId::new(number), Incarnation::new(0))
}

fn add(number: u64) -> Change {
    Change::AddLearner(peer(number), "127.0.0.1:1".parse().unwrap())
}

/// A replica alone in its group, which asked itself for a vote.
fn candidate() -> (Replica, Vec<Envelope>) {
    let mut replica = Replica::new(peer(1), Timing::zero(), Stored::default());
    let address = "127.0.0.1:1".parse().unwrap();
    replica.step(NOW, Event::Found(Membership::new([(peer(1), address)])));
    let next = replica.step(NOW, Event::Tick { jitter: NOW });
    (replica, next.send_synced)
}

/// A leader whose first entry is not durable yet.
fn elected() -> (Replica, Vec<Envelope>) {
    let (mut replica, votes) = candidate();
    let waiting = sync(&mut replica, votes);
    (replica, waiting)
}

fn settled() -> Replica {
    let (mut replica, waiting) = elected();
    sync(&mut replica, waiting);
    replica
}

/// Delivers what waits for the disk; returns what then waits for it.
fn sync(replica: &mut Replica, waiting: Vec<Envelope>) -> Vec<Envelope> {
    let own = waiting.into_iter().filter(|sent| sent.to == peer(1));
    own.flat_map(|sent| replica.step(NOW, Event::Received(sent)).send_synced)
        .collect()
}

fn refusal(replica: &mut Replica, change: Change) -> Option<ChangeError> {
    replica.step(NOW, Event::Change(change)).refused
}

#[rstest]
#[case::follower(candidate().0, ChangeError::NotLeader)]
#[case::first_entry_is_not_committed(elected().0, ChangeError::Pending)]
fn leader_changes_nothing_before_it_is_settled(
    #[case] mut replica: Replica,
    #[case] expected: ChangeError,
) {
    assert_eq!(refusal(&mut replica, add(2)), Some(expected));
}

#[rstest]
#[case::already_a_member(add(1), ChangeError::NoChange)]
#[case::promote_no_learner(Change::Promote(peer(2)), ChangeError::NoChange)]
#[case::remove_no_member(Change::Remove(peer(2)), ChangeError::NoChange)]
#[case::remove_last_voter(Change::Remove(peer(1)), ChangeError::Size)]
fn unfit_change_is_refused(#[case] change: Change, #[case] expected: ChangeError) {
    assert_eq!(refusal(&mut settled(), change), Some(expected));
}

#[test]
fn one_change_is_made_at_a_time() {
    let mut replica = settled();
    let first = replica.step(NOW, Event::Change(add(2)));
    assert_eq!(first.refused, None);
    assert_eq!(refusal(&mut replica, add(3)), Some(ChangeError::Pending));
    sync(&mut replica, first.send_synced);
    assert_eq!(refusal(&mut replica, add(3)), None);
}

#[test]
fn learner_that_lacks_the_log_gets_no_vote() {
    let mut replica = settled();
    let added = replica.step(NOW, Event::Change(add(2)));
    sync(&mut replica, added.send_synced);
    let refused = refusal(&mut replica, Change::Promote(peer(2)));
    assert_eq!(refused, Some(ChangeError::NotCaughtUp));
}
