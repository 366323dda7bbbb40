//! What is sent to peers.

use std::time::Instant;

use masticfield_core::ids::EntryId;
use masticfield_core::membership::EntryInfo;

use super::message::{
    Applied, Beat, ITEM_BYTES, LeavingUpstream, MAX_REFRESHES, PeerBody, entry_size_bound,
};
use super::peer::PeerStatus;
use super::{Defect, Membership};

/// Heartbeats whose time of sending is remembered.
const REMEMBERED_BEATS: usize = 32;

impl Membership {
    /// Sends a heartbeat to every peer and address once the last one is old enough.
    pub(super) fn beat_if_due(&mut self, now: Instant) {
        let last = self.beats.back().copied();
        // A tick that comes a little early counts, so that heartbeats keep their interval.
        let early = now + self.timing.tick_interval() / 2;
        if last.is_some_and(|(_, at)| early.saturating_duration_since(at) < self.timing.beat()) {
            return;
        }
        let seq = last.map_or(1, |(seq, _)| seq + 1);
        self.beats.push_back((seq, now));
        if self.beats.len() > REMEMBERED_BEATS {
            self.beats.pop_front();
        }
        self.beat_peers(now, seq);
        self.beat_contacts(seq);
        let local = &self.local;
        let held = |key| local.mentions(key);
        self.table.forget(now, self.timing.forget(), held);
    }

    fn beat_peers(&mut self, now: Instant, seq: u32) {
        let members = self.members_digest();
        let revision = self.local.revision();
        let me = self.me.clone();
        let mut sends = Vec::new();
        let known = self.peers.values_mut();
        for peer in known.filter(|peer| peer.status != PeerStatus::Left) {
            let beat = Beat {
                seq,
                echo: Some(peer.seq),
                revision,
                applied: peer.shard.applied(),
                members,
                refreshed: peer.take_refreshes(now, MAX_REFRESHES),
                info: (!peer.knows_us || !peer.is_live()).then(|| me.clone()),
            };
            // A silent peer may have restarted, so any incarnation is addressed.
            let incarnation = peer.is_live().then_some(peer.info.incarnation);
            sends.push((peer.info.peer_address, incarnation, PeerBody::Beat(beat)));
        }
        for (to, incarnation, body) in sends {
            self.send_to(to, incarnation, body);
        }
    }

    /// Sends a heartbeat to the addresses at which no peer is known.
    fn beat_contacts(&mut self, seq: u32) {
        let known = |address| {
            let mut addresses = self.peers.values().map(|peer| peer.info.peer_address);
            address == self.me.peer_address || addresses.any(|known| known == address)
        };
        let unknown: Vec<_> = self
            .contacts
            .iter()
            .filter(|address| !known(*address))
            .collect();
        let members = self.members_digest();
        for address in unknown {
            let beat = Beat {
                seq,
                echo: None,
                revision: self.local.revision(),
                applied: Applied::default(),
                members,
                refreshed: Vec::new(),
                info: Some(self.me.clone()),
            };
            self.send_to(address, None, PeerBody::Beat(beat));
        }
    }

    /// Sends pages to the live peers that are behind, and fresh leaves to all ahead of them.
    pub(super) fn push(&mut self, now: Instant) {
        let fresh = std::mem::take(&mut self.fresh_leaving);
        let ids: Vec<_> = self.peers.keys().copied().collect();
        for id in ids {
            self.send_leaving(id, fresh.iter().copied());
            self.send_page(now, id);
        }
    }

    fn send_page(&mut self, now: Instant, id: EntryId) {
        let (revision, repeat) = (self.local.revision(), self.timing.tick_interval());
        let Some(peer) = self.peers.get_mut(&id).filter(|peer| peer.is_live()) else {
            return;
        };
        if !peer.stream.is_due(now, revision, repeat) {
            return;
        }
        let page = self
            .local
            .page(peer.stream.number, peer.stream.acknowledged);
        peer.stream.sent = Some((now, page.upto));
        self.send(id, PeerBody::Page(page));
    }

    /// Sends the leaving upstreams that peers have not acknowledged.
    ///
    /// A suspected peer may still run: it is told for as long as it may use an upstream.
    pub(super) fn repeat_leaving(&mut self, now: Instant) {
        if self.defect == Defect::TellOnce {
            return;
        }
        let limit = self.timing.failure() + self.timing.time_to_live();
        let live_only = self.defect == Defect::TellLiveOnly;
        let reachable = self.peers.iter().filter(|(_, peer)| {
            let silence = now.saturating_duration_since(peer.heard);
            let suspected = peer.status == PeerStatus::Suspected && !live_only;
            peer.is_live() || suspected && silence < limit
        });
        let waiting: Vec<_> = reachable
            .map(|(id, peer)| (*id, peer.stream.leaving.clone()))
            .collect();
        for (id, revisions) in waiting {
            self.send_leaving(id, revisions);
        }
    }

    fn send_leaving(&mut self, id: EntryId, revisions: impl IntoIterator<Item = u64>) {
        let mut items: Vec<LeavingUpstream> = Vec::new();
        let mut room = ITEM_BYTES;
        for revision in revisions {
            let Some(item) = self.local.leaving(revision) else {
                continue;
            };
            if item.size_bound() > room {
                self.send(id, PeerBody::Leaving(std::mem::take(&mut items)));
                room = ITEM_BYTES;
            }
            room -= item.size_bound();
            items.push(item);
        }
        if !items.is_empty() {
            self.send(id, PeerBody::Leaving(items));
        }
    }

    /// Sends the entries that are known, as many as fit.
    pub(super) fn send_members(&mut self, to: EntryId, turn: u32) {
        let present = self
            .peers
            .values()
            .filter(|peer| peer.status != PeerStatus::Left);
        let mut infos: Vec<EntryInfo> = present.map(|peer| peer.info.clone()).collect();
        if infos.is_empty() {
            return;
        }
        // Each turn begins elsewhere, so that all get their place in time.
        let turn = usize::try_from(turn).unwrap_or_default() % infos.len();
        infos.rotate_left(turn);
        let mut room = ITEM_BYTES;
        let fits = |info: &EntryInfo| {
            let left = room.checked_sub(entry_size_bound(info));
            room = left.unwrap_or(0);
            left.is_some()
        };
        let infos = infos.into_iter().take_while(fits).collect();
        self.send(to, PeerBody::Members(infos));
    }

    /// Digest of the entries that are known and have not left.
    pub(super) fn members_digest(&self) -> u32 {
        let present = self
            .peers
            .values()
            .filter(|peer| peer.status != PeerStatus::Left);
        let mut members: Vec<_> = present
            .map(|peer| (peer.info.id, peer.info.incarnation))
            .collect();
        members.push((self.me.id, self.me.incarnation));
        members.sort_unstable();
        let mut hasher = crc32fast::Hasher::new();
        for (id, incarnation) in members {
            hasher.update(&id.number().to_le_bytes());
            hasher.update(&incarnation.number().to_le_bytes());
        }
        hasher.finalize()
    }
}
