//! Times at which hosts were last claimed, as observed by a replica.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::state::Command;

/// Times at which hosts were last claimed by any leader, as observed by a replica.
///
/// A leader sends requests about a host to the platform only between a claim and its removal, and
/// both are in the log. A replica that has followed the log therefore knows for which hosts a
/// former leader cannot have sent recent requests, and need not wait for that leader's lease at
/// the platform.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use masticfield_jobs::leader::ClaimWatch;
///
/// let watch = ClaimWatch::new(Duration::from_secs(5));
/// // Before the watch began, any host may have been claimed.
/// assert_eq!(watch.last_claim(&"h1".into()), Duration::from_secs(5));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimWatch {
    since: Duration,
    last: BTreeMap<Arc<str>, Duration>,
}

impl ClaimWatch {
    /// Creates a watch that begins at `since` on the local monotonic clock.
    pub const fn new(since: Duration) -> Self {
        Self {
            since,
            last: BTreeMap::new(),
        }
    }

    /// Records a command that is applied at `now`; commands other than claims have no effect.
    pub fn record(&mut self, now: Duration, command: &Command) {
        if let Command::Claim { host, .. } | Command::Unclaim { host } = command {
            self.last.insert(Arc::clone(host), now);
        }
    }

    /// Returns the latest time at which a host was or may have been claimed.
    pub fn last_claim(&self, host: &Arc<str>) -> Duration {
        let last = self.last.get(host).copied().unwrap_or_default();
        last.max(self.since)
    }
}
