//! Hysteresis for hosts that fail and recover again and again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{HostHealth, Observation};

/// How long a host must work after its first failure before it counts as healthy.
const FIRST_HOLD: Duration = Duration::from_secs(30);

/// Longest time that a host must work before it counts as healthy.
const LONGEST_HOLD: Duration = Duration::from_hours(1);

/// Time without a failure after which earlier failures are forgotten.
const FORGET_AFTER: Duration = Duration::from_hours(6);

/// Holds back the recovery of hosts, the longer the more often they failed.
///
/// A failure counts at once. A host that reports healthy again goes on to count as failed until
/// it has worked for a while; the while doubles with each failure.
#[derive(Debug, Clone, Default)]
pub struct FlapDamper {
    hosts: BTreeMap<Arc<str>, Flap>,
}

#[derive(Debug, Clone, Copy)]
struct Flap {
    failures: u32,
    failed_at: Duration,
    down: bool,
    healthy_since: Option<Duration>,
}

impl FlapDamper {
    /// Creates a damper that knows of no failure.
    pub fn new() -> Self {
        Self::default()
    }

    /// The hosts that are held back or failed.
    pub fn flapping(&self) -> impl Iterator<Item = &Arc<str>> {
        self.hosts
            .iter()
            .filter(|(_, flap)| flap.down)
            .map(|(host, _)| host)
    }

    /// Takes the reports of a moment and replaces the health of hosts that are held back.
    pub fn apply(&mut self, now: Duration, observation: &mut Observation) {
        for host in &mut observation.hosts {
            let failed = host.health == HostHealth::Failed;
            if failed {
                self.fail(&host.host, now);
            } else if let Some(flap) = self.hosts.get_mut(&host.host)
                && flap.holds_back(now, host.health)
            {
                host.health = HostHealth::Failed;
            }
        }
        self.hosts
            .retain(|_, flap| flap.down || now < flap.failed_at + FORGET_AFTER);
    }

    fn fail(&mut self, host: &Arc<str>, now: Duration) {
        let flap = self.hosts.entry(Arc::clone(host)).or_insert(Flap {
            failures: 0,
            failed_at: now,
            down: false,
            healthy_since: None,
        });
        if !flap.down || flap.healthy_since.is_some() {
            flap.failures += 1;
        }
        flap.down = true;
        flap.failed_at = now;
        flap.healthy_since = None;
    }
}

impl Flap {
    fn holds_back(&mut self, now: Duration, health: HostHealth) -> bool {
        if !self.down {
            return false;
        }
        if health != HostHealth::Healthy {
            self.healthy_since = None;
            return true;
        }
        let since = *self.healthy_since.get_or_insert(now);
        self.down = now < since + self.hold();
        self.down
    }

    fn hold(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        FIRST_HOLD.saturating_mul(1 << doublings).min(LONGEST_HOLD)
    }
}
