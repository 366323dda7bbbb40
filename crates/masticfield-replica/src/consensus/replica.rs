//! State machine of a replica.

use std::time::Duration;

use bytes::Bytes;

use super::role::Role;
use super::snapshot_transfer::IncomingSnapshot;
use super::{Defect, Envelope, Event, Log, Message, Output, Timing};
use crate::{Entry, EntryBody, HardState, Identity, Membership, PersistentState, Write};

/// Consensus state machine of one replica.
///
/// It neither reads a clock nor does I/O; the caller passes in events with the current time and
/// carries out the [`Output`]. All times are offsets from an arbitrary but fixed origin.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    pub(super) identity: Identity,
    pub(super) timing: Timing,
    pub(super) defect: Option<Defect>,
    pub(super) hard_state: HardState,
    pub(super) log: Log,
    pub(super) role: Role,
    pub(super) leader: Option<Identity>,
    pub(super) commit_index: u64,
    /// No vote is granted before this time, as a leader may hold a lease.
    ///
    /// An election timeout after the start, the last contact by a leader, or stepping down for
    /// lack of a responsive quorum.
    pub(super) no_vote_before: Duration,
    /// When to start the next election.
    pub(super) election_deadline: Duration,
    pub(super) election_jitter: Duration,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// Whether nothing can be stored at present, for lack of space.
    pub(super) lacks_space: bool,
}

impl Replica {
    /// Creates a follower from the state read back from disk.
    pub fn new(identity: Identity, timing: Timing, stored: PersistentState) -> Self {
        let hard_state = stored.hard_state;
        let log = Log::new(stored);
        let commit_index = log.snapshot().index;
        Self {
            identity,
            timing,
            defect: None,
            hard_state,
            log,
            role: Role::Follower,
            leader: None,
            commit_index,
            no_vote_before: Duration::ZERO,
            election_deadline: Duration::ZERO,
            election_jitter: Duration::ZERO,
            incoming_snapshot: None,
            lacks_space: false,
        }
    }

    /// Sets the time of the start.
    ///
    /// Before a restart the replica may have accepted a leader's heartbeat, so it grants no vote
    /// within an election timeout of its start.
    #[must_use]
    pub fn started_at(mut self, now: Duration, jitter: Duration) -> Self {
        self.election_jitter = jitter;
        self.reset_election_timer(now);
        self
    }

    /// Leaves out a guard of the protocol, so that tests can show that they detect its absence.
    #[doc(hidden)]
    #[must_use]
    pub const fn with_defect(mut self, defect: Option<Defect>) -> Self {
        self.defect = defect;
        self
    }

    /// Identity under which this replica votes.
    pub const fn identity(&self) -> Identity {
        self.identity
    }

    /// Leader of the current term, if it is known.
    pub const fn leader(&self) -> Option<Identity> {
        self.leader
    }

    /// Time of the last contact by a leader, of the start, or of stepping down for lack of a
    /// responsive quorum, whichever was last.
    pub const fn last_contact(&self) -> Duration {
        self.no_vote_before
            .saturating_sub(self.timing.election_timeout)
    }

    /// Whether this replica leads the current term.
    ///
    /// Another replica may lead a later term; see [`lease_until`](Self::lease_until).
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Hard state of this replica, which may not be durable yet.
    pub const fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Whether nothing can be stored at present, for lack of space.
    pub const fn lacks_space(&self) -> bool {
        self.lacks_space
    }

    /// Current term; 0 before a group is formed.
    pub const fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Index of the last entry that this replica knows to be committed.
    pub const fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Log of this replica, including entries that are not committed or durable yet.
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// Processes one event and returns what the caller has to do.
    ///
    /// `now` must not decrease from one step to the next.
    pub fn step(&mut self, now: Duration, event: Event) -> Output {
        let mut output = Output::default();
        let previous = self.hard_state;
        match event {
            Event::NoSpace => self.on_no_space(now),
            Event::SpaceAvailable(stored) => self.on_space_available(now, stored),
            Event::Received(envelope) if self.lacks_space => {
                self.receive_without_space(now, envelope, &mut output);
            }
            // Everything else would have to be stored, as would the start of an election.
            _ if self.lacks_space => {}
            Event::Tick { jitter } => self.tick(now, jitter, &mut output),
            Event::Received(envelope) => self.receive(now, envelope, &mut output),
            Event::Propose(payloads) => self.propose(now, payloads, &mut output),
            Event::Change(change) => self.change_members(now, change, &mut output),
            Event::Compact { index, data } => self.compact(index, data, &mut output),
            Event::Bootstrap(members) => self.bootstrap(members, &mut output),
        }
        if self.hard_state != previous {
            // An entry must not be durable before its term.
            output.writes.insert(0, Write::HardState(self.hard_state));
        }
        output
    }

    fn tick(&mut self, now: Duration, jitter: Duration, output: &mut Output) {
        if self.is_leader() {
            self.tick_leader(now, output);
        } else if now >= self.election_deadline && now >= self.no_vote_before {
            self.election_jitter = jitter;
            self.start_election(now, output);
        }
    }

    fn receive(&mut self, now: Duration, envelope: Envelope, output: &mut Output) {
        let Envelope { from, to, message } = envelope;
        if to != self.identity {
            return;
        }
        match message {
            Message::RequestVote { .. } => self.on_request_vote(now, from, &message, output),
            Message::VoteResponse { .. } => self.on_vote_response(now, from, &message, output),
            Message::AppendEntries { .. } => self.on_append_entries(now, from, message, output),
            Message::InstallSnapshot {
                term,
                chunk,
                sent_at,
            } => {
                if self.accept_leader(now, from, term, sent_at, output) {
                    self.on_snapshot_chunk(from, chunk, sent_at, output);
                }
            }
            Message::AppendResponse {
                term,
                result,
                sent_at,
            } => {
                if self.record_response(now, from, term, sent_at) {
                    self.on_append_response(now, from, result, output);
                }
            }
            Message::SnapshotProgress {
                term,
                index,
                received_bytes,
                sent_at,
            } => {
                if self.record_response(now, from, term, sent_at) {
                    self.on_snapshot_progress(now, from, (index, received_bytes), output);
                }
            }
        }
    }

    /// Forms a new group, if this replica holds no state and is one of its voters.
    fn bootstrap(&mut self, members: Membership, output: &mut Output) {
        let empty = self.log.last_index() == 0 && self.hard_state == HardState::default();
        if !empty || !members.is_voter(self.identity) {
            return;
        }
        let entry = Entry {
            index: 1,
            term: 1,
            body: EntryBody::Members(members),
        };
        self.hard_state.term = 1;
        self.log.append(entry.clone());
        output.writes.push(Write::Entry(entry));
        // All initial members append this same entry.
        self.commit_index = 1;
    }

    fn compact(&mut self, index: u64, data: Bytes, output: &mut Output) {
        if index <= self.log.snapshot().index || index > self.commit_index {
            return;
        }
        self.log.compact(index, data);
        output.writes.push(Write::Snapshot {
            snapshot: self.log.snapshot().clone(),
            keep_log: true,
        });
    }

    /// Becomes a follower in `term`; a later term than the current one clears the vote.
    pub(super) fn become_follower(&mut self, term: u64) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
        }
        self.role = Role::Follower;
        self.leader = None;
    }

    /// Gives a leader an election timeout to make contact, in which this replica grants no vote.
    pub(super) fn reset_election_timer(&mut self, now: Duration) {
        self.no_vote_before = now + self.timing.election_timeout;
        self.election_deadline = self.no_vote_before + self.election_jitter;
    }

    pub(super) const fn envelope(&self, to: Identity, message: Message) -> Envelope {
        Envelope {
            from: self.identity,
            to,
            message,
        }
    }

    pub(super) fn has_defect(&self, defect: Defect) -> bool {
        self.defect == Some(defect)
    }
}
