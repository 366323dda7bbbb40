//! Behaviour of a replica that cannot store anything for lack of space.
//!
//! Such a replica is a follower that neither votes nor acknowledges entries. Its log in memory may
//! be ahead of what it has stored, so it is only used to deliver entries that a leader reports as
//! committed. Once there is space, the log is replaced by the stored one, as after a restart.

use std::time::Duration;

use super::{AppendResult, Defect, Envelope, Log, Message, Output, Replica};
use crate::{Entry, PersistentState};

impl Replica {
    /// Whether this replica leads and so many voters lack space that nothing can be committed.
    pub fn majority_lacks_space(&self) -> bool {
        let voters = self.log.members().voters();
        let can_store = |peer| {
            let progress = self.progress(peer);
            progress.is_some_and(|progress| progress.has_space)
        };
        let storing = voters.filter(|peer| can_store(*peer)).count();
        self.is_leader() && storing < self.log.members().quorum()
    }

    /// Gives up leadership and candidacy, as neither is possible without writes.
    pub(super) fn on_no_space(&mut self, now: Duration) {
        self.lacks_space = true;
        self.incoming_snapshot = None;
        if self.is_leader() {
            self.reset_election_timer(now);
        }
        let other_leader = self.leader.filter(|leader| *leader != self.identity);
        self.become_follower(self.term());
        self.leader = other_leader;
    }

    /// Takes part again with the log that is stored.
    pub(super) fn on_space_available(&mut self, now: Duration, stored: PersistentState) {
        let log = Log::new(stored);
        // An entry in memory may have replaced a stored one of the same index, so an index is known
        // to be committed only if both logs have the same entry there.
        let first = log.snapshot().index + 1;
        let last = self.commit_index.min(log.last_index());
        let is_same = |index: &u64| {
            self.log.term(*index).is_some() && self.log.term(*index) == log.term(*index)
        };
        let committed = (first..=last).rev().find(is_same);
        self.commit_index = committed.unwrap_or(log.snapshot().index);
        self.log = log;
        self.incoming_snapshot = None;
        self.lacks_space = false;
        // Replicas that get space at the same time start elections at different times.
        self.election_deadline = self.no_vote_before.max(now + self.election_jitter);
    }

    /// Follows a leader as far as that needs no writes.
    pub(super) fn receive_without_space(
        &mut self,
        now: Duration,
        Envelope { from, to, message }: Envelope,
        output: &mut Output,
    ) {
        if to != self.identity {
            return;
        }
        match message {
            Message::AppendEntries {
                term,
                prev_index,
                prev_term,
                entries,
                leader_commit,
                sent_at,
            } if self.accept_leader(now, from, term, sent_at, output) => {
                let matched = self.matched_in_memory((prev_index, prev_term), &entries);
                if let Some(matched) = matched {
                    self.commit_index = self.commit_index.max(leader_commit.min(matched));
                }
                let result = match matched {
                    Some(matched) if self.has_defect(Defect::AcknowledgeWithoutSpace) => {
                        AppendResult::Matched(matched)
                    }
                    _ => AppendResult::NotStored,
                };
                let response = self.append_response(result, sent_at);
                output.send.push(self.envelope(from, response));
            }
            Message::InstallSnapshot { term, sent_at, .. }
                if self.accept_leader(now, from, term, sent_at, output) =>
            {
                let response = self.append_response(AppendResult::NotStored, sent_at);
                output.send.push(self.envelope(from, response));
            }
            _ => {}
        }
    }

    /// Index up to which the log in memory matches the leader's by an append message.
    fn matched_in_memory(&self, prev: (u64, u64), entries: &[Entry]) -> Option<u64> {
        let (prev_index, prev_term) = prev;
        if self.log.term(prev_index) != Some(prev_term) {
            return None;
        }
        let is_held = |entry: &&Entry| self.log.term(entry.index) == Some(entry.term);
        let held = entries.iter().take_while(is_held).count();
        Some(prev_index + held as u64)
    }
}
