//! Durable state of all hosts.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticfield_core::fleet::{Generation, Ownership};
use serde::{Deserialize, Serialize};

use super::{HostRecord, HostStep};
use crate::{Guards, Verdict};

/// The durable state of every host, by name.
///
/// The record of a withdrawn host is kept, so that no generation of the host is used twice.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostTable {
    hosts: BTreeMap<Arc<str>, HostRecord>,
    #[serde(skip)]
    guards: Guards,
}

impl HostTable {
    /// Creates an empty table.
    pub const fn new() -> Self {
        Self::with_guards(Guards::all())
    }

    /// Creates an empty table with a subset of the safety rules; for tests only.
    pub const fn with_guards(guards: Guards) -> Self {
        Self {
            hosts: BTreeMap::new(),
            guards,
        }
    }

    /// The record of a host; `None` if it was never owned, drained or quarantined.
    pub fn host(&self, host: &str) -> Option<&HostRecord> {
        self.hosts.get(host)
    }

    /// Iterates over the records, by host name.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &HostRecord)> {
        self.hosts.iter()
    }

    /// Iterates over the ownership of every recorded host, by host name.
    pub fn ownership(&self) -> impl Iterator<Item = (&Arc<str>, &Ownership)> {
        self.hosts
            .iter()
            .map(|(host, record)| (host, record.ownership()))
    }

    /// The generation at which a pool can own the host next.
    pub fn next_generation(&self, host: &str) -> Generation {
        self.host(host).map_or(Generation::new(1), |record| {
            record.ownership().generation().next()
        })
    }

    /// Applies an ownership step to `host` at `now_ms`, in milliseconds since the Unix epoch.
    pub fn step(&mut self, now_ms: u64, host: &Arc<str>, step: &HostStep) -> Verdict {
        if let Some(record) = self.hosts.get_mut(host) {
            return record.step(now_ms, step, self.guards);
        }
        let mut record = HostRecord::new();
        let verdict = record.step(now_ms, step, self.guards);
        if verdict == Verdict::Done {
            self.hosts.insert(Arc::clone(host), record);
        }
        verdict
    }

    pub(crate) fn quarantine(&mut self, host: &Arc<str>, until_ms: u64) {
        self.record_mut(host).set_quarantine(until_ms);
    }

    pub(crate) fn set_held_by_operator(&mut self, host: &Arc<str>, held: bool) {
        self.record_mut(host).set_held_by_operator(held);
    }

    fn record_mut(&mut self, host: &Arc<str>) -> &mut HostRecord {
        self.hosts.entry(Arc::clone(host)).or_default()
    }
}
