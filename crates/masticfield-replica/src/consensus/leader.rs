//! Replication, commits and leases of a leader.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;

use super::progress::{Progress, ReplicationMode};
use super::role::{LeaderState, Role};
use super::{AppendResult, Appended, Defect, Message, Output, Replica};
use crate::{Entry, EntryBody, Identity, Write};

/// Payload size at which no further entry is added to an append message, in bytes.
const APPEND_BYTES_THRESHOLD: usize = 256 * 1024;

impl Replica {
    /// Time until which no other replica can lead.
    ///
    /// `None` if this replica does not lead, has not committed an entry of its term yet, or has not
    /// been answered by a majority. The time may have passed already.
    pub fn lease_until(&self, now: Duration) -> Option<Duration> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        if self.log.term(self.commit_index) != Some(self.term()) {
            return None;
        }
        let answered_sent_at = |peer: Identity| match state.progress.get(&peer) {
            _ if peer == self.identity => Some(now),
            progress => progress.and_then(|progress| progress.answered_sent_at),
        };
        let mut times: Vec<_> = self.log.members().voters().map(answered_sent_at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let answered_by_quorum = times.get(self.log.members().quorum() - 1);
        answered_by_quorum
            .copied()
            .flatten()
            .map(|sent_at| sent_at + self.timing.lease_duration)
    }

    /// Index up to which a member's durable log matches.
    ///
    /// `None` if this replica does not lead, or if `member` is not in the group.
    pub fn match_index(&self, member: Identity) -> Option<u64> {
        match &self.role {
            Role::Leader(state) => state.progress.get(&member).map(|peer| peer.match_index),
            _ => None,
        }
    }

    pub(super) fn become_leader(&mut self, now: Duration, output: &mut Output) {
        let last = self.log.last_index();
        let members = self.log.members().members();
        let progress: BTreeMap<_, _> = members
            .map(|(peer, _)| (peer, Progress::new(last, now)))
            .collect();
        self.leader = Some(self.identity);
        self.role = Role::Leader(LeaderState {
            progress,
            last_heartbeat: now,
        });
        self.append(now, vec![EntryBody::Noop], output);
    }

    pub(super) fn propose(&mut self, now: Duration, payloads: Vec<Bytes>, output: &mut Output) {
        if self.is_leader() {
            let bodies = payloads.into_iter().map(EntryBody::Payload).collect();
            self.append(now, bodies, output);
        }
    }

    /// Appends entries in the current term and sends them to the other members.
    pub(super) fn append(&mut self, now: Duration, bodies: Vec<EntryBody>, output: &mut Output) {
        let term = self.term();
        let first = self.log.last_index() + 1;
        for (index, body) in (first..).zip(bodies) {
            let entry = Entry { index, term, body };
            self.log.append(entry.clone());
            output.writes.push(Write::Entry(entry));
        }
        output.appended = Some(Appended { first, term });
        // The leader's own copy counts once it is durable.
        let result = AppendResult::Matched(self.log.last_index());
        let own = self.envelope(self.identity, self.append_response(result, now));
        output.send_after_sync.push(own);
        self.send_entries_to_all(now, output);
    }

    /// Sends heartbeats that are due; steps down if a majority does not respond.
    pub(super) fn tick_leader(&mut self, now: Duration, output: &mut Output) {
        if !self.is_quorum_responsive(now) {
            self.reset_election_timer(now);
            return self.become_follower(self.term());
        }
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if now < state.last_heartbeat + self.timing.heartbeat_interval {
            return;
        }
        state.last_heartbeat = now;
        for progress in state.progress.values_mut() {
            if let ReplicationMode::Probe { awaiting_response } = &mut progress.mode {
                *awaiting_response = false;
            }
        }
        for peer in self.other_members() {
            self.retry_transfer(now, peer, output);
            if !self.send_entries(now, peer, output) {
                self.send_heartbeat(now, peer, output);
            }
        }
    }

    fn is_quorum_responsive(&self, now: Duration) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let timeout = self.timing.election_timeout;
        let is_responsive = |peer: &Identity| {
            let progress = state.progress.get(peer);
            *peer == self.identity
                || progress.is_some_and(|peer| peer.last_contact + timeout >= now)
        };
        let responsive = self.log.members().voters().filter(is_responsive).count();
        responsive >= self.log.members().quorum()
    }

    /// Records contact with a member; returns whether its response is for this leader and term.
    pub(super) fn record_response(
        &mut self,
        now: Duration,
        from: Identity,
        term: u64,
        sent_at: Duration,
    ) -> bool {
        if term > self.term() {
            self.become_follower(term);
            return false;
        }
        let current = term == self.term();
        let Role::Leader(state) = &mut self.role else {
            return false;
        };
        let Some(progress) = state.progress.get_mut(&from).filter(|_| current) else {
            return false;
        };
        progress.last_contact = now;
        progress.answered_sent_at = progress.answered_sent_at.max(Some(sent_at));
        true
    }

    pub(super) fn on_append_response(
        &mut self,
        now: Duration,
        from: Identity,
        result: AppendResult,
        output: &mut Output,
    ) {
        let last = self.log.last_index();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&from) else {
            return;
        };
        match result {
            AppendResult::NotStored => return progress.pause(),
            AppendResult::Matched(index) => {
                progress.has_space = true;
                progress.advance(index.min(last));
                self.advance_commit();
            }
            AppendResult::Rejected {
                prev_index,
                retry_from,
            } => {
                progress.has_space = true;
                if !progress.reject(prev_index, retry_from) {
                    return;
                }
            }
        }
        self.send_entries(now, from, output);
    }

    /// Commits what a majority holds durably.
    ///
    /// Entries of earlier terms are committed only along with one of the current term, as a
    /// later leader could otherwise still overwrite them.
    fn advance_commit(&mut self) {
        let match_index = |peer| self.match_index(peer).unwrap_or_default();
        let mut matched: Vec<_> = self.log.members().voters().map(match_index).collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.log.members().quorum() - 1).copied() else {
            return;
        };
        let is_current_term = self.log.term(index) == Some(self.term());
        if index > self.commit_index
            && (is_current_term || self.has_defect(Defect::CommitEarlierTerms))
        {
            self.commit_index = index;
        }
        let members_committed = self.log.members_index() <= self.commit_index;
        if members_committed && !self.log.members().is_voter(self.identity) {
            self.become_follower(self.term());
        }
    }

    /// Time since the last response of a member.
    ///
    /// `None` if this replica does not lead, or if `member` is not in the group.
    pub fn time_since_contact(&self, now: Duration, member: Identity) -> Option<Duration> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        if member == self.identity {
            return Some(Duration::ZERO);
        }
        let progress = state.progress.get(&member)?;
        Some(now.saturating_sub(progress.last_contact))
    }

    fn other_members(&self) -> Vec<Identity> {
        match &self.role {
            Role::Leader(state) => {
                let members = state.progress.keys().copied();
                members.filter(|peer| *peer != self.identity).collect()
            }
            _ => Vec::new(),
        }
    }

    pub(super) fn send_entries_to_all(&mut self, now: Duration, output: &mut Output) {
        for peer in self.other_members() {
            self.send_entries(now, peer, output);
        }
    }

    /// Sends missing entries to a member, as far as its window allows.
    ///
    /// Returns whether any message was sent.
    pub(super) fn send_entries(
        &mut self,
        now: Duration,
        to: Identity,
        output: &mut Output,
    ) -> bool {
        let sent_before = output.send.len();
        while let Some(first) = self.next_index_to_send(to) {
            if first <= self.log.snapshot().index {
                self.start_transfer(now, to, output);
                break;
            }
            let entries = self.next_batch(first);
            let last = first - 1 + entries.len() as u64;
            let message = self.append_message(now, first - 1, entries);
            output.send.push(self.envelope(to, message));
            if let Some(progress) = self.progress_mut(to) {
                progress.record_sent(last);
            }
        }
        output.send.len() > sent_before
    }

    fn send_heartbeat(&self, now: Duration, to: Identity, output: &mut Output) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let Some(progress) = state.progress.get(&to) else {
            return;
        };
        let prev_index = (progress.next_index - 1).max(self.log.snapshot().index);
        let message = self.append_message(now, prev_index, Vec::new());
        output.send.push(self.envelope(to, message));
    }

    fn next_index_to_send(&self, to: Identity) -> Option<u64> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let progress = state.progress.get(&to).filter(|_| to != self.identity)?;
        let can_send = progress.can_send(self.log.last_index());
        can_send.then_some(progress.next_index)
    }

    pub(super) fn progress(&self, peer: Identity) -> Option<&Progress> {
        match &self.role {
            Role::Leader(state) => state.progress.get(&peer),
            _ => None,
        }
    }

    pub(super) fn progress_mut(&mut self, peer: Identity) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(state) => state.progress.get_mut(&peer),
            _ => None,
        }
    }

    fn next_batch(&self, first: u64) -> Vec<Entry> {
        let mut bytes = 0;
        let entries = self.log.entries_from(first).iter();
        let entries = entries.take(self.timing.max_append_entries);
        let fitting = entries.take_while(|entry| {
            let fits = bytes < APPEND_BYTES_THRESHOLD;
            if let EntryBody::Payload(payload) = &entry.body {
                bytes += payload.len();
            }
            fits
        });
        fitting.cloned().collect()
    }

    fn append_message(&self, now: Duration, prev_index: u64, entries: Vec<Entry>) -> Message {
        Message::AppendEntries {
            term: self.term(),
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or_default(),
            entries,
            leader_commit: self.commit_index,
            sent_at: now,
        }
    }
}
