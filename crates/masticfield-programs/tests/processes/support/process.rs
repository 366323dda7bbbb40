//! A program that runs as a child process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};

/// Longest wait for a condition, such as the start or the exit of a program.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// Starts a program and waits until it has written its addresses to `{name}.addresses` in `dir`.
    ///
    /// Its log is appended to `{name}.log`.
    pub fn start(program: &str, name: &str, dir: &Path, args: &[&str]) -> Self {
        let file = dir.join(format!("{name}.addresses"));
        // Otherwise the addresses of an earlier process of this name would be read.
        drop(std::fs::remove_file(&file));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(dir.join(format!("{name}.log")))
            .unwrap();
        let child = Command::new(program)
            .args(args)
            .arg("--address-file")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        let mut process = Self {
            child,
            addresses: BTreeMap::new(),
        };
        let json = wait_for(|| {
            assert!(
                process.child.try_wait().unwrap().is_none(),
                "{name} exited before it wrote its addresses"
            );
            std::fs::read(&file).ok()
        });
        process.addresses = serde_json::from_slice(&json).unwrap();
        process
    }

    /// Address of a listener, by its name in the address file.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Limits the size of files that the process writes, in bytes; `None` ends the limit.
    pub fn limit_file_size(&self, bytes: Option<u64>) {
        let limit = Rlimit {
            current: bytes,
            maximum: None,
        };
        prlimit(Some(Pid::from_child(&self.child)), Resource::Fsize, limit).unwrap();
    }

    /// Waits until the process exits and returns its exit code; `None` if a signal ended it.
    pub fn wait(mut self) -> Option<i32> {
        wait_for(|| self.child.try_wait().unwrap()).code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Polls until `poll` returns a value, and returns that; panics after a time-out.
pub fn wait_for<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(
            started.elapsed() < TIMEOUT,
            "the condition did not hold within {TIMEOUT:?}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}
