//! The accepted release notes.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticfield_core::config::FleetConfig;
use masticfield_core::note::ReleaseNote;
use masticfield_core::operator::{NoteAccepted, Problem};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Guard, Guards};

/// The configuration, and what is needed to recognize a note that is sent again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NoteLog {
    config: FleetConfig,
    accepted: BTreeMap<u64, NoteRecord>,
    #[serde(skip)]
    guards: Guards,
}

/// An accepted note and the measures of its roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteRecord {
    digest: [u8; 32],
    summary: Arc<str>,
    accepted_at_ms: u64,
    in_force_at_ms: Option<u64>,
    host_moves: u32,
    job_moves: u32,
    buffer_hosts: Option<u32>,
}

impl NoteRecord {
    /// Summary of the note.
    pub const fn summary(&self) -> &Arc<str> {
        &self.summary
    }

    /// When it was accepted, in milliseconds since the Unix epoch.
    pub const fn accepted_at_ms(&self) -> u64 {
        self.accepted_at_ms
    }

    /// When it, or a later note, was in force everywhere, if it is known.
    pub const fn in_force_at_ms(&self) -> Option<u64> {
        self.in_force_at_ms
    }

    /// Roll-out time in milliseconds.
    pub fn rollout_ms(&self) -> Option<u64> {
        let in_force_at_ms = self.in_force_at_ms?;
        Some(in_force_at_ms.saturating_sub(self.accepted_at_ms))
    }

    /// Hosts that changed pools since its acceptance and before the next note's.
    pub const fn host_moves(&self) -> u32 {
        self.host_moves
    }

    /// Tasks that changed hosts since its acceptance and before the next note's.
    pub const fn job_moves(&self) -> u32 {
        self.job_moves
    }

    /// Hosts in service beyond what the pools need, when it was in force.
    pub const fn buffer_hosts(&self) -> Option<u32> {
        self.buffer_hosts
    }
}

impl NoteLog {
    /// Notes that are remembered; an older one that is sent again has a stale base.
    pub const MAX_NOTES: usize = 20_000;

    /// Creates an empty log in which only `guards` hold. For checks.
    pub(crate) fn with_guards(guards: Guards) -> Self {
        Self {
            guards,
            ..Self::default()
        }
    }

    /// The configuration of the latest accepted note.
    pub const fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// The record of an accepted note.
    pub fn note(&self, number: u64) -> Option<&NoteRecord> {
        self.accepted.get(&number)
    }

    /// The records of the remembered notes, by number.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (u64, &NoteRecord)> {
        self.accepted.iter().map(|(number, note)| (*number, note))
    }

    /// Accepts a note, or says why not. A refused note changes nothing.
    pub(crate) fn accept(
        &mut self,
        at_ms: u64,
        note: &ReleaseNote,
    ) -> Result<NoteAccepted, Problem> {
        let number = note.number;
        let digest = digest(note);
        if let Some(winner) = self.accepted.get(&number)
            && self.guards.holds(Guard::NoteOnce)
        {
            return winner.answer(number, digest);
        }
        self.config = self
            .config
            .apply(note)
            .map_err(|error| Problem::NoteRefused { error })?;
        let record = NoteRecord {
            digest,
            summary: Arc::clone(&note.summary),
            accepted_at_ms: at_ms,
            in_force_at_ms: None,
            host_moves: 0,
            job_moves: 0,
            buffer_hosts: None,
        };
        self.accepted.insert(number, record);
        if self.accepted.len() > Self::MAX_NOTES {
            self.accepted.pop_first();
        }
        Ok(NoteAccepted {
            number,
            repeated: false,
        })
    }

    /// Records that every entry serves `version` or a later one; says whether that is news.
    pub(crate) fn in_force(&mut self, at_ms: u64, version: u64, buffer_hosts: u32) -> bool {
        let notes = self.accepted.range_mut(..=version).rev();
        let news = notes.take_while(|(_, note)| note.in_force_at_ms.is_none());
        let mut count = 0;
        for (number, note) in news {
            note.in_force_at_ms = Some(at_ms.max(note.accepted_at_ms));
            note.buffer_hosts = (*number == version).then_some(buffer_hosts);
            count += 1;
        }
        count > 0
    }

    pub(crate) fn count_host_move(&mut self) {
        if let Some(mut note) = self.accepted.last_entry() {
            note.get_mut().host_moves += 1;
        }
    }

    pub(crate) fn count_job_move(&mut self) {
        if let Some(mut note) = self.accepted.last_entry() {
            note.get_mut().job_moves += 1;
        }
    }
}

impl NoteRecord {
    /// The answer to a note that has the number of this one.
    fn answer(&self, number: u64, digest: [u8; 32]) -> Result<NoteAccepted, Problem> {
        if self.digest == digest {
            let repeated = true;
            return Ok(NoteAccepted { number, repeated });
        }
        let summary = Arc::clone(&self.summary);
        Err(Problem::OtherNoteWon { number, summary })
    }
}

/// Digest of the content of a note.
fn digest(note: &ReleaseNote) -> [u8; 32] {
    let bytes = postcard::to_stdvec(note).expect("a note holds only plain values");
    Sha256::digest(bytes).into()
}
