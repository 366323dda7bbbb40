//! Latest versions of all upstreams, whichever entry holds them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::ids::{Incarnation, UpstreamKey};
use slotmap::SlotMap;

use super::version::UpstreamVersion;

/// Maximum number of upstreams known at once.
pub const MAX_UPSTREAMS: usize = 10_000;

/// The latest version of each upstream.
///
/// Versions outlive the records of their upstreams, so that a late message cannot bring back an
/// earlier incarnation.
#[derive(Debug, Default)]
pub(super) struct VersionTable {
    upstreams: SlotMap<UpstreamKey, KnownUpstream>,
    by_id: HashMap<Arc<str>, UpstreamKey>,
}

/// An upstream in the table.
#[derive(Debug)]
pub(super) struct KnownUpstream {
    pub(super) id: Arc<str>,
    pub(super) latest: UpstreamVersion,
    pub(super) published: Published,
    last_mention: Instant,
}

/// What was last published about an upstream to the other parts of the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Published {
    Nothing,
    Serving(Incarnation),
    Leaving(Incarnation),
}

impl VersionTable {
    /// The key of an upstream, which is added if it is unknown; `None` if the table is full.
    pub(super) fn intern(&mut self, id: &Arc<str>, now: Instant) -> Option<UpstreamKey> {
        if let Some(key) = self.by_id.get(id).copied() {
            self.upstreams[key].last_mention = now;
            return Some(key);
        }
        if self.upstreams.len() >= MAX_UPSTREAMS {
            return None;
        }
        let key = self.upstreams.insert(KnownUpstream {
            id: Arc::clone(id),
            latest: UpstreamVersion::default(),
            published: Published::Nothing,
            last_mention: now,
        });
        self.by_id.insert(Arc::clone(id), key);
        Some(key)
    }

    /// The upstream with a key.
    pub(super) fn get(&self, key: UpstreamKey) -> Option<&KnownUpstream> {
        self.upstreams.get(key)
    }

    /// The upstream with a key, mutably.
    pub(super) fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut KnownUpstream> {
        self.upstreams.get_mut(key)
    }

    /// The key of the upstream with an identifier.
    pub(super) fn key_of(&self, id: &str) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// The latest version of an upstream; the lowest one if the upstream is unknown.
    pub(super) fn latest(&self, key: UpstreamKey) -> UpstreamVersion {
        self.get(key).map(|known| known.latest).unwrap_or_default()
    }

    /// The keys of all upstreams.
    pub(super) fn keys(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.upstreams.keys()
    }

    /// Removes the upstreams that were not mentioned for `max_age`.
    ///
    /// Those that are published as present, and those for which `keep` returns `true`, stay.
    pub(super) fn expire(
        &mut self,
        now: Instant,
        max_age: Duration,
        keep: impl Fn(UpstreamKey) -> bool,
    ) {
        let by_id = &mut self.by_id;
        self.upstreams.retain(|key, known| {
            let recent = now.saturating_duration_since(known.last_mention) < max_age;
            let stays = recent || known.published != Published::Nothing || keep(key);
            if !stays {
                by_id.remove(&known.id);
            }
            stays
        });
    }
}
