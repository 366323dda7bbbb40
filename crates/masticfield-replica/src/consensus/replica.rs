//! The state machine of a replica.

use std::time::Duration;

use bytes::Bytes;

use super::role::Role;
use super::transfer::Incoming;
use super::{Defect, Envelope, Event, Log, Message, Next, Timing};
use crate::{Entry, EntryBody, HardState, Identity, Membership, Stored, Write};

/// A replica as a pure state machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    pub(super) me: Identity,
    pub(super) timing: Timing,
    pub(super) defect: Option<Defect>,
    pub(super) hard_state: HardState,
    pub(super) log: Log,
    pub(super) role: Role,
    pub(super) leader: Option<Identity>,
    pub(super) commit: u64,
    /// No vote is given before this moment, as a leader may hold a lease until then.
    pub(super) promise_until: Duration,
    /// When to stand for election.
    pub(super) deadline: Duration,
    pub(super) jitter: Duration,
    pub(super) incoming: Option<Incoming>,
}

impl Replica {
    /// Takes up what is stored.
    pub fn new(me: Identity, timing: Timing, stored: Stored) -> Self {
        let hard_state = stored.hard_state;
        let log = Log::new(stored);
        let commit = log.snapshot().index;
        Self {
            me,
            timing,
            defect: None,
            hard_state,
            log,
            role: Role::Follower,
            leader: None,
            commit,
            promise_until: Duration::ZERO,
            deadline: Duration::ZERO,
            jitter: Duration::ZERO,
            incoming: None,
        }
    }

    /// Sets the moment of the start, before which it may have heard a leader.
    #[must_use]
    pub fn started_at(mut self, now: Duration, jitter: Duration) -> Self {
        self.jitter = jitter;
        self.expect_leader(now);
        self
    }

    /// Leaves out a guard, to show that the checks notice it.
    #[doc(hidden)]
    #[must_use]
    pub const fn with_defect(mut self, defect: Option<Defect>) -> Self {
        self.defect = defect;
        self
    }

    /// The replica itself.
    pub const fn me(&self) -> Identity {
        self.me
    }

    /// The leader, if one is known.
    pub const fn leader(&self) -> Option<Identity> {
        self.leader
    }

    /// Whether it leads.
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The current term.
    pub const fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Index of the last entry that it knows to be committed.
    pub const fn commit(&self) -> u64 {
        self.commit
    }

    /// The log.
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// Takes an event and says what to do next.
    pub fn step(&mut self, now: Duration, event: Event) -> Next {
        let mut next = Next::default();
        let before = self.hard_state;
        match event {
            Event::Tick { jitter } => self.tick(now, jitter, &mut next),
            Event::Received(envelope) => self.receive(now, envelope, &mut next),
            Event::Propose(payloads) => self.propose(now, payloads, &mut next),
            Event::Change(change) => self.change(now, change, &mut next),
            Event::Compact { index, data } => self.compact(index, data, &mut next),
            Event::Found(members) => self.found(members, &mut next),
        }
        if self.hard_state != before {
            // An entry must not be durable before its term.
            next.writes.insert(0, Write::HardState(self.hard_state));
        }
        next
    }

    fn tick(&mut self, now: Duration, jitter: Duration, next: &mut Next) {
        if self.is_leader() {
            self.lead(now, next);
        } else if now >= self.deadline && now >= self.promise_until {
            self.jitter = jitter;
            self.stand(now, next);
        }
    }

    fn receive(&mut self, now: Duration, envelope: Envelope, next: &mut Next) {
        let Envelope { from, to, message } = envelope;
        if to != self.me {
            return;
        }
        match message {
            Message::RequestVote { .. } => self.on_request_vote(now, from, &message, next),
            Message::Vote { .. } => self.on_vote(now, from, &message, next),
            Message::Append { .. } => self.on_append(now, from, message, next),
            Message::Snapshot { term, piece, sent } => {
                if self.follow(now, from, term, sent, next) {
                    self.on_piece(from, piece, sent, next);
                }
            }
            Message::Appended { term, result, sent } => {
                if self.hears(now, from, term, sent) {
                    self.on_appended(now, from, result, next);
                }
            }
            Message::SnapshotReceived {
                term,
                index,
                bytes,
                sent,
            } => {
                if self.hears(now, from, term, sent) {
                    self.on_received(now, from, (index, bytes), next);
                }
            }
        }
    }

    /// Forms a new group if this replica holds nothing yet.
    fn found(&mut self, members: Membership, next: &mut Next) {
        let empty = self.log.last_index() == 0 && self.hard_state == HardState::default();
        if !empty || !members.is_voter(self.me) {
            return;
        }
        let entry = Entry {
            index: 1,
            term: 1,
            body: EntryBody::Members(members),
        };
        self.hard_state.term = 1;
        self.log.append(entry.clone());
        next.writes.push(Write::Entry(entry));
        // Every founder has agreed to this entry.
        self.commit = 1;
    }

    fn compact(&mut self, index: u64, data: Bytes, next: &mut Next) {
        if index <= self.log.snapshot().index || index > self.commit {
            return;
        }
        self.log.compact(index, data);
        next.writes.push(Write::Snapshot {
            snapshot: self.log.snapshot().clone(),
            keep_log: true,
        });
    }

    /// Follows in `term`, without a vote if the term is new.
    pub(super) fn become_follower(&mut self, term: u64) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
        }
        self.role = Role::Follower;
        self.leader = None;
    }

    /// Gives a leader time to be heard.
    pub(super) fn expect_leader(&mut self, now: Duration) {
        self.promise_until = now + self.timing.election_timeout;
        self.deadline = self.promise_until + self.jitter;
    }

    pub(super) const fn envelope(&self, to: Identity, message: Message) -> Envelope {
        Envelope {
            from: self.me,
            to,
            message,
        }
    }

    pub(super) fn has_defect(&self, defect: Defect) -> bool {
        self.defect == Some(defect)
    }
}
