//! The durable state of a single host.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticfield_core::fleet::{Generation, Ownership};
use serde::{Deserialize, Serialize};

use super::HostStep;
use crate::{Guard, Guards, Refusal, Verdict};

/// The durable state of a single host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostRecord {
    ownership: Ownership,
    last_pool: Option<Arc<str>>,
    drain_proof: Option<DrainProof>,
    reboot_programme: Option<Arc<str>>,
    last_maintained: BTreeMap<Arc<str>, u64>,
    quarantined_until_ms: u64,
    held_by_operator: bool,
}

/// Proof that a draining host holds no lease of its generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DrainProof {
    /// The host has reported that it holds none.
    HostReport,
    /// The leader has waited until every lease has expired.
    LeasesEnded,
}

impl HostRecord {
    /// Creates the record of a host that no pool has owned.
    pub const fn new() -> Self {
        Self {
            ownership: Ownership::Released {
                generation: Generation::new(0),
            },
            last_pool: None,
            drain_proof: None,
            reboot_programme: None,
            last_maintained: BTreeMap::new(),
            quarantined_until_ms: 0,
            held_by_operator: false,
        }
    }

    /// Owning pool and generation, and whether the host is draining or released.
    pub const fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// The pool that owns or last owned the host; `None` if none ever did.
    pub const fn last_pool(&self) -> Option<&Arc<str>> {
        self.last_pool.as_ref()
    }

    /// The proof that the draining host holds no lease; `None` until there is one.
    pub const fn drain_proof(&self) -> Option<DrainProof> {
        self.drain_proof
    }

    /// The maintenance programme whose reboot was ordered during the current drain, if any.
    pub const fn reboot_programme(&self) -> Option<&Arc<str>> {
        self.reboot_programme.as_ref()
    }

    /// When each maintenance programme last completed, in milliseconds since the Unix epoch.
    pub const fn last_maintained(&self) -> &BTreeMap<Arc<str>, u64> {
        &self.last_maintained
    }

    /// End of the quarantine, during which the host accepts no tasks.
    ///
    /// In milliseconds since the Unix epoch; 0 if the host was never quarantined.
    pub const fn quarantined_until_ms(&self) -> u64 {
        self.quarantined_until_ms
    }

    /// Whether an operator has drained the host and not undrained it since.
    pub const fn is_held_by_operator(&self) -> bool {
        self.held_by_operator
    }

    pub(super) const fn set_quarantine(&mut self, until_ms: u64) {
        self.quarantined_until_ms = until_ms;
    }

    pub(super) const fn set_held_by_operator(&mut self, held: bool) {
        self.held_by_operator = held;
    }

    /// Applies an ownership step at `now_ms`, in milliseconds since the Unix epoch.
    pub(super) fn step(&mut self, now_ms: u64, step: &HostStep, guards: Guards) -> Verdict {
        if let HostStep::Own { pool, generation } = step {
            return self.own(pool, *generation, guards);
        }
        let (named, current) = (step.generation(), self.ownership.generation());
        if named != current && guards.holds(Guard::Generation) {
            return Verdict::Refused(Refusal::Stale { named, current });
        }
        match step {
            HostStep::Own { .. } => unreachable!("handled above"),
            HostStep::Drain { .. } => self.drain(),
            HostStep::HostReport { .. } => self.prove_drained(DrainProof::HostReport),
            HostStep::LeasesEnded { .. } => self.prove_drained(DrainProof::LeasesEnded),
            HostStep::Release { .. } => self.release(now_ms, guards),
            HostStep::Resume { .. } => self.resume(now_ms, guards),
            HostStep::Reboot { programme, .. } => self.reboot(programme.as_ref()),
        }
    }

    fn own(&mut self, pool: &Arc<str>, named: Generation, guards: Guards) -> Verdict {
        let current = self.ownership.generation();
        let next = Ownership::Owned {
            pool: Arc::clone(pool),
            generation: named,
        };
        if self.ownership == next {
            return Verdict::Repeated;
        }
        if named != current.next() && guards.holds(Guard::Generation) {
            return Verdict::Refused(Refusal::Stale { named, current });
        }
        if let Some(pool) = self.ownership.pool() {
            let pool = Arc::clone(pool);
            return Verdict::Refused(Refusal::NotReleased { pool });
        }
        self.ownership = next;
        self.last_pool = Some(Arc::clone(pool));
        Verdict::Done
    }

    fn drain(&mut self) -> Verdict {
        match &self.ownership {
            Ownership::Owned { pool, generation } => {
                self.ownership = Ownership::Draining {
                    pool: Arc::clone(pool),
                    generation: *generation,
                };
                Verdict::Done
            }
            Ownership::Draining { .. } => Verdict::Repeated,
            Ownership::Released { .. } => Verdict::Refused(Refusal::NotOwned),
        }
    }

    fn prove_drained(&mut self, proof: DrainProof) -> Verdict {
        if !matches!(self.ownership, Ownership::Draining { .. }) {
            return Verdict::Refused(Refusal::NotDraining);
        }
        if self.drain_proof.is_some() {
            return Verdict::Repeated;
        }
        self.drain_proof = Some(proof);
        Verdict::Done
    }

    fn release(&mut self, now_ms: u64, guards: Guards) -> Verdict {
        match &self.ownership {
            Ownership::Owned { .. } => Verdict::Refused(Refusal::NotDraining),
            Ownership::Released { .. } => Verdict::Repeated,
            Ownership::Draining { .. }
                if self.drain_proof.is_none() && guards.holds(Guard::Release) =>
            {
                Verdict::Refused(Refusal::LeasesLeft)
            }
            Ownership::Draining { generation, .. } => {
                let generation = *generation;
                self.ownership = Ownership::Released { generation };
                self.end_drain(now_ms);
                Verdict::Done
            }
        }
    }

    fn resume(&mut self, now_ms: u64, guards: Guards) -> Verdict {
        let Ownership::Draining { pool, generation } = &self.ownership else {
            return Verdict::Refused(Refusal::NotDraining);
        };
        let next = if guards.holds(Guard::ResumeGeneration) {
            generation.next()
        } else {
            *generation
        };
        self.ownership = Ownership::Owned {
            pool: Arc::clone(pool),
            generation: next,
        };
        self.end_drain(now_ms);
        Verdict::Done
    }

    fn reboot(&mut self, programme: Option<&Arc<str>>) -> Verdict {
        if !matches!(self.ownership, Ownership::Draining { .. }) {
            return Verdict::Refused(Refusal::NotDraining);
        }
        if self.drain_proof.is_none() {
            return Verdict::Refused(Refusal::LeasesLeft);
        }
        if self.reboot_programme.is_some() && self.reboot_programme.as_ref() == programme {
            return Verdict::Repeated;
        }
        self.reboot_programme = programme.cloned();
        Verdict::Done
    }

    /// Ends the current drain, and records the maintenance completed in it.
    fn end_drain(&mut self, now_ms: u64) {
        self.drain_proof = None;
        if let Some(programme) = self.reboot_programme.take() {
            self.last_maintained.insert(programme, now_ms);
        }
    }
}

impl Default for HostRecord {
    fn default() -> Self {
        Self::new()
    }
}
