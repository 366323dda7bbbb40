//! Hysteresis for hosts that fail and recover repeatedly.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{HostHealth, Observation};

/// Time for which a host must stay healthy after its first failure to count as recovered.
const INITIAL_HOLD_DOWN: Duration = Duration::from_secs(30);

/// Upper limit of the time for which a host must stay healthy to count as recovered.
const MAX_HOLD_DOWN: Duration = Duration::from_hours(1);

/// Time after the last failure at which the failures of a recovered host are forgotten.
const FORGET_AFTER: Duration = Duration::from_hours(6);

/// Delays the recovery of hosts that fail repeatedly.
///
/// A failure takes effect immediately. A host that is reported healthy again still counts as
/// failed until it has stayed healthy for a hold-down time, which doubles with each failure.
#[derive(Debug, Clone, Default)]
pub struct FlapDamper {
    hosts: BTreeMap<Arc<str>, FlapState>,
}

#[derive(Debug, Clone, Copy)]
struct FlapState {
    failures: u32,
    last_failed_at: Duration,
    held_down: bool,
    healthy_since: Option<Duration>,
}

impl FlapDamper {
    /// Creates a damper without any recorded failure.
    pub fn new() -> Self {
        Self::default()
    }

    /// Hosts that have failed or whose recovery is delayed.
    pub fn flapping(&self) -> impl Iterator<Item = &Arc<str>> {
        self.hosts
            .iter()
            .filter(|(_, flap)| flap.held_down)
            .map(|(host, _)| host)
    }

    /// Records the failures observed at `now`, and reports hosts in hold-down as failed.
    pub fn apply(&mut self, now: Duration, observation: &mut Observation) {
        for host in &mut observation.hosts {
            let failed = host.health == HostHealth::Failed;
            if failed {
                self.record_failure(&host.host, now);
            } else if let Some(flap) = self.hosts.get_mut(&host.host)
                && flap.update_hold_down(now, host.health)
            {
                host.health = HostHealth::Failed;
            }
        }
        self.hosts
            .retain(|_, flap| flap.held_down || now < flap.last_failed_at + FORGET_AFTER);
    }

    fn record_failure(&mut self, host: &Arc<str>, now: Duration) {
        let flap = self.hosts.entry(Arc::clone(host)).or_insert(FlapState {
            failures: 0,
            last_failed_at: now,
            held_down: false,
            healthy_since: None,
        });
        if !flap.held_down || flap.healthy_since.is_some() {
            flap.failures += 1;
        }
        flap.held_down = true;
        flap.last_failed_at = now;
        flap.healthy_since = None;
    }
}

impl FlapState {
    /// Updates the hold-down with the reported health and returns whether it continues.
    fn update_hold_down(&mut self, now: Duration, health: HostHealth) -> bool {
        if !self.held_down {
            return false;
        }
        if health != HostHealth::Healthy {
            self.healthy_since = None;
            return true;
        }
        let since = *self.healthy_since.get_or_insert(now);
        self.held_down = now < since + self.hold_down_time();
        self.held_down
    }

    fn hold_down_time(&self) -> Duration {
        // The limit keeps the shift in range; the hold-down reaches its maximum much earlier.
        let doublings = self.failures.saturating_sub(1).min(16);
        INITIAL_HOLD_DOWN
            .saturating_mul(1 << doublings)
            .min(MAX_HOLD_DOWN)
    }
}
