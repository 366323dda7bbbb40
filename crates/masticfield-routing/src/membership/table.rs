//! What is known of each upstream, whoever holds it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::ids::{Incarnation, UpstreamKey};
use slotmap::SlotMap;

use super::version::UpstreamVersion;

/// Most upstreams that are known at once.
pub const MAX_UPSTREAMS: usize = 10_000;

/// The latest version of each upstream, which outlives its records.
#[derive(Debug, Default)]
pub(super) struct VersionTable {
    upstreams: SlotMap<UpstreamKey, KnownUpstream>,
    by_id: HashMap<Arc<str>, UpstreamKey>,
}

/// What is known of an upstream.
#[derive(Debug)]
pub(super) struct KnownUpstream {
    pub(super) id: Arc<str>,
    pub(super) latest: UpstreamVersion,
    pub(super) told: Told,
    mentioned: Instant,
}

/// What the other parts of the entry were told last of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Told {
    Nothing,
    Serving(Incarnation),
    Leaving(Incarnation),
}

impl VersionTable {
    /// The key of an upstream, which becomes known; none if no more are kept.
    pub(super) fn intern(&mut self, id: &Arc<str>, now: Instant) -> Option<UpstreamKey> {
        if let Some(key) = self.by_id.get(id).copied() {
            self.upstreams[key].mentioned = now;
            return Some(key);
        }
        if self.upstreams.len() >= MAX_UPSTREAMS {
            return None;
        }
        let key = self.upstreams.insert(KnownUpstream {
            id: Arc::clone(id),
            latest: UpstreamVersion::default(),
            told: Told::Nothing,
            mentioned: now,
        });
        self.by_id.insert(Arc::clone(id), key);
        Some(key)
    }

    /// What is known under a key.
    pub(super) fn get(&self, key: UpstreamKey) -> Option<&KnownUpstream> {
        self.upstreams.get(key)
    }

    /// What is known under a key, to change it.
    pub(super) fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut KnownUpstream> {
        self.upstreams.get_mut(key)
    }

    /// The key of an upstream.
    pub(super) fn key_of(&self, id: &str) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// The latest version of an upstream.
    pub(super) fn latest(&self, key: UpstreamKey) -> UpstreamVersion {
        self.get(key).map(|known| known.latest).unwrap_or_default()
    }

    /// The keys of all upstreams.
    pub(super) fn keys(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.upstreams.keys()
    }

    /// Forgets the upstreams that were not mentioned for `forget`, unless `keep` says no.
    pub(super) fn forget(
        &mut self,
        now: Instant,
        forget: Duration,
        keep: impl Fn(UpstreamKey) -> bool,
    ) {
        let by_id = &mut self.by_id;
        self.upstreams.retain(|key, known| {
            let recent = now.saturating_duration_since(known.mentioned) < forget;
            let stays = recent || known.told != Told::Nothing || keep(key);
            if !stays {
                by_id.remove(&known.id);
            }
            stays
        });
    }
}
