//! Transfer of a snapshot in pieces.

use std::time::Duration;

use bytes::{Bytes, BytesMut};

use super::progress::Mode;
use super::{AppendResult, Message, Next, Replica, SnapshotPiece};
use crate::{Identity, Snapshot, Write};

/// Size of a piece, in bytes.
const PIECE_BYTES: usize = 256 * 1024;

/// A snapshot of which some pieces have come.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Incoming {
    index: u64,
    term: u64,
    data: BytesMut,
}

impl Replica {
    pub(super) fn start_transfer(&mut self, now: Duration, to: Identity, next: &mut Next) {
        let index = self.log.snapshot().index;
        if let Some(progress) = self.progress_mut(to) {
            progress.mode = Mode::Transfer {
                index,
                offset: 0,
                sent: now,
            };
        }
        self.send_piece(now, to, 0, next);
    }

    fn send_piece(&self, now: Duration, to: Identity, offset: u64, next: &mut Next) {
        let snapshot = self.log.snapshot();
        let total = snapshot.data.len();
        let start = usize::try_from(offset).unwrap_or(total).min(total);
        let end = (start + PIECE_BYTES).min(total);
        let piece = SnapshotPiece {
            index: snapshot.index,
            term: snapshot.term,
            members: snapshot.members.clone(),
            offset: start as u64,
            total: total as u64,
            data: snapshot.data.slice(start..end),
        };
        let message = Message::Snapshot {
            term: self.term(),
            piece,
            sent: now,
        };
        next.send.push(self.envelope(to, message));
    }

    /// Sends the next piece, or the latest snapshot from its start if there is a newer one.
    pub(super) fn on_received(
        &mut self,
        now: Duration,
        from: Identity,
        (received_index, bytes): (u64, u64),
        next: &mut Next,
    ) {
        let newest = self.log.snapshot().index;
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        let Mode::Transfer {
            index,
            offset,
            sent,
        } = &mut progress.mode
        else {
            return;
        };
        if *index != newest {
            return self.start_transfer(now, from, next);
        }
        if received_index == *index && bytes != *offset {
            *offset = bytes;
            *sent = now;
            self.send_piece(now, from, bytes, next);
        }
    }

    /// Sends the current piece again if it was not answered for an election timeout.
    pub(super) fn resume_transfer(&mut self, now: Duration, to: Identity, next: &mut Next) {
        let timeout = self.timing.election_timeout;
        let newest = self.log.snapshot().index;
        let Some(progress) = self.progress_mut(to) else {
            return;
        };
        let Mode::Transfer {
            index,
            offset,
            sent,
        } = &mut progress.mode
        else {
            return;
        };
        if now < *sent + timeout {
            return;
        }
        if *index != newest {
            return self.start_transfer(now, to, next);
        }
        *sent = now;
        let offset = *offset;
        self.send_piece(now, to, offset, next);
    }

    pub(super) fn on_piece(
        &mut self,
        from: Identity,
        piece: SnapshotPiece,
        sent: Duration,
        next: &mut Next,
    ) {
        let index = piece.index;
        if index > self.commit && !self.take_piece(piece, next) {
            let bytes = match &self.incoming {
                Some(incoming) if incoming.index == index => incoming.data.len() as u64,
                _ => 0,
            };
            let received = Message::SnapshotReceived {
                term: self.term(),
                index,
                bytes,
                sent,
            };
            return next.send.push(self.envelope(from, received));
        }
        // A committed prefix matches the log of every leader.
        let matched = self.appended(AppendResult::Matched(index), sent);
        next.send_synced.push(self.envelope(from, matched));
    }

    /// Takes a piece; says whether it completed the snapshot.
    fn take_piece(&mut self, piece: SnapshotPiece, next: &mut Next) -> bool {
        if piece.offset == 0 {
            self.incoming = Some(Incoming {
                index: piece.index,
                term: piece.term,
                data: BytesMut::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return false;
        };
        let follows = (incoming.index, incoming.term) == (piece.index, piece.term)
            && incoming.data.len() as u64 == piece.offset;
        if !follows {
            return false;
        }
        incoming.data.extend_from_slice(&piece.data);
        if (incoming.data.len() as u64) < piece.total {
            return false;
        }
        let data = std::mem::take(&mut incoming.data).freeze();
        self.incoming = None;
        self.install(piece, data, next);
        true
    }

    fn install(&mut self, piece: SnapshotPiece, data: Bytes, next: &mut Next) {
        let snapshot = Snapshot {
            index: piece.index,
            term: piece.term,
            members: piece.members,
            data,
        };
        let keep_log = self.log.install(snapshot.clone());
        self.commit = self.commit.max(snapshot.index);
        next.writes.push(Write::Snapshot { snapshot, keep_log });
    }
}
