//! Durable host records.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Action, Generation, Ownership, Planned, Reason};
use serde::{Deserialize, Serialize};

/// Durable state of a host that a pool owns or has owned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Owning pool and generation, and whether the host is draining or released.
    pub ownership: Ownership,
    /// Why the host drains; `None` unless it is draining, or if the reason is unknown.
    pub drain_reason: Option<Reason>,
    /// The reboot ordered during the current drain, if any.
    pub reboot: Option<RebootOrder>,
    /// When each maintenance programme last completed on the host, since the Unix epoch.
    pub last_maintained: BTreeMap<Arc<str>, Duration>,
    /// End of the quarantine, during which no tasks are placed, since the Unix epoch.
    pub quarantined_until: Option<Duration>,
}

/// A reboot that was ordered for a draining host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RebootOrder {
    /// When the reboot was ordered, since the Unix epoch.
    pub ordered_at: Duration,
    /// Number of reboots that the host had completed before this one.
    ///
    /// The reboot is done once the host reports a higher number.
    pub completed: u64,
}

/// Host records by host name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostRecords {
    records: BTreeMap<Arc<str>, HostRecord>,
}

impl HostRecord {
    /// Creates the record of a host that `pool` owns at `generation`.
    pub fn owned(pool: impl Into<Arc<str>>, generation: u64) -> Self {
        Self::new(Ownership::Owned {
            pool: pool.into(),
            generation: Generation::new(generation),
        })
    }

    /// Creates a record without drain, reboot, maintenance or quarantine.
    pub const fn new(ownership: Ownership) -> Self {
        Self {
            ownership,
            drain_reason: None,
            reboot: None,
            last_maintained: BTreeMap::new(),
            quarantined_until: None,
        }
    }

    /// Sets when `programme` last completed on the host, since the Unix epoch.
    #[must_use]
    pub fn with_maintenance(
        mut self,
        programme: impl Into<Arc<str>>,
        completed_at: Duration,
    ) -> Self {
        self.last_maintained.insert(programme.into(), completed_at);
        self
    }
}

impl HostRecords {
    /// The record of a host; `None` if no pool ever owned it.
    pub fn get(&self, host: &str) -> Option<&HostRecord> {
        self.records.get(host)
    }

    /// Iterates over the records in the order of host names.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &HostRecord)> {
        self.records.iter()
    }

    /// Inserts or replaces the record of a host.
    pub fn insert(&mut self, host: impl Into<Arc<str>>, record: HostRecord) {
        self.records.insert(host.into(), record);
    }

    /// Applies an action committed at `now` and returns whether a record changed.
    ///
    /// An action is ignored if it names another generation than the host's current one, or if
    /// the host is not in the state that the action starts from.
    pub fn apply(&mut self, planned: &Planned, now: Duration) -> bool {
        let (host, generation) = match &planned.action {
            Action::Own {
                host,
                pool,
                generation,
            } => return self.own(host, pool, *generation),
            Action::Quarantine { host, period } => return self.quarantine(host, now + *period),
            Action::Drain { host, generation }
            | Action::Release { host, generation }
            | Action::Resume { host, generation }
            | Action::Reboot {
                host, generation, ..
            } => (host, *generation),
            _ => return false,
        };
        let current = self.records.get_mut(host);
        let Some(record) = current.filter(|record| record.ownership.generation() == generation)
        else {
            return false;
        };
        record.step(planned, now)
    }

    fn own(&mut self, host: &Arc<str>, pool: &Arc<str>, generation: Generation) -> bool {
        let owned = Ownership::Owned {
            pool: Arc::clone(pool),
            generation,
        };
        match self.records.get_mut(host) {
            None if generation == Generation::new(1) => {
                self.insert(Arc::clone(host), HostRecord::new(owned));
                true
            }
            Some(record) if is_released_before(&record.ownership, generation) => {
                record.ownership = owned;
                true
            }
            _ => false,
        }
    }

    fn quarantine(&mut self, host: &str, until: Duration) -> bool {
        let Some(record) = self.records.get_mut(host) else {
            return false;
        };
        record.quarantined_until = Some(until);
        true
    }
}

impl HostRecord {
    fn step(&mut self, planned: &Planned, now: Duration) -> bool {
        let next = match (&planned.action, &self.ownership) {
            (Action::Drain { .. }, Ownership::Owned { pool, generation }) => Ownership::Draining {
                pool: Arc::clone(pool),
                generation: *generation,
            },
            (Action::Release { .. }, Ownership::Draining { generation, .. }) => {
                Ownership::Released {
                    generation: *generation,
                }
            }
            (Action::Resume { .. }, Ownership::Draining { pool, generation }) => Ownership::Owned {
                pool: Arc::clone(pool),
                generation: generation.next(),
            },
            (Action::Reboot { completed, .. }, Ownership::Draining { .. }) => {
                return self.order_reboot(*completed, now);
            }
            _ => return false,
        };
        let resumed = matches!(next, Ownership::Owned { .. });
        if resumed
            && self.reboot.is_some()
            && let Some(Reason::MaintenanceDue { programme }) = &self.drain_reason
        {
            self.last_maintained.insert(Arc::clone(programme), now);
        }
        self.reboot = None;
        self.drain_reason =
            matches!(next, Ownership::Draining { .. }).then(|| planned.reason.clone());
        self.ownership = next;
        true
    }

    fn order_reboot(&mut self, completed: u64, now: Duration) -> bool {
        if self
            .reboot
            .is_some_and(|order| order.completed >= completed)
        {
            return false;
        }
        self.reboot = Some(RebootOrder {
            ordered_at: now,
            completed,
        });
        true
    }
}

fn is_released_before(ownership: &Ownership, next: Generation) -> bool {
    matches!(ownership, Ownership::Released { generation } if generation.next() == next)
}
