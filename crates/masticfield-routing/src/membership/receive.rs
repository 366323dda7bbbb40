//! What is received from peers.

use std::time::{Duration, Instant};

use masticfield_core::ids::EntryId;
use masticfield_core::membership::{EntryInfo, MembershipEvent};

use super::message::{
    Applied, Beat, HeldUpstream, LeavingUpstream, Page, PeerBody, PeerMessage, Refresh,
};
use super::node::Departure;
use super::peer::{Peer, PeerStatus};
use super::remote::RemoteShard;
use super::version::UpstreamVersion;
use super::{Action, Defect, Membership};

impl Membership {
    /// Takes a message, unless it is from or for another incarnation.
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
        if let PeerBody::Beat(beat) = &msg.body {
            self.meet(now, &msg, beat);
        }
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if peer.info.incarnation != incarnation {
            return;
        }
        // A peer that has forgotten this entry does not address it, and is introduced again.
        peer.knows_us = msg.to.is_some();
        if peer.status == PeerStatus::Left {
            if msg.body == PeerBody::Leave {
                self.send(from, PeerBody::LeaveAck);
            }
            return;
        }
        self.take(now, from, msg.body, msg.to.is_some());
    }

    fn take(&mut self, now: Instant, from: EntryId, body: PeerBody, addressed: bool) {
        match body {
            PeerBody::Beat(beat) => self.take_beat(now, from, &beat, addressed),
            PeerBody::Page(page) => self.take_page(now, from, page),
            PeerBody::PageAck(applied) => self.acknowledge(from, applied),
            PeerBody::Leaving(items) => self.take_leaving(now, from, items),
            PeerBody::LeavingAck(revisions) => self.leaving_acknowledged(from, &revisions),
            PeerBody::Members(infos) => self.take_members(now, infos),
            PeerBody::Leave => self.peer_left(from),
            PeerBody::LeaveAck => {
                if let Departure::Leaving { unaware } = &mut self.departure {
                    unaware.remove(&from);
                }
                self.finish_leave();
            }
        }
    }

    /// Begins to know a peer that introduces itself, or its new incarnation.
    fn meet(&mut self, now: Instant, msg: &PeerMessage, beat: &Beat) {
        let Some(info) = beat.info.clone() else {
            return;
        };
        let known = self.peers.get(&msg.from).map(|peer| peer.info.incarnation);
        let named = info.id == msg.from && info.incarnation == msg.incarnation;
        if !named || known.is_some_and(|known| known >= msg.incarnation) {
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

    fn take_beat(&mut self, now: Instant, from: EntryId, beat: &Beat, addressed: bool) {
        let asked = beat
            .echo
            .filter(|_| addressed)
            .and_then(|seq| self.sent_at(seq));
        let members = self.members_digest();
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if beat.seq <= peer.seq {
            return;
        }
        peer.seq = beat.seq;
        peer.heard = now;
        if !peer.is_live() {
            peer.status = PeerStatus::Live;
            let event = MembershipEvent::EntryUp(peer.info.clone());
            self.actions.push(Action::Publish(event));
        }
        if let Some(asked) = asked {
            self.take_word(now, from, beat, asked);
        }
        if addressed {
            self.acknowledge(from, beat.applied);
        }
        if beat.members != members {
            self.send_members(from, beat.seq);
        }
    }

    /// Takes what a peer says of its upstreams and of ours; it was asked at `asked` or later.
    fn take_word(&mut self, now: Instant, from: EntryId, beat: &Beat, asked: Instant) {
        let vouch = self.timing.vouch();
        let late = self.defect == Defect::TrustFromArrival;
        let asked = if late { now } else { asked };
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.shard.prove(asked, beat.revision);
            if peer.shard.update_trust(now, vouch) {
                self.dirty.extend(peer.shard.keys());
            }
        }
        for Refresh { revision, age_ms } in &beat.refreshed {
            let age = Duration::from_millis(u64::from(*age_ms));
            if let Some(at) = asked.checked_sub(age) {
                self.local.refresh_revision(*revision, at);
            }
        }
    }

    fn take_page(&mut self, now: Instant, from: EntryId, page: Page) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if page.stream > peer.shard.applied().stream && page.base == 0 {
            self.dirty.extend(peer.shard.restart(page.stream));
        }
        let applied = peer.shard.applied();
        let follows = page.base <= applied.revision;
        let fits = page.stream == applied.stream && follows;
        for change in page.changes {
            let fresh = fits && change.revision > applied.revision;
            self.take_change(now, from, change.revision, change.held, fresh);
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

    /// Takes a change of a peer's upstream; its version counts even if the page does not apply.
    fn take_change(
        &mut self,
        now: Instant,
        from: EntryId,
        revision: u64,
        held: HeldUpstream,
        fresh: bool,
    ) {
        let id = match &held {
            HeldUpstream::Known(news) => &news.id,
            HeldUpstream::Dropped(id) => id,
        };
        let Some(key) = self.table.intern(id, now) else {
            return;
        };
        if let HeldUpstream::Known(news) = &held {
            self.note_version(key, UpstreamVersion::from(news));
        }
        let Some(peer) = self.peers.get_mut(&from).filter(|_| fresh) else {
            return;
        };
        self.dirty.insert(key);
        match held {
            HeldUpstream::Known(news) => peer.shard.hold(key, revision, news),
            HeldUpstream::Dropped(_) => peer.shard.release(key),
        }
    }

    fn acknowledge(&mut self, from: EntryId, applied: Applied) {
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

    fn take_leaving(&mut self, now: Instant, from: EntryId, items: Vec<LeavingUpstream>) {
        let mut revisions = Vec::with_capacity(items.len());
        for item in items {
            if let Some(key) = self.table.intern(&item.id, now) {
                self.note_version(key, UpstreamVersion::leaving(item.incarnation));
            }
            revisions.push(item.revision);
        }
        self.send(from, PeerBody::LeavingAck(revisions));
    }

    fn leaving_acknowledged(&mut self, from: EntryId, revisions: &[u64]) {
        if let Some(peer) = self.peers.get_mut(&from) {
            let leaving = &mut peer.stream.leaving;
            leaving.retain(|revision| !revisions.contains(revision));
        }
    }

    fn peer_left(&mut self, from: EntryId) {
        self.send(from, PeerBody::LeaveAck);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.status = PeerStatus::Left;
            let event = MembershipEvent::EntryLeft(from, peer.info.incarnation);
            self.actions.push(Action::Publish(event));
        }
    }

    fn take_members(&mut self, now: Instant, infos: Vec<EntryInfo>) {
        for info in infos.into_iter().filter(|info| info.id != self.me.id) {
            if !self.peers.contains_key(&info.id) {
                self.contacts.learn(info.peer_address, now);
            }
        }
    }

    fn sent_at(&self, seq: u32) -> Option<Instant> {
        let sent = self.beats.iter().find(|(number, _)| *number == seq);
        sent.map(|(_, at)| *at)
    }
}
