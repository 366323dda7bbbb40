//! The record of a case: what was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
    /// Runs in progress, by their task.
    running: Mutex<BTreeMap<String, Vec<u64>>>,
    twice: AtomicU64,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
            running: Mutex::default(),
            twice: AtomicU64::new(0),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("not poisoned");
        writeln!(file, "{at:8.3} s  {text}").expect("the record can be written");
    }

    /// Records that a run has begun on an executor, and whether another one of its task is in
    /// progress on an executor that is up.
    pub fn starts(&self, task: &str, run: u64) {
        let mut running = self.running.lock().expect("not poisoned");
        let runs = running.entry(task.to_owned()).or_default();
        if !runs.is_empty() {
            self.twice.fetch_add(1, Ordering::SeqCst);
            self.line(&format!(
                "TWICE: {task}#{run} starts while {runs:?} of it are in progress"
            ));
        }
        runs.push(run);
    }

    pub fn ends(&self, task: &str, run: u64) {
        let mut running = self.running.lock().expect("not poisoned");
        if let Some(runs) = running.get_mut(task) {
            runs.retain(|other| *other != run);
        }
    }

    /// Number of runs that began while another one of their task was in progress.
    pub fn twice(&self) -> u64 {
        self.twice.load(Ordering::SeqCst)
    }
}
