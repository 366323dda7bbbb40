//! Elections.

use std::collections::BTreeSet;
use std::time::Duration;

use super::role::Role;
use super::{Defect, Message, Output, Replica};
use crate::{HardState, Identity};

impl Replica {
    /// Starts an election, with a round of pre-votes if the timing demands one.
    ///
    /// A pre-vote keeps a replica that cannot win from raising the term of the group.
    pub(super) fn start_election(&mut self, now: Duration, output: &mut Output) {
        if !self.log.members().is_voter(self.identity) {
            return;
        }
        self.leader = None;
        // Only the next attempt is rescheduled. `no_vote_before` stays, as it protects the lease of
        // a leader.
        self.election_deadline = now + self.timing.election_timeout / 2 + self.election_jitter;
        if !self.timing.pre_vote {
            return self.become_candidate(output);
        }
        self.role = Role::PreCandidate(BTreeSet::from([self.identity]));
        if self.log.members().quorum() == 1 {
            return self.become_candidate(output);
        }
        let requests = self.vote_requests(self.term() + 1, true);
        output.send.extend(requests);
    }

    fn become_candidate(&mut self, output: &mut Output) {
        self.hard_state = HardState {
            term: self.term() + 1,
            vote: Some(self.identity),
        };
        self.role = Role::Candidate(BTreeSet::new());
        let requests = self.vote_requests(self.term(), false);
        output.send_after_sync.extend(requests);
        // The replica's own vote counts once it is durable.
        let vote = Message::VoteResponse {
            term: self.term(),
            pre_vote: false,
            granted: true,
        };
        output
            .send_after_sync
            .push(self.envelope(self.identity, vote));
    }

    fn vote_requests(&self, term: u64, pre_vote: bool) -> Vec<super::Envelope> {
        let request = Message::RequestVote {
            term,
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let others = self
            .log
            .members()
            .voters()
            .filter(|peer| *peer != self.identity);
        others
            .map(|peer| self.envelope(peer, request.clone()))
            .collect()
    }

    pub(super) fn on_request_vote(
        &mut self,
        now: Duration,
        from: Identity,
        request: &Message,
        output: &mut Output,
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
        let leader_may_hold_lease = self.is_leader() || now < self.no_vote_before;
        if term >= self.term()
            && leader_may_hold_lease
            && !self.has_defect(Defect::VoteDespiteLeader)
        {
            return;
        }
        if term > self.term() && !pre_vote {
            self.become_follower(term);
        }
        let granted = self.can_grant_vote(from, term, pre_vote, (last_term, last_index));
        let vote = Message::VoteResponse {
            term: if granted { term } else { self.term() },
            pre_vote,
            granted,
        };
        if granted && !pre_vote {
            self.hard_state.vote = Some(from);
            self.election_deadline = now + self.timing.election_timeout + self.election_jitter;
        }
        let vote = self.envelope(from, vote);
        if pre_vote || self.has_defect(Defect::VoteBeforeSync) {
            output.send.push(vote);
        } else {
            output.send_after_sync.push(vote);
        }
    }

    /// Whether the candidate's log is complete and this replica has no other vote in the term.
    ///
    /// `last` is the term and index of the last entry in the candidate's log.
    fn can_grant_vote(&self, from: Identity, term: u64, pre_vote: bool, last: (u64, u64)) -> bool {
        let own_last = (self.log.last_term(), self.log.last_index());
        let complete = last >= own_last || self.has_defect(Defect::VoteForShorterLog);
        // A learner responds too: the candidate, which counts only voters, may already hold the
        // entry that promotes it.
        let member = self.log.members().contains(self.identity);
        let available = if pre_vote {
            term > self.term()
        } else {
            let vote = self.hard_state.vote;
            term == self.term() && vote.is_none_or(|vote| vote == from)
        };
        complete && member && available
    }

    pub(super) fn on_vote_response(
        &mut self,
        now: Duration,
        from: Identity,
        response: &Message,
        output: &mut Output,
    ) {
        let Message::VoteResponse {
            term,
            pre_vote,
            granted,
        } = *response
        else {
            return;
        };
        if !granted && term > self.term() {
            return self.become_follower(term);
        }
        let expected_term = self.term() + u64::from(pre_vote);
        if !granted || term != expected_term || !self.log.members().is_voter(from) {
            return;
        }
        let quorum = self.log.members().quorum();
        match &mut self.role {
            Role::PreCandidate(votes) if pre_vote => {
                votes.insert(from);
                if votes.len() >= quorum {
                    self.become_candidate(output);
                }
            }
            Role::Candidate(votes) if !pre_vote => {
                votes.insert(from);
                if votes.len() >= quorum {
                    self.become_leader(now, output);
                }
            }
            _ => {}
        }
    }
}
