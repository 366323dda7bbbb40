//! Records observations in the order in which they are made, and has them checked.

use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use snafu::ResultExt;

use crate::SoakError;
use crate::checker::{Bounds, Checker, Observation};
use crate::error::FileSnafu;

/// Records observations.
#[derive(Debug, Clone)]
pub(crate) struct Recorder {
    started: Instant,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    checker: Checker,
    history: BufWriter<File>,
    /// Number of violations that were logged.
    logged: usize,
}

impl Recorder {
    /// Creates a recorder that writes all observations to `history.log` in a folder.
    pub(crate) fn create(folder: &Path, bounds: Bounds) -> Result<Self, SoakError> {
        let path = folder.join("history.log");
        let history = File::create(&path).context(FileSnafu { path })?;
        Ok(Self {
            started: Instant::now(),
            inner: Arc::new(Mutex::new(Inner {
                checker: Checker::new(bounds),
                history: BufWriter::new(history),
                logged: 0,
            })),
        })
    }

    /// Time since the start, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Records an observation that is made now.
    pub(crate) fn observe(&self, observation: Observation) {
        let mut inner = self.inner.lock();
        // The time is taken under the lock, so that it rises with the order of observations.
        let at = self.now_ms();
        // The programs' logs name jobs like this.
        let job = observation.job().map(|job| job.to_string());
        let job = job.as_deref().unwrap_or("-");
        inner.write(format_args!("{at} {job} {observation:?}"));
        inner.checker.observe(at, observation);
        inner.log_violations();
    }

    /// Adds a line to the history that is not checked.
    pub(crate) fn note(&self, text: impl std::fmt::Display) {
        let at = self.now_ms();
        self.inner.lock().write(format_args!("{at} - {text}"));
    }

    /// Reads from the checker.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Checker) -> T) -> T {
        read(&self.inner.lock().checker)
    }

    /// Writes the history to its file.
    pub(crate) fn flush(&self) {
        if let Err(error) = self.inner.lock().history.flush() {
            log::warn!(error:%; "cannot write the history");
        }
    }
}

impl Inner {
    fn write(&mut self, line: std::fmt::Arguments<'_>) {
        if let Err(error) = writeln!(self.history, "{line}") {
            log::warn!(error:%; "cannot write the history");
        }
    }

    fn log_violations(&mut self) {
        for violation in &self.checker.violations()[self.logged..] {
            log::error!("{violation}");
            // Fails only if the disk is full.
            drop(writeln!(self.history, "VIOLATION {violation}"));
        }
        self.logged = self.checker.violations().len();
    }
}
