//! Faults.

use std::fmt;

/// A program of the installation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Program {
    /// The control program with this index.
    Control(usize),
    /// The entry program with this index.
    Entry(usize),
}

/// A proxy through which stand-ins and programs are connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Link {
    /// From callers to an entry.
    Callers(usize),
    /// From executors and operators to a control program.
    Control(usize),
    /// From programs to an executor.
    Executor(usize),
}

/// A direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Direction {
    /// From the side that connects.
    Forward,
    /// To the side that connects.
    Backward,
}

/// A fault, which begins at a time and lasts for a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// The program is stopped with SIGSTOP and then continued.
    Pause(Program),
    /// The program is told to end with SIGTERM and is then started again.
    Terminate(Program),
    /// The program is killed and then started again.
    Kill(Program),
    /// All programs are killed and then started again.
    KillAll,
    /// All control programs are killed and then started again.
    KillAllControl,
    /// The settings file of the program changes, with SIGHUP.
    Reload(Program),
    /// The program's files cannot grow.
    FullDisk(usize),
    /// The control program is killed and starts again with an empty data folder.
    EmptyData(usize),
    /// The control program is killed, loses the tail of its newest file and starts again.
    TruncateData(usize),
    /// Bytes on the link are delayed.
    Delay(Link),
    /// The connections of the link are reset, and again at the end.
    Reset(Link),
    /// Nothing arrives in one direction.
    Cut(Link, Direction),
    /// Nothing arrives, while connections stay open.
    Silence(Link),
    /// Open connections go silent for good, while new ones work.
    SilenceOpen(Link),
    /// The executor crashes and is then born again, with the same identifier or a new one.
    CrashExecutor {
        /// Index of the executor.
        executor: usize,
        /// Whether it keeps its identifier.
        same_id: bool,
    },
    /// Executors crash one after the other, each while it runs a task that another one took with it,
    /// if there is one; each is then born again, with the same identifier or a new one.
    CrashSeries {
        /// Number of crashes.
        crashes: u8,
        /// Whether they keep their identifiers.
        same_id: bool,
    },
    /// The executor drains, leaves, and is then born again.
    DrainExecutor(usize),
}

impl Fault {
    /// Name of the kind of fault.
    pub const fn kind(self) -> &'static str {
        match self {
            Self::Pause(_) => "pause",
            Self::Terminate(_) => "terminate",
            Self::Kill(_) => "kill",
            Self::KillAll => "kill-all",
            Self::KillAllControl => "kill-all-control",
            Self::Reload(_) => "reload",
            Self::FullDisk(_) => "full-disk",
            Self::EmptyData(_) => "empty-data",
            Self::TruncateData(_) => "truncate-data",
            Self::Delay(_) => "delay",
            Self::Reset(_) => "reset",
            Self::Cut(..) => "cut",
            Self::Silence(_) => "silence",
            Self::SilenceOpen(_) => "silence-open",
            Self::CrashExecutor { .. } => "crash-executor",
            Self::CrashSeries { .. } => "crash-series",
            Self::DrainExecutor(_) => "drain-executor",
        }
    }

    /// Whether a control program or its disk is disturbed.
    pub const fn hits_control(self) -> bool {
        matches!(
            self,
            Self::Pause(Program::Control(_))
                | Self::Terminate(Program::Control(_))
                | Self::Kill(Program::Control(_))
                | Self::KillAll
                | Self::KillAllControl
                | Self::FullDisk(_)
                | Self::EmptyData(_)
                | Self::TruncateData(_)
        )
    }

    /// Whether data that was synced to a disk is lost.
    pub const fn loses_data(self) -> bool {
        matches!(self, Self::EmptyData(_) | Self::TruncateData(_))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
