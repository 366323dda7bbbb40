//! A writer of log lines that never blocks the program.
//!
//! Lines go through a bounded buffer to a thread that writes them. Lines that do not fit, and
//! lines beyond the budget of their kind, are counted and left out; the next line of the kind
//! tells how many.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Arc;

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use prometheus::{IntCounter, Registry};

/// Lines that wait to be written, at most.
const MAX_LINES: usize = 4_096;

/// Lines that are written at once, at most: the buffer of the thread stays bounded too.
const MAX_BATCH: usize = 256;

/// Lines of one kind that are written in a second, at most. A kind is a message text.
const LINES_PER_S: u32 = 200;

/// Kinds whose budgets are kept, at most; further ones share one.
const MAX_KINDS: usize = 256;

/// Decides which lines are written.
#[derive(Debug, Default)]
pub struct LineBudget {
    kinds: HashMap<String, Kind>,
}

#[derive(Debug)]
struct Kind {
    second: Instant,
    lines: u32,
    suppressed: u64,
}

/// Whether a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineVerdict {
    /// It is, and this many of its kind were left out before it.
    Write {
        /// Lines left out.
        suppressed: u64,
    },
    /// It is left out.
    Suppress,
}

impl LineBudget {
    /// Decides about a line of a kind.
    pub fn admit(&mut self, now: Instant, kind: &str) -> LineVerdict {
        let full = self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind);
        let name = if full { "" } else { kind };
        let kind = self.kinds.entry(name.to_owned()).or_insert(Kind {
            second: now,
            lines: 0,
            suppressed: 0,
        });
        if now.saturating_duration_since(kind.second) >= Duration::from_secs(1) {
            kind.second = now;
            kind.lines = 0;
        }
        if kind.lines >= LINES_PER_S {
            kind.suppressed += 1;
            return LineVerdict::Suppress;
        }
        kind.lines += 1;
        let suppressed = std::mem::take(&mut kind.suppressed);
        LineVerdict::Write { suppressed }
    }
}

/// Writes lines from a thread of its own.
#[derive(Debug, Clone)]
pub struct LogWriter {
    tx: SyncSender<String>,
    budget: Arc<Mutex<LineBudget>>,
    suppressed: IntCounter,
    dropped: IntCounter,
}

impl LogWriter {
    /// Starts the thread, which ends when the last writer is dropped or `out` fails.
    ///
    /// # Panics
    ///
    /// Panics if the system lets no thread be started.
    pub fn spawn(out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(MAX_LINES);
        let thread = std::thread::Builder::new().name("log".into());
        let started = thread.spawn(move || write_all(&rx, out));
        started.expect("a program starts its threads");
        Self {
            tx,
            budget: Arc::default(),
            suppressed: counter(
                "masticfield_log_lines_left_out_total",
                "Lines beyond the budget of their kind",
            ),
            dropped: counter(
                "masticfield_log_lines_dropped_total",
                "Lines that found no room, as nobody reads them",
            ),
        }
    }

    /// Decides about a line of a kind.
    pub fn admit(&self, kind: &str) -> LineVerdict {
        let verdict = self.budget.lock().admit(Instant::now(), kind);
        if verdict == LineVerdict::Suppress {
            self.suppressed.inc();
        }
        verdict
    }

    /// Registers what is counted of lines that are not written.
    ///
    /// # Errors
    ///
    /// Fails if it is registered already.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.suppressed.clone()))?;
        registry.register(Box::new(self.dropped.clone()))
    }

    /// Hands a line over, or counts it if the buffer is full.
    pub fn write(&self, line: String) {
        if self.tx.try_send(line).is_err() {
            self.dropped.inc();
        }
    }

    /// Lines that did not fit into the buffer.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("the name is well-formed")
}

fn write_all(rx: &Receiver<String>, mut out: impl Write) {
    let mut buf = String::new();
    while let Ok(line) = rx.recv() {
        buf.clear();
        buf.push_str(&line);
        buf.push('\n');
        for line in rx.try_iter().take(MAX_BATCH) {
            buf.push_str(&line);
            buf.push('\n');
        }
        let written = out.write_all(buf.as_bytes()).and_then(|()| out.flush());
        if written.is_err() {
            // Nobody reads; the lines that follow are counted as dropped.
            return;
        }
    }
}
