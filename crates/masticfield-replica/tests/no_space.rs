//! Steps of a replica that lacks space, where random runs rarely lead.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use masticfield_core::ids::{Incarnation, ReplicaId};
use masticfield_replica::consensus::{
    AppendResult, Envelope, Event, Message, Output, Replica, Timing,
};
use masticfield_replica::{Entry, EntryBody, HardState, Identity, Membership, PersistentState};

const NOW: Duration = Duration::from_secs(10);

fn identity(number: u64) -> Identity {
    Identity::new(ReplicaId::new(number), Incarnation::new(0))
}

fn payload(index: u64, term: u64) -> Entry {
    let body = EntryBody::Payload(Bytes::from(format!("{index} of {term}")));
    Entry { index, term, body }
}

/// State of replica 1 with an entry of term 1 that is not committed.
fn stored() -> PersistentState {
    let address = "127.0.0.1:1".parse().unwrap();
    let members = Membership::new((1..=3).map(|number| (identity(number), address)));
    let first = Entry {
        index: 1,
        term: 1,
        body: EntryBody::Members(members),
    };
    PersistentState {
        hard_state: HardState {
            term: 1,
            vote: None,
        },
        entries: vec![first, payload(2, 1)],
        ..PersistentState::default()
    }
}

fn receive(replica: &mut Replica, message: Message) -> Output {
    let envelope = Envelope {
        from: identity(2),
        to: identity(1),
        message,
    };
    replica.step(NOW, Event::Received(envelope))
}

/// Message of a leader of term 2 whose entry at index 2 is committed and differs from the stored one.
fn append() -> Message {
    Message::AppendEntries {
        term: 2,
        prev_index: 1,
        prev_term: 1,
        entries: vec![payload(2, 2)],
        leader_commit: 2,
        sent_at: NOW,
    }
}

/// Guards against a stored entry that counts as committed because another of its index was.
#[test]
fn replaced_entry_is_not_committed_after_a_lack_of_space() {
    let mut replica = Replica::new(identity(1), Timing::default(), stored());
    receive(&mut replica, append());
    assert_eq!(replica.commit_index(), 2);
    replica.step(NOW, Event::NoSpace);
    replica.step(NOW, Event::SpaceAvailable(stored()));
    assert_eq!(replica.log().term(2), Some(1));
    assert_eq!(replica.commit_index(), 1);
    receive(&mut replica, append());
    assert_eq!(
        (replica.log().term(2), replica.commit_index()),
        (Some(2), 2)
    );
}

/// Guards against an acknowledgement, a vote or a write while nothing can be stored.
#[test]
fn replica_without_space_only_shows_that_it_is_alive() {
    let mut replica = Replica::new(identity(1), Timing::default(), stored());
    replica.step(NOW, Event::NoSpace);
    let output = receive(&mut replica, append());
    assert_matches!(
        &output.send[..],
        [Envelope {
            message: Message::AppendResponse {
                result: AppendResult::NotStored,
                ..
            },
            ..
        }]
    );
    assert!(output.send_after_sync.is_empty());
    let request = |pre_vote| Message::RequestVote {
        term: 9,
        pre_vote,
        last_index: 50,
        last_term: 8,
    };
    for pre_vote in [false, true] {
        assert_eq!(receive(&mut replica, request(pre_vote)), Output::default());
    }
    let late = NOW + Duration::from_mins(1);
    let jitter = Duration::ZERO;
    assert_eq!(
        replica.step(late, Event::Tick { jitter }),
        Output::default()
    );
}
