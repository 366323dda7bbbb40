//! A program as a child process.

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use snafu::ResultExt;

use crate::SoakError;
use crate::error::{FileSnafu, LimitSnafu, StartSnafu};

/// A program that is started again and again; its process is killed when this is dropped.
#[derive(Debug)]
pub(super) struct Process {
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub(super) const fn new(binary: PathBuf, settings: PathBuf, log: PathBuf) -> Self {
        Self {
            binary,
            settings,
            log,
            child: None,
        }
    }

    /// Starts the program; its log is appended to that of earlier processes.
    pub(super) fn start(&mut self) -> Result<(), SoakError> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.context(FileSnafu { path: &self.log })?;
        let errors = log.try_clone().context(FileSnafu { path: &self.log })?;
        let child = Command::new(&self.binary)
            .env("MASTICFIELD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .context(StartSnafu { path: &self.binary })?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, if the process has not ended.
    pub(super) fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // A child that was not waited for keeps its identifier, so no other process is meant.
            let _ended = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Limits the size of files that the process writes, in bytes; `None` ends the limit.
    pub(super) fn limit_files(&self, bytes: Option<u64>) -> Result<(), SoakError> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let limit = Rlimit {
            current: bytes,
            maximum: None,
        };
        let set = prlimit(Some(Pid::from_child(child)), Resource::Fsize, limit);
        set.map(drop).context(LimitSnafu)
    }

    /// Returns how the process ended, if it has since the last call.
    pub(super) fn take_end(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status)
    }

    pub(super) const fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Kills the process and waits until it has ended.
    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only if the process has already ended.
            drop(child.kill());
            drop(child.wait());
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
