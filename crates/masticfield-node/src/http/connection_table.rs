//! Decides which connections stay open when the maximum is reached.

use std::time::Instant;

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a connection in a [`ConnectionTable`].
    pub struct ConnectionKey;
}

/// The open connections of a listener.
///
/// All methods are synchronous, and time is passed in.
#[derive(Debug, Clone)]
pub struct ConnectionTable {
    max: usize,
    connections: SlotMap<ConnectionKey, Activity>,
}

/// What to do about a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The connection is in the table under this key.
    Admitted(ConnectionKey),
    /// Close and remove this connection, then ask again.
    Close(ConnectionKey),
    /// The requests of all connections are being handled, so that none can be closed.
    Refused,
}

/// Activity of one connection.
#[derive(Debug, Clone, Copy)]
struct Activity {
    /// When bytes were last received or sent.
    progress_at: Instant,
    /// Whether a complete request is being handled.
    is_handling: bool,
}

impl ConnectionTable {
    /// Creates a table for at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            connections: SlotMap::with_key(),
        }
    }

    /// Admits a connection, or selects the one without progress for the longest time, unless a
    /// complete request of it is being handled.
    pub fn admit(&mut self, now: Instant) -> Admission {
        if self.connections.len() < self.max {
            return Admission::Admitted(self.connections.insert(Activity {
                progress_at: now,
                is_handling: false,
            }));
        }
        let closable = self.connections.iter().filter(|(_, it)| !it.is_handling);
        match closable.min_by_key(|(_, activity)| activity.progress_at) {
            Some((key, _activity)) => Admission::Close(key),
            None => Admission::Refused,
        }
    }

    /// Records that bytes of a connection were received or sent.
    pub fn progressed(&mut self, key: ConnectionKey, now: Instant) {
        if let Some(activity) = self.connections.get_mut(key) {
            activity.progress_at = now;
        }
    }

    /// Records that the handling of a complete request begins.
    pub fn begin_handling(&mut self, key: ConnectionKey) {
        if let Some(activity) = self.connections.get_mut(key) {
            activity.is_handling = true;
        }
    }

    /// Records that the handling of a request has ended and its response is being sent.
    pub fn end_handling(&mut self, key: ConnectionKey, now: Instant) {
        if let Some(activity) = self.connections.get_mut(key) {
            activity.is_handling = false;
            activity.progress_at = now;
        }
    }

    /// Removes a connection; returns whether it was in the table.
    pub fn remove(&mut self, key: ConnectionKey) -> bool {
        self.connections.remove(key).is_some()
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}
