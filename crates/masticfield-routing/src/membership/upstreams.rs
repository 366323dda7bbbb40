//! Announcements of upstreams, and which of them take new work.

use std::sync::Arc;
use std::time::Instant;

use masticfield_core::ids::UpstreamKey;
use masticfield_core::membership::{Announcement, MembershipEvent, UpstreamState};

use super::input::AnnouncementRefusal;
use super::message::{MAX_TEXT_BYTES, text_of};
use super::peer::Peer;
use super::table::{MAX_UPSTREAMS, Told};
use super::version::UpstreamVersion;
use super::{Action, Defect, Membership};

impl Membership {
    /// Takes the announcement of an upstream.
    pub(super) fn announced(&mut self, now: Instant, news: Announcement) {
        let action = match self.accept(now, news) {
            Ok(()) => Action::Accept {
                again_in: self.timing.announce(),
            },
            Err(refusal) => Action::Refuse(refusal),
        };
        self.actions.push(action);
    }

    fn accept(&mut self, now: Instant, news: Announcement) -> Result<(), AnnouncementRefusal> {
        let limit = MAX_TEXT_BYTES;
        if text_of(&news)
            .iter()
            .any(|text| text.is_empty() || text.len() > limit)
        {
            return Err(AnnouncementRefusal::Text { limit });
        }
        let limit = MAX_UPSTREAMS;
        let key = self
            .table
            .intern(&news.id, now)
            .ok_or(AnnouncementRefusal::Full { limit })?;
        let (version, latest) = (UpstreamVersion::from(&news), self.table.latest(key));
        if version < latest && self.defect != Defect::LastWordWins {
            let known = latest.incarnation();
            return Err(AnnouncementRefusal::Stale { known });
        }
        let known = self
            .records(key)
            .find(|known| UpstreamVersion::from(*known) == version);
        if known.is_some_and(|known| *known != news) {
            return Err(AnnouncementRefusal::Changed);
        }
        self.keep(now, key, news);
        Ok(())
    }

    /// Keeps an announcement here, or passes it on to the live peer that holds the upstream.
    fn keep(&mut self, now: Instant, key: UpstreamKey, news: Announcement) {
        if self.local.get(key) == Some(&news) {
            self.local.refresh(key, now);
            return;
        }
        let vouch = self.timing.vouch();
        let holder = self.peers.values_mut().find(|peer| {
            let trusted = peer.is_live() && peer.shard.is_vouched(now, vouch);
            trusted && peer.shard.get(key) == Some(&news)
        });
        if let Some(peer) = holder {
            if let Some(revision) = peer.shard.revision_of(key) {
                peer.queue_refresh(revision, now);
            }
            return;
        }
        self.note_version(key, UpstreamVersion::from(&news));
        let leaves = news.state == UpstreamState::Leaving;
        self.local.hold(key, news, now);
        self.dirty.insert(key);
        if leaves {
            self.queue_leaving();
        }
    }

    /// Notes that an upstream has reached a version; what this entry holds follows.
    pub(super) fn note_version(&mut self, key: UpstreamKey, version: UpstreamVersion) {
        let Some(known) = self.table.get_mut(key) else {
            return;
        };
        if version <= known.latest && self.defect != Defect::LastWordWins {
            return;
        }
        known.latest = version;
        self.dirty.insert(key);
        let Some(held) = self.local.get(key).map(UpstreamVersion::from) else {
            return;
        };
        if held.incarnation() == version.incarnation() && version.is_leaving() {
            if self.local.mark_leaving(key) {
                self.queue_leaving();
            }
        } else if held < version {
            self.local.release(key);
        }
    }

    /// Queues the last change, an upstream that leaves, for every peer.
    fn queue_leaving(&mut self) {
        let revision = self.local.revision();
        self.fresh_leaving.push(revision);
        for peer in self.peers.values_mut() {
            peer.stream.leaving.insert(revision);
        }
    }

    /// Drops the held upstreams that have not announced themselves again.
    pub(super) fn drop_overdue(&mut self, now: Instant) {
        for key in self.local.overdue(now, self.timing.hold()) {
            self.local.release(key);
            self.dirty.insert(key);
        }
    }

    /// Notes whose word has become too old.
    pub(super) fn update_trust(&mut self, now: Instant) {
        let vouch = self.timing.vouch();
        for peer in self.peers.values_mut() {
            if peer.shard.update_trust(now, vouch) {
                self.dirty.extend(peer.shard.keys());
            }
            let expired = peer.previous.take_if(|shard| !shard.is_vouched(now, vouch));
            if let Some(shard) = expired {
                self.dirty.extend(shard.keys());
            }
        }
    }

    /// The announcement under which an upstream takes new work.
    pub(super) fn usable(&self, now: Instant, key: UpstreamKey) -> Option<&Announcement> {
        let latest = self.table.latest(key);
        if latest.is_leaving() {
            return None;
        }
        let current = |news: &&Announcement| UpstreamVersion::from(*news) == latest;
        let held = self.local.get(key).filter(current);
        let vouch = self.timing.vouch();
        let endless = self.defect == Defect::TrustForever;
        let shards = self.peers.values().flat_map(Peer::shards);
        let trusted = shards.filter(|shard| endless || shard.is_vouched(now, vouch));
        held.or_else(|| trusted.filter_map(|shard| shard.get(key)).find(current))
    }

    /// Every announcement that is kept of an upstream.
    fn records(&self, key: UpstreamKey) -> impl Iterator<Item = &Announcement> {
        let shards = self.peers.values().flat_map(Peer::shards);
        let remote = shards.filter_map(move |shard| shard.get(key));
        self.local.get(key).into_iter().chain(remote)
    }

    /// Tells the other parts of the entry what changed of the upstreams.
    pub(super) fn tell_changes(&mut self, now: Instant) {
        for key in std::mem::take(&mut self.dirty) {
            let (told, event) = self.change_of(now, key);
            self.actions.extend(event.map(Action::Publish));
            if let Some(known) = self.table.get_mut(key) {
                known.told = told;
            }
        }
    }

    /// What is true of an upstream now, and the event that says so if it is news.
    fn change_of(&self, now: Instant, key: UpstreamKey) -> (Told, Option<MembershipEvent>) {
        let Some(known) = self.table.get(key) else {
            return (Told::Nothing, None);
        };
        if let Some(news) = self.usable(now, key) {
            let told = Told::Serving(news.incarnation);
            let event = (known.told != told).then(|| MembershipEvent::Upstream(news.clone()));
            return (told, event);
        }
        let incarnation = known.latest.incarnation();
        if known.latest.is_leaving() {
            let mut records = self.records(key);
            if let Some(news) = records.find(|news| news.incarnation == incarnation) {
                let mut news = news.clone();
                news.state = UpstreamState::Leaving;
                let told = Told::Leaving(incarnation);
                let event = (known.told != told).then_some(MembershipEvent::Upstream(news));
                return (told, event);
            }
        }
        let event = match known.told {
            Told::Nothing => None,
            Told::Serving(incarnation) | Told::Leaving(incarnation) => Some(
                MembershipEvent::UpstreamExpired(Arc::clone(&known.id), incarnation),
            ),
        };
        (Told::Nothing, event)
    }
}
