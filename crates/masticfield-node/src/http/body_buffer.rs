//! Buffer for a body whose size is not known in advance.

use bytes::Bytes;

/// Capacity of a full segment, in bytes.
const SEGMENT_BYTES: usize = 32 * 1024;

/// Smallest capacity, in bytes.
const MIN_CAPACITY: usize = 256;

/// The part of a body that has arrived.
///
/// The buffer grows by segments of equal size. Buffers that are copied as they grow leave the
/// allocator with free blocks that are too small for larger bodies.
#[derive(Debug, Default)]
pub(super) struct BodyBuffer {
    segments: Vec<Vec<u8>>,
    /// Position of the segment that takes the next bytes.
    current: usize,
    len: usize,
    capacity: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer, which allocates nothing.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Returns the capacity that the buffer has once it has taken `more` bytes; it does not exceed
    /// `expected` unless the body does.
    pub(super) fn next_capacity(&self, more: usize, expected: usize) -> usize {
        let needed = self.len + more;
        let mut capacity = self.capacity;
        if needed > capacity && capacity < SEGMENT_BYTES {
            let doubled = (capacity * 2).max(MIN_CAPACITY).min(expected);
            capacity = needed.max(doubled).min(SEGMENT_BYTES);
        }
        while capacity < needed {
            let rest = expected.max(needed) - capacity;
            capacity += rest.min(SEGMENT_BYTES);
        }
        capacity
    }

    /// Appends bytes, for which the buffer first grows to `capacity`.
    ///
    /// # Panics
    ///
    /// Panics if the bytes do not fit in the capacity.
    pub(super) fn append(&mut self, mut bytes: &[u8], capacity: usize) {
        self.grow(capacity);
        self.len += bytes.len();
        while !bytes.is_empty() {
            let segment = &mut self.segments[self.current];
            let (taken, rest) = bytes.split_at(bytes.len().min(segment.capacity() - segment.len()));
            segment.extend_from_slice(taken);
            bytes = rest;
            if !bytes.is_empty() {
                self.current += 1;
            }
        }
    }

    /// Returns all bytes in one piece.
    pub(super) fn into_bytes(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.pop().unwrap_or_default().into();
        }
        let mut bytes = Vec::with_capacity(self.len);
        for segment in self.segments {
            bytes.extend_from_slice(&segment);
        }
        bytes.into()
    }

    fn grow(&mut self, capacity: usize) {
        if self.segments.is_empty() && capacity > 0 {
            self.segments.push(Vec::new());
        }
        if let [first] = &mut self.segments[..] {
            let grown = capacity.min(SEGMENT_BYTES);
            first.reserve_exact(grown.saturating_sub(first.len()));
            self.capacity = first.capacity();
        }
        while self.capacity < capacity {
            let segment = Vec::with_capacity((capacity - self.capacity).min(SEGMENT_BYTES));
            self.capacity += segment.capacity();
            self.segments.push(segment);
        }
    }
}
