//! Announcements of upstreams, and the upstreams that take new work.

use std::sync::Arc;
use std::time::Instant;

use masticfield_core::ids::UpstreamKey;
use masticfield_core::membership::{Announcement, MembershipEvent, UpstreamState};

use super::input::AnnouncementRefusal;
use super::message::{MAX_TEXT_BYTES, texts};
use super::peer::Peer;
use super::table::{MAX_UPSTREAMS, Published};
use super::version::UpstreamVersion;
use super::{Action, Defect, Membership};

impl Membership {
    /// Accepts or refuses the announcement of an upstream.
    pub(super) fn announced(&mut self, now: Instant, announcement: Announcement) {
        let action = match self.accept(now, announcement) {
            Ok(()) => Action::Accept {
                again_in: self.timing.announce_interval(),
            },
            Err(refusal) => Action::Refuse(refusal),
        };
        self.actions.push(action);
    }

    fn accept(
        &mut self,
        now: Instant,
        announcement: Announcement,
    ) -> Result<(), AnnouncementRefusal> {
        let limit = MAX_TEXT_BYTES;
        if texts(&announcement)
            .iter()
            .any(|text| text.is_empty() || text.len() > limit)
        {
            return Err(AnnouncementRefusal::InvalidText { limit });
        }
        let limit = MAX_UPSTREAMS;
        let key = self
            .table
            .intern(&announcement.id, now)
            .ok_or(AnnouncementRefusal::Full { limit })?;
        let (version, latest) = (UpstreamVersion::from(&announcement), self.table.latest(key));
        if version < latest && self.defect != Defect::LastUpdateWins {
            let known = latest.incarnation();
            return Err(AnnouncementRefusal::Stale { known });
        }
        let known = self
            .records(key)
            .find(|known| UpstreamVersion::from(*known) == version);
        if known.is_some_and(|known| *known != announcement) {
            return Err(AnnouncementRefusal::Changed);
        }
        self.store(now, key, announcement);
        Ok(())
    }

    /// Holds an announcement here, or refreshes it at the live peer that holds the upstream.
    fn store(&mut self, now: Instant, key: UpstreamKey, announcement: Announcement) {
        if self.local.get(key) == Some(&announcement) {
            self.local.refresh(key, now);
            return;
        }
        let ttl = self.timing.confirmation_ttl();
        let holder = self.peers.values_mut().find(|peer| {
            let confirmed = peer.is_live() && peer.shard.is_confirmed(now, ttl);
            confirmed && peer.shard.get(key) == Some(&announcement)
        });
        if let Some(peer) = holder {
            if let Some(revision) = peer.shard.revision_of(key) {
                peer.queue_refresh(revision, now);
            }
            return;
        }
        self.record_version(key, UpstreamVersion::from(&announcement));
        let leaves = announcement.state == UpstreamState::Leaving;
        self.local.insert(key, announcement, now);
        self.dirty.insert(key);
        if leaves {
            self.queue_leaving();
        }
    }

    /// Records a version of an upstream, and updates or removes the local record if it is older.
    pub(super) fn record_version(&mut self, key: UpstreamKey, version: UpstreamVersion) {
        let Some(known) = self.table.get_mut(key) else {
            return;
        };
        if version <= known.latest && self.defect != Defect::LastUpdateWins {
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
            self.local.remove(key);
        }
    }

    /// Queues the last local change, an upstream that leaves, for every peer.
    fn queue_leaving(&mut self) {
        let revision = self.local.revision();
        self.new_leaving.push(revision);
        for peer in self.peers.values_mut() {
            peer.stream.leaving.insert(revision);
        }
    }

    /// Removes local upstreams that have not announced themselves in time.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        for key in self.local.expired(now, self.timing.holder_ttl()) {
            self.local.remove(key);
            self.dirty.insert(key);
        }
    }

    /// Marks the upstreams of peers whose confirmation has expired.
    pub(super) fn update_confirmations(&mut self, now: Instant) {
        let ttl = self.timing.confirmation_ttl();
        for peer in self.peers.values_mut() {
            if peer.shard.update_confirmed(now, ttl) {
                self.dirty.extend(peer.shard.keys());
            }
            let expired = peer.previous.take_if(|shard| !shard.is_confirmed(now, ttl));
            if let Some(shard) = expired {
                self.dirty.extend(shard.keys());
            }
        }
    }

    /// The announcement under which an upstream takes new work.
    ///
    /// It must be of the latest version, and held here or by a peer that has confirmed it.
    pub(super) fn usable(&self, now: Instant, key: UpstreamKey) -> Option<&Announcement> {
        let latest = self.table.latest(key);
        if latest.is_leaving() {
            return None;
        }
        let current = |announcement: &&Announcement| UpstreamVersion::from(*announcement) == latest;
        let held = self.local.get(key).filter(current);
        let ttl = self.timing.confirmation_ttl();
        let endless = self.defect == Defect::ConfirmForever;
        let shards = self.peers.values().flat_map(Peer::shards);
        let confirmed = shards.filter(|shard| endless || shard.is_confirmed(now, ttl));
        held.or_else(|| confirmed.filter_map(|shard| shard.get(key)).find(current))
    }

    /// All announcements of an upstream, held here or by peers.
    fn records(&self, key: UpstreamKey) -> impl Iterator<Item = &Announcement> {
        let shards = self.peers.values().flat_map(Peer::shards);
        let remote = shards.filter_map(move |shard| shard.get(key));
        self.local.get(key).into_iter().chain(remote)
    }

    /// Publishes the changes of upstreams in this step to the other parts of the entry.
    pub(super) fn publish_changes(&mut self, now: Instant) {
        for key in std::mem::take(&mut self.dirty) {
            let (published, event) = self.change_of(now, key);
            self.actions.extend(event.map(Action::Publish));
            if let Some(known) = self.table.get_mut(key) {
                known.published = published;
            }
        }
    }

    /// The present state of an upstream, with an event if it differs from the published one.
    fn change_of(&self, now: Instant, key: UpstreamKey) -> (Published, Option<MembershipEvent>) {
        let Some(known) = self.table.get(key) else {
            return (Published::Nothing, None);
        };
        if let Some(announcement) = self.usable(now, key) {
            let published = Published::Serving(announcement.incarnation);
            let event = (known.published != published)
                .then(|| MembershipEvent::Upstream(announcement.clone()));
            return (published, event);
        }
        let incarnation = known.latest.incarnation();
        if known.latest.is_leaving() {
            let mut records = self.records(key);
            if let Some(announcement) = records.find(|record| record.incarnation == incarnation) {
                let mut announcement = announcement.clone();
                announcement.state = UpstreamState::Leaving;
                let published = Published::Leaving(incarnation);
                let event = (known.published != published)
                    .then_some(MembershipEvent::Upstream(announcement));
                return (published, event);
            }
        }
        let event = match known.published {
            Published::Nothing => None,
            Published::Serving(incarnation) | Published::Leaving(incarnation) => Some(
                MembershipEvent::UpstreamExpired(Arc::clone(&known.id), incarnation),
            ),
        };
        (Published::Nothing, event)
    }
}
