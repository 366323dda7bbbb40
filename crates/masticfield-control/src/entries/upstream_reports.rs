//! The upstreams that entries report to the leader.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticfield_core::ids::Incarnation;
use masticfield_core::membership::Announcement;
use masticfield_core::operator::UpstreamRow;
use parking_lot::Mutex;

/// The latest report of each upstream; not replicated.
#[derive(Debug, Clone, Default)]
pub(crate) struct UpstreamReports(Arc<Mutex<UpstreamTable>>);

#[derive(Debug, Default)]
struct UpstreamTable {
    upstreams: BTreeMap<Arc<str>, Announcement>,
}

impl UpstreamReports {
    /// Records a report of an entry; reports of earlier incarnations are ignored.
    pub(crate) fn record(&self, changed: Vec<Announcement>, expired: &[(Arc<str>, Incarnation)]) {
        let table = &mut *self.0.lock();
        for announcement in changed {
            let id = Arc::clone(&announcement.id);
            let has_newer = table
                .upstreams
                .get(&id)
                .is_some_and(|known| known.incarnation > announcement.incarnation);
            if !has_newer {
                table.upstreams.insert(id, announcement);
            }
        }
        for (id, incarnation) in expired {
            if table
                .upstreams
                .get(id)
                .is_some_and(|known| known.incarnation <= *incarnation)
            {
                table.upstreams.remove(id);
            }
        }
    }

    /// The reported upstreams, sorted by identifier.
    pub(crate) fn upstream_rows(&self) -> Vec<UpstreamRow> {
        let table = self.0.lock();
        let upstreams = table.upstreams.values();
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
