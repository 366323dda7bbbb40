//! Handling of a leader's messages by its followers.

use std::time::Duration;

use super::{AppendResult, Defect, Message, Output, Replica};
use crate::{Entry, Identity, Write};

impl Replica {
    /// Accepts the sender as leader of `term`; returns `false` if the message must be ignored.
    ///
    /// The sender of an earlier term gets a rejection that carries the current term.
    pub(super) fn accept_leader(
        &mut self,
        now: Duration,
        from: Identity,
        term: u64,
        sent_at: Duration,
        output: &mut Output,
    ) -> bool {
        if term < self.term() {
            let result = AppendResult::Rejected {
                prev_index: 0,
                retry_from: 0,
            };
            let rejection = self.append_response(result, sent_at);
            output.send.push(self.envelope(from, rejection));
            return false;
        }
        if self.is_leader() && term == self.term() {
            return false;
        }
        self.become_follower(term);
        self.leader = Some(from);
        self.reset_election_timer(now);
        true
    }

    pub(super) fn on_append_entries(
        &mut self,
        now: Duration,
        from: Identity,
        append: Message,
        output: &mut Output,
    ) {
        let Message::AppendEntries {
            term,
            prev_index,
            prev_term,
            entries,
            leader_commit,
            sent_at,
        } = append
        else {
            return;
        };
        if !self.accept_leader(now, from, term, sent_at, output) {
            return;
        }
        let result = self.append_new_entries((prev_index, prev_term), entries, output);
        if let AppendResult::Matched(index) = result {
            self.commit_index = self.commit_index.max(leader_commit.min(index));
        }
        let response = self.envelope(from, self.append_response(result, sent_at));
        if self.has_defect(Defect::AcknowledgeBeforeSync) {
            output.send.push(response);
        } else {
            output.send_after_sync.push(response);
        }
    }

    /// Appends those entries that the log does not hold yet.
    fn append_new_entries(
        &mut self,
        (prev_index, prev_term): (u64, u64),
        entries: Vec<Entry>,
        output: &mut Output,
    ) -> AppendResult {
        let compacted = prev_index < self.log.snapshot().index;
        if !compacted && self.log.term(prev_index) != Some(prev_term) {
            return AppendResult::Rejected {
                prev_index,
                retry_from: self.retry_from(prev_index),
            };
        }
        let match_index = prev_index + entries.len() as u64;
        for entry in entries {
            let known = entry.index <= self.log.snapshot().index
                || self.log.term(entry.index) == Some(entry.term);
            if !known {
                self.log.append(entry.clone());
                output.writes.push(Write::Entry(entry));
            }
        }
        AppendResult::Matched(match_index)
    }

    /// First index at which this log may differ from the leader's.
    ///
    /// All entries with the term of the mismatch are skipped at once.
    fn retry_from(&self, prev_index: u64) -> u64 {
        let last = self.log.last_index();
        if prev_index > last {
            last + 1
        } else {
            self.log.first_index_of_term(prev_index)
        }
    }

    pub(super) const fn append_response(&self, result: AppendResult, sent_at: Duration) -> Message {
        Message::AppendResponse {
            term: self.term(),
            result,
            sent_at,
        }
    }
}
