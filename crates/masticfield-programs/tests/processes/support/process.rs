//! A program that runs as a process of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Time within which a program must tell its addresses or end.
const PATIENCE: Duration = Duration::from_secs(30);

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(20);

/// A child process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// Starts a program and waits until it has told its addresses.
    pub fn start(program: &str, name: &str, dir: &Path, args: &[&str]) -> Self {
        let file = dir.join(format!("{name}.addresses"));
        // A restarted program must not be taken for its predecessor.
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
                "{name} ended at its start"
            );
            std::fs::read(&file).ok()
        });
        process.addresses = serde_json::from_slice(&json).unwrap();
        process
    }

    /// The address of a flag.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Waits for the end and returns the exit code.
    pub fn wait(mut self) -> Option<i32> {
        wait_for(|| self.child.try_wait().unwrap()).code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Looks again and again until there is something to see.
pub fn wait_for<T>(mut look: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(seen) = look() {
            return seen;
        }
        assert!(
            began.elapsed() < PATIENCE,
            "nothing was seen in {PATIENCE:?}"
        );
        std::thread::sleep(PAUSE);
    }
}
