//! Responses kept for resent requests.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use masticfield_core::ids::RequestId;

/// Limits of a [`ResponseStore`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseStoreLimits {
    total_bytes: usize,
    response_bytes: usize,
    max_age: Duration,
}

/// The responses to at-most-once requests, by the dispatch that produced them.
///
/// A full store evicts the oldest responses first.
#[derive(Debug)]
pub struct ResponseStore<A> {
    limits: ResponseStoreLimits,
    responses: HashMap<RequestId, StoredResponse<A>>,
    insertion_order: VecDeque<(Instant, RequestId)>,
    bytes: usize,
}

#[derive(Debug)]
struct StoredResponse<A> {
    response: A,
    bytes: usize,
}

impl ResponseStoreLimits {
    /// The limits of an entry: 8 MiB in total, 256 KiB per response, five minutes.
    pub const fn new() -> Self {
        Self {
            total_bytes: 8 * 1024 * 1024,
            response_bytes: 256 * 1024,
            max_age: Duration::from_mins(5),
        }
    }

    /// Sets the maximum size of all responses together, in bytes.
    #[must_use]
    pub const fn total_bytes(mut self, bytes: usize) -> Self {
        self.total_bytes = bytes;
        self
    }

    /// Sets the maximum size of a single response, in bytes; larger ones are not stored.
    #[must_use]
    pub const fn response_bytes(mut self, bytes: usize) -> Self {
        self.response_bytes = bytes;
        self
    }

    /// Sets the age at which a response expires.
    #[must_use]
    pub const fn max_age(mut self, age: Duration) -> Self {
        self.max_age = age;
        self
    }
}

impl Default for ResponseStoreLimits {
    fn default() -> Self {
        Self::new()
    }
}

impl<A> ResponseStore<A> {
    /// Creates an empty store.
    pub fn new(limits: ResponseStoreLimits) -> Self {
        Self {
            limits,
            responses: HashMap::new(),
            insertion_order: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Total size of the stored responses, in bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Stores a response of `bytes` bytes and evicts older ones to make space for it.
    ///
    /// Does nothing if the response exceeds a limit, or if the dispatch already has one.
    pub fn insert(&mut self, now: Instant, request: RequestId, response: A, bytes: usize) {
        self.expire(now);
        let fits = bytes <= self.limits.response_bytes && bytes <= self.limits.total_bytes;
        if !fits || self.responses.contains_key(&request) {
            return;
        }
        while self.bytes + bytes > self.limits.total_bytes {
            self.evict_oldest();
        }
        self.bytes += bytes;
        self.responses
            .insert(request, StoredResponse { response, bytes });
        self.insertion_order.push_back((now, request));
    }

    /// The response to a dispatch; `None` if it was never stored, evicted or has expired.
    pub fn get(&mut self, now: Instant, request: RequestId) -> Option<&A> {
        self.expire(now);
        self.responses.get(&request).map(|stored| &stored.response)
    }

    fn expire(&mut self, now: Instant) {
        let max_age = self.limits.max_age;
        while self
            .insertion_order
            .front()
            .is_some_and(|(inserted, _)| now.saturating_duration_since(*inserted) >= max_age)
        {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.insertion_order.pop_front();
        if let Some(stored) = oldest.and_then(|(_, request)| self.responses.remove(&request)) {
            self.bytes -= stored.bytes;
        }
    }
}
