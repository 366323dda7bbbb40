//! Elections.

use std::collections::BTreeSet;
use std::time::Duration;

use super::role::Role;
use super::{Defect, Message, Next, Replica};
use crate::{HardState, Identity};

impl Replica {
    /// Stands for election, or asks first whether it would be elected.
    pub(super) fn stand(&mut self, now: Duration, next: &mut Next) {
        if !self.log.members().is_voter(self.me) {
            return;
        }
        self.leader = None;
        // An election that nobody won is held again soon; what was promised stays promised.
        self.deadline = now + self.timing.election_timeout / 2 + self.jitter;
        if !self.timing.pre_vote {
            return self.campaign(next);
        }
        self.role = Role::PreCandidate(BTreeSet::from([self.me]));
        if self.log.members().quorum() == 1 {
            return self.campaign(next);
        }
        let requests = self.requests(self.term() + 1, true);
        next.send.extend(requests);
    }

    fn campaign(&mut self, next: &mut Next) {
        self.hard_state = HardState {
            term: self.term() + 1,
            vote: Some(self.me),
        };
        self.role = Role::Candidate(BTreeSet::new());
        let requests = self.requests(self.term(), false);
        next.send_synced.extend(requests);
        // The own vote counts once it is durable.
        let vote = Message::Vote {
            term: self.term(),
            pre_vote: false,
            granted: true,
        };
        next.send_synced.push(self.envelope(self.me, vote));
    }

    fn requests(&self, term: u64, pre_vote: bool) -> Vec<super::Envelope> {
        let request = Message::RequestVote {
            term,
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let others = self.log.members().voters().filter(|peer| *peer != self.me);
        others
            .map(|peer| self.envelope(peer, request.clone()))
            .collect()
    }

    pub(super) fn on_request_vote(
        &mut self,
        now: Duration,
        from: Identity,
        request: &Message,
        next: &mut Next,
    ) {
        let Message::RequestVote {
            term,
            pre_vote,
            last_index,
            last_term,
        } = *request
        else {
            return;
        };
        let promised = self.is_leader() || now < self.promise_until;
        if term >= self.term() && promised && !self.has_defect(Defect::VoteDespiteLeader) {
            return;
        }
        if term > self.term() && !pre_vote {
            self.become_follower(term);
        }
        let granted = self.would_vote(from, term, pre_vote, (last_term, last_index));
        let vote = Message::Vote {
            term: if granted { term } else { self.term() },
            pre_vote,
            granted,
        };
        if granted && !pre_vote {
            self.hard_state.vote = Some(from);
            self.deadline = now + self.timing.election_timeout + self.jitter;
        }
        let vote = self.envelope(from, vote);
        if pre_vote || self.has_defect(Defect::VoteBeforeSync) {
            next.send.push(vote);
        } else {
            next.send_synced.push(vote);
        }
    }

    fn would_vote(&self, from: Identity, term: u64, pre_vote: bool, last: (u64, u64)) -> bool {
        let ours = (self.log.last_term(), self.log.last_index());
        let complete = last >= ours || self.has_defect(Defect::VoteForShorterLog);
        let member = self.log.members().contains(self.me);
        let free = if pre_vote {
            term > self.term()
        } else {
            let vote = self.hard_state.vote;
            term == self.term() && vote.is_none_or(|vote| vote == from)
        };
        complete && member && free
    }

    pub(super) fn on_vote(
        &mut self,
        now: Duration,
        from: Identity,
        answer: &Message,
        next: &mut Next,
    ) {
        let Message::Vote {
            term,
            pre_vote,
            granted,
        } = *answer
        else {
            return;
        };
        if !granted && term > self.term() {
            return self.become_follower(term);
        }
        let expected = self.term() + u64::from(pre_vote);
        if !granted || term != expected || !self.log.members().is_voter(from) {
            return;
        }
        let quorum = self.log.members().quorum();
        match &mut self.role {
            Role::PreCandidate(votes) if pre_vote => {
                votes.insert(from);
                if votes.len() >= quorum {
                    self.campaign(next);
                }
            }
            Role::Candidate(votes) if !pre_vote => {
                votes.insert(from);
                if votes.len() >= quorum {
                    self.become_leader(now, next);
                }
            }
            _ => {}
        }
    }
}
