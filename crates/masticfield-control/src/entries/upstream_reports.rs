//! What the leader knows of upstreams through entries.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticfield_core::ids::Incarnation;
use masticfield_core::membership::Announcement;
use masticfield_core::operator::UpstreamRow;
use parking_lot::Mutex;

/// Upstreams as entries report them; soft state.
#[derive(Debug, Clone, Default)]
pub(crate) struct UpstreamReports(Arc<Mutex<Known>>);

#[derive(Debug, Default)]
struct Known {
    upstreams: BTreeMap<Arc<str>, Announcement>,
}

impl UpstreamReports {
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
}
