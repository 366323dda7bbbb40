//! Processing of messages from peers.

use std::time::{Duration, Instant};

use masticfield_core::ids::EntryId;
use masticfield_core::membership::{EntryInfo, MembershipEvent};

use super::message::{
    Heartbeat, LeavingUpstream, Page, PeerBody, PeerMessage, Refresh, StreamPosition,
    UpstreamRecord,
};
use super::node::Departure;
use super::peer::{Peer, PeerStatus};
use super::remote::RemoteShard;
use super::version::UpstreamVersion;
use super::{Action, Defect, Membership};

impl Membership {
    /// Processes a message, unless it is from or for another incarnation.
    pub(super) fn receive(&mut self, now: Instant, msg: PeerMessage) {
        let (from, incarnation) = (msg.from, msg.incarnation);
        if from == self.me.id {
            if incarnation > self.me.incarnation {
                self.actions.push(Action::Replaced);
            }
            return;
        }
        if msg.to.is_some_and(|to| to != self.me.incarnation) {
            return;
        }
        if let PeerBody::Heartbeat(heartbeat) = &msg.body {
            self.add_peer(now, &msg, heartbeat);
        }
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if peer.info.incarnation != incarnation {
            return;
        }
        // A peer that has forgotten this entry sends unaddressed messages; the next heartbeat
        // introduces this entry again.
        peer.knows_us = msg.to.is_some();
        if peer.status == PeerStatus::Left {
            if msg.body == PeerBody::Leave {
                self.send(from, PeerBody::LeaveAck);
            }
            return;
        }
        self.process(now, from, msg.body, msg.to.is_some());
    }

    fn process(&mut self, now: Instant, from: EntryId, body: PeerBody, addressed: bool) {
        match body {
            PeerBody::Heartbeat(heartbeat) => self.on_heartbeat(now, from, &heartbeat, addressed),
            PeerBody::Page(page) => self.on_page(now, from, page),
            PeerBody::PageAck(applied) => self.on_page_ack(from, applied),
            PeerBody::Leaving(items) => self.on_leaving(now, from, items),
            PeerBody::LeavingAck(revisions) => self.on_leaving_ack(from, &revisions),
            PeerBody::Members(infos) => self.on_members(now, infos),
            PeerBody::Leave => self.on_leave(from),
            PeerBody::LeaveAck => self.acknowledge_leave(from),
        }
    }

    /// Adds a peer that introduces itself, or replaces its earlier incarnation.
    fn add_peer(&mut self, now: Instant, msg: &PeerMessage, heartbeat: &Heartbeat) {
        let Some(info) = heartbeat.info.clone() else {
            return;
        };
        let known = self.peers.get(&msg.from).map(|peer| peer.info.incarnation);
        let consistent = info.id == msg.from && info.incarnation == msg.incarnation;
        if !consistent || known.is_some_and(|known| known >= msg.incarnation) {
            return;
        }
        let mut peer = Peer::new(info.clone(), now, 0);
        peer.stream = self.new_stream();
        if let Some(before) = self.peers.remove(&msg.from) {
            peer.previous = Some(before.shard);
            let older = before.previous.as_ref();
            self.dirty
                .extend(older.into_iter().flat_map(RemoteShard::keys));
        }
        self.peers.insert(msg.from, peer);
        self.actions
            .push(Action::Publish(MembershipEvent::EntryUp(info)));
    }

    fn on_heartbeat(
        &mut self,
        now: Instant,
        from: EntryId,
        heartbeat: &Heartbeat,
        addressed: bool,
    ) {
        let echoed_at = heartbeat
            .echo
            .filter(|_| addressed)
            .and_then(|seq| self.sent_at(seq));
        let members_digest = self.members_digest();
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if heartbeat.seq <= peer.seq {
            return;
        }
        peer.seq = heartbeat.seq;
        peer.last_contact = now;
        if !peer.is_live() {
            peer.status = PeerStatus::Live;
            let event = MembershipEvent::EntryUp(peer.info.clone());
            self.actions.push(Action::Publish(event));
        }
        if let Some(echoed_at) = echoed_at {
            self.apply_confirmation(now, from, heartbeat, echoed_at);
        }
        if addressed {
            self.on_page_ack(from, heartbeat.applied);
        }
        if heartbeat.members_digest != members_digest {
            self.send_members(from, heartbeat.seq);
        }
    }

    /// Applies the confirmation and the refreshes of a heartbeat.
    ///
    /// The peer sent it after receiving the heartbeat that this entry sent at `echoed_at`.
    fn apply_confirmation(
        &mut self,
        now: Instant,
        from: EntryId,
        heartbeat: &Heartbeat,
        echoed_at: Instant,
    ) {
        let ttl = self.timing.confirmation_ttl();
        let from_arrival = self.defect == Defect::ConfirmFromArrival;
        let echoed_at = if from_arrival { now } else { echoed_at };
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.shard.confirm(echoed_at, heartbeat.revision);
            if peer.shard.update_confirmed(now, ttl) {
                self.dirty.extend(peer.shard.keys());
            }
        }
        for Refresh { revision, age_ms } in &heartbeat.refreshes {
            let age = Duration::from_millis(u64::from(*age_ms));
            if let Some(at) = echoed_at.checked_sub(age) {
                self.local.refresh_revision(*revision, at);
            }
        }
    }

    fn on_page(&mut self, now: Instant, from: EntryId, page: Page) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if page.stream > peer.shard.applied().stream && page.base == 0 {
            self.dirty.extend(peer.shard.reset(page.stream));
        }
        let applied = peer.shard.applied();
        let contiguous = page.base <= applied.revision;
        let fits = page.stream == applied.stream && contiguous;
        for change in page.changes {
            let is_new = fits && change.revision > applied.revision;
            self.apply_change(now, from, change.revision, change.record, is_new);
        }
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if fits && page.upto > applied.revision {
            peer.shard.advance(page.upto);
        }
        let applied = peer.shard.applied();
        self.send(from, PeerBody::PageAck(applied));
    }

    /// Applies a change of a peer's upstream.
    ///
    /// Its version is recorded even if the change is not new for the peer's shard.
    fn apply_change(
        &mut self,
        now: Instant,
        from: EntryId,
        revision: u64,
        record: UpstreamRecord,
        is_new: bool,
    ) {
        let id = match &record {
            UpstreamRecord::Announced(announcement) => &announcement.id,
            UpstreamRecord::Removed(id) => id,
        };
        let Some(key) = self.table.intern(id, now) else {
            return;
        };
        if let UpstreamRecord::Announced(announcement) = &record {
            self.record_version(key, UpstreamVersion::from(announcement));
        }
        let Some(peer) = self.peers.get_mut(&from).filter(|_| is_new) else {
            return;
        };
        self.dirty.insert(key);
        match record {
            UpstreamRecord::Announced(upstream) => peer.shard.insert(key, revision, upstream),
            UpstreamRecord::Removed(_) => peer.shard.remove(key),
        }
    }

    fn on_page_ack(&mut self, from: EntryId, applied: StreamPosition) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if peer.stream.acknowledge(applied) {
            let stream = self.new_stream();
            if let Some(peer) = self.peers.get_mut(&from) {
                peer.stream = stream;
            }
        }
    }

    fn on_leaving(&mut self, now: Instant, from: EntryId, items: Vec<LeavingUpstream>) {
        let mut revisions = Vec::with_capacity(items.len());
        for item in items {
            if let Some(key) = self.table.intern(&item.id, now) {
                self.record_version(key, UpstreamVersion::leaving(item.incarnation));
            }
            revisions.push(item.revision);
        }
        self.send(from, PeerBody::LeavingAck(revisions));
    }

    fn on_leaving_ack(&mut self, from: EntryId, revisions: &[u64]) {
        if let Some(peer) = self.peers.get_mut(&from) {
            let leaving = &mut peer.stream.leaving;
            leaving.retain(|revision| !revisions.contains(revision));
        }
    }

    fn on_leave(&mut self, from: EntryId) {
        self.send(from, PeerBody::LeaveAck);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.status = PeerStatus::Left;
            let event = MembershipEvent::EntryLeft(from, peer.info.incarnation);
            self.actions.push(Action::Publish(event));
        }
        // A peer that leaves takes over nothing, and its acknowledgement would be ignored from now.
        self.acknowledge_leave(from);
    }

    /// Stops waiting for a peer to acknowledge that this entry leaves.
    fn acknowledge_leave(&mut self, from: EntryId) {
        if let Departure::Leaving { pending } = &mut self.departure {
            pending.remove(&from);
        }
        self.finish_leave();
    }

    fn on_members(&mut self, now: Instant, infos: Vec<EntryInfo>) {
        for info in infos.into_iter().filter(|info| info.id != self.me.id) {
            if !self.peers.contains_key(&info.id) {
                self.contacts.learn(info.peer_address, now);
            }
        }
    }

    /// When this entry sent the heartbeat `seq`; `None` if it is too long ago.
    fn sent_at(&self, seq: u32) -> Option<Instant> {
        let sent = self.heartbeats.iter().find(|(number, _)| *number == seq);
        sent.map(|(_, at)| *at)
    }
}
