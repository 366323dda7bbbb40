//! Announcements of executors that a relay passes on.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::leader::{Announcement, BriefAnnouncement};
use crate::state::ExecutorIncarnation;

/// Time after which an unchanged announcement is passed on in full again, in case the leader has
/// forgotten the executor meanwhile.
const FULL_INTERVAL: Duration = Duration::from_secs(5);

/// Announcements that the leader has confirmed over the current connection.
///
/// Only what changes has to be passed on in full; the rest tells the leader that the executor is
/// alive, and needs no reply.
#[derive(Debug, Clone, Default)]
pub struct ConfirmedAnnouncements {
    confirmed: HashMap<Arc<str>, Confirmed>,
}

#[derive(Debug, Clone)]
struct Confirmed {
    incarnation: ExecutorIncarnation,
    leaving: bool,
    at: Duration,
}

impl ConfirmedAnnouncements {
    /// Forgets all announcements, as the connection to the leader has ended.
    pub fn clear(&mut self) {
        self.confirmed.clear();
    }

    /// Records that the leader has confirmed an announcement.
    pub fn confirm(&mut self, now: Duration, announcement: &Announcement) {
        let incarnation = &announcement.incarnation;
        self.confirmed
            .retain(|_, confirmed| now < confirmed.at + FULL_INTERVAL * 2);
        let confirmed = Confirmed {
            incarnation: incarnation.clone(),
            leaving: announcement.leaving,
            at: now,
        };
        self.confirmed
            .insert(Arc::clone(&incarnation.id), confirmed);
    }

    /// Returns the brief form of an announcement that repeats a confirmed one; `None` if it has to
    /// be passed on in full.
    pub fn brief(&self, now: Duration, announcement: &Announcement) -> Option<BriefAnnouncement> {
        let incarnation = &announcement.incarnation;
        let confirmed = self.confirmed.get(&incarnation.id)?;
        let unchanged =
            confirmed.incarnation == *incarnation && confirmed.leaving == announcement.leaving;
        (unchanged && now < confirmed.at + FULL_INTERVAL).then(|| BriefAnnouncement {
            id: Arc::clone(&incarnation.id),
            started_ms: incarnation.started_ms,
            sequence: announcement.sequence,
            clock_ms: announcement.clock_ms,
        })
    }
}
