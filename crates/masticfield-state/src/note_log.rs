//! Accepted release notes and the resulting configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticfield_core::config::FleetConfig;
use masticfield_core::note::ReleaseNote;
use masticfield_core::operator::{NoteAccepted, Problem};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Guard, Guards};

/// The current configuration, and records that identify notes that are submitted again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NoteLog {
    config: FleetConfig,
    accepted: BTreeMap<u64, NoteRecord>,
    #[serde(skip)]
    guards: Guards,
}

/// An accepted release note and the measurements of its roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteRecord {
    /// Digest of the content, which distinguishes a resubmission from a different note.
    digest: [u8; 32],
    summary: Arc<str>,
    accepted_at_ms: u64,
    in_force_at_ms: Option<u64>,
    host_moves: u32,
    job_moves: u32,
    buffer_hosts: Option<u32>,
}

impl NoteRecord {
    /// Summary of the note, as its author wrote it.
    pub const fn summary(&self) -> &Arc<str> {
        &self.summary
    }

    /// When the note was accepted, in milliseconds since the Unix epoch.
    pub const fn accepted_at_ms(&self) -> u64 {
        self.accepted_at_ms
    }

    /// When this or a later note was in force everywhere, in milliseconds since the Unix epoch.
    ///
    /// `None` until then.
    pub const fn in_force_at_ms(&self) -> Option<u64> {
        self.in_force_at_ms
    }

    /// Time from acceptance until in force, in milliseconds; `None` until the note is in force.
    pub fn rollout_ms(&self) -> Option<u64> {
        let in_force_at_ms = self.in_force_at_ms?;
        Some(in_force_at_ms.saturating_sub(self.accepted_at_ms))
    }

    /// Number of hosts that changed pools between this note and the next one.
    pub const fn host_moves(&self) -> u32 {
        self.host_moves
    }

    /// Number of tasks that changed hosts between this note and the next one.
    pub const fn job_moves(&self) -> u32 {
        self.job_moves
    }

    /// Number of buffer hosts when the note came into force.
    ///
    /// `None` until then, or if a later note came into force first.
    pub const fn buffer_hosts(&self) -> Option<u32> {
        self.buffer_hosts
    }
}

impl NoteLog {
    /// Maximum number of notes kept; an older note that is submitted again has a stale base.
    pub const MAX_NOTES: usize = 20_000;

    /// Creates an empty log with a subset of the safety rules; for tests only.
    pub(crate) fn with_guards(guards: Guards) -> Self {
        Self {
            guards,
            ..Self::default()
        }
    }

    /// The configuration after the latest accepted note.
    pub const fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// The record of a note; `None` if it was not accepted or is no longer kept.
    pub fn note(&self, number: u64) -> Option<&NoteRecord> {
        self.accepted.get(&number)
    }

    /// Iterates over the kept records, by note number.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (u64, &NoteRecord)> {
        self.accepted.iter().map(|(number, note)| (*number, note))
    }

    /// Accepts a note, or returns why it is refused; a refused note changes nothing.
    ///
    /// A resubmission of an accepted note is answered as such.
    pub(crate) fn accept(
        &mut self,
        at_ms: u64,
        note: &ReleaseNote,
    ) -> Result<NoteAccepted, Problem> {
        let number = note.number;
        let digest = digest(note);
        if let Some(accepted) = self.accepted.get(&number)
            && self.guards.holds(Guard::NoteOnce)
        {
            return accepted.answer_resubmission(number, digest);
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

    /// Records that every entry serves `version` or a later one.
    ///
    /// Returns `false` if that was known already.
    pub(crate) fn record_in_force(&mut self, at_ms: u64, version: u64, buffer_hosts: u32) -> bool {
        let notes = self.accepted.range_mut(..=version).rev();
        let pending = notes.take_while(|(_, note)| note.in_force_at_ms.is_none());
        let mut count = 0;
        for (number, note) in pending {
            note.in_force_at_ms = Some(at_ms.max(note.accepted_at_ms));
            note.buffer_hosts = (*number == version).then_some(buffer_hosts);
            count += 1;
        }
        count > 0
    }

    /// Counts a host move for the latest note.
    pub(crate) fn count_host_move(&mut self) {
        if let Some(mut note) = self.accepted.last_entry() {
            note.get_mut().host_moves += 1;
        }
    }

    /// Counts a task move for the latest note.
    pub(crate) fn count_job_move(&mut self) {
        if let Some(mut note) = self.accepted.last_entry() {
            note.get_mut().job_moves += 1;
        }
    }
}

impl NoteRecord {
    /// The answer to a submission under the number of this accepted note.
    fn answer_resubmission(&self, number: u64, digest: [u8; 32]) -> Result<NoteAccepted, Problem> {
        if self.digest == digest {
            let repeated = true;
            return Ok(NoteAccepted { number, repeated });
        }
        let summary = Arc::clone(&self.summary);
        Err(Problem::OtherNoteWon { number, summary })
    }
}

/// SHA-256 digest of the encoded note.
fn digest(note: &ReleaseNote) -> [u8; 32] {
    let bytes = postcard::to_stdvec(note).expect("a release note can always be encoded");
    Sha256::digest(bytes).into()
}
