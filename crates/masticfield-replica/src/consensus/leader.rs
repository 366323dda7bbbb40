//! What a leader does.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;

use super::progress::{Mode, Progress};
use super::role::{Leadership, Role};
use super::{AppendResult, Appended, Defect, Message, Next, Replica};
use crate::{Entry, EntryBody, Identity, Write};

/// Size from which an append takes no further entry, in bytes.
const APPEND_BYTES: usize = 256 * 1024;

impl Replica {
    /// Until when no other replica can lead, if this one does.
    pub fn lease_until(&self, now: Duration) -> Option<Duration> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        if self.log.term(self.commit) != Some(self.term()) {
            return None;
        }
        let answered = |peer: Identity| match leadership.peers.get(&peer) {
            _ if peer == self.me => Some(now),
            progress => progress.and_then(|progress| progress.answered),
        };
        let mut answered: Vec<_> = self.log.members().voters().map(answered).collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        let slowest = answered.get(self.log.members().quorum() - 1);
        slowest
            .copied()
            .flatten()
            .map(|sent| sent + self.timing.lease)
    }

    /// Index up to which a member holds the log durably, if this replica leads.
    pub fn matched(&self, member: Identity) -> Option<u64> {
        match &self.role {
            Role::Leader(leadership) => leadership.peers.get(&member).map(|peer| peer.matched),
            _ => None,
        }
    }

    pub(super) fn become_leader(&mut self, now: Duration, next: &mut Next) {
        let last = self.log.last_index();
        let members = self.log.members().members();
        let peers: BTreeMap<_, _> = members
            .map(|(peer, _)| (peer, Progress::new(last, now)))
            .collect();
        self.leader = Some(self.me);
        self.role = Role::Leader(Leadership {
            peers,
            heartbeat: now,
        });
        self.append(now, vec![EntryBody::Nothing], next);
    }

    pub(super) fn propose(&mut self, now: Duration, payloads: Vec<Bytes>, next: &mut Next) {
        if self.is_leader() {
            let bodies = payloads.into_iter().map(EntryBody::Payload).collect();
            self.append(now, bodies, next);
        }
    }

    /// Appends entries of the current term and sends them.
    pub(super) fn append(&mut self, now: Duration, bodies: Vec<EntryBody>, next: &mut Next) {
        let term = self.term();
        let first = self.log.last_index() + 1;
        for (index, body) in (first..).zip(bodies) {
            let entry = Entry { index, term, body };
            self.log.append(entry.clone());
            next.writes.push(Write::Entry(entry));
        }
        next.appended = Some(Appended { first, term });
        // The own copy counts once it is durable.
        let result = AppendResult::Matched(self.log.last_index());
        let own = self.envelope(self.me, self.appended(result, now));
        next.send_synced.push(own);
        self.send_to_all(now, next);
    }

    /// Sends heartbeats, and stops leading without a quorum.
    pub(super) fn lead(&mut self, now: Duration, next: &mut Next) {
        if !self.hears_quorum(now) {
            self.expect_leader(now);
            return self.become_follower(self.term());
        }
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if now < leadership.heartbeat + self.timing.heartbeat {
            return;
        }
        leadership.heartbeat = now;
        for progress in leadership.peers.values_mut() {
            if let Mode::Probe { waiting } = &mut progress.mode {
                *waiting = false;
            }
        }
        for peer in self.peers() {
            self.resume_transfer(now, peer, next);
            if !self.send_entries(now, peer, next) {
                self.send_heartbeat(now, peer, next);
            }
        }
    }

    fn hears_quorum(&self, now: Duration) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let timeout = self.timing.election_timeout;
        let heard = |peer: &Identity| {
            let progress = leadership.peers.get(peer);
            *peer == self.me || progress.is_some_and(|peer| peer.heard + timeout >= now)
        };
        let heard = self.log.members().voters().filter(heard).count();
        heard >= self.log.members().quorum()
    }

    /// Notes that a member was heard; says whether its answer is for this leadership.
    pub(super) fn hears(
        &mut self,
        now: Duration,
        from: Identity,
        term: u64,
        sent: Duration,
    ) -> bool {
        if term > self.term() {
            self.become_follower(term);
            return false;
        }
        let current = term == self.term();
        let Role::Leader(leadership) = &mut self.role else {
            return false;
        };
        let Some(progress) = leadership.peers.get_mut(&from).filter(|_| current) else {
            return false;
        };
        progress.heard = now;
        progress.answered = progress.answered.max(Some(sent));
        true
    }

    pub(super) fn on_appended(
        &mut self,
        now: Duration,
        from: Identity,
        result: AppendResult,
        next: &mut Next,
    ) {
        let last = self.log.last_index();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.peers.get_mut(&from) else {
            return;
        };
        match result {
            AppendResult::Matched(index) => {
                progress.advance(index.min(last));
                self.advance_commit();
            }
            AppendResult::Rejected {
                prev_index,
                retry_from,
            } => {
                if !progress.reject(prev_index, retry_from) {
                    return;
                }
            }
        }
        self.send_entries(now, from, next);
    }

    fn advance_commit(&mut self) {
        let matched = |peer| self.matched(peer).unwrap_or_default();
        let mut matched: Vec<_> = self.log.members().voters().map(matched).collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.log.members().quorum() - 1).copied() else {
            return;
        };
        let ours = self.log.term(index) == Some(self.term());
        if index > self.commit && (ours || self.has_defect(Defect::CommitEarlierTerms)) {
            self.commit = index;
        }
        let named = self.log.members_index() <= self.commit;
        if named && !self.log.members().is_voter(self.me) {
            self.become_follower(self.term());
        }
    }

    /// Time since a member last answered, if this replica leads.
    pub fn silence(&self, now: Duration, member: Identity) -> Option<Duration> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        if member == self.me {
            return Some(Duration::ZERO);
        }
        let progress = leadership.peers.get(&member)?;
        Some(now.saturating_sub(progress.heard))
    }

    fn peers(&self) -> Vec<Identity> {
        match &self.role {
            Role::Leader(leadership) => {
                let peers = leadership.peers.keys().copied();
                peers.filter(|peer| *peer != self.me).collect()
            }
            _ => Vec::new(),
        }
    }

    pub(super) fn send_to_all(&mut self, now: Duration, next: &mut Next) {
        for peer in self.peers() {
            self.send_entries(now, peer, next);
        }
    }

    /// Sends what the member lacks, as far as its window allows; says whether it sent anything.
    pub(super) fn send_entries(&mut self, now: Duration, to: Identity, next: &mut Next) -> bool {
        let before = next.send.len();
        while let Some(first) = self.first_to_send(to) {
            if first <= self.log.snapshot().index {
                self.start_transfer(now, to, next);
                break;
            }
            let entries = self.batch(first);
            let last = first - 1 + entries.len() as u64;
            let message = self.append_message(now, first - 1, entries);
            next.send.push(self.envelope(to, message));
            if let Some(progress) = self.progress_mut(to) {
                progress.sent_up_to(last);
            }
        }
        next.send.len() > before
    }

    fn send_heartbeat(&self, now: Duration, to: Identity, next: &mut Next) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let Some(progress) = leadership.peers.get(&to) else {
            return;
        };
        let prev_index = (progress.next - 1).max(self.log.snapshot().index);
        let message = self.append_message(now, prev_index, Vec::new());
        next.send.push(self.envelope(to, message));
    }

    fn first_to_send(&self, to: Identity) -> Option<u64> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let progress = leadership.peers.get(&to).filter(|_| to != self.me)?;
        let may_send = progress.may_send(self.log.last_index());
        may_send.then_some(progress.next)
    }

    pub(super) fn progress_mut(&mut self, peer: Identity) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leadership) => leadership.peers.get_mut(&peer),
            _ => None,
        }
    }

    fn batch(&self, first: u64) -> Vec<Entry> {
        let mut bytes = 0;
        let entries = self.log.entries_from(first).iter();
        let entries = entries.take(self.timing.append_entries);
        let fitting = entries.take_while(|entry| {
            let fits = bytes < APPEND_BYTES;
            if let EntryBody::Payload(payload) = &entry.body {
                bytes += payload.len();
            }
            fits
        });
        fitting.cloned().collect()
    }

    fn append_message(&self, now: Duration, prev_index: u64, entries: Vec<Entry>) -> Message {
        Message::Append {
            term: self.term(),
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or_default(),
            entries,
            commit: self.commit,
            sent: now,
        }
    }
}
