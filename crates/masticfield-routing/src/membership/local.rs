//! Upstreams held by this entry.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::ids::UpstreamKey;
use masticfield_core::membership::{Announcement, UpstreamState};

use super::message::{Change, ITEM_BYTES, LeavingUpstream, Page, UpstreamRecord};

/// The upstreams held by this entry, ordered by the revision of their last change.
#[derive(Debug, Default)]
pub(super) struct LocalShard {
    revision: u64,
    items: BTreeMap<u64, Item>,
    by_key: HashMap<UpstreamKey, u64>,
}

#[derive(Debug)]
struct Item {
    key: UpstreamKey,
    record: UpstreamRecord,
    refreshed: Instant,
}

impl LocalShard {
    /// Revision of the last change; 0 before the first.
    pub(super) const fn revision(&self) -> u64 {
        self.revision
    }

    /// The announcement of an upstream; `None` if it is not held here.
    pub(super) fn get(&self, key: UpstreamKey) -> Option<&Announcement> {
        match &self.items.get(self.by_key.get(&key)?)?.record {
            UpstreamRecord::Announced(announcement) => Some(announcement),
            UpstreamRecord::Removed(_) => None,
        }
    }

    /// Inserts or replaces an upstream that announced itself at `refreshed`.
    pub(super) fn insert(
        &mut self,
        key: UpstreamKey,
        announcement: Announcement,
        refreshed: Instant,
    ) {
        self.put(key, UpstreamRecord::Announced(announcement), refreshed);
    }

    /// Removes an upstream; peers are sent the removal as a change.
    pub(super) fn remove(&mut self, key: UpstreamKey) {
        let Some(item) = self.by_key.get(&key).and_then(|at| self.items.get(at)) else {
            return;
        };
        if let UpstreamRecord::Announced(announcement) = &item.record {
            let (id, refreshed) = (Arc::clone(&announcement.id), item.refreshed);
            self.put(key, UpstreamRecord::Removed(id), refreshed);
        }
    }

    /// Marks an upstream as leaving; returns whether its record has changed.
    pub(super) fn mark_leaving(&mut self, key: UpstreamKey) -> bool {
        let Some(revision) = self.by_key.get(&key) else {
            return false;
        };
        let item = &self.items[revision];
        let UpstreamRecord::Announced(announcement) = &item.record else {
            return false;
        };
        if item.record.is_leaving() {
            return false;
        }
        let refreshed = item.refreshed;
        let mut announcement = announcement.clone();
        announcement.state = UpstreamState::Leaving;
        self.insert(key, announcement, refreshed);
        true
    }

    /// Records that an upstream announced itself again, unchanged.
    pub(super) fn refresh(&mut self, key: UpstreamKey, refreshed: Instant) {
        if let Some(revision) = self.by_key.get(&key).copied() {
            self.refresh_revision(revision, refreshed);
        }
    }

    /// Records that the upstream at `revision` announced itself; ignored if it changed since.
    pub(super) fn refresh_revision(&mut self, revision: u64, refreshed: Instant) {
        if let Some(item) = self.items.get_mut(&revision) {
            item.refreshed = item.refreshed.max(refreshed);
        }
    }

    /// The upstreams that have not announced themselves for `ttl`.
    pub(super) fn expired(&self, now: Instant, ttl: Duration) -> Vec<UpstreamKey> {
        let announced = self.items.values().filter(|item| item.is_announced());
        let expired = announced.filter(|item| now.saturating_duration_since(item.refreshed) >= ttl);
        expired.map(|item| item.key).collect()
    }

    /// Discards the records of removals up to a revision that every peer has acknowledged.
    pub(super) fn prune(&mut self, acknowledged: u64) {
        let removed = self.items.range(..=acknowledged);
        let removed: Vec<_> = removed
            .filter(|(_, item)| !item.is_announced())
            .map(|(revision, item)| (*revision, item.key))
            .collect();
        for (revision, key) in removed {
            self.items.remove(&revision);
            self.by_key.remove(&key);
        }
    }

    /// The page of changes after revision `base`, as many as fit into a message.
    pub(super) fn page(&self, stream: u32, base: u64) -> Page {
        let mut page = Page {
            stream,
            base,
            upto: self.revision,
            changes: Vec::new(),
        };
        let mut capacity = ITEM_BYTES;
        for (revision, item) in self.items.range(base + 1..) {
            let size = item.record.size_bound();
            if size > capacity {
                page.upto = page.changes.last().map_or(base, |change| change.revision);
                return page;
            }
            capacity -= size;
            page.changes.push(Change {
                revision: *revision,
                record: item.record.clone(),
            });
        }
        page
    }

    /// The revisions after `base` at which an upstream is leaving.
    pub(super) fn leaving_after(&self, base: u64) -> impl Iterator<Item = u64> + '_ {
        let changed = self.items.range(base + 1..);
        changed
            .filter(|(_, item)| item.record.is_leaving())
            .map(|(revision, _)| *revision)
    }

    /// The leaving upstream at `revision`; `None` if it has changed since.
    pub(super) fn leaving(&self, revision: u64) -> Option<LeavingUpstream> {
        let item = self.items.get(&revision)?;
        match &item.record {
            UpstreamRecord::Announced(announcement) if item.record.is_leaving() => {
                Some(LeavingUpstream {
                    revision,
                    id: Arc::clone(&announcement.id),
                    incarnation: announcement.incarnation,
                })
            }
            _ => None,
        }
    }

    /// Whether there is a record of an upstream, even if only of its removal.
    pub(super) fn contains(&self, key: UpstreamKey) -> bool {
        self.by_key.contains_key(&key)
    }

    fn put(&mut self, key: UpstreamKey, record: UpstreamRecord, refreshed: Instant) {
        self.revision += 1;
        if let Some(before) = self.by_key.insert(key, self.revision) {
            self.items.remove(&before);
        }
        let item = Item {
            key,
            record,
            refreshed,
        };
        self.items.insert(self.revision, item);
    }
}

impl Item {
    const fn is_announced(&self) -> bool {
        matches!(self.record, UpstreamRecord::Announced(_))
    }
}
