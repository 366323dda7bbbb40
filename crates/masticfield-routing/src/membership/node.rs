//! Membership state of one entry.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Instant;

use masticfield_core::ids::{EntryId, Incarnation, UpstreamKey};
use masticfield_core::membership::{Announcement, EntryInfo, MembershipEvent};

use super::contacts::Contacts;
use super::local::LocalShard;
use super::message::{PeerBody, PeerMessage};
use super::peer::{Peer, PeerStatus, Stream};
use super::remote::RemoteShard;
use super::table::VersionTable;
use super::{Action, Defect, Input, Timing};

/// The peers and upstreams known to one entry.
#[derive(Debug)]
pub struct Membership {
    pub(super) me: EntryInfo,
    pub(super) timing: Timing,
    pub(super) defect: Defect,
    pub(super) contacts: Contacts,
    pub(super) peers: BTreeMap<EntryId, Peer>,
    pub(super) local: LocalShard,
    pub(super) table: VersionTable,
    /// Sequence numbers and sending times of the latest heartbeats.
    pub(super) heartbeats: VecDeque<(u32, Instant)>,
    /// Number of the last stream of pages.
    pub(super) streams: u32,
    /// Upstreams whose state may have changed in this step.
    pub(super) dirty: BTreeSet<UpstreamKey>,
    /// Revisions at which upstreams began to leave in this step.
    pub(super) new_leaving: Vec<u64>,
    pub(super) departure: Departure,
    pub(super) actions: Vec<Action>,
}

/// Progress of this entry's leave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Departure {
    Staying,
    /// The peers in `pending` have not acknowledged the leave yet.
    Leaving {
        pending: BTreeSet<EntryId>,
    },
    Left,
}

impl Membership {
    /// Creates the membership of the entry `me`, which looks for peers at the addresses `seeds`.
    pub fn new(me: EntryInfo, seeds: impl IntoIterator<Item = SocketAddr>, timing: Timing) -> Self {
        Self {
            contacts: Contacts::new(seeds),
            me,
            timing,
            defect: Defect::None,
            peers: BTreeMap::new(),
            local: LocalShard::default(),
            table: VersionTable::default(),
            heartbeats: VecDeque::new(),
            streams: 0,
            dirty: BTreeSet::new(),
            new_leaving: Vec::new(),
            departure: Departure::Staying,
            actions: Vec::new(),
        }
    }

    /// Leaves out a guard, for tests that must detect the defect.
    #[must_use]
    pub const fn with_defect(mut self, defect: Defect) -> Self {
        self.defect = defect;
        self
    }

    /// This entry, as its peers see it.
    pub const fn me(&self) -> &EntryInfo {
        &self.me
    }

    /// The live peers, without this entry.
    pub fn live_peers(&self) -> impl Iterator<Item = &EntryInfo> {
        let live = self.peers.values().filter(|peer| peer.is_live());
        live.map(|peer| &peer.info)
    }

    /// The announcement of an upstream, if it takes new work at `now`.
    pub fn serving(&self, now: Instant, id: impl AsRef<str>) -> Option<&Announcement> {
        self.usable(now, self.table.key_of(id.as_ref())?)
    }

    /// The announcements of all upstreams that take new work at `now`.
    pub fn all_serving(&self, now: Instant) -> impl Iterator<Item = &Announcement> {
        self.table
            .keys()
            .filter_map(move |key| self.usable(now, key))
    }

    /// Processes an input at `now` and returns the resulting actions, in order.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => self.tick(now),
            Input::Received(msg) => self.receive(now, msg),
            Input::Announced(announcement) => self.announced(now, announcement),
            Input::Leave => self.leave(),
        }
        self.publish_changes(now);
        self.send_changes(now);
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: Instant) {
        self.remove_expired(now);
        self.update_confirmations(now);
        self.update_peers(now);
        match self.departure {
            Departure::Staying => self.send_heartbeats_if_due(now),
            Departure::Leaving { .. } => self.send_leave(),
            Departure::Left => {}
        }
        self.repeat_leaving(now);
        self.prune();
    }

    /// Suspects peers after the failure timeout, and forgets those that are silent for long.
    fn update_peers(&mut self, now: Instant) {
        for (id, peer) in &mut self.peers {
            let silence = now.saturating_duration_since(peer.last_contact);
            if peer.is_live() && silence >= self.timing.failure_timeout() {
                peer.status = PeerStatus::Suspected;
                let event = MembershipEvent::EntrySuspected(*id, peer.info.incarnation);
                self.actions.push(Action::Publish(event));
            }
        }
        let forget_after = self.timing.forget_after();
        let dirty = &mut self.dirty;
        self.peers.retain(|_, peer| {
            let silence = now.saturating_duration_since(peer.last_contact);
            let stays = peer.is_live() || silence < forget_after;
            if !stays {
                dirty.extend(peer.shards().flat_map(RemoteShard::keys));
            }
            stays
        });
        self.contacts.expire(now, forget_after);
    }

    fn leave(&mut self) {
        if self.departure != Departure::Staying {
            return;
        }
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live());
        let pending = live.map(|(id, _)| *id).collect();
        self.departure = Departure::Leaving { pending };
        self.send_leave();
        self.finish_leave();
    }

    fn send_leave(&mut self) {
        let Departure::Leaving { pending } = &self.departure else {
            return;
        };
        for id in pending.clone() {
            self.send(id, PeerBody::Leave);
        }
    }

    /// Completes the leave once every peer has acknowledged it.
    pub(super) fn finish_leave(&mut self) {
        if matches!(&self.departure, Departure::Leaving { pending } if pending.is_empty()) {
            self.departure = Departure::Left;
            self.actions.push(Action::Left);
        }
    }

    /// Discards records of removed upstreams whose removal every peer has acknowledged.
    fn prune(&mut self) {
        let present = self
            .peers
            .values()
            .filter(|peer| peer.status != PeerStatus::Left);
        let acknowledged = present.map(|peer| peer.stream.acknowledged).min();
        self.local
            .prune(acknowledged.unwrap_or(self.local.revision()));
    }

    /// Sends a message to a peer, addressed to its known incarnation.
    pub(super) fn send(&mut self, id: EntryId, body: PeerBody) {
        let Some(peer) = self.peers.get(&id) else {
            return;
        };
        let (to, incarnation) = (peer.info.peer_address, peer.info.incarnation);
        self.send_to(to, Some(incarnation), body);
    }

    /// Sends a message to an address, for the given incarnation or for any.
    pub(super) fn send_to(
        &mut self,
        to: SocketAddr,
        incarnation: Option<Incarnation>,
        body: PeerBody,
    ) {
        let msg = PeerMessage {
            from: self.me.id,
            incarnation: self.me.incarnation,
            to: incarnation,
            body,
        };
        self.actions.push(Action::Send { to, msg });
    }

    /// Creates a stream of pages that starts at revision 0.
    pub(super) fn new_stream(&mut self) -> Stream {
        self.streams += 1;
        let mut stream = Stream::new(self.streams);
        stream.leaving.extend(self.local.leaving_after(0));
        stream
    }
}
