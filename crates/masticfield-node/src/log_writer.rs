//! Log writer that never blocks the program.
//!
//! Lines pass through a bounded queue to a thread that writes them. Lines that do not fit into the
//! queue are dropped and counted. Lines beyond the rate limit of their kind are suppressed and
//! counted; the next admitted line of the kind is preceded by a line with their number.

use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use prometheus::{IntCounter, Registry};

/// Maximum number of lines in the queue.
const MAX_LINES: usize = 4_096;

/// Maximum number of queued lines added to one write, which bounds the buffer of the thread.
const MAX_BATCH: usize = 256;

/// Maximum number of lines of one kind per second. The kind of a line is its message text.
const LINES_PER_S: u32 = 200;

/// Maximum number of kinds with a budget of their own; further kinds share one.
const MAX_KINDS: usize = 256;

/// Rate limit for each kind of log line.
#[derive(Debug, Default)]
pub struct LineBudget {
    kinds: HashMap<String, KindBudget>,
}

#[derive(Debug)]
struct KindBudget {
    period_start: Instant,
    lines: u32,
    suppressed: u64,
}

/// Decision about a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineVerdict {
    /// The line is written.
    Write {
        /// Number of lines of this kind that were suppressed since the last one written.
        suppressed: u64,
    },
    /// The line is over the rate limit and is not written.
    Suppress,
}

impl LineBudget {
    /// Decides whether a line of a kind is written at `now`, and counts it.
    pub fn admit(&mut self, now: Instant, kind: &str) -> LineVerdict {
        let is_shared = self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind);
        let name = if is_shared { "" } else { kind };
        let budget = self.kinds.entry(name.to_owned()).or_insert(KindBudget {
            period_start: now,
            lines: 0,
            suppressed: 0,
        });
        if now.saturating_duration_since(budget.period_start) >= Duration::from_secs(1) {
            budget.period_start = now;
            budget.lines = 0;
        }
        if budget.lines >= LINES_PER_S {
            budget.suppressed += 1;
            return LineVerdict::Suppress;
        }
        budget.lines += 1;
        let suppressed = std::mem::take(&mut budget.suppressed);
        LineVerdict::Write { suppressed }
    }
}

/// Queues log lines for a thread that writes them.
#[derive(Debug, Clone)]
pub struct LogWriter {
    tx: SyncSender<String>,
    budget: Arc<Mutex<LineBudget>>,
    suppressed: IntCounter,
    dropped: IntCounter,
}

impl LogWriter {
    /// Starts the thread, which ends when the last clone is dropped or writing to `out` fails.
    ///
    /// # Panics
    ///
    /// Panics if the thread cannot be started.
    pub fn spawn(out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(MAX_LINES);
        let builder = std::thread::Builder::new().name("log".into());
        let dropped = counter(
            "masticfield_log_lines_dropped_total",
            "Lines that were not written, as nobody reads them or the disk is full",
        );
        let counter_of_thread = dropped.clone();
        let thread = builder.spawn(move || write_queued(&rx, out, &counter_of_thread));
        thread.expect("cannot start the log thread");
        Self {
            tx,
            budget: Arc::default(),
            suppressed: counter(
                "masticfield_log_lines_left_out_total",
                "Lines beyond the budget of their kind",
            ),
            dropped,
        }
    }

    /// Decides whether a line of a kind is written now, and counts it.
    pub fn admit(&self, kind: &str) -> LineVerdict {
        let verdict = self.budget.lock().admit(Instant::now(), kind);
        if verdict == LineVerdict::Suppress {
            self.suppressed.inc();
        }
        verdict
    }

    /// Registers the counters of suppressed and dropped lines.
    ///
    /// # Errors
    ///
    /// Fails if they are registered already.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.suppressed.clone()))?;
        registry.register(Box::new(self.dropped.clone()))
    }

    /// Queues a line, or drops and counts it if the queue is full or the thread has ended.
    pub fn write(&self, line: String) {
        if self.tx.try_send(line).is_err() {
            self.dropped.inc();
        }
    }

    /// Returns the number of lines that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("the metric name is valid")
}

/// Writes queued lines in batches until the queue is closed or `out` fails.
///
/// Lines for which the disk has no space are dropped, and the thread continues.
fn write_queued(rx: &Receiver<String>, mut out: impl Write, dropped: &IntCounter) {
    let mut buf = String::new();
    let mut line_is_partial = false;
    while let Ok(line) = rx.recv() {
        buf.clear();
        if line_is_partial {
            buf.push('\n');
        }
        buf.push_str(&line);
        buf.push('\n');
        let mut lines = 1;
        for line in rx.try_iter().take(MAX_BATCH) {
            buf.push_str(&line);
            buf.push('\n');
            lines += 1;
        }
        let written = out.write_all(buf.as_bytes()).and_then(|()| out.flush());
        match written {
            Ok(()) => line_is_partial = false,
            Err(error) if is_lack_of_space(error.kind()) => {
                dropped.inc_by(lines);
                line_is_partial = true;
            }
            // The reader is gone; lines that follow are counted as dropped.
            Err(_) => return,
        }
    }
}

fn is_lack_of_space(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge
    )
}
