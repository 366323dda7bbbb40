//! What the leader knows of entries and, through them, of upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::membership::{Announcement, EntryInfo};
use masticfield_core::operator::{EntryRow, RolloutStatus, UpstreamRow};
use parking_lot::Mutex;

/// Entries with their leases, and upstreams as entries report them; soft state.
#[derive(Debug, Clone, Default)]
pub(crate) struct EntryRegistry(Arc<Mutex<Known>>);

#[derive(Debug, Default)]
struct Known {
    entries: BTreeMap<EntryId, KnownEntry>,
    upstreams: BTreeMap<Arc<str>, Announcement>,
    accepted_at: BTreeMap<u64, Instant>,
    in_force_after: BTreeMap<u64, Duration>,
}

#[derive(Debug)]
struct KnownEntry {
    info: EntryInfo,
    version: u64,
    lease_ends: Instant,
}

impl EntryRegistry {
    /// Notes that an entry serves `version` under a lease of `ttl`.
    pub(crate) fn renew(&self, info: &EntryInfo, version: u64, ttl: Duration) {
        let lease_ends = Instant::now() + ttl;
        let entry = KnownEntry {
            info: info.clone(),
            version,
            lease_ends,
        };
        self.0.lock().entries.insert(info.id, entry);
        self.note_in_force();
    }

    /// Notes that a release note was accepted.
    pub(crate) fn accepted(&self, number: u64) {
        self.0
            .lock()
            .accepted_at
            .entry(number)
            .or_insert_with(Instant::now);
    }

    /// Notes what an entry reports of upstreams.
    pub(crate) fn report(&self, changed: Vec<Announcement>, expired: &[(Arc<str>, Incarnation)]) {
        let known = &mut *self.0.lock();
        for announcement in changed {
            let id = Arc::clone(&announcement.id);
            let newer = known
                .upstreams
                .get(&id)
                .is_some_and(|old| old.incarnation > announcement.incarnation);
            if !newer {
                known.upstreams.insert(id, announcement);
            }
        }
        for (id, incarnation) in expired {
            if known
                .upstreams
                .get(id)
                .is_some_and(|known| known.incarnation <= *incarnation)
            {
                known.upstreams.remove(id);
            }
        }
    }

    /// How far the roll-out of a note is.
    pub(crate) fn rollout(&self, number: u64) -> RolloutStatus {
        let known = self.0.lock();
        let (acknowledged, pending) = known.split(number);
        RolloutStatus {
            number,
            in_force: pending.is_empty(),
            in_force_after_ms: known
                .in_force_after
                .get(&number)
                .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
            acknowledged,
            pending,
        }
    }

    /// The entries that hold a lease.
    pub(crate) fn entry_rows(&self) -> Vec<EntryRow> {
        let known = self.0.lock();
        let live = known.live();
        live.map(|entry| EntryRow {
            entry: entry.info.id,
            zone: Arc::clone(&entry.info.zone),
            version: entry.version,
        })
        .collect()
    }

    /// The upstreams that entries report.
    pub(crate) fn upstream_rows(&self) -> Vec<UpstreamRow> {
        let known = self.0.lock();
        let upstreams = known.upstreams.values();
        upstreams
            .map(|upstream| UpstreamRow {
                upstream: Arc::clone(&upstream.id),
                service: Arc::clone(&upstream.service),
                host: Arc::clone(&upstream.host),
                zone: Arc::clone(&upstream.zone),
                address: upstream.address,
                slots: upstream.slots,
                state: if upstream.state.takes_new_work() {
                    "serving"
                } else {
                    "leaving"
                }
                .into(),
            })
            .collect()
    }

    fn note_in_force(&self) {
        let known = &mut *self.0.lock();
        let Some((&number, &at)) = known.accepted_at.last_key_value() else {
            return;
        };
        if known.split(number).1.is_empty() {
            known
                .in_force_after
                .entry(number)
                .or_insert_with(|| at.elapsed());
        }
    }
}

impl Known {
    fn live(&self) -> impl Iterator<Item = &KnownEntry> {
        let now = Instant::now();
        self.entries
            .values()
            .filter(move |entry| entry.lease_ends > now)
    }

    /// The live entries that serve `number` or later, and those that do not yet.
    fn split(&self, number: u64) -> (Vec<EntryId>, Vec<EntryId>) {
        let (served, pending): (Vec<_>, Vec<_>) =
            self.live().partition(|entry| entry.version >= number);
        let ids = |entries: Vec<&KnownEntry>| entries.iter().map(|entry| entry.info.id).collect();
        (ids(served), ids(pending))
    }
}
