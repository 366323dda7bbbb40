//! What a follower does with the messages of its leader.

use std::time::Duration;

use super::{AppendResult, Defect, Message, Next, Replica};
use crate::{Entry, Identity, Write};

impl Replica {
    /// Follows the sender of an append, unless its term is over.
    pub(super) fn follow(
        &mut self,
        now: Duration,
        from: Identity,
        term: u64,
        sent: Duration,
        next: &mut Next,
    ) -> bool {
        if term < self.term() {
            let result = AppendResult::Rejected {
                prev_index: 0,
                retry_from: 0,
            };
            let stale = self.appended(result, sent);
            next.send.push(self.envelope(from, stale));
            return false;
        }
        if self.is_leader() && term == self.term() {
            return false;
        }
        self.become_follower(term);
        self.leader = Some(from);
        self.expect_leader(now);
        true
    }

    pub(super) fn on_append(
        &mut self,
        now: Duration,
        from: Identity,
        append: Message,
        next: &mut Next,
    ) {
        let Message::Append {
            term,
            prev_index,
            prev_term,
            entries,
            commit,
            sent,
        } = append
        else {
            return;
        };
        if !self.follow(now, from, term, sent, next) {
            return;
        }
        let result = self.take_entries((prev_index, prev_term), entries, next);
        if let AppendResult::Matched(index) = result {
            self.commit = self.commit.max(commit.min(index));
        }
        let answer = self.envelope(from, self.appended(result, sent));
        if self.has_defect(Defect::AcknowledgeBeforeSync) {
            next.send.push(answer);
        } else {
            next.send_synced.push(answer);
        }
    }

    /// Appends what is new among the entries after `prev`.
    fn take_entries(
        &mut self,
        (prev_index, prev_term): (u64, u64),
        entries: Vec<Entry>,
        next: &mut Next,
    ) -> AppendResult {
        let compacted = prev_index < self.log.snapshot().index;
        if !compacted && self.log.term(prev_index) != Some(prev_term) {
            return AppendResult::Rejected {
                prev_index,
                retry_from: self.retry_from(prev_index),
            };
        }
        let matched = prev_index + entries.len() as u64;
        for entry in entries {
            let known = entry.index <= self.log.snapshot().index
                || self.log.term(entry.index) == Some(entry.term);
            if !known {
                self.log.append(entry.clone());
                next.writes.push(Write::Entry(entry));
            }
        }
        AppendResult::Matched(matched)
    }

    /// The first index that may differ from the leader's log.
    fn retry_from(&self, prev_index: u64) -> u64 {
        let last = self.log.last_index();
        if prev_index > last {
            last + 1
        } else {
            self.log.first_of_term(prev_index)
        }
    }

    pub(super) const fn appended(&self, result: AppendResult, sent: Duration) -> Message {
        Message::Appended {
            term: self.term(),
            result,
            sent,
        }
    }
}
