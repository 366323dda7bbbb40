//! When hosts were last claimed by any leader, as a replica has seen it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::state::Command;

/// When hosts were last claimed by any leader, as a replica has seen it.
///
/// A leader asks the platform about a host only between a claim and its end, and both are in the
/// log. A replica that has followed the log therefore knows which hosts a former leader cannot
/// have asked about of late, and need not wait for that leader's lease at the platform.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use masticfield_jobs::leader::ClaimWatch;
///
/// let watch = ClaimWatch::new(Duration::from_secs(5));
/// // Before it began to watch, anything may have been claimed.
/// assert_eq!(watch.last_claim(&"h1".into()), Duration::from_secs(5));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimWatch {
    since: Duration,
    last: BTreeMap<Arc<str>, Duration>,
}

impl ClaimWatch {
    /// Begins to watch at a moment of the own clock.
    pub const fn new(since: Duration) -> Self {
        Self {
            since,
            last: BTreeMap::new(),
        }
    }

    /// Notes a command that was applied now.
    pub fn record(&mut self, now: Duration, command: &Command) {
        if let Command::Claim { host, .. } | Command::Unclaim { host } = command {
            self.last.insert(Arc::clone(host), now);
        }
    }

    /// When a host was last claimed, or may have been.
    pub fn last_claim(&self, host: &Arc<str>) -> Duration {
        let last = self.last.get(host).copied().unwrap_or_default();
        last.max(self.since)
    }
}
