//! The durable record of a host.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Action, Generation, Ownership, Planned, Reason};
use serde::{Deserialize, Serialize};

/// What the replicated state keeps of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Which pool owns it.
    pub ownership: Ownership,
    /// Why it drains, if it does.
    pub drain_reason: Option<Reason>,
    /// The reboot that was ordered and is not over.
    pub reboot: Option<RebootOrder>,
    /// When each programme last maintained it, since the Unix epoch.
    pub last_maintained: BTreeMap<Arc<str>, Duration>,
    /// Until when it gets no tasks, since the Unix epoch.
    pub quarantined_until: Option<Duration>,
}

/// An ordered reboot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RebootOrder {
    /// When it was ordered, since the Unix epoch.
    pub ordered_at: Duration,
    /// Reboots completed before it.
    pub completed: u64,
}

/// The records of hosts by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostRecords {
    records: BTreeMap<Arc<str>, HostRecord>,
}

impl HostRecord {
    /// Creates the record of a host that a pool owns.
    pub fn owned(pool: impl Into<Arc<str>>, generation: u64) -> Self {
        Self::new(Ownership::Owned {
            pool: pool.into(),
            generation: Generation::new(generation),
        })
    }

    /// Creates the record of a host with nothing known but its ownership.
    pub const fn new(ownership: Ownership) -> Self {
        Self {
            ownership,
            drain_reason: None,
            reboot: None,
            last_maintained: BTreeMap::new(),
            quarantined_until: None,
        }
    }

    /// Sets when a programme last maintained the host.
    #[must_use]
    pub fn with_maintenance(mut self, programme: impl Into<Arc<str>>, at: Duration) -> Self {
        self.last_maintained.insert(programme.into(), at);
        self
    }
}

impl HostRecords {
    /// The record of a host.
    pub fn get(&self, host: &str) -> Option<&HostRecord> {
        self.records.get(host)
    }

    /// All records by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &HostRecord)> {
        self.records.iter()
    }

    /// Sets the record of a host.
    pub fn insert(&mut self, host: impl Into<Arc<str>>, record: HostRecord) {
        self.records.insert(host.into(), record);
    }

    /// Applies an action committed at `now`; returns whether it changed anything.
    ///
    /// An action of another generation, or in a state that it does not follow, changes nothing.
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
