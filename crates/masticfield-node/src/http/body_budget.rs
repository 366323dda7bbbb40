//! Decides which request bodies may hold memory.

use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a body in a [`BodyBudget`].
    pub struct BodyKey;
}

/// Maximum size of a small body, in bytes.
pub const SMALL_BODY_BYTES: usize = 16 * 1024;

/// Time without progress after which a body may be given up for another one.
pub const STALL_TIME: Duration = Duration::from_millis(100);

/// Accounts for the memory of request bodies and decides which of them are given up.
///
/// A part of the total is reserved for small bodies, so that large ones cannot use all of it. All
/// methods are synchronous, and time is passed in.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    total: usize,
    reserved: usize,
    bodies: SlotMap<BodyKey, HeldBytes>,
    held: usize,
    held_by_large: usize,
}

/// What to do about a body that needs room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// The body holds what it asked for.
    Granted,
    /// Give up and remove this body, then ask again.
    GiveUp(BodyKey),
    /// There is no room, and giving up bodies would not make enough of it.
    Refused,
}

/// Memory of one body.
#[derive(Debug, Clone, Copy)]
struct HeldBytes {
    bytes: usize,
    /// When the last bytes arrived; `None` once the body is complete.
    progress_at: Option<Instant>,
}

impl BodyBudget {
    /// Creates a budget of `total` bytes, of which `reserved` bytes are for small bodies only.
    pub fn new(total: usize, reserved: usize) -> Self {
        Self {
            total,
            reserved: reserved.min(total),
            bodies: SlotMap::with_key(),
            held: 0,
            held_by_large: 0,
        }
    }

    /// Adds a body that holds nothing yet.
    pub fn insert(&mut self, now: Instant) -> BodyKey {
        self.bodies.insert(HeldBytes {
            bytes: 0,
            progress_at: Some(now),
        })
    }

    /// Raises what a body holds to `bytes`; a body that was removed is refused.
    pub fn raise(&mut self, key: BodyKey, bytes: usize, now: Instant) -> Room {
        let Some(body) = self.bodies.get(key) else {
            return Room::Refused;
        };
        let previous = body.bytes;
        if bytes <= previous {
            return Room::Granted;
        }
        let held = self.held + bytes - previous;
        let held_by_large = self.held_by_large + large_part(bytes) - large_part(previous);
        let excess = held.saturating_sub(self.total);
        let large_excess = held_by_large.saturating_sub(self.total - self.reserved);
        let large_excess = if large_part(bytes) > 0 {
            large_excess
        } else {
            0
        };
        if excess == 0 && large_excess == 0 {
            self.held = held;
            self.held_by_large = held_by_large;
            self.bodies[key].bytes = bytes;
            return Room::Granted;
        }
        self.find_room(key, excess, large_excess, now)
    }

    /// Records that bytes of a body have arrived.
    pub fn progressed(&mut self, key: BodyKey, now: Instant) {
        if let Some(body) = self.bodies.get_mut(key) {
            body.progress_at = body.progress_at.map(|_| now);
        }
    }

    /// Records that a body is complete; it is not given up any more.
    pub fn complete(&mut self, key: BodyKey) {
        if let Some(body) = self.bodies.get_mut(key) {
            body.progress_at = None;
        }
    }

    /// Removes a body and releases what it holds; returns the number of bytes.
    pub fn remove(&mut self, key: BodyKey) -> usize {
        let bytes = self.bodies.remove(key).map_or(0, |body| body.bytes);
        self.held -= bytes;
        self.held_by_large -= large_part(bytes);
        bytes
    }

    /// Returns the number of bytes that all bodies hold.
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Selects the stalled body that holds the most for the longest time, if giving up stalled
    /// bodies makes enough room.
    fn find_room(&self, key: BodyKey, excess: usize, large_excess: usize, now: Instant) -> Room {
        let (mut room, mut large_room) = (0, 0);
        let mut selected = None;
        for (other, body) in &self.bodies {
            let Some(progress_at) = body.progress_at else {
                continue;
            };
            let stalled = now.saturating_duration_since(progress_at);
            if other == key || stalled < STALL_TIME || body.bytes == 0 {
                continue;
            }
            room += body.bytes;
            large_room += large_part(body.bytes);
            if large_excess == 0 || large_part(body.bytes) > 0 {
                let weight = body.bytes as u128 * stalled.as_millis();
                selected = selected.max(Some((weight, other)));
            }
        }
        match selected {
            Some((_weight, other)) if room >= excess && large_room >= large_excess => {
                Room::GiveUp(other)
            }
            _ => Room::Refused,
        }
    }
}

/// Returns the number of bytes that count against the share of large bodies.
const fn large_part(bytes: usize) -> usize {
    if bytes > SMALL_BODY_BYTES { bytes } else { 0 }
}
