//! Time since hosts were last claimed, on a clock that all leaders share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time for which the last claim of a host is kept; longer than any leader's lease at the platform.
const RETENTION_MS: u64 = 60_000;

/// Times at which hosts were last claimed, on a clock that all leaders share.
///
/// Wall clocks differ between replicas, and monotonic ones start anew with the machine. Each leader
/// therefore commits how much time has passed on its own monotonic clock. The sum leaves out the
/// time without a leader, so that an age on this clock is never above the real one.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use masticfield_jobs::state::{Command, HostClaim, State};
///
/// let mut state = State::default();
/// let claim = HostClaim::Move { pool: "p".into() };
/// state.apply(Command::Claim { host: "h1".into(), claim, executor: None });
/// // The host was claimed at some time before the leader has measured a second.
/// state.apply(Command::Elapsed { ms: 1_000 });
/// state.apply(Command::Elapsed { ms: 500 });
/// assert_eq!(state.claim_times().least_age(&"h1".into()), Duration::from_millis(500));
/// assert_eq!(state.claim_times().least_age(&"h2".into()), Duration::from_millis(1_500));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTimes {
    /// Time that leaders have measured so far.
    elapsed_ms: u64,
    /// Hosts that were claimed since that time was last increased.
    recent: BTreeSet<Arc<str>>,
    /// Measured time by which each other host was last claimed.
    last_ms: BTreeMap<Arc<str>, u64>,
}

impl ClaimTimes {
    /// Returns the least time that has passed since a claim of a host last began or ended.
    ///
    /// A host whose claims are not known counts as claimed when the measurement began.
    pub fn least_age(&self, host: &Arc<str>) -> Duration {
        if self.recent.contains(host) {
            return Duration::ZERO;
        }
        let age_ms = self.last_ms.get(host).map_or_else(
            || self.elapsed_ms.min(RETENTION_MS),
            |last_ms| self.elapsed_ms.saturating_sub(*last_ms),
        );
        Duration::from_millis(age_ms)
    }

    /// Returns whether any host was or may have been claimed less than `age` ago.
    pub(crate) fn any_since(&self, age: Duration) -> bool {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let is_recent = |last_ms: &u64| self.elapsed_ms.saturating_sub(*last_ms) < age_ms;
        self.elapsed_ms < age_ms || !self.recent.is_empty() || self.last_ms.values().any(is_recent)
    }

    /// Records that a claim of a host begins or ends.
    pub(super) fn record(&mut self, host: &Arc<str>) {
        self.last_ms.remove(host);
        self.recent.insert(Arc::clone(host));
    }

    /// Records that time has passed on the leader's clock. Claims since the last call may have been
    /// made at any time until now.
    pub(super) fn advance(&mut self, ms: u64) {
        self.elapsed_ms = self.elapsed_ms.saturating_add(ms);
        let elapsed_ms = self.elapsed_ms;
        let recent = std::mem::take(&mut self.recent);
        self.last_ms
            .extend(recent.into_iter().map(|host| (host, elapsed_ms)));
        self.last_ms
            .retain(|_, last_ms| elapsed_ms - *last_ms < RETENTION_MS);
    }
}
