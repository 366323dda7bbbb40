//! The answers that are held for resends.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use masticfield_core::ids::RequestId;

/// Bounds on the answers that are held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseStoreLimits {
    total_bytes: usize,
    answer_bytes: usize,
    age: Duration,
}

/// The first answers of requests that ran, by dispatch, oldest first out.
#[derive(Debug)]
pub struct ResponseStore<A> {
    limits: ResponseStoreLimits,
    answers: HashMap<RequestId, Held<A>>,
    order: VecDeque<(Instant, RequestId)>,
    bytes: usize,
}

#[derive(Debug)]
struct Held<A> {
    answer: A,
    bytes: usize,
}

impl ResponseStoreLimits {
    /// The bounds that entries use: 8 MiB in all, 256 KiB an answer, five minutes.
    pub const fn new() -> Self {
        Self {
            total_bytes: 8 * 1024 * 1024,
            answer_bytes: 256 * 1024,
            age: Duration::from_mins(5),
        }
    }

    /// Sets the bytes of all answers together.
    #[must_use]
    pub const fn total_bytes(mut self, bytes: usize) -> Self {
        self.total_bytes = bytes;
        self
    }

    /// Sets the bytes of the largest answer that is held.
    #[must_use]
    pub const fn response_bytes(mut self, bytes: usize) -> Self {
        self.answer_bytes = bytes;
        self
    }

    /// Sets how long an answer is held.
    #[must_use]
    pub const fn max_age(mut self, age: Duration) -> Self {
        self.age = age;
        self
    }
}

impl Default for ResponseStoreLimits {
    fn default() -> Self {
        Self::new()
    }
}

impl<A> ResponseStore<A> {
    /// Creates a store that holds nothing.
    pub fn new(limits: ResponseStoreLimits) -> Self {
        Self {
            limits,
            answers: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Bytes of all answers that are held.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds an answer of `bytes` bytes, unless it is too large.
    pub fn insert(&mut self, now: Instant, request: RequestId, answer: A, bytes: usize) {
        self.expire(now);
        let fits = bytes <= self.limits.answer_bytes && bytes <= self.limits.total_bytes;
        if !fits || self.answers.contains_key(&request) {
            return;
        }
        while self.bytes + bytes > self.limits.total_bytes {
            self.drop_oldest();
        }
        self.bytes += bytes;
        self.answers.insert(request, Held { answer, bytes });
        self.order.push_back((now, request));
    }

    /// The answer of a dispatch, if it is still held.
    pub fn get(&mut self, now: Instant, request: RequestId) -> Option<&A> {
        self.expire(now);
        self.answers.get(&request).map(|held| &held.answer)
    }

    fn expire(&mut self, now: Instant) {
        let age = self.limits.age;
        while self
            .order
            .front()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) >= age)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.order.pop_front();
        if let Some(held) = oldest.and_then(|(_, request)| self.answers.remove(&request)) {
            self.bytes -= held.bytes;
        }
    }
}
