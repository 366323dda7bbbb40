//! The accepted release notes.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticfield_core::config::FleetConfig;
use masticfield_core::note::ReleaseNote;
use masticfield_core::operator::{NoteAccepted, Problem};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The configuration, and what is needed to recognize a note that is sent again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NoteLog {
    config: FleetConfig,
    accepted: BTreeMap<u64, AcceptedNote>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AcceptedNote {
    digest: [u8; 32],
    summary: Arc<str>,
}

impl NoteLog {
    /// The configuration of the latest accepted note.
    pub const fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Accepts a note, or says why not. A refused note changes nothing.
    pub(crate) fn accept(&mut self, note: &ReleaseNote) -> Result<NoteAccepted, Problem> {
        let number = note.number;
        let digest = digest(note);
        if let Some(winner) = self.accepted.get(&number) {
            if winner.digest == digest {
                return Ok(NoteAccepted {
                    number,
                    repeated: true,
                });
            }
            return Err(Problem::OtherNoteWon {
                number,
                summary: Arc::clone(&winner.summary),
            });
        }
        self.config = self
            .config
            .apply(note)
            .map_err(|error| Problem::NoteRefused { error })?;
        let summary = Arc::clone(&note.summary);
        self.accepted
            .insert(number, AcceptedNote { digest, summary });
        Ok(NoteAccepted {
            number,
            repeated: false,
        })
    }
}

/// Digest of the content of a note.
fn digest(note: &ReleaseNote) -> [u8; 32] {
    let bytes = postcard::to_stdvec(note).expect("a note holds only plain values");
    Sha256::digest(bytes).into()
}
