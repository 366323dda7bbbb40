//! Sending of messages to peers.

use std::time::Instant;

use masticfield_core::ids::EntryId;
use masticfield_core::membership::EntryInfo;

use super::message::{
    Heartbeat, ITEM_BYTES, LeavingUpstream, MAX_REFRESHES, PeerBody, StreamPosition,
    entry_size_bound,
};
use super::peer::PeerStatus;
use super::{Defect, Membership};

/// Number of heartbeats whose sending time is kept; echoes of older ones are ignored.
const MAX_HEARTBEATS: usize = 32;

impl Membership {
    /// Sends a heartbeat to every peer and contact, if the interval has passed.
    pub(super) fn send_heartbeats_if_due(&mut self, now: Instant) {
        let last = self.heartbeats.back().copied();
        // A tick that comes slightly early counts as due, so that heartbeats keep their interval.
        let tolerant_now = now + self.timing.tick_interval() / 2;
        if last.is_some_and(|(_, at)| {
            tolerant_now.saturating_duration_since(at) < self.timing.heartbeat_interval()
        }) {
            return;
        }
        let seq = last.map_or(1, |(seq, _)| seq + 1);
        self.heartbeats.push_back((seq, now));
        if self.heartbeats.len() > MAX_HEARTBEATS {
            self.heartbeats.pop_front();
        }
        self.send_heartbeats_to_peers(now, seq);
        self.send_heartbeats_to_contacts(seq);
        let local = &self.local;
        let held = |key| local.contains(key);
        self.table.expire(now, self.timing.forget_after(), held);
    }

    fn send_heartbeats_to_peers(&mut self, now: Instant, seq: u32) {
        let members_digest = self.members_digest();
        let revision = self.local.revision();
        let me = self.me.clone();
        let mut sends = Vec::new();
        let peers = self.peers.values_mut();
        for peer in peers.filter(|peer| peer.status != PeerStatus::Left) {
            let heartbeat = Heartbeat {
                seq,
                echo: Some(peer.seq),
                revision,
                applied: peer.shard.applied(),
                members_digest,
                refreshes: peer.take_refreshes(now, MAX_REFRESHES),
                info: (!peer.knows_us || !peer.is_live()).then(|| me.clone()),
            };
            // A suspected peer may have restarted, so its incarnation is left open.
            let incarnation = peer.is_live().then_some(peer.info.incarnation);
            sends.push((
                peer.info.peer_address,
                incarnation,
                PeerBody::Heartbeat(heartbeat),
            ));
        }
        for (to, incarnation, body) in sends {
            self.send_to(to, incarnation, body);
        }
    }

    /// Sends a heartbeat to the contacts whose address belongs to no known peer.
    fn send_heartbeats_to_contacts(&mut self, seq: u32) {
        let known = |address| {
            let mut addresses = self.peers.values().map(|peer| peer.info.peer_address);
            address == self.me.peer_address || addresses.any(|known| known == address)
        };
        let unknown: Vec<_> = self
            .contacts
            .iter()
            .filter(|address| !known(*address))
            .collect();
        let members_digest = self.members_digest();
        for address in unknown {
            let heartbeat = Heartbeat {
                seq,
                echo: None,
                revision: self.local.revision(),
                applied: StreamPosition::default(),
                members_digest,
                refreshes: Vec::new(),
                info: Some(self.me.clone()),
            };
            self.send_to(address, None, PeerBody::Heartbeat(heartbeat));
        }
    }

    /// Sends new leaving upstreams to all peers, and pages to the live peers that lag behind.
    pub(super) fn send_changes(&mut self, now: Instant) {
        let new_leaving = std::mem::take(&mut self.new_leaving);
        let ids: Vec<_> = self.peers.keys().copied().collect();
        for id in ids {
            self.send_leaving(id, new_leaving.iter().copied());
            self.send_page(now, id);
        }
    }

    fn send_page(&mut self, now: Instant, id: EntryId) {
        let (revision, repeat_interval) = (self.local.revision(), self.timing.tick_interval());
        let Some(peer) = self.peers.get_mut(&id).filter(|peer| peer.is_live()) else {
            return;
        };
        if !peer.stream.is_due(now, revision, repeat_interval) {
            return;
        }
        let page = self
            .local
            .page(peer.stream.number, peer.stream.acknowledged);
        peer.stream.sent = Some((now, page.upto));
        self.send(id, PeerBody::Page(page));
    }

    /// Sends the leaving upstreams again that peers have not acknowledged.
    ///
    /// A suspected peer may still be running. It is included for as long as it may use an
    /// upstream.
    pub(super) fn repeat_leaving(&mut self, now: Instant) {
        if self.defect == Defect::SendLeavingOnce {
            return;
        }
        let limit = self.timing.failure_timeout() + self.timing.time_to_live();
        let live_only = self.defect == Defect::SendLeavingToLiveOnly;
        let reachable = self.peers.iter().filter(|(_, peer)| {
            let silence = now.saturating_duration_since(peer.last_contact);
            let suspected = peer.status == PeerStatus::Suspected && !live_only;
            peer.is_live() || suspected && silence < limit
        });
        let unacknowledged: Vec<_> = reachable
            .map(|(id, peer)| (*id, peer.stream.leaving.clone()))
            .collect();
        for (id, revisions) in unacknowledged {
            self.send_leaving(id, revisions);
        }
    }

    fn send_leaving(&mut self, id: EntryId, revisions: impl IntoIterator<Item = u64>) {
        let mut items: Vec<LeavingUpstream> = Vec::new();
        let mut capacity = ITEM_BYTES;
        for revision in revisions {
            let Some(item) = self.local.leaving(revision) else {
                continue;
            };
            if item.size_bound() > capacity {
                self.send(id, PeerBody::Leaving(std::mem::take(&mut items)));
                capacity = ITEM_BYTES;
            }
            capacity -= item.size_bound();
            items.push(item);
        }
        if !items.is_empty() {
            self.send(id, PeerBody::Leaving(items));
        }
    }

    /// Sends the known entries, as many as fit into a message, starting at `offset`.
    pub(super) fn send_members(&mut self, to: EntryId, offset: u32) {
        let present = self
            .peers
            .values()
            .filter(|peer| peer.status != PeerStatus::Left);
        let mut infos: Vec<EntryInfo> = present.map(|peer| peer.info.clone()).collect();
        if infos.is_empty() {
            return;
        }
        // The offset differs from message to message, so that in time all entries are sent.
        let offset = usize::try_from(offset).unwrap_or_default() % infos.len();
        infos.rotate_left(offset);
        let mut capacity = ITEM_BYTES;
        let fits = |info: &EntryInfo| {
            let left = capacity.checked_sub(entry_size_bound(info));
            capacity = left.unwrap_or(0);
            left.is_some()
        };
        let infos = infos.into_iter().take_while(fits).collect();
        self.send(to, PeerBody::Members(infos));
    }

    /// CRC-32 of the known entries that have not left, this one included.
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
