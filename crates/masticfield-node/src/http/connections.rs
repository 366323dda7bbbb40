//! The open connections of a listener.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use super::connection_metrics::ConnectionMetrics;
use super::{Admission, ConnectionKey, ConnectionTable};

/// Shortest time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of connections that are being closed while new ones are accepted.
const MAX_CLOSING: usize = 8;

/// Admits connections and closes those that other ones need the place of.
#[derive(Debug, Clone)]
pub(super) struct Connections(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    max: usize,
    table: Mutex<Table>,
    /// Connections that are open, including those that are being closed.
    open: AtomicUsize,
    metrics: ConnectionMetrics,
}

#[derive(Debug)]
struct Table {
    connections: ConnectionTable,
    /// Each one closes its connection when it is dropped.
    open: SecondaryMap<ConnectionKey, oneshot::Sender<Infallible>>,
    closed: u64,
    logged_at: Option<Instant>,
}

/// A connection that stays in the table until this value is dropped.
#[derive(Debug)]
pub(super) struct OpenConnection {
    connections: Connections,
    key: ConnectionKey,
    discards_rest: AtomicBool,
}

impl Connections {
    pub(super) fn new(max: usize, metrics: ConnectionMetrics) -> Self {
        Self(Arc::new(Shared {
            max,
            open: AtomicUsize::new(0),
            table: Mutex::new(Table {
                connections: ConnectionTable::new(max),
                open: SecondaryMap::new(),
                closed: 0,
                logged_at: None,
            }),
            metrics,
        }))
    }

    /// Admits a connection, for which another one may be closed; the receiver reports when the
    /// connection has to be closed.
    pub(super) fn admit(&self) -> Option<(OpenConnection, oneshot::Receiver<Infallible>)> {
        let now = Instant::now();
        let mut table = self.0.table.lock();
        loop {
            match table.connections.admit(now) {
                Admission::Admitted(key) => {
                    let (tx, rx) = oneshot::channel();
                    table.open.insert(key, tx);
                    self.0.metrics.set_open(table.connections.len());
                    self.0.open.fetch_add(1, Ordering::Relaxed);
                    let connection = OpenConnection {
                        connections: self.clone(),
                        key,
                        discards_rest: AtomicBool::new(false),
                    };
                    return Some((connection, rx));
                }
                Admission::Close(key) => {
                    table.open.remove(key);
                    table.connections.remove(key);
                    table.count_closed(now, &self.0.metrics);
                }
                Admission::Refused => {
                    self.0.metrics.count_refused();
                    return None;
                }
            }
        }
    }

    /// Waits until few connections are left that are being closed, as they still have descriptors.
    pub(super) async fn wait_for_closed(&self) {
        while self.0.open.load(Ordering::Relaxed) > self.0.max + MAX_CLOSING {
            tokio::task::yield_now().await;
        }
    }
}

impl Table {
    fn count_closed(&mut self, now: Instant, metrics: &ConnectionMetrics) {
        metrics.count_closed();
        self.closed += 1;
        if self.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        let (listener, closed) = (metrics.listener(), self.closed);
        log::info!(listener, closed, reason = "maximum reached"; "connections without progress closed");
        self.logged_at = Some(now);
        self.closed = 0;
    }
}

impl OpenConnection {
    /// Records that bytes were received or sent.
    pub(super) fn progressed(&self) {
        let mut table = self.connections.0.table.lock();
        table.connections.progressed(self.key, Instant::now());
    }

    /// Records that the head of a request has arrived.
    pub(super) fn begin_request(&self) {
        self.discards_rest.store(false, Ordering::Relaxed);
    }

    /// Records that a request is complete.
    pub(super) fn begin_handling(&self) {
        let mut table = self.connections.0.table.lock();
        table.connections.begin_handling(self.key);
    }

    /// Records that a response is ready.
    pub(super) fn end_handling(&self) {
        let mut table = self.connections.0.table.lock();
        table.connections.end_handling(self.key, Instant::now());
    }

    /// Records that a body was not read to its end, so that its rest is discarded before the
    /// connection is closed.
    pub(super) fn discard_rest(&self) {
        self.discards_rest.store(true, Ordering::Relaxed);
    }

    /// Returns whether the rest of a body is discarded before the connection is closed.
    pub(super) fn discards_rest(&self) -> bool {
        self.discards_rest.load(Ordering::Relaxed)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let shared = &self.connections.0;
        let mut table = shared.table.lock();
        table.open.remove(self.key);
        table.connections.remove(self.key);
        shared.open.fetch_sub(1, Ordering::Relaxed);
        shared.metrics.set_open(table.connections.len());
    }
}
