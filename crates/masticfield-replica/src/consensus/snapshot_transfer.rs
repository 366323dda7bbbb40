//! Transfer of a snapshot to a follower in chunks.

use std::time::Duration;

use bytes::{Bytes, BytesMut};

use super::progress::ReplicationMode;
use super::{AppendResult, Message, Output, Replica, SnapshotChunk};
use crate::{Identity, Snapshot, Write};

/// Maximum size of a chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 256 * 1024;

/// A snapshot that is received in part.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct IncomingSnapshot {
    index: u64,
    term: u64,
    data: BytesMut,
}

impl Replica {
    pub(super) fn start_transfer(&mut self, now: Duration, to: Identity, output: &mut Output) {
        let index = self.log.snapshot().index;
        if let Some(progress) = self.progress_mut(to) {
            progress.mode = ReplicationMode::Transfer {
                index,
                offset: 0,
                sent_at: now,
            };
        }
        self.send_chunk(now, to, 0, output);
    }

    fn send_chunk(&self, now: Duration, to: Identity, offset: u64, output: &mut Output) {
        let snapshot = self.log.snapshot();
        let total = snapshot.data.len();
        let start = usize::try_from(offset).unwrap_or(total).min(total);
        let end = (start + MAX_CHUNK_BYTES).min(total);
        let chunk = SnapshotChunk {
            index: snapshot.index,
            term: snapshot.term,
            members: snapshot.members.clone(),
            offset: start as u64,
            total_bytes: total as u64,
            data: snapshot.data.slice(start..end),
        };
        let message = Message::InstallSnapshot {
            term: self.term(),
            chunk,
            sent_at: now,
        };
        output.send.push(self.envelope(to, message));
    }

    /// Sends the next chunk; restarts with the latest snapshot if there is a newer one.
    pub(super) fn on_snapshot_progress(
        &mut self,
        now: Duration,
        from: Identity,
        (received_index, received_bytes): (u64, u64),
        output: &mut Output,
    ) {
        let newest = self.log.snapshot().index;
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        let ReplicationMode::Transfer {
            index,
            offset,
            sent_at,
        } = &mut progress.mode
        else {
            return;
        };
        if *index != newest {
            return self.start_transfer(now, from, output);
        }
        if received_index == *index && received_bytes != *offset {
            *offset = received_bytes;
            *sent_at = now;
            self.send_chunk(now, from, received_bytes, output);
        }
    }

    /// Sends the current chunk again if it was not answered within the election timeout.
    pub(super) fn retry_transfer(&mut self, now: Duration, to: Identity, output: &mut Output) {
        let timeout = self.timing.election_timeout;
        let newest = self.log.snapshot().index;
        let Some(progress) = self.progress_mut(to) else {
            return;
        };
        let ReplicationMode::Transfer {
            index,
            offset,
            sent_at,
        } = &mut progress.mode
        else {
            return;
        };
        if now < *sent_at + timeout {
            return;
        }
        if *index != newest {
            return self.start_transfer(now, to, output);
        }
        *sent_at = now;
        let offset = *offset;
        self.send_chunk(now, to, offset, output);
    }

    pub(super) fn on_snapshot_chunk(
        &mut self,
        from: Identity,
        chunk: SnapshotChunk,
        sent_at: Duration,
        output: &mut Output,
    ) {
        let index = chunk.index;
        if index > self.commit_index && !self.accept_chunk(chunk, output) {
            let received_bytes = match &self.incoming_snapshot {
                Some(incoming) if incoming.index == index => incoming.data.len() as u64,
                _ => 0,
            };
            let progress = Message::SnapshotProgress {
                term: self.term(),
                index,
                received_bytes,
                sent_at,
            };
            return output.send.push(self.envelope(from, progress));
        }
        // Committed entries match the log of every later leader.
        let matched = self.append_response(AppendResult::Matched(index), sent_at);
        output.send_after_sync.push(self.envelope(from, matched));
    }

    /// Adds a chunk to the incoming snapshot; returns whether this completed and installed it.
    fn accept_chunk(&mut self, chunk: SnapshotChunk, output: &mut Output) -> bool {
        if chunk.offset == 0 {
            self.incoming_snapshot = Some(IncomingSnapshot {
                index: chunk.index,
                term: chunk.term,
                data: BytesMut::new(),
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return false;
        };
        let follows = (incoming.index, incoming.term) == (chunk.index, chunk.term)
            && incoming.data.len() as u64 == chunk.offset;
        if !follows {
            return false;
        }
        incoming.data.extend_from_slice(&chunk.data);
        if (incoming.data.len() as u64) < chunk.total_bytes {
            return false;
        }
        let data = std::mem::take(&mut incoming.data).freeze();
        self.incoming_snapshot = None;
        self.install_snapshot(chunk, data, output);
        true
    }

    fn install_snapshot(&mut self, last_chunk: SnapshotChunk, data: Bytes, output: &mut Output) {
        let snapshot = Snapshot {
            index: last_chunk.index,
            term: last_chunk.term,
            members: last_chunk.members,
            data,
        };
        let keep_log = self.log.install_snapshot(snapshot.clone());
        self.commit_index = self.commit_index.max(snapshot.index);
        output.writes.push(Write::Snapshot { snapshot, keep_log });
    }
}
