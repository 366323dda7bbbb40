//! The request bodies of a process, within its budget.

use std::convert::Infallible;
use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Body;
use parking_lot::Mutex;
use prometheus::Registry;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use super::body::{expected_len, read_chunks};
use super::body_buffer::BodyBuffer;
use super::body_metrics::BodyMetrics;
use super::{BodyBudget, BodyError, BodyKey, HeldBody, ResourceBounds, Room};

/// Reads request bodies within the budget of a process.
///
/// All listeners of a process share one value.
#[derive(Debug, Clone)]
pub struct Bodies(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    table: Mutex<Table>,
    metrics: BodyMetrics,
}

#[derive(Debug)]
struct Table {
    budget: BodyBudget,
    buffers: SecondaryMap<BodyKey, Buffer>,
}

/// The part of a body that has arrived.
#[derive(Debug)]
struct Buffer {
    bytes: BodyBuffer,
    /// Ends the reader when it is dropped.
    _reader: oneshot::Sender<Infallible>,
}

/// Removes a body from the table when it is dropped.
#[derive(Debug)]
pub(super) struct BodyCharge {
    bodies: Bodies,
    key: BodyKey,
}

impl Bodies {
    /// Creates an empty table with these bounds.
    pub fn new(bounds: ResourceBounds) -> Self {
        let budget = BodyBudget::new(bounds.body_bytes(), bounds.small_body_bytes());
        Self(Arc::new(Shared {
            table: Mutex::new(Table {
                budget,
                buffers: SecondaryMap::new(),
            }),
            metrics: BodyMetrics::new(),
        }))
    }

    /// Registers the metrics of the bodies.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has a metric of the same name.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        self.0.metrics.register(registry)
    }

    /// Returns the number of bytes that all bodies hold.
    pub fn held(&self) -> usize {
        self.0.table.lock().budget.held()
    }

    /// Reads a whole body of at most `limit` bytes within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, too slow or truncated, if there is no memory for it, or if
    /// it stalls while other bodies need its memory.
    pub async fn read<B>(
        &self,
        body: B,
        limit: usize,
        timeout: Duration,
    ) -> Result<HeldBody, BodyError>
    where
        B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>>,
    {
        if body.is_end_stream() {
            return Ok(HeldBody::empty());
        }
        let expected = expected_len(&body, limit)?;
        let (charge, given_up) = self.insert();
        let append = |chunk: &[u8]| self.append(charge.key, chunk, expected);
        let read = tokio::select! {
            biased;
            _ = given_up => Err(BodyError::GivenUp),
            read = read_chunks(body, limit, timeout, append) => read,
        };
        match read.and_then(|()| self.complete(charge.key)) {
            Ok(bytes) => Ok(HeldBody::new(bytes, charge)),
            Err(error) => {
                self.0.metrics.count_error(&error);
                Err(error)
            }
        }
    }

    fn insert(&self) -> (BodyCharge, oneshot::Receiver<Infallible>) {
        let (tx, rx) = oneshot::channel();
        let mut table = self.0.table.lock();
        let key = table.budget.insert(Instant::now());
        let buffer = Buffer {
            bytes: BodyBuffer::new(),
            _reader: tx,
        };
        table.buffers.insert(key, buffer);
        let bodies = self.clone();
        (BodyCharge { bodies, key }, rx)
    }

    fn append(&self, key: BodyKey, chunk: &[u8], expected: usize) -> Result<(), BodyError> {
        let now = Instant::now();
        let mut table = self.0.table.lock();
        let buffer = table.buffers.get(key).ok_or(BodyError::GivenUp)?;
        let capacity = buffer.bytes.next_capacity(chunk.len(), expected);
        table.raise(key, capacity, now)?;
        table.budget.progressed(key, now);
        let held = table.budget.held();
        let buffer = table.buffers.get_mut(key).ok_or(BodyError::GivenUp)?;
        buffer.bytes.append(chunk, capacity);
        drop(table);
        self.0.metrics.set_held(held);
        Ok(())
    }

    fn complete(&self, key: BodyKey) -> Result<Bytes, BodyError> {
        let mut table = self.0.table.lock();
        let buffer = table.buffers.remove(key).ok_or(BodyError::GivenUp)?;
        table.budget.complete(key);
        drop(table);
        Ok(buffer.bytes.into_bytes())
    }
}

impl Table {
    /// Raises what a body holds, for which it gives up others if necessary.
    fn raise(&mut self, key: BodyKey, bytes: usize, now: Instant) -> Result<(), BodyError> {
        loop {
            match self.budget.raise(key, bytes, now) {
                Room::Granted => return Ok(()),
                Room::GiveUp(other) => {
                    self.buffers.remove(other);
                    self.budget.remove(other);
                }
                Room::Refused => return Err(BodyError::NoRoom),
            }
        }
    }
}

impl BodyCharge {
    /// Raises what the body holds to `bytes`.
    pub(super) fn raise(&self, bytes: usize) -> Result<(), BodyError> {
        let shared = &self.bodies.0;
        let mut table = shared.table.lock();
        let raised = table.raise(self.key, bytes, Instant::now());
        shared.metrics.set_held(table.budget.held());
        drop(table);
        raised.inspect_err(|error| shared.metrics.count_error(error))
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        let shared = &self.bodies.0;
        let mut table = shared.table.lock();
        table.buffers.remove(self.key);
        table.budget.remove(self.key);
        shared.metrics.set_held(table.budget.held());
    }
}
