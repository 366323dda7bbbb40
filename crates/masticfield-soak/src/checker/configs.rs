//! Configurations that operators have sent.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A configuration that an operator has sent.
#[derive(Debug, Clone)]
struct SentConfig {
    valid: bool,
    queues: BTreeSet<Arc<str>>,
    acknowledged_at: Option<u64>,
}

/// The configurations that operators have sent, by version.
#[derive(Debug, Default)]
pub(super) struct Configs {
    sent: BTreeMap<u64, SentConfig>,
}

impl Configs {
    pub(super) fn send(&mut self, version: u64, valid: bool, queues: BTreeSet<Arc<str>>) {
        self.sent.entry(version).or_insert(SentConfig {
            valid,
            queues,
            acknowledged_at: None,
        });
    }

    /// Records an acknowledgement; returns whether the configuration is valid.
    pub(super) fn acknowledge(&mut self, at: u64, version: u64) -> bool {
        self.sent.get_mut(&version).is_some_and(|config| {
            config.acknowledged_at.get_or_insert(at);
            config.valid
        })
    }

    pub(super) fn is_valid(&self, version: u64) -> bool {
        self.sent.get(&version).is_some_and(|config| config.valid)
    }

    /// The lowest version that may be in force at a time.
    pub(super) fn lowest_in_force(&self, at: u64, bound_ms: u64) -> u64 {
        let acknowledged = self.sent.iter().filter(|(_, config)| {
            let acknowledged_at = config.acknowledged_at;
            acknowledged_at.is_some_and(|acknowledged_at| acknowledged_at + bound_ms < at)
        });
        acknowledged.map(|(version, _)| *version).max().unwrap_or(0)
    }

    /// Whether all, some or none of the versions from `lowest` on have a queue.
    pub(super) fn presence(&self, lowest: u64, queue: &str) -> Presence {
        let mut possible = self.sent.range(lowest..).map(|(_, config)| config);
        let Some(first) = possible.next() else {
            return Presence::Unclear;
        };
        let first = first.queues.contains(queue);
        if possible.any(|config| config.queues.contains(queue) != first) {
            return Presence::Unclear;
        }
        if first {
            Presence::Present
        } else {
            Presence::Absent
        }
    }
}

/// Whether a queue is in the configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Presence {
    /// It is in every version that may be in force.
    Present,
    /// It is in none of them.
    Absent,
    /// It is in some of them.
    Unclear,
}
