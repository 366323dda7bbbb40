//! The upstreams that this entry holds.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::ids::UpstreamKey;
use masticfield_core::membership::{Announcement, UpstreamState};

use super::message::{Change, HeldUpstream, ITEM_BYTES, LeavingUpstream, Page};

/// Upstreams in the order of their last change.
#[derive(Debug, Default)]
pub(super) struct LocalShard {
    revision: u64,
    items: BTreeMap<u64, Item>,
    by_key: HashMap<UpstreamKey, u64>,
}

#[derive(Debug)]
struct Item {
    key: UpstreamKey,
    held: HeldUpstream,
    refreshed: Instant,
}

impl LocalShard {
    /// Revision after the last change.
    pub(super) const fn revision(&self) -> u64 {
        self.revision
    }

    /// The announcement of an upstream that is held.
    pub(super) fn get(&self, key: UpstreamKey) -> Option<&Announcement> {
        match &self.items.get(self.by_key.get(&key)?)?.held {
            HeldUpstream::Known(news) => Some(news),
            HeldUpstream::Dropped(_) => None,
        }
    }

    /// Holds an upstream, announced at `refreshed`.
    pub(super) fn hold(&mut self, key: UpstreamKey, news: Announcement, refreshed: Instant) {
        self.change(key, HeldUpstream::Known(news), refreshed);
    }

    /// Holds an upstream no longer.
    pub(super) fn release(&mut self, key: UpstreamKey) {
        let Some(item) = self.by_key.get(&key).and_then(|at| self.items.get(at)) else {
            return;
        };
        if let HeldUpstream::Known(news) = &item.held {
            let (id, refreshed) = (Arc::clone(&news.id), item.refreshed);
            self.change(key, HeldUpstream::Dropped(id), refreshed);
        }
    }

    /// Marks an upstream that is held as leaving; returns whether that is news.
    pub(super) fn mark_leaving(&mut self, key: UpstreamKey) -> bool {
        let Some(revision) = self.by_key.get(&key) else {
            return false;
        };
        let item = &self.items[revision];
        let HeldUpstream::Known(news) = &item.held else {
            return false;
        };
        if item.held.is_leaving() {
            return false;
        }
        let refreshed = item.refreshed;
        let mut news = news.clone();
        news.state = UpstreamState::Leaving;
        self.hold(key, news, refreshed);
        true
    }

    /// Notes that an upstream that is held announced itself.
    pub(super) fn refresh(&mut self, key: UpstreamKey, refreshed: Instant) {
        if let Some(revision) = self.by_key.get(&key).copied() {
            self.refresh_revision(revision, refreshed);
        }
    }

    /// Notes that the upstream of `revision` announced itself, if it has not changed since.
    pub(super) fn refresh_revision(&mut self, revision: u64, refreshed: Instant) {
        if let Some(item) = self.items.get_mut(&revision) {
            item.refreshed = item.refreshed.max(refreshed);
        }
    }

    /// The upstreams that did not announce themselves within `hold`.
    pub(super) fn overdue(&self, now: Instant, hold: Duration) -> Vec<UpstreamKey> {
        let known = self.items.values().filter(|item| item.is_known());
        let overdue = known.filter(|item| now.saturating_duration_since(item.refreshed) >= hold);
        overdue.map(|item| item.key).collect()
    }

    /// Forgets the drops up to a revision that every peer knows.
    pub(super) fn prune(&mut self, acknowledged: u64) {
        let dropped = self.items.range(..=acknowledged);
        let dropped: Vec<_> = dropped
            .filter(|(_, item)| !item.is_known())
            .map(|(revision, item)| (*revision, item.key))
            .collect();
        for (revision, key) in dropped {
            self.items.remove(&revision);
            self.by_key.remove(&key);
        }
    }

    /// The page that follows `base` in a stream.
    pub(super) fn page(&self, stream: u32, base: u64) -> Page {
        let mut page = Page {
            stream,
            base,
            upto: self.revision,
            changes: Vec::new(),
        };
        let mut room = ITEM_BYTES;
        for (revision, item) in self.items.range(base + 1..) {
            let size = item.held.size_bound();
            if size > room {
                page.upto = page.changes.last().map_or(base, |change| change.revision);
                return page;
            }
            room -= size;
            page.changes.push(Change {
                revision: *revision,
                held: item.held.clone(),
            });
        }
        page
    }

    /// The revisions of leaving upstreams after `base`.
    pub(super) fn leaving_after(&self, base: u64) -> impl Iterator<Item = u64> + '_ {
        let changed = self.items.range(base + 1..);
        changed
            .filter(|(_, item)| item.held.is_leaving())
            .map(|(revision, _)| *revision)
    }

    /// The leaving upstream of a revision, if it has not changed since.
    pub(super) fn leaving(&self, revision: u64) -> Option<LeavingUpstream> {
        let item = self.items.get(&revision)?;
        match &item.held {
            HeldUpstream::Known(news) if item.held.is_leaving() => Some(LeavingUpstream {
                revision,
                id: Arc::clone(&news.id),
                incarnation: news.incarnation,
            }),
            _ => None,
        }
    }

    /// Whether anything, held or dropped, is kept of an upstream.
    pub(super) fn mentions(&self, key: UpstreamKey) -> bool {
        self.by_key.contains_key(&key)
    }

    fn change(&mut self, key: UpstreamKey, held: HeldUpstream, refreshed: Instant) {
        self.revision += 1;
        if let Some(before) = self.by_key.insert(key, self.revision) {
            self.items.remove(&before);
        }
        let item = Item {
            key,
            held,
            refreshed,
        };
        self.items.insert(self.revision, item);
    }
}

impl Item {
    const fn is_known(&self) -> bool {
        matches!(self.held, HeldUpstream::Known(_))
    }
}
