//! Memory and descriptors of a process.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval at which descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum memory and descriptors of a process, sampled until it is dropped.
#[derive(Debug)]
pub(crate) struct Usage {
    pid: u32,
    rest_kb: u64,
    fds: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
}

impl Usage {
    /// Starts to sample a process, which is at rest.
    pub(crate) fn sample(pid: u32) -> Self {
        let fds = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let (max, stopped) = (Arc::clone(&fds), Arc::clone(&stop));
        let sampler = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                max.fetch_max(open_fds(pid), Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self {
            pid,
            rest_kb: status_kb(pid, "VmRSS:"),
            fds,
            stop,
            sampler: Some(sampler),
        }
    }

    /// Maximum resident memory of the process since its start, in KiB.
    pub(crate) fn peak_kb(&self) -> u64 {
        status_kb(self.pid, "VmHWM:")
    }

    /// Maximum number of open descriptors in any sample.
    pub(crate) fn max_fds(&self) -> usize {
        self.fds.load(Ordering::Relaxed)
    }
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (rest, peak, fds) = (self.rest_kb, self.peak_kb(), self.max_fds());
        write!(
            f,
            "at rest {rest} KiB, at most {peak} KiB and {fds} descriptors"
        )
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(sampler) = self.sampler.take() {
            drop(sampler.join());
        }
    }
}

/// Number of open descriptors; 0 if the process has ended.
fn open_fds(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Field of the status of a process, in KiB; 0 if the process has ended.
fn status_kb(pid: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let mut lines = status.lines();
    let value = lines.find_map(|line| line.strip_prefix(field));
    let value = value.and_then(|value| value.split_whitespace().next());
    value.map_or(0, |value| value.parse().unwrap())
}
