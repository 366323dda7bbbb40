//! The membership of one entry.

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

/// Entries and upstreams as one entry knows them.
#[derive(Debug)]
pub struct Membership {
    pub(super) me: EntryInfo,
    pub(super) timing: Timing,
    pub(super) defect: Defect,
    pub(super) contacts: Contacts,
    pub(super) peers: BTreeMap<EntryId, Peer>,
    pub(super) local: LocalShard,
    pub(super) table: VersionTable,
    /// When the latest heartbeats were sent, by number.
    pub(super) beats: VecDeque<(u32, Instant)>,
    pub(super) streams: u32,
    /// Upstreams of which something changed in this step.
    pub(super) dirty: BTreeSet<UpstreamKey>,
    /// Revisions at which upstreams began to leave in this step.
    pub(super) fresh_leaving: Vec<u64>,
    pub(super) departure: Departure,
    pub(super) actions: Vec<Action>,
}

/// How far this entry has left.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Departure {
    Staying,
    Leaving { unaware: BTreeSet<EntryId> },
    Left,
}

impl Membership {
    /// Creates the membership of the entry `me`, which finds its peers at `seeds`.
    pub fn new(me: EntryInfo, seeds: impl IntoIterator<Item = SocketAddr>, timing: Timing) -> Self {
        Self {
            contacts: Contacts::new(seeds),
            me,
            timing,
            defect: Defect::None,
            peers: BTreeMap::new(),
            local: LocalShard::default(),
            table: VersionTable::default(),
            beats: VecDeque::new(),
            streams: 0,
            dirty: BTreeSet::new(),
            fresh_leaving: Vec::new(),
            departure: Departure::Staying,
            actions: Vec::new(),
        }
    }

    /// Leaves out a guard, for tests that show that they can fail.
    #[must_use]
    pub const fn with_defect(mut self, defect: Defect) -> Self {
        self.defect = defect;
        self
    }

    /// This entry.
    pub const fn me(&self) -> &EntryInfo {
        &self.me
    }

    /// The peers that take part, without this entry.
    pub fn live_peers(&self) -> impl Iterator<Item = &EntryInfo> {
        let live = self.peers.values().filter(|peer| peer.is_live());
        live.map(|peer| &peer.info)
    }

    /// The announcement of an upstream that takes new work `now`.
    pub fn serving(&self, now: Instant, id: impl AsRef<str>) -> Option<&Announcement> {
        self.usable(now, self.table.key_of(id.as_ref())?)
    }

    /// The upstreams that take new work `now`.
    pub fn all_serving(&self, now: Instant) -> impl Iterator<Item = &Announcement> {
        self.table
            .keys()
            .filter_map(move |key| self.usable(now, key))
    }

    /// Takes an input at `now` and returns what is to be done.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => self.tick(now),
            Input::Received(msg) => self.receive(now, msg),
            Input::Announced(news) => self.announced(now, news),
            Input::Leave => self.leave(),
        }
        self.tell_changes(now);
        self.push(now);
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: Instant) {
        self.drop_overdue(now);
        self.update_trust(now);
        self.suspect_silent(now);
        match self.departure {
            Departure::Staying => self.beat_if_due(now),
            Departure::Leaving { .. } => self.send_leave(),
            Departure::Left => {}
        }
        self.repeat_leaving(now);
        self.prune();
    }

    fn suspect_silent(&mut self, now: Instant) {
        for (id, peer) in &mut self.peers {
            let silence = now.saturating_duration_since(peer.heard);
            if peer.is_live() && silence >= self.timing.failure() {
                peer.status = PeerStatus::Suspected;
                let event = MembershipEvent::EntrySuspected(*id, peer.info.incarnation);
                self.actions.push(Action::Publish(event));
            }
        }
        let forget = self.timing.forget();
        let dirty = &mut self.dirty;
        self.peers.retain(|_, peer| {
            let silence = now.saturating_duration_since(peer.heard);
            let stays = peer.is_live() || silence < forget;
            if !stays {
                dirty.extend(peer.shards().flat_map(RemoteShard::keys));
            }
            stays
        });
        self.contacts.forget(now, forget);
    }

    fn leave(&mut self) {
        if self.departure != Departure::Staying {
            return;
        }
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live());
        let unaware = live.map(|(id, _)| *id).collect();
        self.departure = Departure::Leaving { unaware };
        self.send_leave();
        self.finish_leave();
    }

    fn send_leave(&mut self) {
        let Departure::Leaving { unaware } = &self.departure else {
            return;
        };
        for id in unaware.clone() {
            self.send(id, PeerBody::Leave);
        }
    }

    /// Ends the departure once every peer is aware of it.
    pub(super) fn finish_leave(&mut self) {
        if matches!(&self.departure, Departure::Leaving { unaware } if unaware.is_empty()) {
            self.departure = Departure::Left;
            self.actions.push(Action::Left);
        }
    }

    /// Drops what every peer knows to be dropped, and versions that are long gone.
    fn prune(&mut self) {
        let known = self
            .peers
            .values()
            .filter(|peer| peer.status != PeerStatus::Left);
        let acknowledged = known.map(|peer| peer.stream.acknowledged).min();
        self.local
            .prune(acknowledged.unwrap_or(self.local.revision()));
    }

    /// Sends a message to a peer.
    pub(super) fn send(&mut self, id: EntryId, body: PeerBody) {
        let Some(peer) = self.peers.get(&id) else {
            return;
        };
        let (to, incarnation) = (peer.info.peer_address, peer.info.incarnation);
        self.send_to(to, Some(incarnation), body);
    }

    /// Sends a message to an address.
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

    /// Begins a stream of pages from nothing.
    pub(super) fn new_stream(&mut self) -> Stream {
        self.streams += 1;
        let mut stream = Stream::new(self.streams);
        stream.leaving.extend(self.local.leaving_after(0));
        stream
    }
}
